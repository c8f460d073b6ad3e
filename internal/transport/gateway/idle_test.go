package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestIdleTimeoutFollowsRouting guards against closing a connection that its caller may
// reuse, because the idle timeout of an earlier routing is still applied.
func TestIdleTimeoutFollowsRouting(t *testing.T) {
	const short, long, idle = 400 * time.Millisecond, time.Minute, 800 * time.Millisecond
	for _, c := range []struct {
		name          string
		before, after time.Duration
		// used means that a request follows the change at once.
		used, open bool
	}{
		{"raised", short, long, true, true},
		{"raised while idle", short, long, false, true},
		{"lowered", long, short, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.source.change(func(s *memorySource) { s.routing.Limits.IdleTimeout = c.before })
			options := f.gateway.options
			options.Clock = clockwork.NewRealClock()
			options.Settings.Bounds.StopGrace = shutdownDelay + time.Second
			g := New(options)
			listeners := Listeners{Requests: listen(t), Ready: listen(t)}
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return g.Run(ctx, listeners) })
			waitFor(t, func() bool { return g.notReadyReason() == "" })
			conn, err := net.Dial("tcp", listeners.Requests.Addr().String())
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			request := func() error {
				if err := f.request(t, http.MethodPost, "/book/1", "text").Write(conn); err != nil {
					return err
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					return err
				}
				_, err = io.ReadAll(response.Body)
				return err
			}
			assert.NilError(t, request())
			f.source.change(func(s *memorySource) { s.routing.Limits.IdleTimeout = c.after })
			waitFor(t, func() bool {
				table, _ := g.catalog.Routing()
				return table.Limits().IdleTimeout == c.after
			})
			if c.used {
				assert.NilError(t, request())
			}
			time.Sleep(idle)
			assert.Equal(t, request() == nil, c.open)
			assert.NilError(t, conn.Close())
			stop()
			assert.NilError(t, group.Wait())
		})
	}
}

// TestIdleTimeoutIsAnnounced guards against closing a connection for which its caller still
// assumes an idle timeout that was in force when it was answered.
func TestIdleTimeoutIsAnnounced(t *testing.T) {
	const idle = 500 * time.Millisecond
	s := startStopping(t, 100*time.Millisecond, time.Second)
	limit := func(timeout time.Duration) {
		s.source.change(func(s *memorySource) { s.routing.Limits.IdleTimeout = timeout })
		waitFor(t, func() bool { return s.gateway.callerLimits().IdleTimeout == timeout })
	}
	limit(2 * time.Second)
	s.send(t, s.text(t, "/none/1"))
	assert.Equal(t, s.receive(t).Header.Get("Keep-Alive"), "timeout=1")
	limit(5 * time.Second)
	s.send(t, s.text(t, "/review/1"))
	stream, err := http.ReadResponse(s.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, stream.Header.Get("Keep-Alive"), "timeout=4")
	limit(idle / 5)
	_, err = io.ReadAll(stream.Body)
	assert.NilError(t, err)
	time.Sleep(idle)
	s.send(t, s.text(t, "/none/1"))
	assert.Equal(t, s.receive(t).Header.Get("Keep-Alive"), "", "less than a second cannot be announced")
}
