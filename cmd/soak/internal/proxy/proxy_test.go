package proxy

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// echo returns what it gets until the test ends.
func echo(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			group.Go(func() error {
				_, err := io.Copy(conn, conn)
				_ = conn.Close()
				return err
			})
		}
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func open(t *testing.T) (*Proxy, net.Conn) {
	t.Helper()
	p, err := New(echo(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	conn, err := net.Dial("tcp", p.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return p, conn
}

func expectEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	assert.NilError(t, err)
}

func TestTroubles(t *testing.T) {
	for _, kind := range []Kind{None, Slow} {
		t.Run("passes on when "+string(kind), func(t *testing.T) {
			p, conn := open(t)
			p.Set(Trouble{Kind: kind, Delay: time.Millisecond})
			expectEcho(t, conn)
		})
	}
	for _, kind := range []Kind{Silent, Deaf} {
		t.Run("holds back until the end when "+string(kind), func(t *testing.T) {
			p, conn := open(t)
			p.Set(Trouble{Kind: kind})
			_, err := conn.Write([]byte("x"))
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			_, err = conn.Read(make([]byte, 1))
			assert.ErrorContains(t, err, "timeout")
			assert.NilError(t, conn.SetReadDeadline(time.Time{}))
			p.Set(Trouble{})
			_, err = io.ReadFull(conn, make([]byte, 1))
			assert.NilError(t, err)
		})
	}
	t.Run("resets open connections and new ones", func(t *testing.T) {
		p, conn := open(t)
		expectEcho(t, conn)
		p.Set(Trouble{Kind: Refused})
		_, err := conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		// The reset may come before the dialer has returned.
		late, err := net.Dial("tcp", p.Address().String())
		if err == nil {
			_, err = late.Read(make([]byte, 1))
		}
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	})
}
