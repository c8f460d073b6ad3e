package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// patience decides how long one call waits. Other calls share its connection.
// If anything came back on it while this one waited, the peer is slow and the
// connection is not to blame: closing it would fail every other call too, and
// all of them would be tried again on a peer that is slow already. Such a call
// is given its time again, a few times over. Calls with a short timeout have
// something better to do than to wait.
type patience struct {
	timer      clockwork.Timer
	timeout    time.Duration
	link       *link
	heard      int64
	extensions int
}

// silent reports whether nothing came back since the last look.
func (p *patience) silent() bool { return p.link.heard.Load() == p.heard }

// extend gives the call its time again if that makes sense.
func (p *patience) extend() bool {
	if p.silent() || p.timeout < callTimeout || p.extensions >= maxExtensions {
		return false
	}
	p.extensions++
	p.heard = p.link.heard.Load()
	p.timer.Reset(p.timeout)
	return true
}

// link is one open connection.
type link struct {
	rpc *rpc.Client
	// heard counts the reads that brought something.
	heard *atomic.Int64
	mu    sync.Mutex
	// quietAt and quietSince are the count and the time from which on calls
	// have waited in vain.
	quietAt    int64
	quietSince time.Time
	// calls counts the calls that wait for an answer. A retired link takes no
	// new ones and closes with the last.
	calls   int
	retired bool
}

// enter counts a call that is about to be sent.
func (l *link) enter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

// leave counts a call that no longer waits.
func (l *link) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.closeIfDone()
}

// retire closes the link once no call waits on it. The peer may be starved
// instead of lost: it still answers what it has read.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.closeIfDone()
}

// closeIfDone must be called with the mutex held.
func (l *link) closeIfDone() {
	if l.retired && l.calls == 0 {
		_ = l.rpc.Close()
	}
}

// quietFor is told of a call that waited in vain and returns for how long calls
// have done so without anything coming back. One short wait proves nothing: a
// connection is given up only when the silence has lasted.
func (l *link) quietFor(now time.Time, waited time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := l.heard.Load()
	if l.quietSince.IsZero() || l.quietAt != heard {
		l.quietAt = heard
		l.quietSince = now.Add(-waited)
	}
	return now.Sub(l.quietSince)
}

func newLink(conn net.Conn) *link {
	heard := new(atomic.Int64)
	return &link{rpc: rpc.NewClient(listeningConn{Conn: timedConn{conn}, heard: heard}), heard: heard}
}

// listeningConn counts the reads that brought something.
type listeningConn struct {
	net.Conn
	heard *atomic.Int64
}

// Read implements io.Reader.
func (c listeningConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Add(1)
	}
	return n, err
}
