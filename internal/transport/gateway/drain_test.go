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
	for _, sentBefore := range []string{"", "POST /book/1 HTTP/1.1\r\nHost: api.example\r\n"} {
		t.Run(fmt.Sprintf("after %d bytes", len(sentBefore)), func(t *testing.T) {
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
			stop()
			time.Sleep(shutdownDelay - 100*time.Millisecond)
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_, err = io.WriteString(conn, sentBefore)
			assert.NilError(t, err)
			waitFor(t, func() bool {
				refused, err := net.Dial("tcp", address)
				if err == nil {
					_ = refused.Close()
				}
				return err != nil
			})
			request := "POST /book/1 HTTP/1.1\r\nHost: api.example\r\n" + f.names.RequestID + ": r1\r\n" +
				f.names.APIKey + ": key-office\r\nContent-Length: 4\r\n\r\ntext"
			_, err = io.WriteString(conn, request[len(sentBefore):])
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "the request was dropped")
			assert.Equal(t, response.StatusCode, http.StatusOK)
			_ = conn.Close()
			assert.NilError(t, group.Wait())
		})
	}
}
