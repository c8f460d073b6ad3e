package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/standin/replica"
)

// crashPart is the part of a prompt under which the engines of a crashFixture crash.
const crashPart = "bad0"

// exchangeTime is enough for two gateways to exchange what they know.
const exchangeTime = time.Second

// crashFixture is two running gateways in front of four engines. An engine that crashes
// is back at once under another ID.
type crashFixture struct {
	*fixture
	addresses [2]string
	gateways  [2]*Gateway
	requests  atomic.Int64
	// away is the number of upstreams that have ended and aren't back yet.
	away atomic.Int64
}

func newCrashFixture(t *testing.T) *crashFixture {
	t.Helper()
	f := &crashFixture{fixture: newFixture(t)}
	for i := 2; i < 4; i++ {
		f.engines = append(f.engines, f.addReplica(t, "lm", i, eventsPerStream))
	}
	for _, engine := range f.engines {
		engine.CrashOn(crashPart, func() { f.restart(engine) })
	}
	f.startGateways(t)
	return f
}

func (f *crashFixture) startGateways(t *testing.T) {
	t.Helper()
	var listeners [2]Listeners
	var peers []netip.AddrPort
	for i := range listeners {
		listeners[i] = Listeners{Requests: listen(t), Ready: listen(t), Metrics: listen(t), Peers: listen(t)}
		f.addresses[i] = listeners[i].Requests.Addr().String()
		peers = append(peers, netip.MustParseAddrPort(listeners[i].Peers.Addr().String()))
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	for i := range listeners {
		options := f.gateway.options
		options.Clock = clockwork.NewRealClock()
		options.Settings.ID = comfreyworks.InstanceID(fmt.Sprint("g", i))
		options.Settings.Peers, options.Settings.PeerListen = peers, peers[i]
		options.Settings.Bounds.StopGrace = shutdownDelay + time.Second
		g := New(options)
		g.startedAt = options.Clock.Now().Add(-options.Settings.Bounds.RetryWindow)
		f.gateways[i] = g
		group.Go(func() error { return g.Run(ctx, listeners[i]) })
	}
	t.Cleanup(func() {
		stop()
		assert.NilError(t, group.Wait())
	})
	for i := range listeners {
		waitFor(t, func() bool { return isReady(listeners[i].Ready) })
		waitFor(t, func() bool { return f.gateways[i].peering.Gateways() == len(listeners) })
	}
}

func isReady(l net.Listener) bool {
	response, err := http.Get("http://" + l.Addr().String() + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// restart ends the connections of an engine and lists it under another ID.
func (f *crashFixture) restart(engine *replica.Replica) {
	server := f.servers[engine]
	f.source.change(func(s *memorySource) {
		for i := range s.upstreams {
			if s.upstreams[i].Address.String() == server.Listener.Addr().String() {
				s.upstreams = append([]comfreyworks.Upstream(nil), s.upstreams...)
				s.upstreams[i].ID += "+"
				engine.Restart(s.upstreams[i].ID)
			}
		}
	})
	server.CloseClientConnections()
}

// awaitUpstreams waits until no upstream is away and the gateways know of all restarts.
// An engine may restart again before all of them do.
func (f *crashFixture) awaitUpstreams(t *testing.T) {
	t.Helper()
	waitFor(t, func() bool { return f.away.Load() == 0 })
	waitFor(t, func() bool {
		f.source.mu.Lock()
		listed := f.source.upstreams
		f.source.mu.Unlock()
		for _, g := range f.gateways {
			for _, upstream := range listed {
				if _, known := g.catalog.Upstream(upstream.ID); !known {
					return false
				}
			}
		}
		return true
	})
}

// send sends a prompt to a gateway. Prompts on one path have their first part and their
// session in common; those that crash engines have crashPart between the two.
func (f *crashFixture) send(t *testing.T, gateway int, path, part string) response {
	t.Helper()
	f.awaitUpstreams(t)
	n := f.requests.Add(1)
	r := f.request(t, http.MethodPost, path, fmt.Sprint("text", n))
	r.URL.Host = f.addresses[gateway]
	r.Header.Set(f.names.RequestID, fmt.Sprint("q", n))
	r.Header.Set(f.names.Prefix, fmt.Sprintf("5c1e:800,%s91bd:410,own%d:250", part, n))
	return f.do(t, r)
}

// sendCrashing sends a prompt under which engines crash.
func (f *crashFixture) sendCrashing(t *testing.T, gateway int, path string) response {
	t.Helper()
	return f.send(t, gateway, path, crashPart+":120,")
}

// crashes returns how often engines have crashed.
func (f *crashFixture) crashes() int {
	n := 0
	for _, run := range f.runs(f.engines) {
		if run.Crashed {
			n++
		}
	}
	return n
}

// expectServed checks that gateways answer sound prompts.
func (f *crashFixture) expectServed(t *testing.T, path string) {
	t.Helper()
	for i := range 4 {
		served := f.send(t, i%2, path, "")
		assert.Equal(t, served.StatusCode, http.StatusOK, served.body)
		assert.Equal(t, served.body, fullStream())
	}
}

// isQuarantined reports whether a prompt was refused because of one of its parts, right
// after it was blamed.
func isQuarantined(r response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.body == "prompt part under quarantine\n" && r.Header.Get("Retry-After") != ""
}

// TestPartThatCrashesEngines guards against requests that are sent on and on although
// engines crash under one of their parts: all engines of a pool ended again and again,
// with every answer that was on them.
func TestPartThatCrashesEngines(t *testing.T) {
	for _, path := range []string{"/review/1", "/note/1"} {
		t.Run(path, func(t *testing.T) {
			f := newCrashFixture(t)
			f.expectServed(t, path)
			for i := 0; f.crashes() < 5 && i < 5; i++ {
				f.sendCrashing(t, i%2, path)
				f.expectServed(t, path)
			}
			time.Sleep(exchangeTime)
			before := f.crashes()
			refused := 0
			for i := range 12 {
				sentAt := time.Now()
				if isQuarantined(f.sendCrashing(t, i%2, path)) {
					refused++
					assert.Assert(t, time.Since(sentAt) < 250*time.Millisecond)
				}
				f.expectServed(t, path)
			}
			t.Logf("%d engines crashed after %d, %d requests of 12 were refused", f.crashes()-before, before, refused)
			assert.Assert(t, f.crashes()-before <= 3, "%d engines crashed after %d", f.crashes()-before, before)
			assert.Assert(t, refused >= 9, "%d of 12 were refused", refused)
		})
	}
}

// TestCrashingRequestsInFlight guards against requests that are sent again and again
// because engines crashed under all of them at the same time: each must end two at most.
func TestCrashingRequestsInFlight(t *testing.T) {
	const requests = 6
	f := newCrashFixture(t)
	f.expectServed(t, "/note/1")
	var group errgroup.Group
	for i := range requests {
		group.Go(func() error {
			f.sendCrashing(t, i%2, "/note/1")
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	time.Sleep(exchangeTime)
	t.Logf("%d engines crashed under %d requests", f.crashes(), requests)
	assert.Assert(t, f.crashes() <= 2*requests)
	f.expectServed(t, "/note/1")
}

// TestGatewaysShareCrashes guards against gateways that each have to see engines crash
// before they refuse a part.
func TestGatewaysShareCrashes(t *testing.T) {
	f := newCrashFixture(t)
	for i := 0; i < 6 && !isQuarantined(f.sendCrashing(t, 0, "/review/1")); i++ {
	}
	crashed := f.crashes()
	time.Sleep(exchangeTime)
	assert.Assert(t, isQuarantined(f.sendCrashing(t, 1, "/review/1")))
	assert.Equal(t, f.crashes(), crashed)
	f.expectServed(t, "/review/1")
	t.Run("and what an operator lifts", func(t *testing.T) {
		f.gateways[0].crashes.Lift(forward.PartKey(nil, crashPart))
		time.Sleep(exchangeTime)
		f.sendCrashing(t, 1, "/review/1")
		assert.Equal(t, f.crashes(), crashed+1)
	})
}
