package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// endingConn is a connection that the peer closes while a write is blocked.
type endingConn struct {
	net.Conn
	// block makes writes wait until the connection is closed. writing and ended
	// are closed by a write that waits and by the read that returns io.EOF.
	block, ending          atomic.Bool
	writing, ended, closed chan struct{}
}

func (c *endingConn) Write(p []byte) (int, error) {
	if c.block.Load() {
		close(c.writing)
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *endingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.ending.Load() {
		close(c.ended)
		return 0, io.EOF
	}
	return n, err
}

// TestCallOnClosingConnection guards against calls that the peer received and that
// are reported as not sent, so that they run again, because this side closes a
// connection that the peer has closed.
func TestCallOnClosingConnection(t *testing.T) {
	address, receiver := serve(t)
	receiver.hold = make(chan struct{})
	defer close(receiver.hold)
	conn := &endingConn{writing: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{})}
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock(), Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		var err error
		conn.Conn, err = dialTCP(ctx, a)
		return conn, err
	}})
	client := clients.To(address)
	var received, blocked errgroup.Group
	received.Go(func() error {
		_, err := read(client, "held")
		return err
	})
	waitFor(func() bool { return receiver.reads.Load() == 1 })
	conn.block.Store(true)
	blocked.Go(func() error {
		_, err := read(client, "s2")
		return err
	})
	<-conn.writing
	conn.ending.Store(true)
	assert.NilError(t, conn.SetReadDeadline(time.Unix(1, 0)))
	<-conn.ended
	clients.Close()
	close(conn.closed)
	assertErrorKind(t, received.Wait(), KindNoAnswer)
	assertErrorKind(t, blocked.Wait(), KindNoAnswer)
}
