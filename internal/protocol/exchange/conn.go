package exchange

import (
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"comfreyworks"
)

const (
	// defaultIdleTimeout is the assumed idle timeout of an upstream that does not
	// send one in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's idle timeout a connection is no
	// longer used. It covers the time that a request takes to reach a slow
	// upstream, and a pause of the upstream when it arrives.
	idleMargin = maxPause + 500*time.Millisecond
	// maxPause is how long a sound upstream, or its machine, may pause, and maxSilence how
	// long two pauses in a row last.
	maxPause   = 2 * time.Second
	maxSilence = 2 * maxPause
	// firstRetransmission is the longest time until the kernel sends bytes once more for the
	// first time.
	firstRetransmission = time.Second
	// tcpUserTimeout is how long sent bytes may stay unacknowledged, or the upstream may leave
	// no room for more, before the kernel breaks the connection. The kernel doubles the time
	// between retransmissions, so that the first one after a silence may come as late as this.
	tcpUserTimeout = 2*maxSilence + firstRetransmission
	// maxOpenAnswers is the maximum number of requests that one connection may have
	// answered in a way that lets them be sent again.
	maxOpenAnswers = 64
	// readBufferBytes is the size of the transport's read buffer.
	readBufferBytes = 4 << 10
)

var (
	// errExpired means that nothing was written to a connection because the upstream
	// may be about to close it.
	errExpired = errors.New("idle connection has reached the upstream's idle timeout")
	// errSealed means that nothing was written to a connection because the request
	// is sent on another one.
	errSealed = errors.New("request was withdrawn before it was written")
	// errUnasked means that nothing was written to a connection because the upstream
	// had written something unasked.
	errUnasked = errors.New("bytes that answer no request")
	// errAnswered means that nothing was written to a connection because an answer on
	// it might be one to an earlier attempt at the same request.
	errAnswered = errors.New("connection has answered this request before")
)

// hashSeed is the seed of the hashes of request IDs.
var hashSeed = maphash.MakeSeed()

// keepAliveConn is a connection on which an answer belongs to the request that was
// written last, as far as that can be known. Write returns an error if
//
//   - the connection was idle for nearly as long as the upstream's idle timeout,
//   - there are bytes that the upstream wrote before the request,
//   - the connection has answered the same request before and may do so once more.
//
// As no byte of the request has been written then, the request can safely be sent on
// another connection.
type keepAliveConn struct {
	net.Conn
	clock   comfreyworks.Clock
	onClose func()

	mu          sync.Mutex
	changed     sync.Cond
	lastUse     time.Time
	idleTimeout time.Duration
	// writes counts the calls of Write that reached the connection. After sealed or
	// closed is set, none does.
	writes         int
	sealed, closed bool
	// head limits the response header of the current request; nil before the first.
	head *headLimit
	// idle means that nothing of the next request has been written, unasked that
	// something was read meanwhile or left over, reading that Read waits for bytes, and
	// judged that the response to the request that was written last was judged.
	idle, unasked, reading, judged bool
	// request is the hash of the ID of the current request, and answered those of
	// requests that may be sent again.
	request  uint64
	answered []uint64
}

func newKeepAliveConn(conn net.Conn, clock comfreyworks.Clock, onClose func()) *keepAliveConn {
	c := &keepAliveConn{Conn: conn, clock: clock, onClose: sync.OnceFunc(onClose), lastUse: clock.Now(), idleTimeout: defaultIdleTimeout, idle: true}
	c.changed.L = &c.mu
	return c
}

// setIdleTimeout sets the upstream's idle timeout. Zero leaves it unchanged.
func (c *keepAliveConn) setIdleTimeout(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle > 0 {
		c.idleTimeout = idle
	}
}

// beginRequest prepares for the next request, and returns the number of writes so far.
func (c *keepAliveConn) beginRequest(id comfreyworks.RequestID, limit *headLimit) (writes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.head, c.idle = hashID(id), limit, true
	return c.writes
}

// endResponse records that a response has ended. It must be called before anything else
// is read.
func (c *keepAliveConn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// judge records that the header of a response has been read. If it does not belong to the
// request, the connection is closed. If the request may be sent again, that will not be on
// this connection.
func (c *keepAliveConn) judge(id comfreyworks.RequestID, belongs, mayBeSentAgain bool) {
	c.mu.Lock()
	if mayBeSentAgain {
		c.answered = append(c.answered, hashID(id))
	}
	c.judged, c.closed = true, c.closed || !belongs
	c.changed.Broadcast()
	c.mu.Unlock()
	if !belongs {
		_ = c.Conn.Close()
	}
}

// Close implements net.Conn.
func (c *keepAliveConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.onClose()
	return c.Conn.Close()
}

// Read implements net.Conn. Between a response and the next request, the transport reads
// into its whole buffer, unless that holds a part of what is no answer to the request.
func (c *keepAliveConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.unasked = c.unasked || (c.idle && len(p) < readBufferBytes)
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	c.unasked = c.unasked || (n > 0 && c.idle)
	c.lastUse = c.clock.Now()
	head := c.head
	c.mu.Unlock()
	if n > 0 && head != nil {
		head.bytesRead(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *keepAliveConn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.lastUse = c.clock.Now()
	c.mu.Unlock()
	return n, err
}

// beginWrite counts a write, or returns the reason why there must be none. The transport
// may begin a request while its read loop still ends the response before. The first write
// waits until the read loop asks for more bytes: before, some may be left in its buffer,
// which it would take for the answer.
func (c *keepAliveConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.idle && c.writes > 0 && !c.sealed && !c.closed && !c.unasked && (!c.judged || !c.reading) {
		c.changed.Wait()
	}
	switch {
	case c.sealed:
		return errSealed
	case c.closed:
		return net.ErrClosed
	case c.unasked:
		return errUnasked
	case c.idle && (slices.Contains(c.answered, c.request) || len(c.answered) >= maxOpenAnswers):
		return errAnswered
	case c.clock.Since(c.lastUse) > c.idleTimeout-min(idleMargin, c.idleTimeout/2):
		return errExpired
	}
	if c.idle {
		c.idle, c.judged = false, false
	}
	c.writes++
	return nil
}

func hashID(id comfreyworks.RequestID) uint64 { return maphash.String(hashSeed, string(id)) }

// hasUnasked reports whether the upstream has written something unasked.
func (c *keepAliveConn) hasUnasked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unasked
}

// sealUnsent reports whether nothing was written since beginRequest returned the
// given number. If so, nothing will be: the transport may return the error of its
// read loop while its write loop has not started yet.
func (c *keepAliveConn) sealUnsent(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	c.changed.Broadcast()
	return true
}

// setTCPUserTimeout makes the kernel break a connection on which the peer no longer
// acknowledges data.
func setTCPUserTimeout(conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
