package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/releasestore"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/internal/state/meter"
)

// memorySource is an in-memory DeclarationSource and UpstreamSource.
type memorySource struct {
	mu        sync.Mutex
	routing   comfreyworks.Routing
	upstreams []comfreyworks.Upstream
	position  comfreyworks.Position
	// down makes every read fail.
	down bool
}

func (s *memorySource) change(f func(*memorySource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	s.position++
}

// Declarations implements comfreyworks.DeclarationSource.
func (s *memorySource) Declarations(ctx context.Context, after comfreyworks.Position, _ time.Duration) (comfreyworks.Declaration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return comfreyworks.Declaration{}, context.DeadlineExceeded
	}
	d := comfreyworks.Declaration{Next: s.position}
	if after < s.position {
		routing := s.routing
		routing.Version = comfreyworks.ConfigRevision(s.position)
		d.Routing = &routing
		d.Weights = map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": 1}
	}
	return d, ctx.Err()
}

// Upstreams implements comfreyworks.UpstreamSource.
func (s *memorySource) Upstreams(context.Context, comfreyworks.Position, time.Duration) (comfreyworks.UpstreamChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return comfreyworks.UpstreamChanges{}, context.DeadlineExceeded
	}
	return comfreyworks.UpstreamChanges{Whole: true, Present: s.upstreams, Next: s.position}, nil
}

// fixture is a gateway in front of two engines and two services, on loopback.
// Tests call refresh to update its routing and upstreams instead of running the
// follower, so that its clock can be a fake one.
type fixture struct {
	clock    *clockwork.FakeClock
	source   *memorySource
	releases *releasestore.Store
	engines  []*replica.Replica
	services []*replica.Replica
	// servers are those of engines and services, and wrap returns their handlers.
	servers map[*replica.Replica]*httptest.Server
	wrap    func(*replica.Replica) http.Handler
	gateway *Gateway
	server  *httptest.Server
	names   comfreyworks.HeaderNames
}

const eventsPerStream = 6

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureBehind(t, func(r *replica.Replica) http.Handler { return r })
}

// newFixtureBehind returns a fixture whose engines and services are behind the handlers
// that wrap returns.
func newFixtureBehind(t *testing.T, wrap func(*replica.Replica) http.Handler) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock(), source: &memorySource{position: 1}, releases: releasestore.New(), names: comfreyworks.DefaultHeaderNames(), servers: make(map[*replica.Replica]*httptest.Server), wrap: wrap}
	f.names.Reserved = []string{"Comfrey-Hold"}
	for i := range 2 {
		f.engines = append(f.engines, f.addReplica(t, "lm", i, eventsPerStream))
		f.services = append(f.services, f.addReplica(t, "orders", i, 0))
	}
	f.source.routing = comfreyworks.Routing{
		Routes: []comfreyworks.Route{
			{Name: "review", Host: "api.example", PathPrefix: "/review/", Kind: comfreyworks.RouteStream, MaxAttempts: 1, Affinity: true},
			{Name: "note", Host: "api.example", PathPrefix: "/note/", Kind: comfreyworks.RouteStream, MaxAttempts: 2, Affinity: true, Resumable: true},
			{Name: "book", Host: "api.example", PathPrefix: "/book/", Kind: comfreyworks.RouteNonIdempotent, MaxAttempts: 1},
			{Name: "look", Host: "api.example", PathPrefix: "/look/", Kind: comfreyworks.RouteIdempotent, MaxAttempts: 2},
			{Name: "open", Host: "api.example", PathPrefix: "/open/", Kind: comfreyworks.RouteIdempotent, MaxAttempts: 2, Public: true},
		},
		Pools:  []comfreyworks.UpstreamPool{{Name: "lm", Models: []comfreyworks.Model{"oak"}}, {Name: "orders"}},
		Limits: comfreyworks.CallerLimits{BodyBytes: 1000},
		Workspaces: []comfreyworks.WorkspaceKeys{
			{Name: "office", Keys: []string{"key-office"}, Priority: -1},
			{Name: "crew", Keys: []string{"key-crew"}, Priority: -1, Isolated: true},
		},
	}
	for i := range f.source.routing.Routes {
		route := &f.source.routing.Routes[i]
		route.Timeout, route.Objective = time.Minute, time.Minute
		route.Pools = []comfreyworks.PoolWeight{{Pool: "orders", Weight: 1}}
		if route.Affinity {
			route.Pools[0].Pool = "lm"
		}
	}
	record := comfreyworks.ReleaseRecord{Pools: map[comfreyworks.Pool][]string{"lm": {""}, "orders": {""}}}
	_, _, err := f.releases.RecordReleases(context.Background(), record, 0)
	assert.NilError(t, err)
	f.start(t)
	return f
}

// start starts a gateway, in place of the one before, which ends.
func (f *fixture) start(t *testing.T) {
	t.Helper()
	f.gateway = New(Options{
		Settings: comfreyworks.GatewaySettings{
			ID: "g0", ReadyPath: "/ready", Headers: f.names,
			Bounds: comfreyworks.GatewayBounds{
				KeyRevocation: 5 * time.Second, StopGrace: 8 * time.Second, RetryRatio: 2, RetrySlack: 100, RetryWindow: 10 * time.Second,
			},
		},
		Declarations: f.source, Upstreams: f.source, Releases: f.releases, Clock: f.clock, Logger: zap.NewNop(), Meter: meter.New(),
	})
	f.clock.Advance(f.gateway.options.Settings.Bounds.RetryWindow)
	f.server = httptest.NewServer(f.gateway.requestHandler())
	t.Cleanup(f.server.Close)
	f.refresh(t)
}

func (f *fixture) addReplica(t *testing.T, pool comfreyworks.Pool, i, events int) *replica.Replica {
	t.Helper()
	id := comfreyworks.InstanceID(fmt.Sprint(pool, "-", i))
	r := replica.New(replica.Options{ID: id, Headers: f.names, Events: events})
	server := httptest.NewServer(f.wrap(r))
	t.Cleanup(server.Close)
	f.servers[r] = server
	f.source.upstreams = append(f.source.upstreams, comfreyworks.Upstream{
		ID: id, Pool: pool, State: comfreyworks.InstanceLive,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": 1},
	})
	return r
}

// refresh reads the sources and the record of releases once.
func (f *fixture) refresh(t *testing.T) {
	t.Helper()
	assert.NilError(t, f.gateway.follower.ReadOnce(context.Background()))
	f.gateway.releases.Check(context.Background())
}

// request builds a request with the key of workspace office.
func (f *fixture) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "api.example"
	r.Header.Set(f.names.RequestID, "r1")
	r.Header.Set(f.names.APIKey, "key-office")
	if strings.HasPrefix(path, "/review") || strings.HasPrefix(path, "/note") {
		r.Header.Set(f.names.Model, "oak")
		r.Header.Set(f.names.Tokens, "1460,80")
		r.Header.Set(f.names.Prefix, "5c1e:800,91bd:410,e440:250")
	}
	return r
}

// response is a response whose body has been read.
type response struct {
	*http.Response
	body string
	// cut means that there was no response or that it was cut off.
	cut bool
}

func (f *fixture) do(t *testing.T, r *http.Request) response {
	t.Helper()
	resp, err := f.server.Client().Do(r)
	if err != nil {
		return response{Response: &http.Response{Header: http.Header{}}, cut: true}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return response{Response: resp, body: string(body), cut: err != nil}
}

func (f *fixture) call(t *testing.T, path string) response {
	t.Helper()
	return f.do(t, f.request(t, http.MethodPost, path, "text"))
}

func (f *fixture) runs(replicas []*replica.Replica) []replica.Run {
	var runs []replica.Run
	for _, r := range replicas {
		runs = append(runs, r.Runs()...)
	}
	return runs
}

func fullStream() string { return replica.Stream(eventsPerStream) }

// failFirst makes the first n requests fail, whichever replicas receive them.
func (f *fixture) failFirst(replicas []*replica.Replica, fault replica.Fault, n int) {
	mu := &sync.Mutex{}
	left := n
	for _, r := range replicas {
		r.SetFaultFunc(func() replica.Fault {
			mu.Lock()
			defer mu.Unlock()
			if left == 0 {
				return ""
			}
			left--
			return fault
		})
	}
}

// waitFor polls until a condition holds. It has no timeout of its own.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}
