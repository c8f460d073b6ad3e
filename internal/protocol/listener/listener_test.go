package listener

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// TestIdleConnectionsAreClosed guards against a stop that waits for callers who keep
// connections open that they do not use.
func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, idle := range []string{"before the stop", "after the stop", "never used"} {
		t.Run(idle, func(t *testing.T) {
			began, finish := make(chan struct{}), make(chan struct{})
			server := &http.Server{IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = http.NewResponseController(w).Flush()
				close(began)
				<-finish
			})}
			callers := New(listen(t), func() Limits { return Limits{IdleTimeout: time.Minute} })
			var group errgroup.Group
			group.Go(func() error {
				return callers.Serve(server)
			})
			conn, err := net.Dial("tcp", callers.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			if idle == "never used" {
				waitFor(t, func() bool { return callers.count(http.StateNew) == 1 })
			} else {
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: api.example\r\n\r\n")
				assert.NilError(t, err)
				<-began
			}
			if idle == "before the stop" {
				close(finish)
				waitFor(t, func() bool { return callers.count(http.StateIdle) == 1 })
			}
			assert.NilError(t, callers.Close())
			assert.NilError(t, group.Wait())
			drained := callers.closeIdle()
			if idle == "after the stop" {
				assert.Equal(t, callers.count(http.StateActive), 1)
				close(finish)
			}
			assert.Assert(t, isClosedWithin(drained, 10*time.Second), "the connection stays open")
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, strings.HasPrefix(string(answer), "HTTP/1.1 200"), idle != "never used")
		})
	}
}

// count returns the number of connections in a state.
func (l *Listener) count(state http.ConnState) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.states {
		if s == state {
			n++
		}
	}
	return n
}
