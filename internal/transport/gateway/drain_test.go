package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestRequestReadDuringShutdown guards against dropping a request without an answer
// because a stopping gateway stopped accepting connections while the request arrived.
func TestRequestReadDuringShutdown(t *testing.T) {
	for _, c := range []struct {
		// kept means that the connection has served another request.
		kept       bool
		sentBefore int
	}{{false, 0}, {false, 30}, {true, 30}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			options := f.gateway.options
			options.Clock = clockwork.NewRealClock()
			g := New(options)
			listeners := Listeners{Requests: listen(t), Ready: listen(t)}
			address := listeners.Requests.Addr().String()
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return g.Run(ctx, listeners) })
			waitFor(t, func() bool { return g.notReadyReason() == "" })
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			request := "POST /book/1 HTTP/1.1\r\nHost: api.example\r\n" + f.names.RequestID + ": r1\r\n" +
				f.names.APIKey + ": key-office\r\nContent-Length: 4\r\n\r\ntext"
			send := func(part string) {
				_, err := io.WriteString(conn, part)
				assert.NilError(t, err)
			}
			receive := func() {
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err, "the request was dropped")
				assert.Equal(t, response.StatusCode, http.StatusOK)
				_, err = io.ReadAll(response.Body)
				assert.NilError(t, err)
			}
			if c.kept {
				send(request)
				receive()
			}
			stop()
			send(request[:c.sentBefore])
			time.Sleep(shutdownDelay - 100*time.Millisecond)
			waitFor(t, func() bool {
				refused, err := net.Dial("tcp", address)
				if err == nil {
					_ = refused.Close()
				}
				return err != nil
			})
			time.Sleep(20 * time.Millisecond)
			send(request[c.sentBefore:])
			receive()
			_ = conn.Close()
			assert.NilError(t, group.Wait())
		})
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
			callers, listener := newCallerConns(func() time.Duration { return time.Minute }), listen(t)
			var group errgroup.Group
			group.Go(func() error {
				if err := server.Serve(callers.track(server, listener)); !errors.Is(err, net.ErrClosed) {
					return err
				}
				return nil
			})
			conn, err := net.Dial("tcp", listener.Addr().String())
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
			assert.NilError(t, listener.Close())
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
func (c *callerConns) count(state http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if s == state {
			n++
		}
	}
	return n
}
