package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/protocol/listener"
	"comfreyworks/internal/protocol/peer"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/meter"
)

// TestRetrySlackRampsUp guards against exceeding the retry budget during a
// rolling restart: a new process must not spend the slack that the process
// before it has already spent.
func TestRetrySlackRampsUp(t *testing.T) {
	f := newFixture(t)
	f.gateway.startedAt = f.clock.Now()
	for _, c := range []struct {
		advance time.Duration
		want    float64
	}{{0, 0}, {5 * time.Second, 50. / 6}, {5 * time.Second, 100. / 6}, {time.Hour, 100. / 6}} {
		f.clock.Advance(c.advance)
		assert.Equal(t, f.gateway.retryLimit().Slack, c.want)
	}
}

// TestCacheReaders guards against overloading engines with reads of their cache
// changes: in a small fleet each gateway reads the changes of every engine and
// knows how many readers an engine allows, in a large one no gateway does. A gateway
// that starts in a large fleet must not open a connection to each of 3,000 engines
// before it has heard of the others.
func TestCacheReaders(t *testing.T) {
	const readers = 12
	f := newFixture(t)
	f.source.change(func(s *memorySource) { s.routing.Pools[0].CacheReaders = readers })
	f.refresh(t)
	t.Run("in a small fleet", func(t *testing.T) {
		f.gateway.balancer.SetGateways(4)
		targets := f.gateway.cacheTargets()
		assert.Equal(t, len(targets), len(f.engines))
		for _, target := range targets {
			assert.Equal(t, target.MaxReaders, readers)
		}
	})
	t.Run("before the size of the fleet is known", func(t *testing.T) {
		f.gateway.balancer.SetGateways(0)
		assert.Equal(t, len(f.gateway.cacheTargets()), 0)
	})
	t.Run("in a large fleet", func(t *testing.T) {
		f.gateway.balancer.SetGateways(103)
		assert.Equal(t, len(f.gateway.cacheTargets()), 0)
	})
}

func TestCallerLimits(t *testing.T) {
	f := newFixture(t)
	f.source.change(func(s *memorySource) {
		s.routing.Limits = comfreyworks.CallerLimits{HeaderBytes: 1000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	})
	f.refresh(t)
	server := f.gateway.newServer(f.gateway.requestHandler())
	assert.Equal(t, f.gateway.callerLimits().HeaderTimeout, 3*time.Second)
	assert.Equal(t, f.gateway.callerLimits().IdleTimeout, 15*time.Second)
	callers := listener.New(listen(t), f.gateway.callerLimits)
	var group errgroup.Group
	group.Go(func() error { return callers.Serve(server) })
	r := f.request(t, http.MethodPost, "/book/1", "")
	r.URL.Host = callers.Addr().String()
	r.Header.Set("X-Own", strings.Repeat("x", 10_000))
	assert.Equal(t, f.do(t, r).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	r.Header.Set("X-Own", "x")
	assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
	assert.NilError(t, server.Close())
	assert.NilError(t, group.Wait())
}

// TestRunAndShutdown runs a gateway on real listeners, sends requests and shuts
// it down.
func TestRunAndShutdown(t *testing.T) {
	f := newFixture(t)
	options := f.gateway.options
	options.Clock = clockwork.NewRealClock()
	options.Settings.Bounds.StopGrace = shutdownDelay + time.Second
	g := New(options)
	listeners := Listeners{Requests: listen(t), Ready: listen(t), Metrics: listen(t), Peers: listen(t)}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return g.Run(ctx, listeners) })
	get := func(l net.Listener, path string) int {
		resp, err := http.Get("http://" + l.Addr().String() + path)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	waitFor(t, func() bool { return get(listeners.Ready, "/ready") == http.StatusOK })
	r := f.request(t, http.MethodPost, "/book/1", "text")
	r.URL.Host = listeners.Requests.Addr().String()
	assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
	assert.Equal(t, get(listeners.Metrics, "/metrics"), http.StatusOK)
	stop()
	waitFor(t, func() bool { return get(listeners.Ready, "/ready") == http.StatusServiceUnavailable })
	r = f.request(t, http.MethodPost, "/book/1", "text")
	r.URL.Host = listeners.Requests.Addr().String()
	assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK, "requests are accepted until the load balancer has noticed")
	assert.NilError(t, group.Wait())
}

func TestLeavingClosesConnections(t *testing.T) {
	f := newFixture(t)
	f.gateway.leaving.Store(true)
	assert.Equal(t, f.gateway.notReadyReason(), "leaving")
	resp := f.call(t, "/book/1")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close, "the response closes its connection")
}

// TestCrashesOfPeers checks that a gateway blames the parts of prompts that its peers
// blame, and tells them of those that it blames.
func TestCrashesOfPeers(t *testing.T) {
	f := newFixture(t)
	theirs, ours := crashes.Key("shared", "theirs"), crashes.Key("shared", "ours")
	for range 3 {
		f.gateway.crashes.Begin([]uint32{ours}).Broke(crashes.Evidence{})
	}
	service := &peerService{f.gateway}
	var reply comfreyworks.GatewayUpdate
	assert.NilError(t, service.Sync(comfreyworks.GatewayState{
		Self:    comfreyworks.GatewayPeer{ID: "g1", Address: netip.MustParseAddrPort("10.0.0.1:7000")},
		Crashes: []comfreyworks.CrashSuspicion{{Part: theirs, Crashes: 3}}, CrashesKnown: comfreyworks.ListVersion{Process: 1},
	}, &reply))
	_, blamed := f.gateway.crashes.Blamed([]uint32{theirs})
	assert.Assert(t, blamed)
	assert.Assert(t, slices.ContainsFunc(reply.State.Crashes, func(s comfreyworks.CrashSuspicion) bool {
		return s.Part == ours && s.Crashes == 3
	}))
}

// TestPanicInPeerCall guards against a peer's message that ends the gateway: net/rpc
// does not recover from panics.
func TestPanicInPeerCall(t *testing.T) {
	f := newFixture(t)
	f.gateway.peering = nil
	service := &peerService{f.gateway}
	assert.ErrorIs(t, service.Sync(comfreyworks.GatewayState{}, &comfreyworks.GatewayUpdate{}), errPanic)
	assert.ErrorIs(t, service.Notify(comfreyworks.WeightsLoadNotices{}, &peer.Empty{}), errPanic)
	assert.ErrorIs(t, service.FindStream(peer.FindStreamArgs{}, &peer.FindStreamReply{}), errPanic)
	assert.Equal(t, f.gateway.options.Meter.Counter("comfrey_panics_total", meter.Labels{Class: "peer-call"}), 3)
}
