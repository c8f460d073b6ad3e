package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// firstRequestWait is how long a stopping gateway waits for the first request on a new
// connection. Later ones might not be answered before the end of the grace period.
const firstRequestWait = 500 * time.Millisecond

// callerConns tracks the connections of callers and applies the idle timeout, which
// http.Server reads only when it starts. A stopping gateway waits for them here, because
// http.Server.Shutdown drops requests without an answer whose header is read meanwhile.
type callerConns struct {
	// idleTimeout returns how long a connection may be idle now.
	idleTimeout func() time.Duration

	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	// closing means that connections are closed as soon as they are idle, and those
	// without a request at firstRequestBy. Once none is left, drained is closed.
	closing        bool
	firstRequestBy time.Time
	drained        chan struct{}
}

func newCallerConns(idleTimeout func() time.Duration) *callerConns {
	return &callerConns{idleTimeout: idleTimeout, states: make(map[net.Conn]http.ConnState), drained: make(chan struct{})}
}

// track makes the server and the returned listener, which it must serve on, report
// their connections.
func (c *callerConns) track(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = c.setState
	return &callerListener{listener, c}
}

// setState implements http.Server.ConnState.
func (c *callerConns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
		c.checkDrained()
	default:
		c.states[conn] = state
	}
	if caller, ok := conn.(*callerConn); ok {
		caller.becameIdle = state == http.StateIdle
		if caller.becameIdle {
			caller.idleSince = time.Now()
		}
	}
}

// requestBegan records that a connection is no longer idle.
func (c *callerConns) requestBegan(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states[conn] == http.StateIdle {
		c.states[conn] = http.StateActive
	}
}

// extendIdle sets the read deadline of an idle connection according to the current idle
// timeout. It returns false if that has passed or the connection is not idle.
func (c *callerConns) extendIdle(conn *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := conn.idleSince.Add(c.idleTimeout())
	if c.closing || c.states[conn] != http.StateIdle || !deadline.After(time.Now()) {
		return false
	}
	return conn.TCPConn.SetReadDeadline(deadline) == nil
}

func (c *callerConns) checkDrained() {
	if c.closing && len(c.states) == 0 {
		close(c.drained)
	}
}

// closeIdle closes connections that are idle, from now on. It must be called once,
// after the server has stopped accepting connections. It returns a channel that is
// closed when no connection is left.
func (c *callerConns) closeIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.closing, c.firstRequestBy = true, now.Add(firstRequestWait)
	for conn, state := range c.states {
		caller, ok := conn.(*callerConn)
		switch {
		case !ok:
		case state == http.StateIdle:
			// Unlike Close, this keeps a request that has just been read.
			_ = caller.TCPConn.SetReadDeadline(now)
		case state == http.StateNew:
			_ = caller.TCPConn.SetReadDeadline(c.firstRequestBy)
		}
	}
	c.checkDrained()
	return c.drained
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp, conns: l.conns}, err
	}
	return conn, err
}

// callerConn is the connection of a caller.
type callerConn struct {
	*net.TCPConn
	conns *callerConns
	// becameIdle means that the next read deadline that the server sets is that of an
	// idle connection, and idleSince is when it became idle last. Both are protected by
	// callerConns.mu.
	becameIdle bool
	idleSince  time.Time
}

// Read implements net.Conn. A connection is no longer idle once a request has begun to
// arrive; the server notices that only at the end of the header.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.conns.requestBegan(c)
		} else if errors.Is(err, os.ErrDeadlineExceeded) && c.conns.extendIdle(c) {
			// The idle timeout has been raised since.
			continue
		}
		return n, err
	}
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	isNew := c.conns.states[c] == http.StateNew
	switch {
	case c.becameIdle && c.conns.closing:
		deadline = time.Now()
	case c.becameIdle:
		deadline = c.idleSince.Add(c.conns.idleTimeout())
	case c.conns.states[c] == http.StateIdle:
		// The server has the beginning of a request, maybe read with the one before.
		c.conns.states[c] = http.StateActive
	case isNew && deadline.IsZero():
		// The header of the first request is complete.
		c.conns.states[c] = http.StateActive
	case isNew && c.conns.closing:
		deadline = c.conns.firstRequestBy
	}
	c.becameIdle = false
	return c.TCPConn.SetReadDeadline(deadline)
}
