// Package partition divides the engines of a pool between long prompts and all other
// generation requests while streams miss the times that their routes declare.
//
// An engine that prefills a long prompt generates no output tokens for its streams
// meanwhile. Engines that always have long prompts waiting therefore give all of their
// streams a fraction of the usual pace. The package decides whether the two kinds of
// requests are separated, which share of the capacity each of them gets and which engines
// these are. It needs no messages of its own: gateways that know about the same sums and
// engines decide about the same.
//
// # Usage
//
//	s := partition.New("lm-pool")
//	if s.Update(now, load, engines) { // at most once per UpdateInterval
//		groups := s.Groups(engines)
//		... groups[i].Serves(partition.Long) ...
//	}
//
// A Separation is not safe for concurrent use.
package partition

import (
	"time"

	"comfreyworks/internal/state/rendezvous"
)

// Kind tells the two kinds of generation requests apart.
type Kind int

// Kinds of requests.
const (
	// Long requests have a prompt whose prefill delays the streams of an engine.
	Long Kind = iota
	// Other requests are all the rest.
	Other
	// NumKinds is the number of kinds.
	NumKinds
)

const (
	// UpdateInterval is the minimum time between two changes of a separation. It is about
	// the age of what gateways know of each other.
	UpdateInterval = 250 * time.Millisecond
	// longPromptDivisor is the number of times that a prefill of the length from which a
	// prompt is long fits into the permitted gap between two events. Engines put 6 to 8
	// output tokens into one event and may prefill between any two of them.
	longPromptDivisor = 8
	// maxStep is the largest part of the capacity that changes its kind at once. Each
	// engine that changes loses the cached prompts of its sessions.
	maxStep = 0.1
	// leaveStep is the same for the end of a separation, in which no session must leave its
	// engines.
	leaveStep = 0.25
	// shareTolerance is the difference from the wanted share up to which the present one
	// stays. Demand that is measured over a second varies by about as much.
	shareTolerance = 0.05
	// minEngines is the number of usable engines below which nothing is separated: each
	// kind needs a second engine when one fails.
	minEngines = 4
)

// IsLong reports whether a prompt is long for a pool whose streams permit the given gap
// between two events. Without a permitted gap there are no long prompts.
func IsLong(prefill, permittedGap time.Duration) bool {
	return permittedGap > 0 && prefill > permittedGap/longPromptDivisor
}

// Engine describes an engine of the pool.
type Engine struct {
	// Seed is the engine's seed for rendezvous hashing.
	Seed uint64
	// Speed is how fast the engine prefills relative to the usual one: 2 means twice as
	// fast, and zero the same as 1.
	Speed float64
	// Usable means that the engine may receive requests now.
	Usable bool
}

// Group tells which kinds of requests an engine serves. Both may be set while the
// division changes.
type Group [NumKinds]bool

// Serves reports whether the engine serves a kind of requests.
func (g Group) Serves(kind Kind) bool { return g[kind] }

// Separation is the state of the division of one pool.
type Separation struct {
	key        uint64
	pressure   pressure
	speeds     speedClasses
	correction correction
	// share is the part of the capacity for long prompts. overlap is the part of the
	// boundary range that both kinds use; 1 means that all engines serve both.
	share, overlap float64
	updatedAt      time.Time
}

// New returns a division in which all engines of the pool serve both kinds.
func New(pool string) *Separation {
	return &Separation{key: rendezvous.Seed("long prompts/" + pool), speeds: make(speedClasses), overlap: 1}
}

// Separated reports whether any engine may serve only one kind.
func (s *Separation) Separated() bool { return s.overlap < 1 }

// Active reports whether the kinds are to be separated now.
func (s *Separation) Active() bool { return s.pressure.active }

// Missing reports whether streams of any kind miss times that their routes declare.
func (s *Separation) Missing() bool { return s.pressure.missing }

// Share returns the part of the capacity for long prompts.
func (s *Separation) Share() float64 { return s.share }

// Update moves the division towards what the load calls for. It returns false without
// a change if the last update was less than UpdateInterval ago.
func (s *Separation) Update(now time.Time, load *Load, engines []Engine) bool {
	if !s.updatedAt.IsZero() && now.Sub(s.updatedAt) < UpdateInterval {
		return false
	}
	s.updatedAt = now
	capacity, fastest, usable := 0.0, 0.0, 0
	for i := range engines {
		s.speeds.update(&engines[i])
		if engines[i].Usable {
			speed := s.speeds.speed(engines[i].Seed)
			capacity, fastest = capacity+speed, max(fastest, speed)
			usable++
		}
	}
	s.speeds.prune(engines)
	s.pressure.update(now, load, capacity, s.overlap)
	lowest := lowestShare(capacity, fastest)
	estimated := load.estimatedShare(lowest)
	if s.Separated() {
		s.correction.update(load, estimated, lowest)
	} else {
		s.correction = correction{}
	}
	wanted := estimated + s.correction.offset
	switch difference := wanted - s.share; {
	case !s.Separated():
		s.share = wanted
	case difference > shareTolerance:
		s.share += min(difference, maxStep)
	case difference < -shareTolerance:
		s.share -= min(-difference, maxStep)
	}
	if usable < minEngines || !s.pressure.active {
		s.overlap = min(s.overlap+leaveStep, 1)
	} else {
		s.overlap = max(s.overlap-maxStep, 0)
	}
	return true
}
