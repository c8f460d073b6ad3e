package listener

import (
	"bytes"
	"net/http"
	"syscall"
	"time"

	"comfreyworks/internal/state/memory"
)

const (
	// headerByteCost and headerLineCost are the bytes of memory that a byte and a line of a
	// header take, in the map of the request and in the copies that are forwarded.
	headerByteCost = 2
	headerLineCost = 256
	// incompleteTime is how long a connection may leave a request incomplete, without sending
	// anything, until it is closed to make room for another one.
	incompleteTime = time.Second
)

// holdHeader accounts for a part of a request's header. It returns false if there is no
// memory for it.
func (c *conn) holdHeader(p []byte) bool {
	l := c.listener
	if l.bounds.Memory == nil {
		return true
	}
	l.mu.Lock()
	if c.phase == phaseRequest || c.phase == phaseAnswered {
		l.mu.Unlock()
		return true
	}
	if c.header == nil {
		c.header = l.bounds.Memory.Hold(memory.Header, func() { l.yield(c) })
	}
	hold := c.header
	l.mu.Unlock()
	return hold.TryGrow(int64(headerByteCost*len(p) + headerLineCost*bytes.Count(p, []byte{'\n'})))
}

// yield closes a connection that waits for bytes of its caller.
func (l *Listener) yield(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.yields = true
	_ = c.TCPConn.SetReadDeadline(time.Now())
}

// givesUp reports whether a connection that gives way drops what has arrived of a request. One
// that was idle serves a request that has just come.
func (l *Listener) givesUp(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.yields && l.states[c] != http.StateIdle
}

// makeRoom returns whether one more connection is within the bounds, and how many others are
// open. If it is not, it closes the connection that has been idle for longest, or else the one
// that has left a request incomplete for longest, and returns false if there is neither.
func (l *Listener) makeRoom() (open int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bounds.Connections == 0 {
		return 0, true
	}
	now := time.Now()
	var idle, incomplete *conn
	for other, state := range l.states {
		c, ok := other.(*conn)
		if !ok || c.yields {
			continue
		}
		open++
		switch {
		case state == http.StateIdle:
			if idle == nil || c.idleSince.Before(idle.idleSince) {
				idle = c
			}
		case c.phase != phaseRequest && now.Sub(c.lastSeen()) >= incompleteTime:
			if incomplete == nil || c.lastSeen().Before(incomplete.lastSeen()) {
				incomplete = c
			}
		}
	}
	if open < l.bounds.Connections {
		return open, true
	}
	victim := idle
	if victim == nil {
		victim = incomplete
	}
	if victim == nil {
		return open, false
	}
	victim.yields = true
	_ = victim.TCPConn.SetReadDeadline(now)
	return open - 1, true
}

// limitReceive makes new connections begin with the smallest receive buffer. That of a
// connection that has begun with a larger one may be full before it is accepted.
func (l *Listener) limitReceive() {
	tcp, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = l.bounds.Receive.Limit(raw)
	}
}

// lastSeen returns when the caller last sent something or opened the connection. The mutex
// must be held.
func (c *conn) lastSeen() time.Time {
	if c.readAt.IsZero() {
		return c.openedAt
	}
	return c.readAt
}
