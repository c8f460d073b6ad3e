package listener

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
)

// bounded serves with bounds, and returns a function that opens a connection.
func bounded(t *testing.T, bounds Bounds) (l *Listener, dial func() net.Conn) {
	t.Helper()
	l = New(listen(t), func() Limits {
		return Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	})
	l.Bound(bounds)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	var group errgroup.Group
	group.Go(func() error { return l.Serve(server) })
	t.Cleanup(func() {
		_ = server.Close()
		assert.Check(t, group.Wait())
	})
	return l, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// ask sends a request, of which more is added to the header, and returns the status line of
// the answer, which is empty if there is none.
func ask(t *testing.T, c net.Conn, more string) string {
	t.Helper()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+more+"\r\n")
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer := make([]byte, 12)
	n, _ := io.ReadFull(c, answer)
	return string(answer[:n])
}

const answered = "HTTP/1.1 200"

// TestConnections guards against more connections than a process can bear, and against
// callers that find no room because others leave theirs unused.
func TestConnections(t *testing.T) {
	const limit = 3
	for name, use := range map[string]func(t *testing.T, l *Listener, c net.Conn){
		"idle": func(t *testing.T, l *Listener, c net.Conn) {
			assert.Equal(t, ask(t, c, ""), answered)
			waitFor(t, func() bool { return l.count(http.StateActive)+l.count(http.StateNew) == 0 })
		},
		"unused": func(*testing.T, *Listener, net.Conn) { time.Sleep(incompleteTime) },
		"half a header": func(_ *testing.T, _ *Listener, c net.Conn) {
			_, _ = io.WriteString(c, "GET /")
			time.Sleep(incompleteTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, dial := bounded(t, Bounds{Connections: limit})
			for range limit {
				use(t, l, dial())
			}
			for range 2 * limit {
				assert.Equal(t, ask(t, dial(), ""), answered)
			}
			waitFor(t, func() bool { return l.count(http.StateIdle)+l.count(http.StateActive)+l.count(http.StateNew) <= limit })
		})
	}
	t.Run("those that are used stay", func(t *testing.T) {
		l, dial := bounded(t, Bounds{Connections: limit})
		var used []net.Conn
		for range limit {
			c := dial()
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
			used = append(used, c)
		}
		waitFor(t, func() bool { return l.count(http.StateNew) == limit })
		assert.Equal(t, ask(t, dial(), ""), "")
		for _, c := range used {
			_, _ = io.WriteString(c, "Host: a\r\n")
			assert.Equal(t, ask(t, c, ""), "HTTP/1.1 400", "two hosts")
		}
	})
}

// TestHeaders guards against headers that together take more memory than there is, and
// against one that is refused in calm.
func TestHeaders(t *testing.T) {
	var lines strings.Builder
	for i := range 1000 {
		_, _ = fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	budget := memory.New(memory.Options{Limit: 1 << 20, Clock: clockwork.NewRealClock(), Meter: meter.New()})
	_, dial := bounded(t, Bounds{Memory: budget})
	var held []net.Conn
	for range 8 {
		c := dial()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+lines.String())
		held = append(held, c)
	}
	waitFor(t, func() bool { return ask(t, dial(), lines.String()) == "HTTP/1.1 503" })
	assert.Equal(t, ask(t, dial(), ""), answered, "a small header uses the reserve")
	for _, c := range held {
		_ = c.Close()
	}
	waitFor(t, func() bool { return ask(t, dial(), lines.String()) == answered })
}
