package trouble

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/fleet"
)

const (
	// maxReleases is the maximum number of releases in a plan; some have none.
	maxReleases = 3
	// releaseStream selects the random numbers of releases, so that they are
	// independent of those of other events.
	releaseStream = 3
	// maxKillDelay is the maximum time from the start or the end of a release until a
	// gateway is killed.
	maxKillDelay = 2 * time.Second
)

// newReleases generates events that replace engines by ones of another release, and
// for each of them the kill of one or all gateways soon after its start or its end. Both
// are delayed if the gateways would be killed or restarted during cut: a restarted one
// has no keys whose age could be ignored.
func newReleases(seed uint64, length time.Duration, gateways int, cut *Event) []Event {
	rng := rand.New(rand.NewPCG(seed, releaseStream))
	var events []Event
	current := 0
	for range rng.IntN(maxReleases + 1) {
		current = (current + 1 + rng.IntN(len(fleet.Releases)-1)) % len(fleet.Releases)
		release := Event{
			Kind: Release, Start: time.Duration(rng.Int64N(int64(length))), Duration: randomDuration(rng),
			Seed: rng.Uint64(), Release: fleet.Releases[current],
		}
		kill := Event{Kind: Kill, Start: release.Start, Duration: randomDuration(rng), Gateway: rng.IntN(gateways)}
		if rng.IntN(3) == 0 {
			kill.Kind = KillAll
		}
		if rng.IntN(2) == 0 {
			kill.Start += release.Duration
		}
		kill.Start += time.Duration(rng.Int64N(int64(maxKillDelay)))
		if kill.overlaps(cut) {
			delay := cut.Start + cut.Duration - kill.Start
			release.Start += delay
			kill.Start += delay
		}
		events = append(events, release, kill)
	}
	return events
}

// overlaps reports whether two events happen at the same time. One without a duration
// overlaps with none.
func (e *Event) overlaps(other *Event) bool {
	return other.Duration > 0 && e.Start < other.Start+other.Duration && other.Start < e.Start+e.Duration
}

// replaceEngines starts engines of another release in random slots. At the end of the
// event those that they replace leave or crash. It returns after that.
func (e *Event) replaceEngines(f *fleet.Fleet) error {
	rng := rand.New(rand.NewPCG(e.Seed, releaseStream))
	var group errgroup.Group
	for _, slot := range rng.Perm(fleet.EngineSlots)[:1+rng.IntN(fleet.EngineSlots)] {
		stop := f.Leave
		if rng.IntN(2) == 0 {
			stop = f.Crash
		}
		replaced, err := f.StartReplica(slot, e.Release)
		if err != nil {
			return err
		}
		group.Go(func() error {
			time.Sleep(e.Duration)
			stop(replaced)
			return nil
		})
	}
	return group.Wait()
}
