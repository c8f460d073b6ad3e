package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// longReceiver answers Read with many bytes, and closes returned before.
type longReceiver struct{ returned chan struct{} }

func (l *longReceiver) Read(_ ReadArgs, reply *comfreyworks.StreamUpdate) error {
	reply.Frames = []string{string(make([]byte, 8<<20))}
	close(l.returned)
	return nil
}

// TestAnswerSentBeforeClose guards against losing the answer of a call that has ended
// when its server stops.
func TestAnswerSentBeforeClose(t *testing.T) {
	receiver := &longReceiver{returned: make(chan struct{})}
	server, err := NewServer(secret, receiver)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error {
		<-receiver.returned
		cancel()
		return nil
	})
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
	defer clients.Close()
	update, err := read(clients.To(listener.Addr().(*net.TCPAddr).AddrPort()), "s1")
	assert.NilError(t, err)
	assert.Equal(t, len(update.Frames), 1)
	assert.NilError(t, group.Wait())
}

// TestAnswerSentBeforeUnreadCalls guards against losing an answer because the server
// closes its connection, and so resets it, while the client sends further calls.
func TestAnswerSentBeforeUnreadCalls(t *testing.T) {
	receiver := &longReceiver{returned: make(chan struct{})}
	server, err := NewServer(secret, receiver)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
	defer clients.Close()
	client := clients.To(listener.Addr().(*net.TCPAddr).AddrPort())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error {
		<-receiver.returned
		cancel()
		_, err := read(client, comfreyworks.StreamID(make([]byte, 4<<20)))
		assert.Check(t, err != nil, "a stopping server has executed another call")
		return nil
	})
	update, err := read(client, "s1")
	assert.NilError(t, err)
	assert.Equal(t, len(update.Frames), 1)
	assert.NilError(t, group.Wait())
}

// TestStopIsBounded guards against a server that never stops because a call does not
// return, and against one that waits for it although it is to close its connections at
// once.
func TestStopIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		closes  bool
	}{"stop timeout": {100 * time.Millisecond, false}, "closed at once": {time.Hour, true}} {
		t.Run(name, func(t *testing.T) {
			receiver := &echoReceiver{hold: make(chan struct{})}
			server, err := NewServer(secret, receiver)
			assert.NilError(t, err)
			server.StopTimeout = c.timeout
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return server.Serve(ctx, listener) })
			clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
			defer clients.Close()
			group.Go(func() error {
				waitFor(func() bool { return receiver.reads.Load() == 1 })
				if c.closes {
					server.Close()
				}
				cancel()
				return nil
			})
			_, err = clients.To(listener.Addr().(*net.TCPAddr).AddrPort()).Read(context.Background(), "held", 0, time.Minute)
			assertErrorKind(t, err, KindNoAnswer)
			close(receiver.hold)
			assert.NilError(t, group.Wait())
		})
	}
}
