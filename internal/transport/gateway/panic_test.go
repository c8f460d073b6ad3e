package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/retrybudget"
)

// TestPanicIsAnswered guards against a panic that ends a request without an answer and
// without a refusal, although nothing had been written, or after which an answer that was
// cut off looks complete, or that nobody counts.
func TestPanicIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		// logged is the line that panics, if any.
		logged string
		fault  replica.Fault
		broken func(*fixture)
		path   string
		status int
		place  comfreyworks.Class
		// unwritable means that passing on the header of an answer panics.
		unwritable bool
	}{
		"before the request is forwarded": {broken: func(f *fixture) {
			f.source.change(func(s *memorySource) { s.routing.Workspaces[0].Limit.Rate = 1 })
			f.gateway.usage.limiter = nil
		}, path: "/book/1", status: http.StatusServiceUnavailable, place: "request"},
		"while it is forwarded": {broken: func(f *fixture) {
			f.gateway.forwarder = forward.New(forward.Options{Clock: f.clock, RetryLimit: func() retrybudget.Limit { panic("limit") }})
		}, path: "/book/1", status: http.StatusBadGateway, place: "request"},
		"while the answer is begun":    {unwritable: true, path: "/book/1", status: http.StatusBadGateway, place: "request"},
		"before the answer":            {logged: "attempt finished", fault: replica.FaultReset, path: "/book/1", status: http.StatusBadGateway, place: "request"},
		"when a refusal is recorded":   {logged: "request finished", fault: replica.FaultBusy, path: "/book/1", status: http.StatusServiceUnavailable, place: "record"},
		"when an answer is recorded":   {logged: "request finished", path: "/book/1", status: http.StatusOK, place: "record"},
		"when a rejection is recorded": {logged: "request rejected", path: "/none/1", status: http.StatusNotFound, place: "record"},
		"after a part of the answer":   {logged: "attempt finished", path: "/review/1", status: 0, place: "request"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			options := f.gateway.options
			options.Faults = nil
			options.Logger = zap.NewNop().WithOptions(zap.WrapCore(func(zapcore.Core) zapcore.Core { return panickingCore{c.logged} }))
			f.gateway = New(options)
			handler := f.gateway.requestHandler()
			f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.unwritable {
					w = &panickingWriter{ResponseWriter: w}
				}
				handler.ServeHTTP(w, r)
			}))
			defer f.server.Close()
			if c.broken != nil {
				c.broken(f)
			}
			f.refresh(t)
			f.failFirst(f.services, c.fault, 10)
			answer := f.call(t, c.path)
			assert.Equal(t, answer.cut, c.status == 0)
			if c.status != 0 {
				assert.Equal(t, answer.StatusCode, c.status)
				assert.Equal(t, answer.Header.Get(f.names.Digest) != "", c.status == http.StatusOK, "the digest of an upstream")
			}
			waitFor(t, func() bool {
				return options.Meter.Counter("comfrey_panics_total", meter.Labels{Class: c.place}) == 1
			})
		})
	}
}

// panickingWriter panics when a header with status 200 is written.
type panickingWriter struct{ http.ResponseWriter }

func (w *panickingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *panickingWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		panic("write header")
	}
	w.ResponseWriter.WriteHeader(status)
}

// panickingCore panics when a line is logged.
type panickingCore struct{ message string }

func (c panickingCore) Enabled(zapcore.Level) bool        { return true }
func (c panickingCore) With([]zapcore.Field) zapcore.Core { return c }
func (c panickingCore) Sync() error                       { return nil }

func (c panickingCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Message == c.message {
		panic(entry.Message)
	}
	return checked
}

func (c panickingCore) Write(zapcore.Entry, []zapcore.Field) error { return nil }
