package listener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// conn is the connection of a caller.
type conn struct {
	*net.TCPConn
	listener *Listener
	// becameIdle means that the next read deadline that the server sets is that of an
	// idle connection, and idleSince is when it became idle last. Both are protected by
	// Listener.mu.
	becameIdle bool
	idleSince  time.Time
}

// Read implements net.Conn. A connection is no longer idle once a request has begun to
// arrive; the server notices that only at the end of the header.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.listener.requestBegan(c)
		} else if errors.Is(err, os.ErrDeadlineExceeded) && c.listener.extendIdle(c) {
			// The idle timeout has been raised since.
			continue
		}
		return n, err
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := l.states[c] == http.StateNew
	switch {
	case c.becameIdle && l.closing:
		deadline = time.Now()
	case c.becameIdle:
		deadline = c.idleSince.Add(l.limits().IdleTimeout)
	case l.states[c] == http.StateIdle:
		// The server has the beginning of a request, maybe read with the one before.
		l.states[c] = http.StateActive
	case isNew && deadline.IsZero():
		// The header of the first request is complete.
		l.states[c] = http.StateActive
	case isNew && l.closing:
		deadline = l.firstRequestBy
	}
	c.becameIdle = false
	return c.TCPConn.SetReadDeadline(deadline)
}
