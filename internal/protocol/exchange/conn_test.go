package exchange

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// newPipedConn returns a connection that accepts all writes, and its other side.
func newPipedConn(t *testing.T) (*keepAliveConn, *clockwork.FakeClock, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	clock := clockwork.NewFakeClock()
	return newKeepAliveConn(discardConn{near}, clock, func() {}), clock, far
}

func (c *keepAliveConn) readSome() error {
	_, err := c.Read(make([]byte, readBufferBytes))
	return err
}

// TestUnasked guards against writing a request on a connection from which something was
// read, or may still be in the buffer of the reader, that it could not answer.
func TestUnasked(t *testing.T) {
	write := func(c *keepAliveConn) error {
		_, err := c.Write([]byte("x"))
		return err
	}
	t.Run("on a new connection", func(t *testing.T) {
		c, _, far := newPipedConn(t)
		var group errgroup.Group
		group.Go(func() error { return c.readSome() })
		_, err := far.Write([]byte("x"))
		assert.NilError(t, errors.Join(err, group.Wait()))
		c.beginRequest("r", nil)
		assert.ErrorIs(t, write(c), errUnasked)
	})
	for name, end := range map[string]struct {
		by   func(c *keepAliveConn)
		want error
	}{
		"the reader asks for more":    {func(c *keepAliveConn) { _ = c.readSome() }, nil},
		"it asks for a missing part":  {func(c *keepAliveConn) { _, _ = c.Read(make([]byte, readBufferBytes-1)) }, errUnasked},
		"it is closed":                {func(c *keepAliveConn) { _ = c.Close() }, net.ErrClosed},
		"it is withdrawn":             {func(c *keepAliveConn) { c.sealUnsent(1) }, errSealed},
		"the answer before is judged": {func(c *keepAliveConn) { c.judge("q", false, false) }, net.ErrClosed},
	} {
		t.Run("a write waits until "+name, func(t *testing.T) {
			c, _, far := newPipedConn(t)
			c.beginRequest("q", nil)
			assert.NilError(t, write(c))
			c.judge("q", true, false)
			c.endResponse()
			c.beginRequest("r", nil)
			var group errgroup.Group
			written := make(chan error, 1)
			group.Go(func() error { written <- write(c); return nil })
			select {
			case err := <-written:
				t.Fatalf("written at once: %v", err)
			case <-time.After(20 * time.Millisecond):
			}
			group.Go(func() error { end.by(c); return nil })
			assert.ErrorIs(t, <-written, end.want)
			assert.NilError(t, errors.Join(far.Close(), group.Wait()))
		})
	}
}

// TestSealUnsent guards against reporting a request as lost of which nothing was
// written, and against writing a request after it was sent elsewhere: the transport
// reports the error of its read loop while its write loop may not have started.
func TestSealUnsent(t *testing.T) {
	t.Run("after a refused write nothing was sent", func(t *testing.T) {
		c, clock, _ := newPipedConn(t)
		writes := c.beginRequest("r", nil)
		clock.Advance(defaultIdleTimeout)
		_, err := c.Write([]byte("x"))
		assert.ErrorIs(t, err, errExpired)
		assert.Assert(t, c.sealUnsent(writes))
	})
	t.Run("after a write the request may have been sent", func(t *testing.T) {
		c, _, _ := newPipedConn(t)
		writes := c.beginRequest("r", nil)
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		assert.Assert(t, !c.sealUnsent(writes))
	})
	t.Run("writes of earlier requests do not count", func(t *testing.T) {
		c, clock, _ := newPipedConn(t)
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		clock.Advance(time.Second)
		assert.Assert(t, c.sealUnsent(c.beginRequest("r", nil)))
	})
	t.Run("nothing is written after it", func(t *testing.T) {
		c, _, _ := newPipedConn(t)
		assert.Assert(t, c.sealUnsent(c.beginRequest("r", nil)))
		_, err := c.Write([]byte("x"))
		assert.ErrorIs(t, err, errSealed)
	})
}

// discardConn accepts all writes.
type discardConn struct{ net.Conn }

// Write implements net.Conn.
func (discardConn) Write(p []byte) (int, error) { return len(p), nil }
