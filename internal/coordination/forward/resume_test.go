package forward

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

// fakeOrigins knows the origins of streams from the given look-up on.
type fakeOrigins struct {
	known   map[comfreyworks.RequestID]uint32
	lookups int
	from    int
	added   []uint32
}

// Add implements comfreyworks.StreamOrigins.
func (o *fakeOrigins) Add(_ comfreyworks.RequestID, release uint32) {
	o.added = append(o.added, release)
}

// StreamOrigin implements comfreyworks.StreamOrigins.
func (o *fakeOrigins) StreamOrigin(_ context.Context, stream comfreyworks.RequestID) (uint32, bool) {
	o.lookups++
	release, ok := o.known[stream]
	return release, ok && o.lookups > o.from
}

// newReleaseFixture returns a fixture with an upstream of release v1 and two of v2, and
// one of another pool.
func newReleaseFixture(origins comfreyworks.StreamOrigins, script ...response) *fixture {
	f := newFixture(script...)
	var present []comfreyworks.Upstream
	for id, release := range map[comfreyworks.InstanceID]string{"a": "v1", "b": "v2", "c": "v2", "other": "v1"} {
		u := comfreyworks.Upstream{ID: id, Pool: pool, State: comfreyworks.InstanceLive, Release: release, Sequence: 1}
		if id == "other" {
			u.Pool = "other"
		}
		present = append(present, u)
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 2}, f.clock.Now())
	// The releases are no longer new.
	f.clock.Advance(time.Minute)
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Next: 2}, f.clock.Now())
	f.forwarder.options.Origins = origins
	return f
}

// addUpstreams lists three upstreams of each release, so that a second attempt need not
// change the release.
func (f *fixture) addUpstreams() {
	var present []comfreyworks.Upstream
	for i := range 6 {
		present = append(present, comfreyworks.Upstream{
			ID: comfreyworks.InstanceID(rune('a' + i)), Pool: pool, State: comfreyworks.InstanceLive, Release: []string{"v1", "v2"}[i%2], Sequence: 2,
		})
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Present: present, Next: 3}, f.clock.Now())
}

// takeUp forwards a request that takes up stream r0 after its second event.
func (f *fixture) takeUp() Outcome {
	stream := route(comfreyworks.RouteStream, 2, true)
	stream.Pools = []comfreyworks.PoolWeight{{Pool: pool, Weight: 1}, {Pool: "other", Weight: 1}}
	request := f.request(stream)
	request.LastEventID, request.Resumes = "2", "r0"
	return f.forwarder.Forward(context.Background(), request, f.sink)
}

// TestTakeUp guards against a stream that is continued by whichever upstream is free:
// what two releases write does not fit together.
func TestTakeUp(t *testing.T) {
	rest := respondOK("id: 3\ndata: c\n\n")
	t.Run("at the release that began it", func(t *testing.T) {
		f := newReleaseFixture(&fakeOrigins{known: map[comfreyworks.RequestID]uint32{"r0": streamorigins.Release(pool, "v1")}}, rest)
		assert.Equal(t, f.takeUp().Verdict, Delivered)
		assert.Equal(t, f.upstreams.sent[0].Upstream.ID, comfreyworks.InstanceID("a"))
		assert.Equal(t, f.upstreams.sent[0].LastEventID, "2")
	})
	t.Run("in the pool that began it", func(t *testing.T) {
		f := newReleaseFixture(&fakeOrigins{known: map[comfreyworks.RequestID]uint32{"r0": streamorigins.Release("other", "v1")}}, rest)
		assert.Equal(t, f.takeUp().Verdict, Delivered)
		assert.Equal(t, f.upstreams.sent[0].Upstream.ID, comfreyworks.InstanceID("other"))
	})
	t.Run("news of its origin is waited for", func(t *testing.T) {
		origins := &fakeOrigins{known: map[comfreyworks.RequestID]uint32{"r0": streamorigins.Release(pool, "v2")}, from: 2}
		f := newReleaseFixture(origins, rest)
		assert.Equal(t, takeUpWaiting(f, 2).Verdict, Delivered)
		assert.Equal(t, f.upstreams.sent[0].Upstream.Release, "v2")
	})
	t.Run("but not for long", func(t *testing.T) {
		f := newReleaseFixture(&fakeOrigins{}, rest)
		outcome := takeUpWaiting(f, int(maxOriginWait/originPollInterval))
		assert.Equal(t, outcome.Verdict, Refused)
		assert.Assert(t, outcome.RetryAfter > 0)
		assert.Equal(t, len(f.upstreams.sent), 0)
	})
	t.Run("a second attempt stays at the release", func(t *testing.T) {
		f := newReleaseFixture(&fakeOrigins{known: map[comfreyworks.RequestID]uint32{"r0": streamorigins.Release(pool, "v2")}}, lost, rest)
		assert.Equal(t, f.takeUp().Verdict, Delivered)
		assert.Equal(t, f.upstreams.sent[0].Upstream.Release, "v2")
		assert.Equal(t, f.upstreams.sent[1].Upstream.Release, "v2")
	})
}

// TestOriginIsRecorded guards against streams that nobody can continue because the
// gateway that served them is gone: the origin is recorded before the first event.
func TestOriginIsRecorded(t *testing.T) {
	events := "id: 1\ndata: a\n\n"
	for name, test := range map[string]struct {
		route *comfreyworks.Route
		want  int
	}{
		"a stream that callers may take up": {route(comfreyworks.RouteStream, 2, true), 2},
		"one that they may not":             {route(comfreyworks.RouteStream, 1, false), 0},
		"a request without a stream":        {route(comfreyworks.RouteIdempotent, 2, false), 0},
	} {
		t.Run(name, func(t *testing.T) {
			origins := &fakeOrigins{}
			recorded := 0
			answer := func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
				recorded = len(origins.added)
				return respondOK(events)(ctx, options)
			}
			f := newReleaseFixture(origins, lost, answer)
			f.addUpstreams()
			f.forward(test.route)
			assert.Equal(t, recorded, test.want)
			assert.Equal(t, len(origins.added), test.want)
		})
	}
	t.Run("a second attempt goes to the same release if it can", func(t *testing.T) {
		origins := &fakeOrigins{}
		f := newReleaseFixture(origins, lost, respondOK(events))
		f.addUpstreams()
		f.forward(route(comfreyworks.RouteStream, 2, true))
		assert.Equal(t, len(origins.added), 2)
		assert.Equal(t, origins.added[0], origins.added[1])
	})
	t.Run("not for the rest of a stream", func(t *testing.T) {
		origins := &fakeOrigins{}
		f := newReleaseFixture(origins, respond(200, true, truncatedBody(events)), respondOK("id: 2\ndata: b\n\n"))
		assert.Equal(t, f.forward(route(comfreyworks.RouteStream, 2, true)).Verdict, Delivered)
		assert.Equal(t, len(origins.added), 1)
	})
}

// TestTakeUpAtFreshGateway guards against a gateway that started after all gateways
// ended and continues a stream of a former release at the only one that is listed now.
func TestTakeUpAtFreshGateway(t *testing.T) {
	for name, listed := range map[string][]comfreyworks.Upstream{
		"the list has not been read yet": nil,
		"the other release is gone":      {{ID: "b", Pool: pool, State: comfreyworks.InstanceLive, Release: "v2"}},
		"the other release is leaving": {
			{ID: "a", Pool: pool, State: comfreyworks.InstanceLeaving, Release: "v1"},
			{ID: "b", Pool: pool, State: comfreyworks.InstanceLive, Release: "v2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFreshFixture(respondOK("id: 3\ndata: c\n\n"))
			if listed != nil {
				f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: listed, Next: 1}, f.clock.Now())
			}
			f.forwarder.options.Origins = &fakeOrigins{}
			outcome := takeUpWaiting(f, int(maxOriginWait/originPollInterval))
			assert.Equal(t, outcome.Verdict, Refused)
			assert.Assert(t, outcome.RetryAfter > 0)
			assert.Equal(t, len(f.upstreams.sent), 0)
		})
	}
}

// TestTakeUpTwice guards against a stream that its caller takes up again after a new
// release entered service: the gateway must remember at which release it went on.
func TestTakeUpTwice(t *testing.T) {
	f := newFixture(respondOK("id: 3\ndata: c\n\n"))
	origins := &fakeOrigins{}
	f.forwarder.options.Origins = origins
	assert.Equal(t, f.takeUp().Verdict, Delivered)
	assert.DeepEqual(t, origins.added, []uint32{streamorigins.Release(pool, "")})
}

// takeUpWaiting is takeUp for a request that looks up its origin several times. It
// returns early if the request does not wait.
func takeUpWaiting(f *fixture, polls int) (outcome Outcome) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		outcome = f.takeUp()
		return nil
	})
	for range polls {
		if f.clock.BlockUntilContext(ctx, 1) != nil {
			break
		}
		f.clock.Advance(originPollInterval)
	}
	_ = group.Wait()
	return outcome
}
