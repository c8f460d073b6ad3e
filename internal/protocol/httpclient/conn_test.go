package httpclient

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// connect returns both ends of a connection. What the server does not read soon fills the
// buffers.
func connect(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	client, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	server = accepted.(*net.TCPConn)
	assert.NilError(t, server.SetReadBuffer(4<<10))
	return NewConn(client), server
}

// TestEndWhileWriting guards against taking a reset for the end of the stream because the
// kernel has reported it to a Write, and against taking an orderly end for a reset.
func TestEndWhileWriting(t *testing.T) {
	closeInOrder := func(server *net.TCPConn) error { return server.CloseWrite() }
	for name, c := range map[string]struct {
		end func(server *net.TCPConn) error
		// reset means that the connection is reset.
		reset bool
		// writes means that the other side has not stopped reading, as far as is known, so
		// that the write goes on.
		writes bool
	}{
		"reset":           {func(server *net.TCPConn) error { return server.SetLinger(0) }, true, false},
		"closed in order": {closeInOrder, false, true},
		"closed in order and then reset": {func(server *net.TCPConn) error {
			if err := closeInOrder(server); err != nil {
				return err
			}
			return server.SetLinger(0)
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				client, server := connect(t)
				var group errgroup.Group
				var written atomic.Bool
				group.Go(func() error {
					_, _ = client.Write(make([]byte, 16<<20))
					written.Store(true)
					return nil
				})
				group.Go(func() error {
					if _, err := io.WriteString(server, "part"); err != nil {
						return err
					}
					time.Sleep(time.Millisecond)
					if err := c.end(server); err != nil || c.writes {
						return err
					}
					return server.Close()
				})
				got, err := io.ReadAll(client)
				if c.reset {
					assert.ErrorIs(t, err, syscall.ECONNRESET)
				} else {
					assert.NilError(t, err)
					assert.Equal(t, string(got), "part")
				}
				assert.Assert(t, !c.writes || !written.Load(), "the end was reported only after the write")
				if c.writes {
					assert.NilError(t, server.Close())
				}
				assert.NilError(t, group.Wait())
				assert.NilError(t, client.Close())
			}
		})
	}
}
