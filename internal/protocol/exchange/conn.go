package exchange

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"comfreyworks"
)

const (
	// defaultIdleTimeout is the assumed idle timeout of an upstream that does not
	// send one in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's idle timeout a connection is no
	// longer used. It covers the time that a request takes to reach a slow
	// upstream.
	idleMargin = 500 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel breaks the connection. On a working link, retransmissions are
	// acknowledged sooner.
	tcpUserTimeout = 2 * time.Second
)

var (
	// errExpired means that nothing was written to a connection because the upstream
	// may be about to close it.
	errExpired = errors.New("idle connection has reached the upstream's idle timeout")
	// errSealed means that nothing was written to a connection because the request
	// is sent on another one.
	errSealed = errors.New("request was withdrawn before it was written")
)

// keepAliveConn returns errExpired from Write if the connection was idle for
// nearly as long as the upstream's idle timeout. As no byte of the request has
// been written then, the request can safely be sent on another connection.
type keepAliveConn struct {
	net.Conn
	clock comfreyworks.Clock

	mu          sync.Mutex
	lastUse     time.Time
	idleTimeout time.Duration
	// writes counts the calls of Write that reached the connection. After sealed is
	// set, none does.
	writes int
	sealed bool
	// head limits the response header of the current request; nil before the first.
	head *headLimit
}

func newKeepAliveConn(conn net.Conn, clock comfreyworks.Clock) *keepAliveConn {
	return &keepAliveConn{Conn: conn, clock: clock, lastUse: clock.Now(), idleTimeout: defaultIdleTimeout}
}

// setIdleTimeout sets the upstream's idle timeout. Zero leaves it unchanged.
func (c *keepAliveConn) setIdleTimeout(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle > 0 {
		c.idleTimeout = idle
	}
}

// setHeadLimit sets the limit on the response header of the next request.
func (c *keepAliveConn) setHeadLimit(limit *headLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = limit
}

// Read implements net.Conn.
func (c *keepAliveConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.lastUse = c.clock.Now()
	head := c.head
	c.mu.Unlock()
	if n > 0 && head != nil {
		head.bytesRead(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *keepAliveConn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.lastUse = c.clock.Now()
	c.mu.Unlock()
	return n, err
}

// beginWrite counts a write, or returns the reason why there must be none.
func (c *keepAliveConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sealed:
		return errSealed
	case c.clock.Since(c.lastUse) > c.idleTimeout-min(idleMargin, c.idleTimeout/2):
		return errExpired
	}
	c.writes++
	return nil
}

// writeCount returns the number of writes so far.
func (c *keepAliveConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnsent reports whether nothing was written since writeCount returned the
// given number. If so, nothing will be: the transport may return the error of its
// read loop while its write loop has not started yet.
func (c *keepAliveConn) sealUnsent(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	return true
}

// setTCPUserTimeout is a net.Dialer.Control function. It makes the kernel break
// connections on which the peer no longer acknowledges data.
func setTCPUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
