package listener

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"comfreyworks/internal/state/memory"
)

// phase is what an http.Server does with a connection. It is known from the states of the
// connection and from the read deadlines that the server sets, as its ReadHeaderTimeout and
// IdleTimeout promise: one for the wait for the next request, one for a header, and none once the
// header is complete. How often and when it sets them depends on its release.
type phase int

const (
	// phaseOpened lasts until the first header begins.
	phaseOpened phase = iota
	// phaseHeader lasts until the header is complete.
	phaseHeader
	// phaseRequest lasts until the request has been answered. Handlers may set deadlines.
	phaseRequest
	// phaseAnswered lasts until the server waits for the next request.
	phaseAnswered
	// phaseWaiting lasts until the next header begins.
	phaseWaiting
)

// errHeaderTooLarge ends a connection whose header exceeds the limit. It is a net.OpError
// for a read, which http.Server does not answer.
var errHeaderTooLarge = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request header too large")}

// errNoMemory ends a connection for whose header there is no memory, like errHeaderTooLarge.
var errNoMemory = &net.OpError{Op: "read", Net: "tcp", Err: memory.ErrFull}

// abortDeadline is the read deadline with which http.Server ends its own read.
var abortDeadline = time.Unix(1, 0)

// conn is the connection of a caller.
type conn struct {
	*net.TCPConn
	listener *Listener
	// phase, headerSince, when the last header began, and idleSince, when the connection
	// became idle last, are protected by Listener.mu.
	phase                  phase
	headerSince, idleSince time.Time
	// limitThen is the idle or header timeout that was in force when the connection
	// became idle or the header began, and arrived is how many bytes were read since
	// then. Listener.mu protects them as well.
	limitThen time.Duration
	arrived   int
	// bodyTimeout is the one that was in force when the header began. Listener.mu protects it
	// as well.
	bodyTimeout time.Duration
	// announced is the idle timeout of which the caller was told with the last answer.
	// Listener.mu protects it as well.
	announced time.Duration
	// headerLeft is how many bytes may be read before the header is complete.
	headerLeft atomic.Int64
	// written is how many bytes were written since the last header began, and departed how
	// the caller left since it was complete; nil if it has not.
	written  atomic.Int64
	departed atomic.Pointer[Departure]
	// aborting means that the server ends its own read of a connection whose request has
	// been handled.
	aborting atomic.Bool
	// bodyRead means that the server has read the whole request, and waits for the caller to
	// leave.
	bodyRead atomic.Bool
	// openedAt is when the connection was accepted. readAt, when bytes arrived last, header,
	// what is held for the header of the current request, and yields, which means that the
	// connection is closed to make room, are protected by Listener.mu.
	openedAt, readAt time.Time
	header           *memory.Hold
	yields           bool
	// closed means that Close was called, lingered that the caller got its answer.
	closed, lingered atomic.Bool
}

func newConn(tcp *net.TCPConn, l *Listener) *conn {
	c := &conn{TCPConn: tcp, listener: l, openedAt: time.Now()}
	c.headerLeft.Store(math.MaxInt64)
	return c
}

// Read implements net.Conn. A connection is no longer idle once a request has begun to
// arrive; the server notices that only at the end of the header.
func (c *conn) Read(p []byte) (int, error) {
	left := c.headerLeft.Load()
	if left <= 0 {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return 0, errHeaderTooLarge
	}
	waits := len(p) == 1 && c.bodyRead.Load()
	p = p[:min(int64(len(p)), left)]
	for {
		n, err := c.TCPConn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if c.listener.givesUp(c) {
				return 0, err
			}
			if c.listener.extendIdle(c) || waits && c.listener.keepsReading(c) {
				continue
			}
			if n = c.readArrived(p); n > 0 {
				err = nil
			}
		}
		if n > 0 {
			c.listener.bytesRead(c, n, waits)
			if !c.holdHeader(p[:n]) {
				c.listener.yield(c)
				c.refuse(http.StatusServiceUnavailable)
				return 0, errNoMemory
			}
		}
		// Fails if another phase has begun since.
		c.headerLeft.CompareAndSwap(left, left-int64(n))
		if err != nil {
			c.depart(readDeparture(err), err)
		}
		return n, err
	}
}

// readArrived reads what has arrived between two requests or of a header although the
// read deadline has passed: a process that was stalled did not get round to reading it.
func (c *conn) readArrived(p []byte) int {
	if !c.listener.expectsRequest(c) {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// Unlike Read and RawConn.Read, this ignores the deadline.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), p) })
	return max(n, 0)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written.Add(int64(n))
	if err != nil {
		c.depart(DepartureWriteFailed, err)
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	c.written.Add(n)
	return n, err
}

// SetReadDeadline implements net.Conn. It replaces the deadlines of the server by those
// of the limits in force.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	left := time.Until(deadline)
	switch {
	case c.phase == phaseRequest:
		switch {
		case deadline.Equal(abortDeadline):
			c.aborting.Store(true)
		case deadline.IsZero():
			// The server removes the deadline before it waits for the caller to leave, and
			// a handler once it has read the body.
			c.aborting.Store(false)
			c.bodyRead.Store(true)
		}
	case deadline.IsZero():
		if c.phase != phaseHeader {
			return nil
		}
		deadline = c.beginRequest()
	case left > serverIdleTimeout/2:
		deadline = c.beginWait()
	case left > serverHeaderTimeout/2:
		if c.phase == phaseHeader {
			return nil
		}
		deadline = c.beginHeader()
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// beginRequest returns the deadline of a request whose header is complete.
func (c *conn) beginRequest() time.Time {
	l := c.listener
	c.phase, c.arrived, c.announced = phaseRequest, 0, 0
	c.header.Complete()
	c.headerLeft.Store(math.MaxInt64)
	c.bodyRead.Store(false)
	c.departed.Store(nil)
	l.states[c] = http.StateActive
	return deadlineAfter(c.headerSince, longerTimeout(c.bodyTimeout, l.limits().BodyTimeout))
}

// beginWait returns the deadline of the wait for the next request.
func (c *conn) beginWait() time.Time {
	l := c.listener
	c.phase = phaseWaiting
	c.departed.Store(nil)
	limits := l.limits()
	c.limitThen = c.idleTimeout(limits)
	switch {
	case c.arrived > 0:
		l.states[c] = http.StateActive
		return deadlineAfter(time.Now(), limits.headerTimeout())
	case l.closing:
		return time.Now()
	default:
		return deadlineAfter(c.idleSince, c.limitThen)
	}
}

// idleTimeout returns how long the connection may be idle, or zero.
func (c *conn) idleTimeout(limits Limits) time.Duration {
	limit := limits.idleTimeout()
	if limit <= 0 {
		return 0
	}
	return max(limit, c.announced)
}

// beginHeader returns the deadline of a header that begins. The server may have read its
// beginning with the request before.
func (c *conn) beginHeader() time.Time {
	l := c.listener
	limits := l.limits()
	c.phase, c.headerSince, c.limitThen = phaseHeader, time.Now(), limits.headerTimeout()
	c.bodyTimeout = limits.BodyTimeout
	c.written.Store(0)
	c.headerLeft.Store(int64(limits.HeaderBytes) + readAhead)
	if l.states[c] == http.StateIdle {
		l.states[c] = http.StateActive
	}
	if l.closing && l.states[c] == http.StateNew {
		return l.firstRequestBy
	}
	return deadlineAfter(c.headerSince, c.limitThen)
}
