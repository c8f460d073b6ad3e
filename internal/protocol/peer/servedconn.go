package peer

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// lingerTime is how long a server that stops waits for a client to close its connection.
// Closing it with unread calls would reset it, and answers that are still being sent
// would be lost.
const lingerTime = 500 * time.Millisecond

// servedConn is a connection of a Server. Once it is stopped, reads fail, and the
// connection is closed after all answers have been sent.
type servedConn struct {
	net.Conn
	mu       sync.Mutex
	stopping bool
}

// stop makes reads fail from now on. Answers can still be written.
func (c *servedConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

func (c *servedConn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// SetReadDeadline implements net.Conn. It has no effect on a stopped connection.
func (c *servedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *servedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// abort closes the connection after a read has failed, unless that was because of stop:
// then net/rpc closes it once it has sent the answers of the calls that were read.
func (c *servedConn) abort() error {
	if c.isStopping() {
		return nil
	}
	return c.Conn.Close()
}

// Close implements net.Conn. It lets the client read the last answers of a stopped
// connection.
func (c *servedConn) Close() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.isStopping() && half.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return c.Conn.Close()
}
