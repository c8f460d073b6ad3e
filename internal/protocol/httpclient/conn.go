package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a TCP connection that was reset or has timed out, as in
// TCPInfo.State (TCP_CLOSE in Linux).
const tcpClosed = 7

// checkedConn is a connection whose Read does not return io.EOF after a reset. The kernel reports
// the error that ended a connection once, to Read or Write, and to Read returns the end of
// the stream from then on. A response that ends with its connection would look complete if
// Write got the error, because the request was still being written.
type checkedConn struct {
	net.Conn

	mu      sync.Mutex
	written sync.Cond
	// writing is the number of calls of Write that have not returned.
	writing int
	// reset is the error that ended the connection, if a Write got it.
	reset error
}

// NewConn returns a connection like another one whose Read also returns the error that
// ended the connection if Write got it.
func NewConn(base net.Conn) net.Conn {
	c := &checkedConn{Conn: base}
	c.written.L = &c.mu
	return c
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.reset == nil && isReset(err) {
		c.reset = err
	}
	c.written.Broadcast()
	return n, err
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := c.resetCause(); cause != nil {
			err = &Error{Op: "read response", Kind: KindReset, Err: cause}
		}
	}
	return n, err
}

// resetCause returns the error that ended the connection if a Write got it. A Write may
// have got it without having returned yet. On a connection that has ended, it is about to
// return, while on others it may wait for an upstream that does not read.
func (c *checkedConn) resetCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 && isClosed(c.Conn) {
		c.written.Wait()
	}
	return c.reset
}

// isReset reports whether an error of Write is what ended the connection. EPIPE is not: the
// other side had closed the connection before, or Read has got the error.
func isReset(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// isClosed reports whether a connection has ended in both directions. It returns true if
// that is not known.
func isClosed(base net.Conn) bool {
	socket, ok := base.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return controlErr != nil || err != nil || info.State == tcpClosed
}

// dialFunc opens connections, as http.Transport.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// dialWith returns a function that opens connections with another one, nil meaning that of a
// net.Dialer, and checks them.
func dialWith(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(opened), nil
	}
}
