package peer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// scarceListener fails twice for lack of file descriptors.
type scarceListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures.Add(1) <= 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestTemporaryAcceptError guards against ending the server, and with it the process and
// all requests in it, because there are no free file descriptors for a moment.
func TestTemporaryAcceptError(t *testing.T) {
	server, err := NewServer("", new(echoReceiver))
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, &scarceListener{Listener: listener}) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	stop()
	assert.NilError(t, group.Wait())
}
