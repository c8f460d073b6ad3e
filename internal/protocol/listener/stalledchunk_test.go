package listener

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStalledBodyEnds guards against bodies that may stall for as long as their caller likes,
// because a read of the server looks like the one with which it waits for the caller to leave.
func TestStalledBodyEnds(t *testing.T) {
	// One byte less than the buffer of the server, so that its next read is of one byte.
	const buffered = 4<<10 - 1
	for name, line := range map[string]string{
		"size of a chunk":       "1",
		"extension of a chunk":  "1;" + strings.Repeat("x", buffered-2),
		"extension, but a byte": "1;" + strings.Repeat("x", buffered-3),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits := func() Limits {
				return Limits{HeaderBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, BodyTimeout: 500 * time.Millisecond}
			}
			reading, read := make(chan struct{}), make(chan error, 1)
			s := serve(t, limits, func(_ http.ResponseWriter, r *http.Request) {
				close(reading)
				_, err := io.ReadAll(r.Body)
				read <- err
			})
			s.send(t, "POST / HTTP/1.1\r\nHost: api.example\r\nTransfer-Encoding: chunked\r\n\r\n")
			<-reading
			s.send(t, line)
			select {
			case err := <-read:
				assert.Assert(t, err != nil)
			case <-time.After(5 * time.Second):
				t.Fatal("the body is still being read")
			}
		})
	}
}
