// Package listener accepts the connections of callers for an http.Server. It applies
// limits that may change while the server runs, and drains the connections when it
// stops without dropping a request.
//
// # Usage
//
//	l := listener.New(tcp, func() listener.Limits { return listener.Limits{IdleTimeout: time.Minute} })
//	l.Bound(listener.Bounds{Connections: 1000, Memory: budget}) // for all connections together
//	l.OnClosed(func(closed listener.Closed) { logger.Info(string(closed.Reason)) })
//	err := l.Serve(server) // until Drain or server.Close
//	drained := l.Drain(grace, endRequests)
//
// A handler asks about the connection of its request:
//
//	caller := listener.CallerOf(r.Context())
//	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(caller.AnnounceIdle().Seconds())))
package listener

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/memory"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindServe means that accepting connections failed.
	KindServe Kind = "serve"
	// KindNetwork means that a connection is not a TCP connection.
	KindNetwork Kind = "network"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

const (
	// LastAnswerTime is how long a drain waits, after its grace period, for the answers
	// of requests that it ends.
	LastAnswerTime = 100 * time.Millisecond
	// firstRequestWait is how long a drain waits for the first request on a new
	// connection. Later ones might not be answered before the end of the grace period.
	firstRequestWait = 500 * time.Millisecond
	// serverHeaderTimeout and serverIdleTimeout are the timeouts of the server. They end
	// nothing: conn learns from a deadline that was made of one of them what the server does
	// next, and replaces it by that of the limits in force. They differ so much that no delay makes
	// one look like the other.
	serverHeaderTimeout = 24 * time.Hour
	serverIdleTimeout   = 100 * serverHeaderTimeout
	// readAhead is what the server may read beyond the end of a request, and how much
	// http.Server adds to its limit for that reason.
	readAhead = 4 << 10
)

// errClosed is what Accept returns after Close.
var errClosed = errors.New("listener closed")

// Limits bounds the connections of callers. They are read for each request, so that
// changes apply to open connections too.
type Limits struct {
	// HeaderBytes is the size of a request's header above which it is answered with 431.
	// As with http.Server, up to 8 kB more may be read.
	HeaderBytes int
	// HeaderTimeout is the time in which the header of a request must arrive; zero means
	// BodyTimeout.
	HeaderTimeout time.Duration
	// BodyTimeout is the time from the beginning of a header in which the whole request
	// must arrive; zero means that only the handler limits it. One that was lowered while the
	// header arrived does not apply.
	BodyTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests; zero means
	// BodyTimeout.
	IdleTimeout time.Duration
}

// Bounds limits what all connections together use.
type Bounds struct {
	// Connections is the maximum number of connections; zero means no limit.
	Connections int
	// Receive bounds what callers have sent and was not read.
	Receive memory.ReceiveBuffers
	// Memory accounts for the headers of requests; nil means that nothing does.
	Memory *memory.Budget
}

// Bound sets the bounds. It must be called before Serve.
func (l *Listener) Bound(bounds Bounds) {
	l.bounds = bounds
	l.limitReceive()
}

// deadlineAfter returns the end of a timeout, or the zero time if there is none.
func deadlineAfter(since time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return since.Add(timeout)
}

// longerTimeout returns the longer one of two timeouts, of which zero means that there is none.
func longerTimeout(a, b time.Duration) time.Duration {
	if a <= 0 || b <= 0 {
		return 0
	}
	return max(a, b)
}

func (l Limits) headerTimeout() time.Duration { return l.orBody(l.HeaderTimeout) }

func (l Limits) idleTimeout() time.Duration { return l.orBody(l.IdleTimeout) }

func (l Limits) orBody(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return l.BodyTimeout
	}
	return timeout
}

// Listener accepts connections of callers and tracks their states. A drain waits for
// them here, because http.Server.Shutdown drops requests without an answer whose header
// is read meanwhile. The limits are applied here, because those of an http.Server must
// not change while it runs.
type Listener struct {
	net.Listener
	limits func() Limits
	bounds Bounds
	// onClosed may be nil.
	onClosed func(Closed)
	// served is closed when Serve has returned.
	served chan struct{}
	// closed means that Close was called, or that only queued connections are accepted. Accept
	// counts these in queued.
	closed atomic.Bool
	queued int

	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	// closing means that connections are closed as soon as they are idle, and those
	// without a request at firstRequestBy. Once none is left, drained is closed.
	closing        bool
	firstRequestBy time.Time
	drained        chan struct{}
	// ended means that a drain has ended and connections are closed at once.
	ended bool
}

// New returns a listener on top of one that accepts TCP connections.
func New(inner net.Listener, limits func() Limits) *Listener {
	return &Listener{
		Listener: inner, limits: limits, served: make(chan struct{}),
		states: make(map[net.Conn]http.ConnState), drained: make(chan struct{}),
	}
}

// Serve serves until the listener or the server is closed, and then returns nil. It must be called once, also before Drain.
func (l *Listener) Serve(server *http.Server) error {
	defer close(l.served)
	l.configure(server)
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, errClosed) {
		return nil
	}
	return &Error{Op: "serve", Kind: KindServe, Err: err}
}

// configure sets the hooks and limits of a server.
func (l *Listener) configure(server *http.Server) {
	server.ConnState = l.setState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ReadHeaderTimeout, server.IdleTimeout, server.ReadTimeout = serverHeaderTimeout, serverIdleTimeout, 0
	server.MaxHeaderBytes = math.MaxInt32
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	var accepted net.Conn
	var open int
	for {
		var err error
		accepted, err = l.Listener.Accept()
		if err != nil && l.closed.Load() {
			accepted, err = l.acceptQueued()
		}
		if err != nil {
			return nil, err
		}
		var ok bool
		if open, ok = l.makeRoom(); ok {
			break
		}
		// Its caller knows that nothing was read.
		_ = accepted.Close()
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		_ = accepted.Close()
		return nil, &Error{Op: "accept", Kind: KindNetwork, Err: fmt.Errorf("expected a TCP connection, found %T", accepted)}
	}
	l.bounds.Receive.Grow(tcp, open)
	return newConn(tcp, l), nil
}

// Close implements net.Listener. It leaves open connections as they are.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Drain accepts the connections that the kernel has already established, and no others. It
// closes those that are idle and lets open requests
// finish within a grace period. Then it calls endRequests, which must make the handlers
// answer the requests that have no answer yet, and waits up to LastAnswerTime. It
// returns whether all requests finished in the grace period.
func (l *Listener) Drain(grace time.Duration, endRequests func()) bool {
	l.stopAccepting()
	<-l.served
	_ = l.Close()
	defer l.end()
	drained := l.closeIdle()
	if isClosedWithin(drained, grace) {
		return true
	}
	endRequests()
	_ = isClosedWithin(drained, LastAnswerTime)
	return false
}

func (l *Listener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

// closeIdle closes connections that are idle, from now on. It must be called once,
// after the server has stopped accepting connections. It returns a channel that is
// closed when no connection is left.
func (l *Listener) closeIdle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.closing, l.firstRequestBy = true, now.Add(firstRequestWait)
	for c, state := range l.states {
		caller, ok := c.(*conn)
		switch {
		case !ok:
		case state == http.StateIdle:
			// Unlike Close, this keeps a request that has just been read.
			_ = caller.TCPConn.SetReadDeadline(now)
		case state == http.StateNew:
			_ = caller.TCPConn.SetReadDeadline(l.firstRequestBy)
		}
	}
	l.checkDrained()
	return l.drained
}

// setState implements http.Server.ConnState.
func (l *Listener) setState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.states, c)
		l.checkDrained()
	default:
		l.states[c] = state
	}
	caller, ok := c.(*conn)
	if ok && state == http.StateIdle {
		caller.phase, caller.idleSince = phaseAnswered, time.Now()
	}
	if ok && state != http.StateNew && state != http.StateActive {
		caller.header.Release()
		caller.header = nil
	}
}

func (l *Listener) checkDrained() {
	if l.closing && len(l.states) == 0 {
		close(l.drained)
	}
}

// bytesRead records that n bytes were read, so that a connection is no longer idle. While
// the server waits for the caller to leave, it may read the first byte of the next request.
func (l *Listener) bytesRead(c *conn, n int, waits bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readAt = time.Now()
	if c.phase != phaseRequest || waits {
		c.arrived += n
	}
	if l.states[c] != http.StateIdle {
		return
	}
	l.states[c] = http.StateActive
	c.yields = false
	// The server sets a deadline for the header once it has read a little more.
	_ = c.TCPConn.SetReadDeadline(deadlineAfter(time.Now(), l.limits().headerTimeout()))
}

// expectsRequest reports whether the server waits for a request or reads its header.
func (l *Listener) expectsRequest(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.phase == phaseWaiting || c.phase == phaseHeader
}

// keepsReading removes the read deadline while the server waits for the caller to leave. The
// server would cancel the request, and later ones on the connection, if that read failed. It
// returns false if the server itself ends the read.
func (l *Listener) keepsReading(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase != phaseRequest || c.aborting.Load() {
		return false
	}
	return c.TCPConn.SetReadDeadline(time.Time{}) == nil
}

// extendIdle sets the read deadline of an idle connection according to the current idle
// timeout, which may have been raised. It returns false if that has passed or the connection
// is not idle.
func (l *Listener) extendIdle(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline := deadlineAfter(c.idleSince, c.idleTimeout(l.limits()))
	passed := !deadline.IsZero() && !deadline.After(time.Now())
	if l.closing || c.yields || l.states[c] != http.StateIdle || passed {
		return false
	}
	return c.TCPConn.SetReadDeadline(deadline) == nil
}

// isClosedWithin waits until a channel is closed, and returns false if the time passes
// before.
func isClosedWithin(done <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
