package forward

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
)

// TestSilentUpstreamIsAvoided guards against sending ever more requests to a dead
// upstream because those that wait for it cannot be sent elsewhere.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	f, sound := newSoundFixture(2, 0)
	both := f.catalog.Upstreams(pool)
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: both[:1], Next: 3}, f.clock.Now())
	sound.first, sound.others = neverRespond, neverRespond
	ctx, cancel := context.WithCancel(context.Background())
	var requests errgroup.Group
	for range 3 {
		request := f.request(route(comfreyworks.RouteStream, 2, true))
		requests.Go(func() error {
			f.forwarder.Forward(ctx, request, new(recordingSink))
			return nil
		})
	}
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 3))
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: both, Next: 4}, f.clock.Now())
	balancer := f.forwarder.options.Balancer
	for range 10 {
		balancer.Pick(balance.Query{Pool: pool, Exclude: []comfreyworks.InstanceID{both[0].ID}})
	}
	f.clock.Advance(600 * time.Millisecond)
	chosen := both[0].ID
	for until := time.Now().Add(time.Second); chosen == both[0].ID && time.Now().Before(until); time.Sleep(time.Millisecond) {
		pick := balancer.Pick(balance.Query{Pool: pool})
		chosen = pick.Upstream.ID
		pick.Done(balance.Result{Outcome: balance.Withdrawn})
	}
	cancel()
	assert.NilError(t, requests.Wait())
	assert.Equal(t, chosen, both[1].ID)
}
