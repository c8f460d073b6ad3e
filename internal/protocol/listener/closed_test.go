package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// getRequest is a complete request.
const getRequest = "GET / HTTP/1.1\r\nHost: api.example\r\n\r\n"

// served is a listener that serves one connection.
type served struct {
	*Listener
	*net.TCPConn
	reader *bufio.Reader
	server *http.Server
	group  errgroup.Group
	closed chan Closed
}

func serve(t *testing.T, limits func() Limits, handler http.HandlerFunc) *served {
	t.Helper()
	s := &served{Listener: New(listen(t), limits), server: &http.Server{Handler: handler}, closed: make(chan Closed, 10)}
	s.OnClosed(func(c Closed) { s.closed <- c })
	s.group.Go(func() error { return s.Serve(s.server) })
	dialed, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	s.TCPConn = dialed.(*net.TCPConn)
	s.reader = bufio.NewReader(s.TCPConn)
	t.Cleanup(func() {
		_ = s.TCPConn.Close()
		assert.NilError(t, s.server.Close())
		assert.NilError(t, s.group.Wait())
	})
	return s
}

func (s *served) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(s.TCPConn, text)
	assert.NilError(t, err)
}

// receive returns the status of the next answer, or zero if there is none.
func (s *served) receive(t *testing.T) int {
	t.Helper()
	assert.NilError(t, s.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return 0
	}
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return answer.StatusCode
}

// TestClosedConnections guards against connections that end while their caller waits for
// an answer, without a trace of why.
func TestClosedConnections(t *testing.T) {
	second := func() Limits {
		return Limits{HeaderBytes: 1 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	}
	for _, c := range []struct {
		name, send string
		kept       bool
		end        func(*served)
		want       Closed
	}{
		{name: "idle", kept: true, want: Closed{Reason: ReasonIdle, LimitThen: 200 * time.Millisecond}},
		{name: "half a header", kept: true, send: getRequest[:20], want: Closed{Reason: ReasonHeaderTimeout, Arrived: 20}},
		{name: "header too large", send: "GET /" + strings.Repeat("x", 10_000), want: Closed{Reason: ReasonHeaderTooLarge}},
		{name: "malformed", send: "GET\r\n\r\n", want: Closed{Reason: ReasonMalformed, Arrived: 7}},
		{name: "panic", send: "GET /abort HTTP/1.1\r\nHost: api.example\r\n\r\n", want: Closed{Reason: ReasonUnanswered}},
		{name: "caller left", kept: true, send: getRequest[:20], end: func(s *served) { _ = s.CloseWrite() }, want: Closed{Reason: ReasonCaller, Arrived: 20}},
		{name: "stop", end: func(s *served) { _ = s.server.Close() }, want: Closed{Reason: ReasonStop}},
		{
			name: "last answer, more sent", send: "GET /close HTTP/1.1\r\nHost: api.example\r\n\r\n" + strings.Repeat("x", 20_000),
			want: Closed{Reason: ReasonAnswered, Unread: 1},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, second, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/abort":
					panic(http.ErrAbortHandler)
				case "/close":
					w.Header().Set("Connection", "close")
				}
			})
			if c.kept {
				s.send(t, getRequest)
				assert.Equal(t, s.receive(t), http.StatusOK)
			}
			_, _ = io.WriteString(s.TCPConn, c.send)
			if c.end != nil {
				waitFor(t, func() bool { return s.count(http.StateNew)+s.count(http.StateActive) > 0 })
				c.end(s)
			}
			got := <-s.closed
			assert.Equal(t, got.Reason, c.want.Reason)
			assert.Equal(t, got.Remote.String(), s.TCPConn.LocalAddr().String())
			if c.want.Arrived > 0 {
				assert.Equal(t, got.Arrived, c.want.Arrived)
			}
			if c.want.LimitThen > 0 {
				assert.Equal(t, got.LimitThen, c.want.LimitThen)
				assert.Assert(t, got.Elapsed >= got.LimitThen)
			}
			assert.Equal(t, got.Unread > 0, c.want.Unread > 0, "unread: %d", got.Unread)
		})
	}
}
