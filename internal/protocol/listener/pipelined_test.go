package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestBeginOfNextRequest guards against taking a connection for idle although the
// beginning of its next request was read with the one before: its header has no time
// limit then, and a stop closes the connection in the middle of it.
func TestBeginOfNextRequest(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: api.example\r\n\r\n"
	for _, stops := range []bool{false, true} {
		t.Run(map[bool]string{false: "header timeout", true: "stop"}[stops], func(t *testing.T) {
			t.Parallel()
			limits := Limits{HeaderBytes: 1 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute}
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			if stops {
				limits.HeaderTimeout = time.Minute
			}
			callers := New(listen(t), func() Limits { return limits })
			var group errgroup.Group
			group.Go(func() error {
				return callers.Serve(server)
			})
			conn, err := net.Dial("tcp", callers.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, request+request[:24])
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			_, err = http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			if stops {
				time.Sleep(100 * time.Millisecond)
				assert.NilError(t, callers.Close())
				assert.NilError(t, group.Wait())
				_ = callers.closeIdle()
				_, err = io.WriteString(conn, request[24:])
				assert.NilError(t, err)
				answer, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err, "the request was dropped")
				assert.Equal(t, answer.StatusCode, http.StatusOK)
			} else {
				_, err = reader.ReadByte()
				assert.ErrorIs(t, err, io.EOF, "the connection stays open")
			}
			assert.NilError(t, conn.Close())
			assert.NilError(t, server.Close())
			assert.NilError(t, group.Wait())
		})
	}
}
