package peer

import (
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestMaxHandshakes guards against connections whose clients never authenticate themselves
// and which take the descriptors of the process.
func TestMaxHandshakes(t *testing.T) {
	server, err := NewServer(secret, new(echoReceiver))
	assert.NilError(t, err)
	server.MaxHandshakes = 2
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	sound := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
	_, err = read(sound.To(address), "s1")
	assert.NilError(t, err)
	for range 5 {
		conn, err := net.Dial("tcp", address.String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Read(make([]byte, nonceBytes))
		assert.NilError(t, err)
	}
	waitFor(func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.handshakes) <= 2 && len(server.conns) <= 3
	})
	_, err = read(sound.To(address), "s1")
	assert.NilError(t, err, "an authenticated connection was closed")
	sound.Close()
	stop()
	assert.NilError(t, group.Wait())
}
