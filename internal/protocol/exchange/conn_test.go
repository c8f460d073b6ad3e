package exchange

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestSealUnsent guards against reporting a request as lost of which nothing was
// written, and against writing a request after it was sent elsewhere: the transport
// reports the error of its read loop while its write loop may not have started.
func TestSealUnsent(t *testing.T) {
	newConn := func(t *testing.T) (*keepAliveConn, *clockwork.FakeClock) {
		near, far := net.Pipe()
		t.Cleanup(func() { _, _ = near.Close(), far.Close() })
		clock := clockwork.NewFakeClock()
		return newKeepAliveConn(discardConn{near}, clock), clock
	}
	t.Run("after a refused write nothing was sent", func(t *testing.T) {
		c, clock := newConn(t)
		writes := c.writeCount()
		clock.Advance(defaultIdleTimeout)
		_, err := c.Write([]byte("x"))
		assert.ErrorIs(t, err, errExpired)
		assert.Assert(t, c.sealUnsent(writes))
	})
	t.Run("after a write the request may have been sent", func(t *testing.T) {
		c, _ := newConn(t)
		writes := c.writeCount()
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		assert.Assert(t, !c.sealUnsent(writes))
	})
	t.Run("writes of earlier requests do not count", func(t *testing.T) {
		c, clock := newConn(t)
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		clock.Advance(time.Second)
		assert.Assert(t, c.sealUnsent(c.writeCount()))
	})
	t.Run("nothing is written after it", func(t *testing.T) {
		c, _ := newConn(t)
		assert.Assert(t, c.sealUnsent(c.writeCount()))
		_, err := c.Write([]byte("x"))
		assert.ErrorIs(t, err, errSealed)
	})
}

// discardConn accepts all writes.
type discardConn struct{ net.Conn }

// Write implements net.Conn.
func (discardConn) Write(p []byte) (int, error) { return len(p), nil }
