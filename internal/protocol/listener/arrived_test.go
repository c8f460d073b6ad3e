package listener

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// progress is what Listener.mu protects of a connection.
type progress struct {
	phase   phase
	arrived int
}

func (l *Listener) peek(c *conn) progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return progress{c.phase, c.arrived}
}

// TestArrivedRequestIsServed guards against closing a connection on which a request has
// arrived, because the process did not get round to reading it before a deadline passed.
func TestArrivedRequestIsServed(t *testing.T) {
	const half = len(getRequest) / 2
	for _, c := range []struct {
		name string
		// limits are those after a stall, in which the rest of a request arrives.
		limits Limits
		// first is how much of the request is read before the stall.
		first int
		stops bool
	}{
		{"idle timeout", Limits{IdleTimeout: time.Nanosecond, HeaderTimeout: time.Minute}, 0, false},
		{"header timeout", Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Nanosecond}, half, false},
		{"stop", Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute}, 0, true},
		{"stop, first byte read", Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute}, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var s *served
			var caller atomic.Pointer[conn]
			var stalled, stallsNext atomic.Bool
			limits := func() Limits {
				if stallsNext.CompareAndSwap(true, false) {
					stalled.Store(true)
					rest := getRequest[c.first:]
					_, err := io.WriteString(s.TCPConn, rest)
					assert.Check(t, err)
					waitFor(t, func() bool { return caller.Load().unread() == len(rest) })
				}
				if stalled.Load() {
					limits := c.limits
					limits.HeaderBytes = 1 << 10
					return limits
				}
				return Limits{HeaderBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			}
			began, finish := make(chan struct{}, 2), make(chan struct{})
			s = serve(t, limits, func(http.ResponseWriter, *http.Request) {
				began <- struct{}{}
				<-finish
			})
			s.send(t, getRequest)
			<-began
			s.mu.Lock()
			for open := range s.states {
				caller.Store(open.(*conn))
			}
			s.mu.Unlock()
			switch {
			case c.first == 1:
				s.send(t, getRequest[:1])
				waitFor(t, func() bool { return s.peek(caller.Load()).arrived == 1 })
			case c.first == 0:
				stallsNext.Store(true)
			}
			if c.stops {
				assert.NilError(t, s.Listener.Close())
				assert.NilError(t, s.group.Wait())
				_ = s.closeIdle()
			}
			close(finish)
			assert.Equal(t, s.receive(t), http.StatusOK)
			switch {
			case c.first == half:
				waitFor(t, func() bool { return s.peek(caller.Load()).phase == phaseWaiting })
				stallsNext.Store(true)
				s.send(t, getRequest[:half])
			case c.first == 1:
				s.send(t, getRequest[1:])
			}
			assert.Equal(t, s.receive(t), http.StatusOK, "the second request was dropped")
		})
	}
}
