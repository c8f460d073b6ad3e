package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
