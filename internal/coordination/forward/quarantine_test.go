package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/crashes"
)

// loseWith fails an exchange that may have run.
func loseWith(err error) response {
	return func(context.Context, comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
		return nil, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Err: err}
	}
}

// crash breaks the connection before the header of the answer.
var crash = loseWith(io.EOF)

// event returns an event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

// breakAfter sends an event, waits, sends a text and breaks the connection.
func (f *fixture) breakAfter(d time.Duration, text string) response {
	return func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
		return respond(http.StatusOK, true, func() io.Reader {
			return io.MultiReader(
				completeBody(event(1))(), waitingReader{func() { f.clock.Advance(d) }}, truncatedBody(text)(),
			)
		})(ctx, options)
	}
}

// waitingReader calls wait and is then at its end.
type waitingReader struct{ wait func() }

// Read implements io.Reader.
func (r waitingReader) Read([]byte) (int, error) {
	r.wait()
	return 0, io.EOF
}

// prompt forwards a request with the given parts, followed by one of its own.
func (f *fixture) prompt(ctx context.Context, route *comfreyworks.Route, ids ...string) Outcome {
	return f.promptOf(ctx, route, append(ids, fmt.Sprint("own", len(f.upstreams.sent)))...)
}

// promptOf forwards a request with exactly the given parts and a body of its own.
func (f *fixture) promptOf(ctx context.Context, route *comfreyworks.Route, ids ...string) Outcome {
	return f.sendBody(ctx, route, fmt.Sprint("body", len(f.upstreams.sent)), ids...)
}

// sendBody forwards a request with the given body and parts.
func (f *fixture) sendBody(ctx context.Context, route *comfreyworks.Route, body string, ids ...string) Outcome {
	request := f.request(route)
	request.Message.Body = []byte(body)
	request.Prompt = Prompt{Model: model}
	for _, id := range ids {
		request.Prompt.Parts = append(request.Prompt.Parts, comfreyworks.PromptPart{ID: id, Tokens: 100})
	}
	f.sink = &recordingSink{}
	outcome := f.forwarder.Forward(ctx, request, f.sink)
	f.clock.Advance(10 * time.Second)
	return outcome
}

// TestWhatCountsAsCrash guards against requests that are sent on and on although an
// engine ends under each of them, and against parts that are blamed for anything else.
func TestWhatCountsAsCrash(t *testing.T) {
	stream, plain := route(comfreyworks.RouteStream, 1, false), route(comfreyworks.RouteIdempotent, 1, false)
	f := newFixture()
	cases := map[string]struct {
		route    *comfreyworks.Route
		response response
		blames   bool
	}{
		"closed before the header":            {stream, crash, true},
		"reset before the header":             {stream, loseWith(fmt.Errorf("read: %w", syscall.ECONNRESET)), true},
		"reset while the request was sent":    {plain, loseWith(fmt.Errorf("write: %w", syscall.EPIPE)), true},
		"closed after the header":             {stream, respond(200, true, truncatedBody("")), true},
		"closed after the first event":        {stream, respond(200, true, truncatedBody(event(1))), true},
		"closed in a plain answer":            {plain, respond(200, true, truncatedBody("x")), true},
		"closed 499 ms after the only event":  {stream, f.breakAfter(soundAnswerTime-1, ""), true},
		"closed 500 ms after the only event":  {stream, f.breakAfter(soundAnswerTime, ""), false},
		"closed 500 ms after the first event": {stream, f.breakAfter(soundAnswerTime, event(2)), false},
		"not acknowledged":                    {stream, loseWith(os.NewSyscallError("read", syscall.ETIMEDOUT)), false},
		"an unknown error":                    {stream, lost, false},
		"an endless header":                   {stream, loseWith(fmt.Errorf("%w: %w", comfreyworks.ErrCutOff, io.EOF)), false},
		"not sent":                            {stream, notSent, false},
		"not run":                             {stream, busy, false},
		"rejected":                            {stream, failWith(comfreyworks.ExchangeNotRun, comfreyworks.NotRunRejected), false},
		"an answer without proof":             {stream, respond(200, false, truncatedBody("")), false},
		"a stream that ends in an event":      {stream, respondOK(event(1) + "id: 2\nda"), false},
		"a stream without events":             {stream, respondOK(""), false},
		"a complete stream":                   {stream, respondOK(event(1)), false},
		"an error":                            {plain, respond(500, true, completeBody("e")), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fresh := newFixture(c.response)
			f.clock = fresh.clock
			for range 5 {
				fresh.prompt(context.Background(), c.route, "5c1e", "91bd")
			}
			sent := len(fresh.upstreams.sent)
			outcome := fresh.prompt(context.Background(), c.route, "5c1e", "91bd")
			assert.Equal(t, outcome.Verdict == Quarantined, c.blames, "%s %s", outcome.Verdict, outcome.Reason)
			if c.blames {
				assert.Equal(t, sent, 3)
				assert.Equal(t, len(fresh.upstreams.sent), 3)
				assert.Equal(t, outcome.Part, "5c1e")
				assert.Equal(t, outcome.Reason, string(crashes.PromptPart)+reasonQuarantine)
			}
		})
	}
	t.Run("a caller that leaves", func(t *testing.T) {
		f := newFixture(neverRespond)
		for range 5 {
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(io.EOF)
			f.prompt(ctx, stream, "5c1e", "91bd")
		}
		assert.Equal(t, len(f.upstreams.sent), 5)
	})
}

// meetsGone fails an exchange with an upstream that had ended before: the host resets a
// connection that was used before.
func (f *fixture) meetsGone(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
	f.clock.Advance(20 * time.Millisecond)
	return nil, &comfreyworks.ExchangeError{Kind: comfreyworks.ExchangeLost, Reused: true, Err: fmt.Errorf("read: %w", syscall.ECONNRESET)}
}

// TestUpstreamsGone guards against requests that are given up as suspected, and parts that
// are refused, because one request after the other meets upstreams that have ended.
func TestUpstreamsGone(t *testing.T) {
	f := newFixture()
	f.upstreams.script = []response{f.meetsGone, f.meetsGone, respondOK(event(1)), f.meetsGone, f.meetsGone, respondOK(event(1))}
	core, logs := observer.New(zap.InfoLevel)
	f.forwarder.options.Logger = zap.New(core)
	for range 2 {
		assert.Equal(t, f.prompt(context.Background(), route(comfreyworks.RouteStream, 4, true), "5c1e", "91bd").Verdict, Delivered)
	}
	assert.Equal(t, len(f.upstreams.sent), 6)
	attempt := logs.FilterMessage("attempt finished").All()[0].ContextMap()
	assert.Equal(t, attempt["break"], string(crashes.Unread))
	assert.Equal(t, attempt["upstream-ended"], false)
}

// TestSoundPrompts guards against sound requests that are refused because they came at
// the same time, or share something, with those under which engines crash.
func TestSoundPrompts(t *testing.T) {
	stream := route(comfreyworks.RouteStream, 1, false)
	ok := respondOK(event(1))
	t.Run("an answer clears the parts that it shares", func(t *testing.T) {
		f := newFixture(crash, ok, crash, ok, crash, ok, crash, ok, ok)
		for range 3 {
			f.prompt(context.Background(), stream, "5c1e", "bad0", "91bd")
			assert.Equal(t, f.prompt(context.Background(), stream, "5c1e", "91bd").Verdict, Delivered)
		}
		outcome := f.prompt(context.Background(), stream, "5c1e", "bad0", "91bd")
		assert.Equal(t, outcome.Verdict, Quarantined)
		assert.Equal(t, outcome.Part, "bad0")
		assert.Equal(t, len(f.upstreams.sent), 6)
	})
	t.Run("an answer in between clears all parts", func(t *testing.T) {
		f := newFixture(crash, crash, ok, crash, crash, ok)
		for range 6 {
			f.prompt(context.Background(), stream, "5c1e", "91bd")
		}
		assert.Equal(t, len(f.upstreams.sent), 6)
	})
	t.Run("an error does not", func(t *testing.T) {
		f := newFixture(crash, crash, respond(500, true, completeBody("e")), crash)
		for range 6 {
			f.prompt(context.Background(), stream, "5c1e", "91bd")
		}
		assert.Equal(t, len(f.upstreams.sent), 4)
	})
	t.Run("a stream that goes on clears them before it ends", func(t *testing.T) {
		f := newFixture()
		f.upstreams.script = []response{crash, crash, f.breakAfter(soundAnswerTime, event(2)), crash, crash, ok}
		for range 6 {
			f.prompt(context.Background(), stream, "5c1e", "91bd")
		}
		assert.Equal(t, len(f.upstreams.sent), 6)
	})
	for name, parts := range map[string]func(i int) []string{
		"the last part is never blamed":   func(i int) []string { return []string{fmt.Sprint("part", i), "91bd"} },
		"nor is the only one":             func(int) []string { return []string{"91bd"} },
		"prompts without parts in common": func(i int) []string { return []string{fmt.Sprint("part", i), fmt.Sprint("own", i)} },
		"requests without a prompt":       func(int) []string { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(crash)
			for i := range 6 {
				f.promptOf(context.Background(), stream, parts(i)...)
			}
			assert.Equal(t, len(f.upstreams.sent), 6)
		})
	}
	t.Run("an isolated workspace cannot affect others", func(t *testing.T) {
		crew := &comfreyworks.WorkspaceKeys{Name: "crew", Isolated: true}
		assert.Assert(t, PartKey(crew, "5c1e") != PartKey(nil, "5c1e"))
	})
	t.Run("of a prompt with many parts a limited number is looked at", func(t *testing.T) {
		request := &Request{Prompt: Prompt{Parts: make([]comfreyworks.PromptPart, 10_000)}}
		assert.Equal(t, len(suspects(request, 1)), 1+maxPartSuspects)
	})
}

// TestRepeatedRequest guards against a request under which upstreams end and that callers
// send again and again: it must end three at most, and no other request is refused for it.
func TestRepeatedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		route *comfreyworks.Route
		parts []string
	}{
		"to a plain service": {route(comfreyworks.RouteIdempotent, 2, false), nil},
		"that may run once":  {route(comfreyworks.RouteNonIdempotent, 1, false), nil},
		"for a stream":       {route(comfreyworks.RouteStream, 2, true), []string{"91bd"}},
		"with shared parts":  {route(comfreyworks.RouteStream, 1, false), []string{"5c1e", "91bd", "own"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.upstreams.script = []response{crash, crash, crash, respondOK(event(1))}
			repeat := func() Outcome { return f.sendBody(context.Background(), c.route, "crashing", c.parts...) }
			for len(f.upstreams.sent) < 3 {
				repeat()
			}
			outcome := repeat()
			assert.Equal(t, outcome.Verdict, Quarantined)
			assert.Equal(t, outcome.Reason, string(crashes.WholeRequest)+reasonQuarantine)
			assert.Equal(t, outcome.Suspect, outcome.RequestKey)
			assert.Equal(t, outcome.Part, "")
			assert.Equal(t, len(f.upstreams.sent), 3)
			assert.Equal(t, f.sendBody(context.Background(), c.route, "sound", c.parts...).Verdict, Delivered)
			assert.Equal(t, repeat().RetryAfter, time.Duration(0))
			f.clock.Advance(time.Hour)
			assert.Equal(t, repeat().Verdict, Delivered)
			assert.Equal(t, repeat().Verdict, Delivered)
		})
	}
}

// TestEnginesPerRequest guards against one request that ends one engine after another:
// it must end two at most.
func TestEnginesPerRequest(t *testing.T) {
	afterEvent := respond(200, true, truncatedBody(event(1)))
	for name, c := range map[string]struct {
		route    *comfreyworks.Route
		response response
		verdict  Verdict
		sends    int
	}{
		"one attempt":               {route(comfreyworks.RouteStream, 1, false), crash, Failed, 1},
		"many attempts":             {route(comfreyworks.RouteIdempotent, 4, false), crash, Failed, 2},
		"a resumable stream":        {route(comfreyworks.RouteStream, 4, true), crash, Failed, 2},
		"one that has begun":        {route(comfreyworks.RouteStream, 4, true), afterEvent, Broken, 2},
		"without a crash, as often": {route(comfreyworks.RouteStream, 4, true), lost, Failed, 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(c.response)
			outcome := f.prompt(context.Background(), c.route, "5c1e", "91bd")
			assert.Equal(t, outcome.Verdict, c.verdict, outcome.Reason)
			assert.Equal(t, outcome.Sends, c.sends, outcome.Reason)
		})
	}
}

// TestRequestAfterCrash checks that a request is not sent again if an engine ended under
// its part before.
func TestRequestAfterCrash(t *testing.T) {
	f := newFixture(crash)
	f.prompt(context.Background(), route(comfreyworks.RouteStream, 1, false), "5c1e", "91bd")
	assert.Equal(t, f.prompt(context.Background(), route(comfreyworks.RouteStream, 4, true), "5c1e", "91bd").Sends, 1)
}

// TestQuarantineLog checks that operators are told which part is put under quarantine
// and when it is cleared.
func TestQuarantineLog(t *testing.T) {
	f := newFixture(crash, crash, crash, respondOK(event(1)))
	core, logs := observer.New(zap.InfoLevel)
	f.forwarder.options.Logger = zap.New(core)
	expect := func(message string) {
		t.Helper()
		f.prompt(context.Background(), route(comfreyworks.RouteStream, 1, false), "5c1e", "91bd")
		lines := logs.FilterMessage(message).TakeAll()
		assert.Assert(t, len(lines) > 0, message)
		fields := lines[len(lines)-1].ContextMap()
		assert.Equal(t, fields["part"], "5c1e")
		assert.Equal(t, fields["key"], FormatSuspectKey(PartKey(nil, "5c1e")))
	}
	for range 2 {
		f.prompt(context.Background(), route(comfreyworks.RouteStream, 1, false), "5c1e", "91bd")
	}
	expect("prompt part put under quarantine")
	f.clock.Advance(time.Hour)
	expect("prompt part cleared")
}

// TestSuspectedLog guards against requests that are given up as suspected without a word
// on the ends that they are blamed for.
func TestSuspectedLog(t *testing.T) {
	f := newFixture(crash)
	core, logs := observer.New(zap.InfoLevel)
	f.forwarder.options.Logger = zap.New(core)
	assert.Equal(t, f.prompt(context.Background(), route(comfreyworks.RouteStream, 4, true), "5c1e").Verdict, Failed)
	ended := make(map[any]bool)
	for _, attempt := range logs.FilterMessage("attempt finished").All() {
		assert.Equal(t, attempt.ContextMap()["break"], string(crashes.EndedUnder))
		ended[attempt.ContextMap()["end"]] = true
	}
	assert.Equal(t, len(ended), 2)
	suspects := logs.FilterMessage("request suspected").All()
	assert.Equal(t, len(suspects), 2, "the request and its part")
	for _, suspect := range suspects {
		ends := suspect.ContextMap()["ends"].([]any)
		assert.Equal(t, len(ends), len(ended))
		for _, end := range ends {
			assert.Assert(t, ended[end], end)
		}
	}
}

// TestClearedBetweenCrashes guards against a request that ends one engine after another
// because other requests clear its parts in between.
func TestClearedBetweenCrashes(t *testing.T) {
	f := newFixture()
	f.upstreams.script = []response{func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
		f.forwarder.options.Crashes.Lift(PartKey(nil, "5c1e"))
		f.forwarder.options.Crashes.Lift(PartKey(nil, "91bd"))
		return crash(ctx, options)
	}}
	outcome := f.prompt(context.Background(), route(comfreyworks.RouteStream, 4, true), "5c1e", "91bd")
	assert.Equal(t, outcome.Sends, 2, outcome.Reason)
}

// TestQuarantineBetweenAttempts checks the verdict on requests with a part that is put
// under quarantine while they are being forwarded.
func TestQuarantineBetweenAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		route   *comfreyworks.Route
		before  response
		verdict Verdict
	}{
		"nothing ran":       {route(comfreyworks.RouteStream, 2, true), busy, Quarantined},
		"it may have run":   {route(comfreyworks.RouteStream, 2, true), lost, Failed},
		"it has an event":   {route(comfreyworks.RouteStream, 2, true), respondOK(event(1) + "id: 2\nda"), Broken},
		"it may run once":   {route(comfreyworks.RouteNonIdempotent, 1, false), busy, Quarantined},
		"it ran before now": {route(comfreyworks.RouteNonIdempotent, 1, false), lost, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.upstreams.script = []response{func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
				f.forwarder.options.Crashes.Merge([]comfreyworks.CrashSuspicion{{Part: PartKey(nil, "91bd"), Crashes: 5}}, crashes.Remote)
				return c.before(ctx, options)
			}, respondOK(event(1))}
			outcome := f.prompt(context.Background(), c.route, "5c1e", "91bd")
			assert.Equal(t, outcome.Verdict, c.verdict, outcome.Reason)
			assert.Equal(t, len(f.upstreams.sent), 1)
		})
	}
	t.Run("a stream that is taken up is refused before its origin is looked for", func(t *testing.T) {
		f := newFixture()
		f.forwarder.options.Crashes.Merge([]comfreyworks.CrashSuspicion{{Part: PartKey(nil, "5c1e"), Crashes: 5}}, crashes.Remote)
		request := f.request(route(comfreyworks.RouteStream, 2, true))
		request.Prompt.Parts = []comfreyworks.PromptPart{{ID: "5c1e"}, {ID: "own"}}
		request.LastEventID, request.Pool = "3", "unknown"
		assert.Equal(t, f.forwarder.Forward(context.Background(), request, f.sink).Verdict, Quarantined)
	})
}
