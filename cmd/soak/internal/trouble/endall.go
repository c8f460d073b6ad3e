package trouble

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/fleet"
)

const (
	// endAllStream selects the random numbers of EndAllInRelease.
	endAllStream = 9
	// maxOverlap is the maximum time that the engines of the new release serve beside the
	// old ones before all gateways are killed: from less to more than a release settles in.
	maxOverlap = 3 * time.Second
)

// EndAllInRelease replaces all engines by ones of one release and kills all gateways in the
// meantime. They start again when no engine of another release is listed any more, so that
// callers resume streams of those. The seed draws how the old engines stop and when.
func EndAllInRelease(f *fleet.Fleet, seed uint64, release string) error {
	rng := rand.New(rand.NewPCG(seed, endAllStream))
	var replaced []*fleet.Replica
	for slot := range fleet.EngineSlots {
		if f.Replica(slot).Release == release {
			continue
		}
		r, err := f.StartReplica(slot, release)
		if err != nil {
			return err
		}
		replaced = append(replaced, r)
	}
	time.Sleep(time.Duration(rng.Int64N(int64(maxOverlap))))
	for _, g := range f.Gateways {
		defer g.Disturb()()
		g.Kill()
	}
	stop := []func(*fleet.Replica){f.Leave, f.Crash, f.Depart}[rng.IntN(3)]
	var group errgroup.Group
	for _, r := range replaced {
		group.Go(func() error {
			stop(r)
			return nil
		})
	}
	_ = group.Wait()
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}
