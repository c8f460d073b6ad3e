package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/retrybudget"
)

const (
	pool  = comfreyworks.Pool("lm")
	model = comfreyworks.Model("oak")
)

// fakeUpstreams answers exchanges by a script, one step a send.
type fakeUpstreams struct {
	script []func(ctx context.Context, i comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error)
	sent   []comfreyworks.AttemptOptions
}

// Exchange implements comfreyworks.Exchanger.
func (u *fakeUpstreams) Exchange(ctx context.Context, _ *comfreyworks.ForwardedRequest, i comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
	u.sent = append(u.sent, i)
	return u.script[min(len(u.sent), len(u.script))-1](ctx, i)
}

type action = func(ctx context.Context, i comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error)

func answer(status int, proven bool, body func() io.Reader) action {
	return func(context.Context, comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
		return &comfreyworks.UpstreamResponse{Status: status, HasDigest: proven, ContentLength: -1, Header: http.Header{}, Body: io.NopCloser(body())}, nil
	}
}

func ok(body string) action { return answer(http.StatusOK, true, text(body)) }

// text is a whole body.
func text(body string) func() io.Reader {
	return func() io.Reader { return strings.NewReader(body) }
}

// cut is a body that ends with an error.
func cut(body string) func() io.Reader {
	return func() io.Reader { return io.MultiReader(strings.NewReader(body), failing{}) }
}

type failing struct{}

// Read implements io.Reader.
func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func fails(kind comfreyworks.ExchangeKind, reason comfreyworks.NotRunReason) action {
	return func(context.Context, comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
		return nil, &comfreyworks.ExchangeError{Kind: kind, Reason: reason}
	}
}

var (
	lost    = fails(comfreyworks.ExchangeLost, "")
	notSent = fails(comfreyworks.ExchangeNotSent, "")
	busy    = fails(comfreyworks.ExchangeNotRun, comfreyworks.NotRunBusy)
)

// silent answers nothing until it is given up.
func silent(ctx context.Context, _ comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
	<-ctx.Done()
	return nil, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Err: context.Cause(ctx)}
}

// recorder is a sink that keeps everything.
type recorder struct {
	status int
	body   strings.Builder
}

// Begin implements Sink.
func (r *recorder) Begin(status int, _ http.Header, _ int64) { r.status = status }

// Write implements Sink.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

type fixture struct {
	clock     *clockwork.FakeClock
	catalog   *catalog.Catalog
	upstreams *fakeUpstreams
	forwarder *Forwarder
	sink      *recorder
}

func newFixture(script ...action) *fixture {
	f := &fixture{clock: clockwork.NewFakeClockAt(time.Now()), upstreams: &fakeUpstreams{script: script}, sink: &recorder{}}
	f.catalog = catalog.New(f.clock)
	var present []comfreyworks.Upstream
	for _, id := range []comfreyworks.InstanceID{"a", "b", "c"} {
		present = append(present, comfreyworks.Upstream{
			ID: id, Pool: pool, State: comfreyworks.InstanceLive,
			Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{model: 3},
		})
	}
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Present: present, Next: 1}, f.clock.Now())
	f.forwarder = New(Options{
		Catalog: f.catalog,
		Balancer: balance.New(balance.Options{
			Catalog: f.catalog, Holdings: holdings.New(), Clock: f.clock,
			Placer: placement.Comfrey{RecomputeWeight: placement.DefaultRecomputeWeight},
		}),
		Exchanger: f.upstreams, Clock: f.clock, Logger: zap.NewNop(),
		RetryLimit: func() retrybudget.Limit {
			return retrybudget.Limit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
		},
	})
	return f
}

func route(kind comfreyworks.RouteKind, attempts int, resumable bool) *comfreyworks.Route {
	return &comfreyworks.Route{
		Name: "r", Kind: kind, MaxAttempts: attempts, Resumable: resumable, Timeout: time.Minute,
		Objective: 300 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
	}
}

func (f *fixture) request(route *comfreyworks.Route) *Request {
	return &Request{
		Message: &comfreyworks.ForwardedRequest{ID: "r1", Method: http.MethodPost}, Route: route, Pool: pool,
		Received: f.clock.Now(), Deadline: f.clock.Now().Add(route.Timeout),
	}
}

func (f *fixture) forward(route *comfreyworks.Route) Outcome {
	return f.forwarder.Forward(context.Background(), f.request(route), f.sink)
}

// TestVerdicts goes through what an upstream may do to each kind of request.
func TestVerdicts(t *testing.T) {
	once := route(comfreyworks.RouteNonIdempotent, 1, false)
	repeatable := route(comfreyworks.RouteIdempotent, 2, false)
	cases := map[string]struct {
		route       *comfreyworks.Route
		script      []action
		verdict     Verdict
		sends, runs int
		body        string
	}{
		"answered":                                   {once, []action{ok("x")}, Delivered, 1, 1, "x"},
		"a failure goes back unchanged":              {once, []action{answer(500, true, text("e"))}, Delivered, 1, 1, "e"},
		"lost may have run":                          {once, []action{lost}, Failed, 1, 1, ""},
		"no proof is no answer":                      {once, []action{answer(200, false, text("x"))}, Failed, 1, 1, ""},
		"cut off is no answer":                       {once, []action{answer(200, true, cut("x"))}, Failed, 1, 1, ""},
		"not run goes on elsewhere":                  {once, []action{busy, ok("x")}, Delivered, 2, 1, "x"},
		"not sent goes on elsewhere":                 {once, []action{notSent, ok("x")}, Delivered, 2, 1, "x"},
		"lost after not run is no refusal":           {once, []action{busy, lost}, Failed, 2, 1, ""},
		"never run is a refusal":                     {once, []action{busy}, Refused, maxSends, 0, ""},
		"repeatable: lost goes on elsewhere":         {repeatable, []action{lost, ok("x")}, Delivered, 2, 2, "x"},
		"repeatable: a failure goes on elsewhere":    {repeatable, []action{answer(500, true, text("e")), ok("x")}, Delivered, 2, 2, "x"},
		"repeatable: the last failure goes back":     {repeatable, []action{answer(500, true, text("e"))}, Delivered, 2, 2, "e"},
		"repeatable: runs are bounded":               {repeatable, []action{lost}, Failed, 2, 2, ""},
		"repeatable: run before is no refusal":       {repeatable, []action{lost, busy}, Failed, 4, 1, ""},
		"repeatable: cut off goes on elsewhere":      {repeatable, []action{answer(200, true, cut("x")), ok("y")}, Delivered, 2, 2, "y"},
		"repeatable: client errors are not repeated": {repeatable, []action{answer(404, true, text("n"))}, Delivered, 1, 1, "n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(c.script...)
			outcome := f.forward(c.route)
			assert.Equal(t, outcome.Verdict, c.verdict, outcome.Reason)
			assert.Equal(t, outcome.Sends, c.sends, outcome.Reason)
			assert.Equal(t, outcome.Runs, c.runs)
			assert.Equal(t, f.sink.body.String(), c.body)
		})
	}
}

func TestNoUpstream(t *testing.T) {
	f := newFixture(ok("x"))
	f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Whole: true, Next: 2}, f.clock.Now())
	outcome := f.forward(route(comfreyworks.RouteNonIdempotent, 1, false))
	assert.Equal(t, outcome.Verdict, Refused)
	assert.Assert(t, outcome.RetryAfter > 0)
	assert.Equal(t, len(f.upstreams.sent), 0)
}

// TestBudget answers nothing but "lost": without a budget every request would be
// sent twice.
func TestBudget(t *testing.T) {
	f := newFixture(lost)
	const requests = 200
	for range requests {
		f.forward(route(comfreyworks.RouteIdempotent, 2, false))
	}
	repeats := len(f.upstreams.sent) - requests
	assert.Assert(t, repeats <= requests/5+10, "%d", repeats)
	assert.Assert(t, repeats > requests/10, "%d", repeats)
}

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

func TestStreams(t *testing.T) {
	resumable := route(comfreyworks.RouteStream, 2, true)
	once := route(comfreyworks.RouteStream, 2, false)
	cases := map[string]struct {
		route   *comfreyworks.Route
		script  []action
		verdict Verdict
		sends   int
		body    string
	}{
		"complete":                        {once, []action{ok(events)}, Delivered, 1, events},
		"ended within an event":           {once, []action{ok(events + "id: 3\ndata")}, Broken, 1, events},
		"broken off":                      {once, []action{answer(200, true, cut(events+"id: 3\n"))}, Broken, 1, events},
		"broken off before any event":     {once, []action{answer(200, true, cut("id: 1\n"))}, Failed, 1, ""},
		"empty":                           {once, []action{ok("")}, Failed, 1, ""},
		"lost":                            {once, []action{lost}, Failed, 1, ""},
		"resumed":                         {resumable, []action{answer(200, true, cut(events)), ok("id: 3\ndata: c\n\n")}, Delivered, 2, events + "id: 3\ndata: c\n\n"},
		"resumed by one that starts over": {resumable, []action{answer(200, true, cut(events)), ok(events + "id: 3\ndata: c\n\n")}, Delivered, 2, events + "id: 3\ndata: c\n\n"},
		"resumed and failed":              {resumable, []action{answer(200, true, cut(events)), answer(500, true, text("e"))}, Broken, 2, events},
		"resumed and refused":             {resumable, []action{answer(200, true, cut(events)), busy}, Broken, 4, events},
		"broken twice":                    {resumable, []action{answer(200, true, cut(events)), answer(200, true, cut("id: 3\n"))}, Broken, 2, events},
		"lines that end with a return":    {once, []action{ok("id: 1\r\ndata: a\r\n\r\n")}, Delivered, 1, "id: 1\r\ndata: a\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(c.script...)
			outcome := f.forward(c.route)
			assert.Equal(t, outcome.Verdict, c.verdict, outcome.Reason)
			assert.Equal(t, outcome.Sends, c.sends)
			assert.Equal(t, f.sink.body.String(), c.body)
		})
	}
	t.Run("resumes behind the last event delivered", func(t *testing.T) {
		f := newFixture(answer(200, true, cut(events)), ok("id: 3\ndata: c\n\n"))
		f.forward(resumable)
		assert.Equal(t, f.upstreams.sent[1].LastEventID, "2")
		assert.Assert(t, f.upstreams.sent[0].Upstream.ID != f.upstreams.sent[1].Upstream.ID)
	})
}

// TestSilence lets an upstream answer nothing: a request that may run again goes
// elsewhere, another one waits until its deadline.
func TestSilence(t *testing.T) {
	run := func(t *testing.T, f *fixture, route *comfreyworks.Route, advance time.Duration) Outcome {
		var outcome Outcome
		var group errgroup.Group
		group.Go(func() error {
			outcome = f.forward(route)
			return nil
		})
		assert.NilError(t, f.clock.BlockUntilContext(context.Background(), 1))
		f.clock.Advance(advance)
		assert.NilError(t, group.Wait())
		return outcome
	}
	t.Run("repeatable", func(t *testing.T) {
		f := newFixture(silent, ok("x"))
		outcome := run(t, f, route(comfreyworks.RouteIdempotent, 2, false), 600*time.Millisecond)
		assert.Equal(t, outcome.Verdict, Delivered)
		assert.Equal(t, outcome.Runs, 2)
	})
	t.Run("once", func(t *testing.T) {
		f := newFixture(silent)
		request := f.request(route(comfreyworks.RouteNonIdempotent, 1, false))
		request.Deadline = f.clock.Now().Add(20 * time.Millisecond)
		outcome := f.forwarder.Forward(context.Background(), request, f.sink)
		assert.Equal(t, outcome.Verdict, TimedOut)
		assert.Equal(t, outcome.Sends, 1)
	})
	t.Run("the caller leaves", func(t *testing.T) {
		f := newFixture(silent)
		ctx, leave := context.WithCancel(context.Background())
		leave()
		outcome := f.forwarder.Forward(ctx, f.request(route(comfreyworks.RouteIdempotent, 2, false)), f.sink)
		assert.Equal(t, outcome.Verdict, Abandoned)
		assert.Equal(t, outcome.Sends, 1)
	})
}

// TestPatience is the load of a burst: requests that wait in a queue must not be
// sent a second time for that.
func TestPatience(t *testing.T) {
	cases := map[string]struct {
		route *comfreyworks.Route
		wait  time.Duration
		want  time.Duration
	}{
		"idle upstream":        {route(comfreyworks.RouteIdempotent, 2, false), 0, 600 * time.Millisecond},
		"with a queue":         {route(comfreyworks.RouteIdempotent, 2, false), 2 * time.Second, 4600 * time.Millisecond},
		"may not run again":    {route(comfreyworks.RouteNonIdempotent, 2, false), 0, 0},
		"no other run allowed": {route(comfreyworks.RouteIdempotent, 1, false), 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			a := &attempt{journey: &journey{Forwarder: f.forwarder, request: f.request(c.route)}, pick: &balance.Pick{Wait: c.wait}}
			assert.Equal(t, a.patience(), c.want)
		})
	}
}

func TestInstructions(t *testing.T) {
	f := newFixture(ok("x"))
	request := f.request(route(comfreyworks.RouteNonIdempotent, 1, false))
	request.Route.Priority = 2
	request.Workspace = &comfreyworks.WorkspaceKeys{Name: "office", Priority: -1, Isolated: true}
	request.Prompt = Prompt{Model: model, Parts: []comfreyworks.PromptPart{{ID: "guide", Tokens: 100}, {ID: "own", Tokens: 10}}, Tokens: 110}
	f.forwarder.Forward(context.Background(), request, f.sink)
	sent := f.upstreams.sent[0]
	assert.Equal(t, sent.Workspace, comfreyworks.Workspace("office"))
	assert.Equal(t, sent.ExpectedWeights, comfreyworks.WeightsRevision(3))
	assert.Equal(t, sent.CacheSalt, "workspace:office/3")
	assert.Equal(t, sent.Priority, 2)
	assert.Equal(t, sent.Remaining, time.Minute)
	t.Run("the workspace's priority goes first", func(t *testing.T) {
		request.Workspace.Priority = 0
		f.forwarder.Forward(context.Background(), request, f.sink)
		assert.Equal(t, f.upstreams.sent[1].Priority, 0)
	})
	t.Run("workspaces that are not isolated share", func(t *testing.T) {
		request.Workspace.Isolated = false
		f.forwarder.Forward(context.Background(), request, f.sink)
		assert.Equal(t, f.upstreams.sent[2].CacheSalt, "shared/3")
	})
	t.Run("no model, no weights", func(t *testing.T) {
		request.Prompt = Prompt{}
		f.forwarder.Forward(context.Background(), request, f.sink)
		assert.Equal(t, f.upstreams.sent[3].CacheSalt, "")
		assert.Equal(t, f.upstreams.sent[3].Priority, -1)
	})
}

func TestExchangeErrorIsWrapped(t *testing.T) {
	cause := errors.New("cause")
	assert.ErrorIs(t, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Err: cause}, cause)
}
