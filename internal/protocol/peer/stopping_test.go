package peer

import (
	"context"
	"net"
	"testing"

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
