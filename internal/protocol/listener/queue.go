package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxQueued is the maximum number of connections that are accepted after the stop: callers may
// open new ones meanwhile.
const maxQueued = 1024

// stopAccepting makes Accept return what is in the queue of the kernel, and then errClosed.
func (l *Listener) stopAccepting() {
	l.closed.Store(true)
	deadline, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || deadline.SetDeadline(time.Now()) != nil {
		_ = l.Listener.Close()
	}
}

// acceptQueued accepts a connection that the kernel has established, although the deadline of
// the listener has passed, or returns errClosed if there is none. A process that was stalled
// did not get round to accepting it, and the kernel would reset it, with the request on it.
func (l *Listener) acceptQueued() (net.Conn, error) {
	listener, ok := l.Listener.(syscall.Conn)
	if l.queued++; !ok || l.queued > maxQueued {
		return nil, errClosed
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, errClosed
	}
	fd := -1
	// Unlike Accept, this ignores the deadline.
	if raw.Control(func(listening uintptr) { fd, err = accept(int(listening)) }) != nil || err != nil {
		return nil, errClosed
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	accepted, err := net.FileConn(file)
	if err != nil {
		return nil, errClosed
	}
	return accepted, nil
}

// accept accepts a connection without waiting for one.
func accept(listening int) (fd int, err error) {
	for {
		fd, _, err = unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.ECONNABORTED) {
			return fd, err
		}
	}
}
