package gateway

import (
	"bufio"
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
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/internal/state/meter"
)

// source is a source of declarations and upstreams in memory.
type source struct {
	mu        sync.Mutex
	routing   comfreyworks.Routing
	upstreams []comfreyworks.Upstream
	position  comfreyworks.Position
	down      bool
}

func (s *source) change(f func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	s.position++
}

// Declarations implements comfreyworks.DeclarationSource.
func (s *source) Declarations(ctx context.Context, after comfreyworks.Position, _ time.Duration) (comfreyworks.Declaration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return comfreyworks.Declaration{}, context.DeadlineExceeded
	}
	d := comfreyworks.Declaration{Next: s.position}
	if after < s.position {
		routing := s.routing
		routing.Version = comfreyworks.Revision(s.position)
		d.Routing = &routing
		d.Weights = map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": 1}
	}
	return d, ctx.Err()
}

// Upstreams implements comfreyworks.UpstreamSource.
func (s *source) Upstreams(context.Context, comfreyworks.Position, time.Duration) (comfreyworks.UpstreamChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return comfreyworks.UpstreamChanges{}, context.DeadlineExceeded
	}
	return comfreyworks.UpstreamChanges{Whole: true, Present: s.upstreams, Next: s.position}, nil
}

// fixture is a gateway before two engines and two services, on loopback. Its
// beliefs are brought up to date by hand, so that its clock can be a fake one.
type fixture struct {
	clock    *clockwork.FakeClock
	source   *source
	engines  []*replica.Replica
	services []*replica.Replica
	gateway  *Gateway
	server   *httptest.Server
	names    comfreyworks.HeaderNames
}

const events = 6

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock(), source: &source{position: 1}, names: comfreyworks.DefaultHeaderNames()}
	f.names.Reserved = []string{"Comfrey-Hold"}
	for i := range 2 {
		f.engines = append(f.engines, f.replica(t, "lm", i, events))
		f.services = append(f.services, f.replica(t, "orders", i, 0))
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
	f.gateway = New(Options{
		Settings: comfreyworks.GatewaySettings{
			ID: "g0", ReadyPath: "/ready", Headers: f.names,
			Bounds: comfreyworks.GatewayBounds{
				KeyRevocation: 5 * time.Second, StopGrace: 8 * time.Second, RetryRatio: 2, RetrySlack: 100, RetryWindow: 10 * time.Second,
			},
		},
		Declarations: f.source, Upstreams: f.source, Clock: f.clock, Logger: zap.NewNop(), Meter: meter.New(),
	})
	f.clock.Advance(f.gateway.options.Settings.Bounds.RetryWindow)
	f.server = httptest.NewServer(f.gateway.handler())
	t.Cleanup(f.server.Close)
	f.learn(t)
	return f
}

func (f *fixture) replica(t *testing.T, pool comfreyworks.Pool, i, events int) *replica.Replica {
	t.Helper()
	id := comfreyworks.InstanceID(fmt.Sprint(pool, "-", i))
	r := replica.New(replica.Options{ID: id, Headers: f.names, Events: events})
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	f.source.upstreams = append(f.source.upstreams, comfreyworks.Upstream{
		ID: id, Pool: pool, State: comfreyworks.InstanceLive,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": 1},
	})
	return r
}

// learn asks the sources once.
func (f *fixture) learn(t *testing.T) {
	t.Helper()
	assert.NilError(t, f.gateway.follower.Ask(context.Background()))
}

// request builds a request of the office.
func (f *fixture) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "api.example"
	r.Header.Set(f.names.RequestID, "r1")
	r.Header.Set(f.names.Key, "key-office")
	if strings.HasPrefix(path, "/review") || strings.HasPrefix(path, "/note") {
		r.Header.Set(f.names.Model, "oak")
		r.Header.Set(f.names.Tokens, "1460,80")
		r.Header.Set(f.names.Prefix, "5c1e:800,91bd:410,e440:250")
	}
	return r
}

// response is an answer that was read to its end.
type response struct {
	*http.Response
	body string
	// cut means that the answer broke off.
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

func wholeStream() string {
	var all strings.Builder
	for i := 1; i <= events; i++ {
		all.WriteString(replica.Event(i))
	}
	return all.String()
}

func TestPassedOnUnchanged(t *testing.T) {
	f := newFixture(t)
	r := f.request(t, http.MethodPost, "/book/a%2Fb/c?x=1&y=%20", "the body")
	r.Header.Set("X-Own", "1")
	for _, forged := range []string{f.names.Workspace, f.names.Target, f.names.CacheSalt, f.names.ImportFrom, f.names.Priority, f.names.ExpectedWeights, "Comfrey-Hold"} {
		r.Header.Set(forged, "forged")
	}
	answer := f.do(t, r)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Equal(t, answer.body, "answer to r1")
	assert.Equal(t, answer.Header.Get(f.names.RequestID), "r1")
	assert.Assert(t, answer.Header.Get(f.names.Proof) != "")
	runs := f.runs(f.services)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Target, "/book/a%2Fb/c?x=1&y=%20")
	assert.Equal(t, runs[0].Body, "the body")
	for name, want := range map[string]string{
		"X-Own": "1", f.names.Workspace: "office", f.names.Key: "", f.names.CacheSalt: "", f.names.ImportFrom: "",
		f.names.Priority: "", f.names.ExpectedWeights: "", "Comfrey-Hold": "", f.names.Deadline: "60000",
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, runs[0].Header.Get(name), want) })
	}
	t.Run("prompts bear their declaration, salt and weights", func(t *testing.T) {
		f.call(t, "/review/7")
		run := f.runs(f.engines)[0]
		assert.Equal(t, run.Header.Get(f.names.Prefix), "5c1e:800,91bd:410,e440:250")
		assert.Equal(t, run.Header.Get(f.names.Tokens), "1460,80")
		assert.Equal(t, run.Header.Get(f.names.CacheSalt), "shared/1")
		assert.Equal(t, run.Header.Get(f.names.ExpectedWeights), "1")
	})
	t.Run("an essential header cannot be declared hop-by-hop", func(t *testing.T) {
		r := f.request(t, http.MethodPost, "/book/1", "")
		r.Header.Set("Connection", "X-Own, "+f.names.RequestID)
		r.Header.Set("X-Own", "1")
		f.do(t, r)
		runs := f.runs(f.services)
		last := runs[len(runs)-1]
		assert.Equal(t, last.Header.Get(f.names.RequestID), "r1")
		assert.Equal(t, last.Header.Get("X-Own"), "")
	})
}

func TestRejected(t *testing.T) {
	f := newFixture(t)
	cases := map[string]struct {
		change func(r *http.Request)
		status int
	}{
		"unknown host":  {func(r *http.Request) { r.Host = "none.example" }, http.StatusNotFound},
		"unknown path":  {func(r *http.Request) { r.URL.Path = "/none/" }, http.StatusNotFound},
		"unknown key":   {func(r *http.Request) { r.Header.Set(f.names.Key, "none") }, http.StatusUnauthorized},
		"no key":        {func(r *http.Request) { r.Header.Del(f.names.Key) }, http.StatusUnauthorized},
		"no request ID": {func(r *http.Request) { r.Header.Del(f.names.RequestID) }, http.StatusBadRequest},
		"large body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.request(t, http.MethodPost, "/book/1", "text")
			c.change(r)
			answer := f.do(t, r)
			assert.Equal(t, answer.StatusCode, c.status)
			assert.Equal(t, answer.Header.Get(f.names.Proof), "")
		})
	}
	assert.Equal(t, len(f.runs(f.services)), 0)
	t.Run("public routes need no key", func(t *testing.T) {
		r := f.request(t, http.MethodGet, "/open/1", "")
		r.Header.Del(f.names.Key)
		assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
		assert.Equal(t, f.runs(f.services)[0].Header.Get(f.names.Workspace), "")
	})
}

func TestFaults(t *testing.T) {
	cases := map[string]struct {
		path   string
		fault  replica.Fault
		n      int
		status int
		runs   int
		cut    bool
	}{
		"book: busy goes on elsewhere":        {"/book/1", replica.FaultBusy, 1, 200, 1, false},
		"book: a reset may have run":          {"/book/1", replica.FaultReset, 1, 502, 1, false},
		"book: an answer cut off is none":     {"/book/1", replica.FaultCut, 1, 502, 1, false},
		"book: no proof is no answer":         {"/book/1", replica.FaultUnproven, 1, 502, 1, false},
		"book: a failure goes back":           {"/book/1", replica.FaultError, 1, 500, 1, false},
		"book: all busy is refused":           {"/book/1", replica.FaultBusy, 9, 503, 0, false},
		"look: a reset goes on elsewhere":     {"/look/1", replica.FaultReset, 1, 200, 2, false},
		"look: a failure goes on elsewhere":   {"/look/1", replica.FaultError, 1, 200, 2, false},
		"look: cut off goes on elsewhere":     {"/look/1", replica.FaultCut, 1, 200, 2, false},
		"review: cut off looks cut off":       {"/review/1", replica.FaultCut, 1, 200, 1, true},
		"review: torn looks cut off":          {"/review/1", replica.FaultTorn, 1, 200, 1, true},
		"review: a reset may have run":        {"/review/1", replica.FaultReset, 1, 502, 1, false},
		"note: cut off goes on elsewhere":     {"/note/1", replica.FaultCut, 1, 200, 2, false},
		"note: torn goes on elsewhere":        {"/note/1", replica.FaultTorn, 1, 200, 2, false},
		"note: cut off twice looks cut off":   {"/note/1", replica.FaultCut, 2, 200, 2, true},
		"note: a failure goes on elsewhere":   {"/note/1", replica.FaultError, 1, 200, 2, false},
		"review: nothing wrong at all":        {"/review/1", "", 0, 200, 1, false},
		"review: weights that have just gone": {"/review/1", "", 0, 200, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			replicas := append(append([]*replica.Replica{}, f.services...), f.engines...)
			f.failFirst(replicas, c.fault, c.n)
			if strings.Contains(name, "weights") {
				f.engines[0].SetWeights(2)
				f.engines[1].SetWeights(2)
			}
			answer := f.call(t, c.path)
			assert.Equal(t, answer.StatusCode, c.status, answer.body)
			assert.Equal(t, answer.cut, c.cut)
			assert.Equal(t, len(f.runs(replicas)), c.runs)
			if c.status == 200 && !c.cut && (strings.HasPrefix(c.path, "/review") || strings.HasPrefix(c.path, "/note")) {
				assert.Equal(t, answer.body, wholeStream())
			}
			if c.status == 503 {
				assert.Assert(t, answer.Header.Get("Retry-After") != "")
			}
		})
	}
}

// failFirst makes the first n requests fail, whichever replica gets them.
func (f *fixture) failFirst(replicas []*replica.Replica, fault replica.Fault, n int) {
	shared := &sync.Mutex{}
	left := n
	for _, r := range replicas {
		r.FailIf(func() replica.Fault {
			shared.Lock()
			defer shared.Unlock()
			if left == 0 {
				return ""
			}
			left--
			return fault
		})
	}
}

// TestCallerLeaves expects that the upstream learns of it.
func TestCallerLeaves(t *testing.T) {
	f := newFixture(t)
	for _, r := range f.services {
		r.Fail(replica.FaultHang, 1)
	}
	ctx, leave := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		resp, err := f.server.Client().Do(f.request(t, http.MethodGet, "/look/1", "").WithContext(ctx))
		if err == nil {
			return resp.Body.Close()
		}
		return nil
	})
	waitFor(t, func() bool { return len(f.runs(f.services)) == 1 })
	leave()
	assert.NilError(t, group.Wait())
	waitFor(t, func() bool { return f.runs(f.services)[0].Cancelled })
}

// waitFor waits for something that is bound to happen.
func waitFor(t *testing.T, happened func() bool) {
	t.Helper()
	for !happened() {
		time.Sleep(time.Millisecond)
	}
}

// TestKeysExpire cuts the gateway off from its sources: keys work only as long
// as they are proven, and nothing is said not to exist.
func TestKeysExpire(t *testing.T) {
	f := newFixture(t)
	f.source.change(func(s *source) { s.down = true })
	cases := []struct {
		name    string
		advance time.Duration
		path    string
		status  int
	}{
		{"fresh", 0, "/book/1", 200},
		{"still proven", 4 * time.Second, "/book/1", 200},
		{"unknown routes may be new", 0, "/none/1", 503},
		{"no longer proven", time.Second, "/book/1", 503},
		{"public routes go on", 0, "/open/1", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.clock.Advance(c.advance)
			assert.Equal(t, f.call(t, c.path).StatusCode, c.status)
		})
	}
	t.Run("not ready", func(t *testing.T) { assert.Equal(t, f.gateway.notReady(), "keys not proven") })
	t.Run("ready again", func(t *testing.T) {
		f.source.change(func(s *source) { s.down = false })
		f.learn(t)
		assert.Equal(t, f.gateway.notReady(), "")
		assert.Equal(t, f.call(t, "/book/1").StatusCode, http.StatusOK)
	})
	t.Run("a withdrawn key", func(t *testing.T) {
		f.source.change(func(s *source) { s.routing.Workspaces[0].Keys = nil })
		f.learn(t)
		assert.Equal(t, f.call(t, "/book/1").StatusCode, http.StatusUnauthorized)
	})
}

func TestNothingKnown(t *testing.T) {
	f := newFixture(t)
	fresh := New(f.gateway.options)
	server := httptest.NewServer(fresh.handler())
	defer server.Close()
	f.server = server
	for _, path := range []string{"/book/1", "/none/1"} {
		t.Run(path, func(t *testing.T) {
			assert.Equal(t, f.call(t, path).StatusCode, http.StatusServiceUnavailable)
		})
	}
	assert.Equal(t, fresh.notReady(), "no routing yet")
}

// TestSmuggled hides a second request in the first one's body.
func TestSmuggled(t *testing.T) {
	hidden := "POST /book/2 HTTP/1.1\r\nHost: api.example\r\nComfrey-Request-Id: r2\r\nComfrey-Key: key-office\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]string{
		"length and chunks": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":       "Content-Length: 0\r\nContent-Length: 200\r\n\r\n" + hidden,
		"body":              fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden,
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "POST /book/1 HTTP/1.1\r\nHost: api.example\r\nConnection: close\r\nComfrey-Request-Id: r1\r\nComfrey-Key: key-office\r\n"+rest)
			assert.NilError(t, err)
			_, err = io.ReadAll(bufio.NewReader(conn))
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			for _, run := range f.runs(f.services) {
				assert.Equal(t, run.ID, comfreyworks.RequestID("r1"))
				assert.Equal(t, run.Target, "/book/1")
			}
		})
	}
}

// TestRetryShare is the load of gateways that are stopped and started in turn:
// a new process must not spend again what its predecessor has spent.
func TestRetryShare(t *testing.T) {
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

// TestFollowers is the load of many gateways on few engines: no engine gets more
// followers than it bears, and each has some.
func TestFollowers(t *testing.T) {
	const gateways, readers = 30, 12
	f := newFixture(t)
	f.source.change(func(s *source) { s.routing.Pools[0].CacheReaders = readers })
	followers := make(map[comfreyworks.InstanceID]int)
	for i := range gateways {
		options := f.gateway.options
		options.Settings.ID = comfreyworks.InstanceID(fmt.Sprint("g", i))
		options.Settings.PeerListen = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
		g := New(options)
		assert.NilError(t, g.follower.Ask(context.Background()))
		for j := range gateways {
			g.peering.Answer(comfreyworks.GatewayState{Self: comfreyworks.GatewayPeer{
				ID:      comfreyworks.InstanceID(fmt.Sprint("g", j)),
				Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(j+1)),
			}})
		}
		for _, target := range g.engines() {
			followers[target.ID]++
		}
	}
	assert.Equal(t, len(followers), len(f.engines))
	for id, n := range followers {
		assert.Equal(t, n, 9, "%s", id)
	}
}

func TestCallerLimits(t *testing.T) {
	f := newFixture(t)
	f.source.change(func(s *source) {
		s.routing.Limits = comfreyworks.CallerLimits{HeaderBytes: 1000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	})
	f.learn(t)
	server := f.gateway.server(f.gateway.handler())
	f.gateway.limitCallers(server)
	assert.Equal(t, server.ReadHeaderTimeout, 3*time.Second)
	assert.Equal(t, server.IdleTimeout, 15*time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error { return serve(server, listener) })
	r := f.request(t, http.MethodPost, "/book/1", "")
	r.URL.Host = listener.Addr().String()
	r.Header.Set("X-Own", strings.Repeat("x", 10_000))
	assert.Equal(t, f.do(t, r).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	r.Header.Set("X-Own", "x")
	assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
	assert.NilError(t, server.Close())
	assert.NilError(t, group.Wait())
}

// TestFullLife starts a gateway on listeners, uses it and stops it.
func TestFullLife(t *testing.T) {
	f := newFixture(t)
	options := f.gateway.options
	options.Clock = clockwork.NewRealClock()
	options.Settings.Bounds.StopGrace = stopNotice + time.Second
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
	assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK, "still served while the balancer has not noticed")
	assert.NilError(t, group.Wait())
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

func TestLeaving(t *testing.T) {
	f := newFixture(t)
	f.gateway.leaving.Store(true)
	assert.Equal(t, f.gateway.notReady(), "leaving")
	answer := f.call(t, "/book/1")
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Assert(t, answer.Close, "the answer closes its connection")
}
