package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
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

// depart records how the caller left. What follows from that does not count, nor does
// what fails because the connection was closed here.
func (c *conn) depart(departure Departure, err error) {
	if !errors.Is(err, net.ErrClosed) && (departure != DepartureReadDeadline || !c.aborting.Load()) {
		c.departed.CompareAndSwap(nil, &departure)
	}
}

// departure returns how the caller has left.
func (c *conn) departure() Departure {
	if departed := c.departed.Load(); departed != nil {
		return *departed
	}
	return DepartureNone
}
