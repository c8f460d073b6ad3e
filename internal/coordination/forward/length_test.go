package forward

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// declaredLengthSink is a recordingSink that, like an HTTP response, takes no more than
// the declared length. A shorter body looks cut off to the caller.
type declaredLengthSink struct {
	recordingSink
	length int64
}

// Begin implements Sink.
func (s *declaredLengthSink) Begin(status int, header http.Header, length int64) {
	s.recordingSink.Begin(status, header, length)
	s.length = length
}

// Write implements Sink.
func (s *declaredLengthSink) Write(p []byte) (int, error) {
	if s.length >= 0 && int64(s.body.Len()+len(p)) > s.length {
		return 0, http.ErrContentLength
	}
	return s.recordingSink.Write(p)
}

// withLength declares the length of a response's body.
func withLength(length int, r response) response {
	return func(ctx context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
		response, err := r(ctx, options)
		response.ContentLength = int64(length)
		return response, err
	}
}

// TestStreamOfDeclaredLength guards against declaring the length that one upstream
// declared for a stream that is passed on in another form or is continued by another
// upstream: the caller would take a whole stream for one that was cut off.
func TestStreamOfDeclaredLength(t *testing.T) {
	const comment, rest = ": comment\n\n", "id: 3\ndata: c\n\n"
	cases := map[string]struct {
		script []response
		body   string
	}{
		"repeats an event": {[]response{withLength(len(events)+len("id: 2\ndata: b\n\n")+len(rest), respondOK(events+"id: 2\ndata: b\n\n"+rest))}, events + rest},
		"resumed, longer": {[]response{
			withLength(len(events)+len(rest), respond(http.StatusOK, true, truncatedBody(events))), respondOK(comment + rest),
		}, events + comment + rest},
		"resumed, shorter": {[]response{
			withLength(len(events)+len(comment)+len(rest), respond(http.StatusOK, true, truncatedBody(events+comment))), respondOK(rest),
		}, events + rest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, sink := newFixture(c.script...), &declaredLengthSink{}
			outcome := f.forwarder.Forward(context.Background(), f.request(route(comfreyworks.RouteStream, 2, true)), sink)
			assertComplete(t, outcome, &sink.recordingSink, c.body)
			assert.Assert(t, sink.length < 0 || sink.length == int64(len(c.body)), "declared: %d", sink.length)
		})
	}
}
