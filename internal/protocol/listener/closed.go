package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Departure tells how a caller left before its request was answered.
type Departure string

// Departures.
const (
	// DepartureNone means that the caller is there, as far as is known.
	DepartureNone Departure = "none"
	// DepartureClosed means that the caller closed its connection, or its sending side,
	// which looks the same.
	DepartureClosed Departure = "closed"
	DepartureReset  Departure = "reset"
	// DepartureReadDeadline means that the caller did not leave, but a read deadline
	// passed.
	DepartureReadDeadline Departure = "read-deadline"
	DepartureReadFailed   Departure = "read-failed"
	DepartureWriteFailed  Departure = "write-failed"
)

func readDeparture(err error) Departure {
	switch {
	case errors.Is(err, io.EOF):
		return DepartureClosed
	case errors.Is(err, syscall.ECONNRESET):
		return DepartureReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return DepartureReadDeadline
	default:
		return DepartureReadFailed
	}
}

// Caller tells a handler about the connection of its request. The zero value knows
// nothing.
type Caller struct{ conn *conn }

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// CallerOf returns the caller of a request, given its context. It is the zero value
// unless a Listener serves the request.
func CallerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(connKey{}).(*conn)
	return Caller{c}
}

// Departure returns how the caller left since its request was read.
func (c Caller) Departure() Departure {
	if c.conn == nil {
		return DepartureNone
	}
	return c.conn.departure()
}

// Written returns how many bytes of the answer, including its header, have been written
// to the connection.
func (c Caller) Written() int64 {
	if c.conn == nil {
		return 0
	}
	return c.conn.written.Load()
}

// AnnounceIdle returns how long the caller may keep the connection idle after the current
// request, to be announced in its answer. The connection stays open for somewhat longer,
// also if the idle timeout is lowered meanwhile. Zero means that nothing is known.
func (c Caller) AnnounceIdle() time.Duration {
	if c.conn == nil {
		return 0
	}
	l := c.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.conn.announced = l.limits().idleTimeout()
	return c.conn.announced * 4 / 5
}

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
	ReasonStop           CloseReason = "stop"
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
		unread := c.unread()
		if c.listener.onClosed != nil {
			closed := c.describe()
			if closed.Reason != ReasonCaller {
				closed.Unread = unread
			}
			c.listener.onClosed(closed)
		}
		if c.answeredEarly(unread) {
			_ = c.CloseWrite()
		}
	}
	return c.TCPConn.Close()
}

// answeredEarly reports whether the caller may still be sending although it has an answer.
func (c *conn) answeredEarly(unread int) bool {
	departure := c.departure()
	if c.written.Load() == 0 || departure != DepartureNone && departure != DepartureReadDeadline {
		return false
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.states[c]; !open || l.ended {
		return false
	}
	switch c.phase {
	case phaseRequest:
		return unread > 0 || !c.bodyRead.Load()
	case phaseHeader:
		// The header was malformed.
		return true
	default:
		return false
	}
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
