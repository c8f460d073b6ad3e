package listener

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/state/memory"
)

// TestUnreadBytes guards against callers that send more than is read, and so make the kernel
// hold more for a process than its memory has room for.
func TestUnreadBytes(t *testing.T) {
	const connections, limit = 64, 1 << 20
	l := New(listen(t), func() Limits { return Limits{HeaderBytes: 1 << 10, HeaderTimeout: time.Minute} })
	l.Bound(Bounds{Connections: connections, Receive: memory.ReceiveBuffers{Bytes: limit, Connections: connections}})
	end := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-end })}
	var group, callers errgroup.Group
	group.Go(func() error { return l.Serve(server) })
	var conns []net.Conn
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		conns = append(conns, c)
		callers.Go(func() error {
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 4<<20)
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = io.CopyN(c, zeros{}, 4<<20)
			return nil
		})
	}
	assert.NilError(t, callers.Wait())
	unread := 0
	l.mu.Lock()
	for c := range l.states {
		unread += c.(*conn).unread()
	}
	l.mu.Unlock()
	t.Logf("%d bytes unread", unread)
	assert.Check(t, unread <= limit)
	close(end)
	for _, c := range conns {
		_ = c.Close()
	}
	assert.NilError(t, server.Close())
	assert.NilError(t, group.Wait())
}

// zeros is an endless reader.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }
