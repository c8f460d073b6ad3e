package gateway

import (
	"bufio"
	"context"
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

	"comfreyworks/internal/standin/replica"
)

// stopping is a gateway that can be stopped, with a connection to it.
type stopping struct {
	*fixture
	net.Conn
	reader *bufio.Reader
	stop   context.CancelFunc
	group  errgroup.Group
}

// startStopping runs a gateway before upstreams that take a time for each event or
// answer. Its grace period ends a given time after it stops accepting connections.
func startStopping(t *testing.T, pause, rest time.Duration) *stopping {
	t.Helper()
	s := &stopping{fixture: newFixtureBehind(t, func(r *replica.Replica) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.ServeHTTP(&slowWriter{w, pause}, req) })
	})}
	options := s.gateway.options
	options.Clock = clockwork.NewRealClock()
	options.Settings.Bounds.StopGrace = shutdownDelay + shutdownMargin + rest
	g := New(options)
	s.gateway = g
	listeners := Listeners{Requests: listen(t), Ready: listen(t)}
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	s.group.Go(func() error { return g.Run(ctx, listeners) })
	waitFor(t, func() bool { return g.notReadyReason() == "" })
	var err error
	s.Conn, err = net.Dial("tcp", listeners.Requests.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		s.stop()
		_ = s.Close()
		assert.NilError(t, s.group.Wait())
	})
	s.reader = bufio.NewReader(s.Conn)
	return s
}

// text returns a request as it is sent.
func (s *stopping) text(t *testing.T, path string) string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, s.request(t, http.MethodPost, path, "text").Write(&text))
	return text.String()
}

func (s *stopping) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(s.Conn, text)
	assert.NilError(t, err)
}

// receive reads an answer, which must be complete.
func (s *stopping) receive(t *testing.T) *http.Response {
	t.Helper()
	answer, err := http.ReadResponse(s.reader, nil)
	assert.NilError(t, err, "no answer")
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err, "incomplete answer")
	return answer
}

// slowWriter sends an answer, or each event, after a pause.
type slowWriter struct {
	http.ResponseWriter
	pause time.Duration
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.pause)
	return w.ResponseWriter.Write(p)
}

func (w *slowWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestCloseIsAnnounced guards against closing a connection after an answer that let
// its caller send another request.
func TestCloseIsAnnounced(t *testing.T) {
	for _, c := range []struct {
		path   string
		fault  replica.Fault
		status int
	}{
		{"/book/1", "", http.StatusOK},
		{"/note/1", "", http.StatusOK},
		{"/book/1", replica.FaultBusy, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprint(c.path, " ", c.status), func(t *testing.T) {
			t.Parallel()
			s := startStopping(t, 100*time.Millisecond, time.Second)
			s.failFirst(s.services, c.fault, 10)
			text := s.text(t, c.path)
			s.send(t, text[:len(text)-2])
			time.Sleep(200 * time.Millisecond)
			s.stop()
			time.Sleep(200 * time.Millisecond)
			s.send(t, text[len(text)-2:])
			answer := s.receive(t)
			assert.Equal(t, answer.StatusCode, c.status)
			assert.Assert(t, answer.Close)
		})
	}
}

// TestLateRequestDuringShutdown guards against beginning a stream that a stopping
// gateway must cut off, for a request that was complete too late.
func TestLateRequestDuringShutdown(t *testing.T) {
	for _, part := range []string{"header", "body"} {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			s := startStopping(t, 300*time.Millisecond, 1200*time.Millisecond)
			text := s.text(t, "/note/1")
			sent := 30
			if part == "body" {
				sent = len(text) - 2
			}
			s.send(t, s.text(t, "/book/1"))
			assert.Equal(t, s.receive(t).StatusCode, http.StatusOK)
			s.stop()
			time.Sleep(shutdownDelay - 200*time.Millisecond)
			s.send(t, text[:sent])
			time.Sleep(1100 * time.Millisecond)
			s.send(t, text[sent:])
			assert.Equal(t, s.receive(t).StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, len(s.runs(s.engines)), 0)
		})
	}
}

// TestBodyIncompleteAtTheEnd guards against closing the connection of a request whose
// body is still arriving when the grace period ends, without a refusal.
func TestBodyIncompleteAtTheEnd(t *testing.T) {
	s := startStopping(t, 0, 300*time.Millisecond)
	text := s.text(t, "/book/1")
	s.send(t, text[:len(text)-2])
	s.stop()
	assert.Equal(t, s.receive(t).StatusCode, http.StatusServiceUnavailable)
}

// TestHeaderLimitFollowsRouting guards against refusing a header that the routing in
// force allows, because the limit of an earlier one is still applied.
func TestHeaderLimitFollowsRouting(t *testing.T) {
	s := startStopping(t, 0, 0)
	s.send(t, s.text(t, "/book/1"))
	assert.Equal(t, s.receive(t).StatusCode, http.StatusOK)
	s.source.change(func(source *memorySource) { source.routing.Limits.HeaderBytes = 256 << 10 })
	time.Sleep(300 * time.Millisecond)
	s.send(t, strings.Replace(s.text(t, "/book/1"), "\r\n\r\n", "\r\nX-Long: "+strings.Repeat("x", 128<<10)+"\r\n\r\n", 1))
	assert.Equal(t, s.receive(t).StatusCode, http.StatusOK)
}
