package listener

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// CloseReason tells why a connection ended.
type CloseReason string

// Reasons why connections end.
const (
	ReasonCaller         CloseReason = "caller-left"
	ReasonIdle           CloseReason = "idle-timeout"
	ReasonHeaderTimeout  CloseReason = "header-timeout"
	ReasonBodyTimeout    CloseReason = "body-timeout"
	ReasonHeaderTooLarge CloseReason = "header-too-large"
	ReasonMalformed      CloseReason = "malformed-request"
	// ReasonNoRoom means that the connection gave way to others, or that there was no memory
	// for the header of its request.
	ReasonNoRoom CloseReason = "no-room"
	ReasonStop   CloseReason = "stop"
	// ReasonUnanswered means that the handler of a request wrote nothing.
	ReasonUnanswered CloseReason = "unanswered"
	// ReasonAnswered means that the answer was the last one or was cut off.
	ReasonAnswered CloseReason = "answered"
)

// Closed describes a connection that ended.
type Closed struct {
	Reason        CloseReason
	Local, Remote net.Addr
	// Arrived is how many bytes were read of a request whose header was not complete.
	Arrived int
	// Unread is how many bytes lay in the receive buffer, if the caller had not left.
	Unread int
	// Written is how many bytes were written since the last header began.
	Written int64
	// Elapsed is how long the connection had been idle, or the header arriving. Limit is
	// the limit on that in force now, and LimitThen the one when it began.
	Elapsed, Limit, LimitThen time.Duration
}

// OnClosed sets a function that is called when a connection ends. It must be called
// before Serve.
func (l *Listener) OnClosed(f func(Closed)) { l.onClosed = f }

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		if c.listener.onClosed != nil {
			closed := c.describe()
			if closed.Reason != ReasonCaller {
				closed.Unread = c.unread()
			}
			c.listener.onClosed(closed)
		}
		if c.answeredEarly() {
			_ = c.CloseWrite()
		}
	}
	return c.TCPConn.Close()
}

// describe returns what is known of a connection that ends, except for what it has not
// read.
func (c *conn) describe() Closed {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	closed := Closed{Reason: c.closeReason(), Local: c.LocalAddr(), Remote: c.RemoteAddr(), Written: c.written.Load()}
	limits := l.limits()
	switch c.phase {
	case phaseAnswered, phaseWaiting:
		closed.Arrived = c.arrived
		closed.Elapsed, closed.Limit, closed.LimitThen = time.Since(c.idleSince), limits.idleTimeout(), c.limitThen
	case phaseOpened, phaseHeader:
		closed.Arrived = c.arrived
		closed.Elapsed, closed.Limit, closed.LimitThen = time.Since(c.headerSince), limits.headerTimeout(), c.limitThen
	case phaseRequest:
	}
	return closed
}

func (c *conn) closeReason() CloseReason {
	stopping := c.listener.closed.Load()
	departure := c.departure()
	switch {
	case c.yields:
		return ReasonNoRoom
	case c.headerLeft.Load() <= 0:
		return ReasonHeaderTooLarge
	case departure != DepartureNone && departure != DepartureReadDeadline:
		return ReasonCaller
	case c.phase == phaseRequest && c.written.Load() > 0:
		return ReasonAnswered
	case c.phase == phaseRequest && departure == DepartureReadDeadline:
		return ReasonBodyTimeout
	case stopping:
		return ReasonStop
	case c.phase == phaseRequest:
		return ReasonUnanswered
	case c.phase == phaseAnswered, c.phase == phaseWaiting:
		return ReasonIdle
	case departure == DepartureReadDeadline:
		return ReasonHeaderTimeout
	default:
		return ReasonMalformed
	}
}

// unread returns how many bytes lie in the receive buffer.
func (c *conn) unread() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}
