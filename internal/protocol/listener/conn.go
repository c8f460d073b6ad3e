package listener

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// phase is what an http.Server does with a connection. It is known from the read
// deadlines that the server sets: one when it waits for the next request, one when a
// header begins, and one when the header is complete.
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

// conn is the connection of a caller.
type conn struct {
	*net.TCPConn
	listener *Listener
	// phase, headerSince, when the last header began, and idleSince, when the connection
	// became idle last, are protected by Listener.mu.
	phase                  phase
	headerSince, idleSince time.Time
	// headerLeft is how many bytes may be read before the header is complete.
	headerLeft atomic.Int64
}

func newConn(tcp *net.TCPConn, l *Listener) *conn {
	c := &conn{TCPConn: tcp, listener: l}
	c.headerLeft.Store(math.MaxInt64)
	return c
}

// Read implements net.Conn. A connection is no longer idle once a request has begun to
// arrive; the server notices that only at the end of the header.
func (c *conn) Read(p []byte) (int, error) {
	left := c.headerLeft.Load()
	if left <= 0 {
		c.refuseHeader()
		return 0, errHeaderTooLarge
	}
	p = p[:min(int64(len(p)), left)]
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.listener.requestBegan(c)
		} else if errors.Is(err, os.ErrDeadlineExceeded) && c.listener.extendIdle(c) {
			// The idle timeout has been raised since.
			continue
		}
		// Fails if another phase has begun since.
		c.headerLeft.CompareAndSwap(left, left-int64(n))
		return n, err
	}
}

// refuseHeader answers a request whose header is too large.
func (c *conn) refuseHeader() {
	deadline := time.Now().Add(lingerTime)
	text := http.StatusText(http.StatusRequestHeaderFieldsTooLarge)
	response := http.Response{
		StatusCode: http.StatusRequestHeaderFieldsTooLarge, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header:        http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	}
	if c.TCPConn.SetDeadline(deadline) != nil || response.Write(c.TCPConn) != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
}

// SetReadDeadline implements net.Conn. It replaces the deadlines of the server by those
// of the limits in force.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.phase {
	case phaseOpened, phaseWaiting:
		deadline = c.beginHeader()
	case phaseHeader:
		c.phase = phaseRequest
		c.headerLeft.Store(math.MaxInt64)
		l.states[c] = http.StateActive
		deadline = firstDeadline(c.headerSince, l.limits().BodyTimeout)
	case phaseAnswered:
		c.phase = phaseWaiting
		deadline = l.limits().idleDeadline(c.idleSince)
		if l.closing {
			deadline = time.Now()
		}
	case phaseRequest:
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// beginHeader returns the deadline of a header that begins. The server may have read its
// beginning with the request before.
func (c *conn) beginHeader() time.Time {
	l := c.listener
	limits := l.limits()
	c.phase, c.headerSince = phaseHeader, time.Now()
	c.headerLeft.Store(int64(limits.HeaderBytes) + readAhead)
	if l.states[c] == http.StateIdle {
		l.states[c] = http.StateActive
	}
	if l.closing && l.states[c] == http.StateNew {
		return l.firstRequestBy
	}
	return limits.headerDeadline(c.headerSince)
}
