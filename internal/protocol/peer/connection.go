package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyworks/internal/state/faults"
)

// callDeadline decides how long one call waits for its answer. If anything
// arrived on the connection during the wait, the peer is slow but the connection
// works. Closing the connection would fail all other calls on it, and their
// retries would add load to a slow peer. The call is therefore extended by its
// timeout, up to maxExtensions times. Calls with a timeout below callTimeout are
// not extended, because their callers have an alternative to waiting.
type callDeadline struct {
	timer   clockwork.Timer
	timeout time.Duration
	conn    *connection
	// lastReads is the number of reads when the call started or was last extended.
	lastReads  int64
	extensions int
}

// noNewReads reports whether nothing has arrived since lastReads was set.
func (d *callDeadline) noNewReads() bool { return d.conn.reads.Load() == d.lastReads }

// extend restarts the timer if the call may be extended, and reports whether it
// did.
func (d *callDeadline) extend() bool {
	if d.noNewReads() || d.timeout < callTimeout || d.extensions >= maxExtensions {
		return false
	}
	d.extensions++
	d.lastReads = d.conn.reads.Load()
	d.timer.Reset(d.timeout)
	return true
}

// connection is one open connection to a peer.
type connection struct {
	rpc *rpc.Client
	// reads counts the reads that returned data.
	reads *atomic.Int64
	mu    sync.Mutex
	// silentReads is the value of reads when the current silence began, and
	// silentSince is when the first call that timed out during it had started.
	silentReads int64
	silentSince time.Time
	// calls counts the calls that wait for an answer. A retired connection accepts
	// no new calls and is closed when the last one ends.
	calls   int
	retired bool
}

// addCall counts a call that is about to be sent.
func (c *connection) addCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
}

// removeCall stops counting a call that has ended. It closes a retired connection
// if that was the last call.
func (c *connection) removeCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.closeIfUnused()
}

// retire closes the connection as soon as no call waits on it. The peer may be
// overloaded instead of unreachable, and then still answers calls that it has
// read.
func (c *connection) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.closeIfUnused()
}

// closeIfUnused closes a retired connection on which no call waits. The mutex
// must be held.
func (c *connection) closeIfUnused() {
	if c.retired && c.calls == 0 {
		_ = c.rpc.Close()
	}
}

// silentFor records that a call timed out after waiting for a duration, and
// returns for how long calls have waited with nothing arriving. One short timeout
// does not prove that the connection is broken, so the caller retires it only
// after a longer silence.
func (c *connection) silentFor(now time.Time, waited time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	reads := c.reads.Load()
	if c.silentSince.IsZero() || c.silentReads != reads {
		c.silentReads = reads
		c.silentSince = now.Add(-waited)
	}
	return now.Sub(c.silentSince)
}

func newConnection(conn net.Conn, limits MessageLimits, recorder *faults.Recorder) *connection {
	reads := new(atomic.Int64)
	counting := countingConn{Conn: writeTimeoutConn{conn}, reads: reads}
	return &connection{rpc: rpc.NewClientWithCodec(newCodec(counting, limits, recorder)), reads: reads}
}

// countingConn counts the reads that returned data.
type countingConn struct {
	net.Conn
	reads *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}
