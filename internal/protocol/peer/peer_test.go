package peer

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

const secret = "a secret of the tests"

// echoReceiver answers Read with the stream's ID as the only frame, and with an
// error for the stream "broken".
type echoReceiver struct {
	reads atomic.Int32
	// hold blocks reads of the stream "held" until it is closed.
	hold chan struct{}
}

func (e *echoReceiver) Read(args ReadArgs, reply *comfreyworks.StreamUpdate) error {
	e.reads.Add(1)
	if args.Stream == "held" {
		<-e.hold
	}
	if args.Stream == "broken" {
		return errors.New("out of order")
	}
	reply.Frames = []string{string(args.Stream)}
	return nil
}

// serve runs a server until the test ends.
func serve(t *testing.T) (netip.AddrPort, *echoReceiver) {
	t.Helper()
	receiver := new(echoReceiver)
	return serveReceiver(t, receiver), receiver
}

// serveReceiver runs a server for a receiver until the test ends.
func serveReceiver(t *testing.T, receiver any) netip.AddrPort {
	t.Helper()
	server, err := NewServer(secret, receiver)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func assertErrorKind(t *testing.T, err error, kind Kind) {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "got %v", err)
	assert.Equal(t, e.Kind, kind, "%v", err)
	assert.Equal(t, errors.Is(err, comfreyworks.ErrNotSent), kind == KindNotSent || kind == KindSecret)
	assert.Equal(t, errors.Is(err, comfreyworks.ErrNoAnswer), kind == KindNoAnswer)
}

func read(c *Client, id comfreyworks.StreamID) (comfreyworks.StreamUpdate, error) {
	return c.Read(context.Background(), id, 0, 0)
}

func TestClient(t *testing.T) {
	address, receiver := serve(t)
	t.Run("call", func(t *testing.T) {
		clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
		defer clients.Close()
		update, err := read(clients.To(address), "s1")
		assert.NilError(t, err)
		assert.DeepEqual(t, update.Frames, []string{"s1"})
		_, err = read(clients.To(address), "broken")
		assertErrorKind(t, err, KindRemote)
	})
	t.Run("wrong secret", func(t *testing.T) {
		before := receiver.reads.Load()
		clients := NewClients(ClientOptions{Secret: "another secret", Clock: clockwork.NewRealClock()})
		defer clients.Close()
		_, err := read(clients.To(address), "s1")
		assertErrorKind(t, err, KindSecret)
		assert.Equal(t, receiver.reads.Load(), before)
	})
	t.Run("no listener", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		gone := listener.Addr().(*net.TCPAddr).AddrPort()
		assert.NilError(t, listener.Close())
		clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
		_, err = read(clients.To(gone), "s1")
		assertErrorKind(t, err, KindNotSent)
	})
}

// blackholeConn discards all writes once silent is set, like a connection that a
// NAT or firewall between the two ends has forgotten.
type blackholeConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentConnection checks that a call on a connection that has gone silent
// times out and that the next call dials a new one.
func TestSilentConnection(t *testing.T) {
	address, _ := serve(t)
	clock := clockwork.NewFakeClock()
	var silent atomic.Bool
	var dials atomic.Int32
	clients := NewClients(ClientOptions{Secret: secret, Clock: clock, Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		conn, err := dialTCP(ctx, a)
		if dials.Add(1) > 1 {
			return conn, err
		}
		return blackholeConn{Conn: conn, silent: &silent}, err
	}})
	defer clients.Close()
	client := clients.To(address)
	_, err := read(client, "s1")
	assert.NilError(t, err)

	silent.Store(true)
	var group errgroup.Group
	group.Go(func() error {
		_, err := read(client, "s2")
		return err
	})
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(callTimeout)
	assertErrorKind(t, group.Wait(), KindNoAnswer)

	update, err := read(client, "s3")
	assert.NilError(t, err)
	assert.DeepEqual(t, update.Frames, []string{"s3"})
	assert.Equal(t, dials.Load(), int32(2))
}

// TestShortTimeoutsKeepConnection guards against giving up a connection after one short wait,
// and against keeping one on which all calls wait in vain, whichever ends them.
func TestShortTimeoutsKeepConnection(t *testing.T) {
	const short = callTimeout / 4
	for name, timeout := range map[string]time.Duration{"their own timeout": short, "their context": callTimeout} {
		t.Run(name, func(t *testing.T) {
			address, receiver := serve(t)
			receiver.hold = make(chan struct{})
			defer close(receiver.hold)
			clock := clockwork.NewFakeClock()
			clients := NewClients(ClientOptions{Secret: secret, Clock: clock})
			defer clients.Close()
			client := clients.To(address)
			_, err := read(client, "s1")
			assert.NilError(t, err)
			// Each call ends without an answer. The connection is retired only after these calls
			// have waited for callTimeout together.
			for i := range 4 {
				before, _ := client.currentConn()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				var group errgroup.Group
				group.Go(func() error {
					_, err := call[comfreyworks.StreamUpdate](ctx, client, "Read", ReadArgs{Stream: "held"}, timeout)
					return err
				})
				assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
				clock.Advance(short)
				if timeout > short {
					cancel()
				}
				assertErrorKind(t, group.Wait(), KindNoAnswer)
				after, _ := client.currentConn()
				assert.Equal(t, before == after, i != 3, "call %d", i)
			}
		})
	}
}

// TestRetiredConnectionFinishesCalls checks that a connection on which one call
// timed out is replaced for new calls but still delivers the answer to another
// call that waits on it.
func TestRetiredConnectionFinishesCalls(t *testing.T) {
	address, receiver := serve(t)
	receiver.hold = make(chan struct{})
	clock := clockwork.NewFakeClock()
	clients := NewClients(ClientOptions{Secret: secret, Clock: clock})
	defer clients.Close()
	client := clients.To(address)
	hold := func(wait time.Duration) *errgroup.Group {
		group := new(errgroup.Group)
		group.Go(func() error {
			_, err := client.Read(context.Background(), "held", 0, wait)
			return err
		})
		return group
	}
	longRead, shortRead := hold(callTimeout), hold(0)
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 2))
	for receiver.reads.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	before, _ := client.currentConn()
	clock.Advance(callTimeout)
	assertErrorKind(t, shortRead.Wait(), KindNoAnswer)

	_, err := read(client, "s1")
	assert.NilError(t, err)
	after, _ := client.currentConn()
	assert.Assert(t, before != after)
	close(receiver.hold)
	assert.NilError(t, longRead.Wait())
}

// TestSlowCallIsExtended checks that a call that times out while another call is
// answered on the same connection gets more time instead of failing.
func TestSlowCallIsExtended(t *testing.T) {
	address, receiver := serve(t)
	receiver.hold = make(chan struct{})
	clock := clockwork.NewFakeClock()
	clients := NewClients(ClientOptions{Secret: secret, Clock: clock})
	defer clients.Close()
	client := clients.To(address)
	var group errgroup.Group
	group.Go(func() error {
		_, err := read(client, "held")
		return err
	})
	for receiver.reads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The answer to this call shows that the connection works.
	_, err := read(client, "s1")
	assert.NilError(t, err)
	clock.Advance(callTimeout)
	close(receiver.hold)
	assert.NilError(t, group.Wait())
}

// TestServerWithoutSecret checks that a client rejects a server that does not
// know the secret, including one that returns the client's own proof.
func TestServerWithoutSecret(t *testing.T) {
	impostors := map[string]func(conn net.Conn){
		"another secret": func(conn net.Conn) { _ = serverHandshake(conn, "another secret") },
		"returns the client's proof": func(conn net.Conn) {
			_, _ = conn.Write(make([]byte, nonceBytes))
			answer := make([]byte, nonceBytes+sha256.Size)
			_, _ = io.ReadFull(conn, answer)
			_, _ = conn.Write(answer[nonceBytes:])
		},
	}
	for name, impostor := range impostors {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			var group errgroup.Group
			group.Go(func() error {
				impostor(server)
				return server.Close()
			})
			assertErrorKind(t, clientHandshake(client, secret), KindSecret)
			assert.NilError(t, client.Close())
			assert.NilError(t, group.Wait())
		})
	}
}

// TestHandshakeCutShort checks that the server rejects a client that closes the
// connection after any number of bytes of the server's nonce.
func TestHandshakeCutShort(t *testing.T) {
	for bytes := range nonceBytes + 1 {
		client, server := net.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			err := serverHandshake(server, secret)
			_ = server.Close()
			return err
		})
		_ = client.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.CopyN(io.Discard, client, int64(bytes))
		_ = client.Close()
		assert.Assert(t, group.Wait() != nil)
	}
}
