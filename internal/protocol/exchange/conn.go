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
	// idleUnknown is how long a connection may be idle whose upstream does not
	// say how long it keeps it.
	idleUnknown = 4 * time.Second
	// idleMargin is how much earlier than its upstream a connection is given
	// up: the way of a request to a slow upstream.
	idleMargin = 500 * time.Millisecond
	// silenceLimit is how long sent bytes may stay unacknowledged before the
	// connection is broken; retransmissions take less on a working link.
	silenceLimit = 2 * time.Second
)

// errExpired means that nothing was written because the upstream may be
// closing the connection.
var errExpired = errors.New("kept connection has expired")

// keptConn refuses to begin a request on a connection that was idle for nearly
// as long as the upstream keeps it. The refusal comes before the first byte, so
// that the request can be sent on another connection.
type keptConn struct {
	net.Conn
	clock comfreyworks.Clock

	mu      sync.Mutex
	lastUse time.Time
	limit   time.Duration
}

func newKeptConn(conn net.Conn, clock comfreyworks.Clock) *keptConn {
	return &keptConn{Conn: conn, clock: clock, lastUse: clock.Now(), limit: idleUnknown}
}

// allow sets how long the upstream keeps the connection while it is idle.
func (k *keptConn) allow(idle time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if idle > 0 {
		k.limit = idle
	}
}

// Read implements net.Conn.
func (k *keptConn) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	k.mu.Lock()
	k.lastUse = k.clock.Now()
	k.mu.Unlock()
	return n, err
}

// Write implements net.Conn.
func (k *keptConn) Write(p []byte) (int, error) {
	k.mu.Lock()
	expired := k.clock.Since(k.lastUse) > k.limit-min(idleMargin, k.limit/2)
	k.mu.Unlock()
	if expired {
		return 0, errExpired
	}
	n, err := k.Conn.Write(p)
	k.mu.Lock()
	k.lastUse = k.clock.Now()
	k.mu.Unlock()
	return n, err
}

// abortSilent makes the kernel break connections whose other side no longer
// acknowledges anything.
func abortSilent(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
	return errors.Join(err, failure)
}
