package partition

import (
	"cmp"
	"math"
	"slices"

	"comfreyworks/internal/state/rendezvous"
)

const (
	// speedClassRatio is the ratio between the speeds of two classes. Smaller differences
	// do not order engines, so that measurements of gateways that differ a little lead to
	// the same order.
	speedClassRatio = 1.25
	// speedClassMargin is how far, in classes, a speed must be from its class for another
	// one to take its place. Above one half, a speed between two classes stays where it is.
	speedClassMargin = 0.75
	// maxSpeedClass bounds what an absurd measurement can claim to about a factor of four.
	maxSpeedClass = 6
)

// speedClasses holds the speed class of each engine by its seed. Higher classes are
// faster; engines of the usual speed have class zero.
type speedClasses map[uint64]int

// update sets the class of an engine.
func (c speedClasses) update(engine *Engine) {
	speed := engine.Speed
	if !(speed > 0) || math.IsInf(speed, 1) {
		speed = 1
	}
	exact := min(max(math.Log(speed)/math.Log(speedClassRatio), -maxSpeedClass), maxSpeedClass)
	if known, ok := c[engine.Seed]; !ok || math.Abs(exact-float64(known)) > speedClassMargin {
		c[engine.Seed] = int(math.Round(exact))
	}
}

// speed returns the speed of an engine relative to the usual one.
func (c speedClasses) speed(seed uint64) float64 { return math.Pow(speedClassRatio, float64(c[seed])) }

// prune removes the classes of engines that are gone.
func (c speedClasses) prune(engines []Engine) {
	if len(c) <= len(engines) {
		return
	}
	listed := make(map[uint64]bool, len(engines))
	for i := range engines {
		listed[engines[i].Seed] = true
	}
	for seed := range c {
		if !listed[seed] {
			delete(c, seed)
		}
	}
}

// Groups returns the group of each engine. The engines are ordered by speed class, the
// fastest first, and by rendezvous hashing within a class. Long prompts get the first
// ones, the other requests the last ones.
func (s *Separation) Groups(engines []Engine) []Group {
	groups := make([]Group, len(engines))
	capacity := 0.0
	order := make([]int, len(engines))
	scores := make([]uint64, len(engines))
	for i := range engines {
		order[i], scores[i] = i, rendezvous.Score(engines[i].Seed, s.key)
		if engines[i].Usable {
			capacity += s.speeds.speed(engines[i].Seed)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.speeds[engines[b].Seed], s.speeds[engines[a].Seed]), cmp.Compare(scores[b], scores[a]))
	})
	lastLong, firstOther := s.share+s.overlap*(1-s.share), s.share*(1-s.overlap)
	before := 0.0
	for _, i := range order {
		speed := 0.0
		if engines[i].Usable {
			speed = s.speeds.speed(engines[i].Seed)
		}
		// The middle of the engine's part of the capacity decides.
		middle := 0.0
		if capacity > 0 {
			middle = (before + speed/2) / capacity
		}
		groups[i] = Group{Long: middle <= lastLong, Other: middle >= firstOther}
		before += speed
	}
	return groups
}
