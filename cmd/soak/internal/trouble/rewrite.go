package trouble

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/fleet"
)

const (
	// rewriteStream selects the random numbers of RewriteConfigs.
	rewriteStream = 6
	// minRewritePause and maxRewritePause bound the time between two changes of a series.
	minRewritePause, maxRewritePause = 200 * time.Millisecond, 500 * time.Millisecond
	// rewriteTime is the duration of a series without the graceful stop.
	rewriteTime = 8 * time.Second
)

// addRewrites adds a series of changes of the configuration. It is drawn apart from the
// other events, and goes on for some time after most of them.
func (p *Plan) addRewrites(seed uint64, length time.Duration, gateways int) {
	rng := rand.New(rand.NewPCG(seed, rewriteStream))
	p.Events = append(p.Events, Event{
		Kind: RewriteConfigs, Start: length/2 + time.Duration(rng.Int64N(int64(length/2))), Duration: rewriteTime,
		Gateway: rng.IntN(gateways), Seed: rng.Uint64(),
	})
}

// rewriteConfigs starts a series of changes and returns a function that waits for its end.
func (e *Event) rewriteConfigs(f *fleet.Fleet) (end func()) {
	rng := rand.New(rand.NewPCG(e.Seed, rewriteStream))
	var group errgroup.Group
	group.Go(func() error {
		for until := time.Now().Add(e.Duration); time.Now().Before(until); {
			f.RewriteConfig()
			f.Gateways[rng.IntN(len(f.Gateways))].Hangup()
			time.Sleep(minRewritePause + time.Duration(rng.Int64N(int64(maxRewritePause-minRewritePause))))
		}
		return nil
	})
	group.Go(func() error {
		time.Sleep(e.Duration / 2)
		g := f.Gateways[e.Gateway]
		defer g.Disturb()()
		g.Terminate()
		return g.Start()
	})
	return func() { _ = group.Wait() }
}
