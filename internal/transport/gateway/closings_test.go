package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/protocol/listener"
	"comfreyworks/internal/standin/replica"
)

// TestHowCallersLeave guards against lines about abandoned requests that do not tell
// whether the caller left, and how, and against a caller that only stopped sending and gets
// neither an answer nor a refusal.
func TestHowCallersLeave(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		leave   func(*net.TCPConn)
		verdict string
		how     string
		written bool
	}{
		"closed":               {"/book/1", func(c *net.TCPConn) { _ = c.Close() }, "abandoned", "closed", false},
		"closed for sending":   {"/book/1", func(c *net.TCPConn) { _ = c.CloseWrite() }, "abandoned", "closed", false},
		"reset":                {"/book/1", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, "abandoned", "reset", false},
		"reset in the answer":  {"/review/1", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, "abandoned", "reset", true},
		"answer cut off by us": {"/review/1", nil, "broken", "none", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureBehind(t, func(r *replica.Replica) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					r.ServeHTTP(&slowWriter{w, 300 * time.Millisecond}, req)
				})
			})
			if c.leave == nil {
				f.failFirst(f.engines, replica.FaultTruncatedResponse, 10)
			}
			core, logs := observer.New(zap.InfoLevel)
			options := f.gateway.options
			options.Clock, options.Logger = clockwork.NewRealClock(), zap.New(core)
			options.Settings.Bounds.StopGrace = shutdownDelay + time.Second
			g := New(options)
			listeners := Listeners{Requests: listen(t), Ready: listen(t)}
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return g.Run(ctx, listeners) })
			waitFor(t, func() bool { return g.notReadyReason() == "" })
			conn, err := net.Dial("tcp", listeners.Requests.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, f.request(t, http.MethodPost, c.path, "text").Write(conn))
			if c.written {
				_, err = conn.Read(make([]byte, 1))
				assert.NilError(t, err)
			} else {
				waitFor(t, func() bool { return len(f.runs(f.services)) == 1 })
			}
			if c.leave != nil {
				c.leave(conn.(*net.TCPConn))
			}
			waitFor(t, func() bool { return logs.FilterMessage("request finished").Len() == 1 })
			fields := logs.FilterMessage("request finished").All()[0].ContextMap()
			assert.Equal(t, fields["verdict"], c.verdict)
			assert.Equal(t, fields["caller-left"], c.how)
			assert.Equal(t, fields["written"].(int64) > 0, c.written)
			if name == "closed for sending" {
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err, "neither an answer nor a refusal")
				assert.Equal(t, answer.StatusCode, http.StatusBadGateway)
				assert.Assert(t, answer.Close)
			}
			stop()
			assert.NilError(t, group.Wait())
		})
	}
}

// TestClosingsLog guards against a line for each of thousands of connections.
func TestClosingsLog(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	clock := clockwork.NewFakeClock()
	f := newFixture(t)
	c := closings{clock: clock, logger: zap.New(core), meter: f.gateway.options.Meter}
	addr := &net.TCPAddr{}
	for range 100 {
		c.record(listener.Closed{Reason: listener.ReasonIdle, Local: addr, Remote: addr, Unread: 1})
		c.record(listener.Closed{Reason: listener.ReasonIdle, Local: addr, Remote: addr})
	}
	assert.Equal(t, logs.Len(), maxLoggedClosings)
	clock.Advance(time.Second)
	c.record(listener.Closed{Reason: listener.ReasonUnanswered, Local: addr, Remote: addr})
	assert.Equal(t, logs.All()[maxLoggedClosings].ContextMap()["not-logged"], int64(100-maxLoggedClosings))
}
