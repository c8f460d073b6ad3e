package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/state/enginepace"
	"comfreyworks/internal/state/holdings"
)

// pacedEvents is a body of events that arrive at intervals. The last one arrives early.
type pacedEvents struct {
	clock    *clockwork.FakeClock
	interval time.Duration
	sent, n  int
}

// Read implements io.Reader.
func (e *pacedEvents) Read(p []byte) (int, error) {
	switch e.sent++; {
	case e.sent > e.n:
		return 0, io.EOF
	case e.sent == e.n:
		e.clock.Advance(e.interval / 10)
	default:
		e.clock.Advance(e.interval)
	}
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", e.sent)), nil
}

// TestPaceOfStreams guards against engines whose speed is not measured by the streams
// that a gateway relays, or is measured by what the caller or the last event causes.
func TestPaceOfStreams(t *testing.T) {
	intervals := map[comfreyworks.InstanceID]time.Duration{"a": 40 * time.Millisecond, "b": 24 * time.Millisecond, "c": 24 * time.Millisecond}
	for name, sink := range map[string]func(f *fixture) Sink{
		"reading":        func(f *fixture) Sink { return f.sink },
		"reading slowly": func(f *fixture) Sink { return &slowSink{clock: f.clock} },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(nil)
			pace := enginepace.New(enginepace.Options{Clock: f.clock})
			f.forwarder.options.Balancer = balance.New(balance.Options{
				Catalog: f.catalog, Holdings: holdings.New(), Clock: f.clock, Pace: pace,
				Policy: &placement.RoundRobin{},
			})
			f.upstreams.script[0] = func(_ context.Context, options comfreyworks.AttemptOptions) (*comfreyworks.UpstreamResponse, error) {
				body := &pacedEvents{clock: f.clock, interval: intervals[options.Upstream.ID], n: 14}
				return &comfreyworks.UpstreamResponse{Status: http.StatusOK, HasDigest: true, ContentLength: -1, Header: http.Header{}, Body: io.NopCloser(body)}, nil
			}
			for range 24 {
				request := f.request(route(comfreyworks.RouteStream, 1, false))
				request.Prompt = Prompt{Model: model, Tokens: 100}
				outcome := f.forwarder.Forward(context.Background(), request, sink(f))
				assert.Equal(t, outcome.Verdict, Delivered)
			}
			for _, engine := range f.catalog.Upstreams(pool) {
				got := pace.Pace(&engine).Decode
				if name == "reading" && engine.ID == "a" {
					assert.Assert(t, got > 0.57 && got < 0.63, "%s: %v", engine.ID, got)
					assert.Assert(t, pace.Gaps(&engine).Used > 0.08 && pace.Gaps(&engine).Missed == 0)
				} else {
					assert.Equal(t, got, 1.0, "%s", engine.ID)
				}
			}
		})
	}
}
