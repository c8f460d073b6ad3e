package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// testLimits are small enough that a test reaches them.
var testLimits = MessageLimits{Bytes: 1 << 20, Time: 50 * time.Millisecond}

// writeEndlessly writes a text again and again until the connection is closed, and
// returns the error of the last write.
func writeEndlessly(conn net.Conn, start, text []byte, pause time.Duration) error {
	_, err := conn.Write(start)
	for err == nil {
		time.Sleep(pause)
		_, err = conn.Write(text)
	}
	return err
}

// messageStart is the start of a gob message of 256 MB.
var messageStart = []byte{0xfc, 0x10, 0, 0, 0}

// answerToNoCall returns a complete answer to a call that was never made, without the
// type definitions that only the first message of a connection has.
func answerToNoCall(t *testing.T) (first, next []byte) {
	t.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	encode := func() []byte {
		assert.NilError(t, encoder.Encode(&rpc.Response{ServiceMethod: "Peer.Read", Seq: 99}))
		assert.NilError(t, encoder.Encode(Empty{}))
		written := bytes.Clone(buffer.Bytes())
		buffer.Reset()
		return written
	}
	first = encode()
	return first, encode()
}

// TestEndlessAnswer guards against a peer whose answer never ends: its connection must
// be closed at a bound, and a later call must open another one.
func TestEndlessAnswer(t *testing.T) {
	first, next := answerToNoCall(t)
	for name, c := range map[string]struct {
		start, text []byte
		pause       time.Duration
	}{
		"one message":             {messageStart, make([]byte, 32<<10), 0},
		"one message, in pieces":  {messageStart, []byte{0}, 5 * time.Millisecond},
		"answers to no call":      {first, next, 0},
		"bytes without a message": {nil, []byte{0}, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var ended, connections atomic.Int32
			address := listen(t, func(conn net.Conn) {
				connections.Add(1)
				if serverHandshake(conn, secret) == nil {
					_ = writeEndlessly(conn, c.start, c.text, c.pause)
				}
				ended.Add(1)
			})
			clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewFakeClock(), Limits: testLimits})
			defer clients.Close()
			for n := range int32(2) {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				_, err := clients.To(address).Read(ctx, "s1", 0, 0)
				assert.Assert(t, err != nil)
				assert.NilError(t, ctx.Err(), "the call ended only with its context")
				cancel()
				waitFor(func() bool { return ended.Load() == n+1 })
			}
			assert.Equal(t, connections.Load(), int32(2))
		})
	}
}

// TestEndlessCall guards against a client whose request never ends.
func TestEndlessCall(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "in pieces": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			server, err := NewServer(secret, new(echoReceiver))
			assert.NilError(t, err)
			server.Limits = testLimits
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return server.Serve(ctx, listener) })
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			assert.NilError(t, clientHandshake(conn, secret))
			assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			text := []byte{0}
			if pause == 0 {
				text = make([]byte, 32<<10)
			}
			written := &countingWriter{Conn: conn}
			err = writeEndlessly(written, messageStart, text, pause)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection was left open")
			assert.Assert(t, written.n < 256<<20, "the whole message was read")
			assert.NilError(t, conn.Close())
			cancel()
			assert.NilError(t, group.Wait())
		})
	}
}

// TestLargeMessage guards against cutting a sound message.
func TestLargeMessage(t *testing.T) {
	address, _ := serve(t)
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
	defer clients.Close()
	id := comfreyworks.StreamID(bytes.Repeat([]byte("x"), 16<<20))
	for range 2 {
		update, err := clients.To(address).Read(context.Background(), id, 0, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, update.Frames[0] == string(id))
	}
}

// TestEndlessHandshake guards against waiting for a handshake that trickles, or reading
// on after it.
func TestEndlessHandshake(t *testing.T) {
	var ended atomic.Int32
	address := listen(t, func(conn net.Conn) {
		_ = writeEndlessly(conn, nil, make([]byte, nonceBytes), 0)
		ended.Add(1)
	})
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
	defer clients.Close()
	_, err := read(clients.To(address), "s1")
	assertErrorKind(t, err, KindSecret)
	waitFor(func() bool { return ended.Load() == 1 })
}

// countingWriter counts the bytes that were written to a connection.
type countingWriter struct {
	net.Conn
	n int
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n += n
	return n, err
}

// listen calls a function for each connection until the test ends.
func listen(t *testing.T, handle func(conn net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				handle(conn)
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// waitFor polls until a condition holds. It has no timeout of its own.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}
