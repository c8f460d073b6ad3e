package memory

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// The first connections, one in ampleConnections, have receive buffers that are ampleBuffer
	// times as large as those of the others.
	ampleConnections = 16
	ampleBuffer      = 4
)

// ReceiveBuffers divides what the kernel may hold of received and unread bytes among
// connections. The zero value leaves the buffers to the kernel.
type ReceiveBuffers struct {
	// Bytes is what all of them may hold together.
	Bytes int64
	// Connections is the maximum number of connections.
	Connections int
}

// Size returns the size in bytes of the receive buffer of a connection while others are open, or
// zero if the kernel chooses it. A few connections have ample buffers.
func (b ReceiveBuffers) Size(open int) int {
	if b.Bytes <= 0 || b.Connections <= 0 {
		return 0
	}
	first := b.Connections / ampleConnections
	size := b.Bytes / int64(b.Connections+(ampleBuffer-1)*first)
	if open < first {
		size *= ampleBuffer
	}
	// The kernel doubles the size for its own bookkeeping, and may fill all of it.
	return int(size / 2)
}

// Limit gives a socket the smallest buffer, before it listens or connects. A buffer can grow
// later, but what has been announced to the other side can't be taken back.
func (b ReceiveBuffers) Limit(socket syscall.RawConn) error {
	size := b.Size(b.Connections)
	if size == 0 {
		return nil
	}
	// A kernel that refuses the size keeps one of its own choice.
	return socket.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
}

// Grow gives an open connection its buffer while others are open.
func (b ReceiveBuffers) Grow(conn interface{ SetReadBuffer(size int) error }, open int) {
	if size := b.Size(open); size > b.Size(b.Connections) {
		_ = conn.SetReadBuffer(size)
	}
}
