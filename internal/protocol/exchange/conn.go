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

// errExpired means that nothing was written to a connection because the upstream
// may be about to close it.
var errExpired = errors.New("idle connection has reached the upstream's idle timeout")

// keepAliveConn returns errExpired from Write if the connection was idle for
// nearly as long as the upstream's idle timeout. As no byte of the request has
// been written then, the request can safely be sent on another connection.
type keepAliveConn struct {
	net.Conn
	clock comfreyworks.Clock

	mu          sync.Mutex
	lastUse     time.Time
	idleTimeout time.Duration
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

// Read implements net.Conn.
func (c *keepAliveConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.lastUse = c.clock.Now()
	c.mu.Unlock()
	return n, err
}

// Write implements net.Conn.
func (c *keepAliveConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	expired := c.clock.Since(c.lastUse) > c.idleTimeout-min(idleMargin, c.idleTimeout/2)
	c.mu.Unlock()
	if expired {
		return 0, errExpired
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.lastUse = c.clock.Now()
	c.mu.Unlock()
	return n, err
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
