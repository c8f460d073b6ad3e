package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// endlessReader repeats a text. After limit bytes it ends with an error, so that a
// reader without a bound fails the test instead of never returning.
type endlessReader struct {
	text  string
	limit int
	read  int
	// beforeRead is called before each read; an error from it ends the text.
	beforeRead func() error
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	if r.beforeRead != nil {
		if err := r.beforeRead(); err != nil {
			return 0, err
		}
	}
	if r.read >= r.limit {
		return 0, io.ErrUnexpectedEOF
	}
	p = p[:min(len(p), len(r.text))]
	offset := r.read % len(r.text)
	n := copy(p, r.text[offset:])
	r.read += n
	return n, nil
}

// respondEndlessly responds with a start and then with the reader's text.
func respondEndlessly(start string, endless *endlessReader) response {
	return respond(http.StatusOK, true, func() io.Reader { return io.MultiReader(strings.NewReader(start), endless) })
}

// TestEndlessStream guards against relaying or waiting for a stream that goes on
// without any new event: it must be given up, and continue elsewhere if the route
// allows that.
func TestEndlessStream(t *testing.T) {
	once := route(comfreyworks.RouteStream, 2, false)
	resumable := route(comfreyworks.RouteStream, 2, true)
	rest := "id: 3\ndata: c\n\n"
	cases := map[string]struct {
		route   *comfreyworks.Route
		start   string
		text    string
		verdict Verdict
		body    string
	}{
		"comments":                          {once, "", ": x\n\n", Failed, ""},
		"comments, sent elsewhere":          {resumable, "", ": x\n\n", Delivered, rest},
		"comments after events":             {once, events, ": x\n\n", Broken, events},
		"comments after events, resumed":    {resumable, events, ": x\n\n", Delivered, events + rest},
		"empty lines, resumed":              {resumable, events, "\n", Delivered, events + rest},
		"empty lines that end with CRLF":    {resumable, events, "\r\n", Delivered, events + rest},
		"one event again and again":         {resumable, events, "id: 2\ndata: b\n\n", Delivered, events + rest},
		"earlier events again and again":    {resumable, events, events, Delivered, events + rest},
		"bytes without the end of an event": {resumable, events, "x", Delivered, events + rest},
		"lines without the end of an event": {resumable, events, "data: x\n", Delivered, events + rest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endless := &endlessReader{text: c.text, limit: 3 * maxEventBytes}
			f := newFixture(respondEndlessly(c.start, endless), respondOK(rest))
			outcome := f.forward(c.route)
			assert.Equal(t, outcome.Verdict, c.verdict, outcome.Reason)
			assert.Assert(t, f.sink.body.String() == c.body, "got %d bytes", f.sink.body.Len())
			assert.Assert(t, endless.read <= 2*maxEventBytes, "%d bytes were read", endless.read)
		})
	}
	t.Run("events without an ID", func(t *testing.T) {
		endless := &endlessReader{text: "data: x\n\n", limit: 3 * maxEventBytes}
		f := newFixture(respondEndlessly(events, endless))
		assert.Equal(t, f.forward(once).Verdict, Broken)
		assert.Assert(t, endless.read <= 2*maxEventBytes, "%d bytes were read", endless.read)
	})
}

// TestStreamWithoutProgress guards against bytes that arrive in time but bring no new
// event: they must not restart the time in which the next event must arrive.
func TestStreamWithoutProgress(t *testing.T) {
	for name, text := range map[string]string{"comments": ": x\n\n", "events without an ID": "data: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			stopped := false
			f = newFixture(func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
				reads := 0
				endless := &endlessReader{text: text, limit: 1000 * len(text), beforeRead: func() error {
					if reads++; reads <= 20 {
						f.clock.Advance(100 * time.Millisecond)
					} else {
						// Lets the timer's function run.
						time.Sleep(time.Millisecond)
					}
					err := ctx.Err()
					stopped = err != nil
					return err
				}}
				return respondEndlessly(events, endless)(ctx, options)
			}, respondOK("id: 3\ndata: c\n\n"))
			outcome := f.forward(route(comfreyworks.RouteStream, 2, true))
			assert.Equal(t, outcome.Verdict, Delivered, outcome.Reason)
			assert.Assert(t, stopped, "the stream was read to its end")
		})
	}
}

// TestLongStream guards against cutting a sound stream: neither its length, nor
// comments between its events, nor the repetition of all events that were delivered
// before may end it.
func TestLongStream(t *testing.T) {
	long, half := longStream(40), longStream(20)
	assert.Assert(t, len(half) > 4*maxEventBytes)
	cases := map[string]struct {
		script []response
		body   string
	}{
		"long":                             {[]response{respondOK(long)}, long},
		"resumed from its first event":     {[]response{respond(http.StatusOK, true, truncatedBody(half)), respondOK(long)}, long},
		"an empty line at the end":         {[]response{respondOK(events + "\n")}, events},
		"comments before and after events": {[]response{respondOK(": a\n\n" + events + ": b\n\n")}, ": a\n\n" + events + ": b\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(c.script...)
			outcome := f.forward(route(comfreyworks.RouteStream, 2, true))
			assert.Equal(t, outcome.Verdict, Delivered, outcome.Reason)
			assert.Assert(t, f.sink.body.String() == c.body)
		})
	}
}

// longStream returns a stream of n events of a quarter of the maximum size each.
func longStream(n int) string {
	var all strings.Builder
	for i := range n {
		all.WriteString("id: " + strconv.Itoa(i+1) + "\ndata: " + strings.Repeat("x", maxEventBytes/4) + "\n\n")
	}
	return all.String()
}

// TestEndlessBody guards against relaying an answer of unknown length without end, and
// against reading on after a header that makes the answer worthless.
func TestEndlessBody(t *testing.T) {
	once := route(comfreyworks.RouteNonIdempotent, 1, false)
	repeatable := route(comfreyworks.RouteIdempotent, 2, false)
	t.Run("of unknown length", func(t *testing.T) {
		endless := &endlessReader{text: strings.Repeat("x", 32<<10), limit: 2 * maxAnswerBytes}
		f := newFixture(respondEndlessly("", endless))
		outcome := f.forwarder.Forward(context.Background(), f.request(once), discardSink{})
		assert.Equal(t, outcome.Verdict, Broken)
		assert.Assert(t, endless.read <= maxAnswerBytes, "%d bytes were read", endless.read)
	})
	for name, c := range map[string]struct {
		route   *comfreyworks.Route
		verdict Verdict
	}{"without a digest": {once, Failed}, "without a digest, sent elsewhere": {repeatable, Delivered}} {
		t.Run(name, func(t *testing.T) {
			endless := &endlessReader{text: "x", limit: maxBufferedBytes}
			f := newFixture(respond(http.StatusOK, false, func() io.Reader { return endless }), respondOK("x"))
			assert.Equal(t, f.forward(c.route).Verdict, c.verdict)
			assert.Equal(t, endless.read, 0)
		})
	}
}

// discardSink receives answers of any length.
type discardSink struct{}

// Begin implements Sink.
func (discardSink) Begin(int, http.Header, int64) {}

// Write implements Sink.
func (discardSink) Write(p []byte) (int, error) { return len(p), nil }
