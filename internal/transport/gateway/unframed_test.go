package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/replica"
)

// rawReplicas answer with bytes that the test chooses. The first request of all gets the
// first answer, the others get the rest of a sound one, up to the end of the connection.
type rawReplicas struct {
	f *fixture
	// head is the status line of the first answer with the fields that frame it.
	head string
	// body is sent in the first answer, after which the connection is reset or, for
	// sending, closed.
	body  string
	reset bool
	// early means that the first answer is sent before the body of its request is read,
	// and its end resetAfter later, while that body is still being written.
	early      bool
	resetAfter time.Duration
	// before precedes the body of all other answers.
	before string

	requests, reused atomic.Int64
}

// replace puts raw replicas in the place of those of the fixture.
func (r *rawReplicas) replace(t *testing.T) {
	t.Helper()
	r.f.serveRaw(t, r.serve)
}

// serveRaw calls serve for each connection to an upstream, with the number of the upstream.
func (f *fixture) serveRaw(t *testing.T, serve func(conn net.Conn, i int) error) {
	t.Helper()
	for i := range f.source.upstreams {
		listener := listen(t)
		var group errgroup.Group
		group.Go(func() error {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return nil
				}
				group.Go(func() error {
					defer func() { _ = conn.Close() }()
					return serve(conn, i)
				})
			}
		})
		t.Cleanup(func() {
			_ = listener.Close()
			f.gateway.upstreamClient.Close()
			assert.Check(t, group.Wait())
		})
		f.source.upstreams[i].Address = netip.MustParseAddrPort(listener.Addr().String())
	}
	f.source.change(func(*memorySource) {})
	f.refresh(t)
}

// serve answers one request, ends its side of the connection and counts what else
// arrives on it.
func (r *rawReplicas) serve(conn net.Conn, i int) error {
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	nth := r.requests.Add(1)
	if nth > 1 || !r.early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return err
		}
	}
	head, body := r.head, r.body
	if nth > 1 {
		head, body = "HTTP/1.1 200 OK", r.before+soundBody(request)
	}
	fields := fmt.Sprintf("%s: %s\r\n%s: d\r\n", r.f.names.RequestID, request.Header.Get(r.f.names.RequestID), r.f.names.Digest)
	if r.f.source.upstreams[i].Pool == "lm" {
		fields += r.f.names.Weights + ": 1\r\n"
	}
	// A reset discards what is still buffered.
	tcp := conn.(*net.TCPConn)
	if err := tcp.SetWriteBuffer(4 << 10); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, head+"\r\n"+fields+"\r\n"+body); err != nil {
		return err
	}
	if nth == 1 && r.reset {
		time.Sleep(r.resetAfter)
		return tcp.SetLinger(0)
	}
	if err := tcp.CloseWrite(); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, reader)
	r.reused.Add(n)
	return err
}

// soundBody returns the whole answer to a request: the rest of a stream, if it resumes
// one.
func soundBody(r *http.Request) string {
	if !strings.HasPrefix(r.URL.Path, "/review") && !strings.HasPrefix(r.URL.Path, "/note") {
		return "whole"
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return strings.TrimPrefix(fullStream(), replica.Stream(last))
}

// TestUnframedAnswers checks answers with neither a length nor chunks, which end with
// their connection: closed, they are complete, unless a stream ends within an event;
// reset, they are not. Their connections must not be used again.
func TestUnframedAnswers(t *testing.T) {
	half := replica.Stream(eventsPerStream / 2)
	large := strings.Repeat("x", 320<<10)
	cases := map[string]struct {
		path, body string
		reset      bool
		status     int
		runs       int64
		cut        bool
		want       string
	}{
		"book: closed":                                {"/book/1", "whole", false, 200, 1, false, "whole"},
		"book: closed, empty":                         {"/book/1", "", false, 200, 1, false, ""},
		"book: closed, large":                         {"/book/1", large, false, 200, 1, false, large},
		"book: reset":                                 {"/book/1", "part", true, 502, 1, false, ""},
		"book: reset, large":                          {"/book/1", large, true, 200, 1, true, ""},
		"look: closed":                                {"/look/1", "whole", false, 200, 1, false, "whole"},
		"look: reset":                                 {"/look/1", "part", true, 200, 2, false, "whole"},
		"review: closed":                              {"/review/1", fullStream(), false, 200, 1, false, fullStream()},
		"review: closed within an event":              {"/review/1", half + "id: 4\ndata: tok", false, 200, 1, true, half},
		"review: closed before an empty line":         {"/review/1", strings.TrimSuffix(half, "\n"), false, 200, 1, true, replica.Stream(eventsPerStream/2 - 1)},
		"review: closed within the first event":       {"/review/1", "id: 1\nda", false, 502, 1, false, ""},
		"review: closed without an event":             {"/review/1", "", false, 502, 1, false, ""},
		"review: reset":                               {"/review/1", half, true, 200, 1, true, half},
		"review: reset after all events":              {"/review/1", fullStream(), true, 200, 1, true, fullStream()},
		"note: closed":                                {"/note/1", fullStream(), false, 200, 1, false, fullStream()},
		"note: closed within an event":                {"/note/1", half + "id: 4\ndata: tok", false, 200, 2, false, fullStream()},
		"note: closed before an empty line":           {"/note/1", strings.TrimSuffix(half, "\n"), false, 200, 2, false, fullStream()},
		"note: closed within a comment":               {"/note/1", half + ": x", false, 200, 2, false, fullStream()},
		"note: closed within the first event":         {"/note/1", "id: 1\nda", false, 200, 2, false, fullStream()},
		"note: reset":                                 {"/note/1", half, true, 200, 2, false, fullStream()},
		"note: reset within an event":                 {"/note/1", half + "id: 4\ndata", true, 200, 2, false, fullStream()},
		"note: reset before the end of the first one": {"/note/1", "id: 1", true, 200, 2, false, fullStream()},
	}
	for _, head := range []string{
		"HTTP/1.0 200 OK",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive",
		"HTTP/1.1 200 OK",
		"HTTP/1.1 200 OK\r\nConnection: close",
	} {
		for name, c := range cases {
			for _, caller := range []string{"HTTP/1.0", "HTTP/1.1"} {
				t.Run(fmt.Sprintf("%s, %q to %s", name, head, caller), func(t *testing.T) {
					f := newFixture(t)
					replicas := &rawReplicas{f: f, head: head, body: c.body, reset: c.reset}
					replicas.replace(t)
					resp := f.callRaw(t, caller, c.path)
					assert.Equal(t, resp.StatusCode, c.status, resp.body)
					assert.Equal(t, resp.cut, c.cut)
					assert.Equal(t, replicas.requests.Load(), c.runs)
					if c.status == http.StatusOK && c.want != "" {
						assert.Assert(t, resp.body == c.want, "%d bytes", len(resp.body))
					}
					assert.Equal(t, f.callRaw(t, caller, c.path).StatusCode, http.StatusOK)
					assert.Equal(t, replicas.requests.Load(), c.runs+1)
					assert.Equal(t, replicas.reused.Load(), int64(0))
				})
			}
		}
	}
}

// TestResetDuringUpload guards against taking a part of an answer for all of it, because
// the connection was reset while the body of the request was being written: the kernel
// reports the reset only once, to whichever of reader and writer it meets first.
func TestResetDuringUpload(t *testing.T) {
	upload := strings.Repeat("x", 8<<20)
	half := replica.Stream(eventsPerStream / 2)
	for name, c := range map[string]struct {
		path, body string
		status     int
		runs       int64
		want       string
		// mayBegin means that the part may be passed on, if it is read before the reset. The
		// answer is cut off then.
		mayBegin bool
	}{
		"book":   {"/book/1", "part", http.StatusBadGateway, 1, "", false},
		"look":   {"/look/1", "part", http.StatusOK, 2, "whole", false},
		"review": {"/review/1", half, http.StatusBadGateway, 1, "", true},
		"note":   {"/note/1", half, http.StatusOK, 2, fullStream(), false},
	} {
		for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 OK\r\nConnection: close"} {
			for _, after := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %q after %s", name, head, after), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					f.source.routing.Limits.BodyBytes = int64(len(upload))
					replicas := &rawReplicas{f: f, head: head, body: c.body, reset: true, early: true, resetAfter: after}
					replicas.replace(t)
					resp := f.do(t, f.request(t, http.MethodPost, c.path, upload))
					assert.Equal(t, replicas.requests.Load(), c.runs)
					if c.mayBegin && resp.StatusCode == http.StatusOK {
						assert.Assert(t, resp.cut)
						return
					}
					assert.Equal(t, resp.StatusCode, c.status, resp.body)
					assert.Assert(t, !resp.cut)
					if c.want != "" {
						assert.Equal(t, resp.body, c.want)
					}
				})
			}
		}
	}
}

// TestEarlyAnswerIsPassedOn guards against taking an answer for broken because it ends
// while the body of the request is still being written.
func TestEarlyAnswerIsPassedOn(t *testing.T) {
	upload := strings.Repeat("x", 8<<20)
	for _, head := range []string{
		"HTTP/1.1 200 OK",
		"HTTP/1.1 413 Too Large",
		"HTTP/1.1 413 Too Large\r\nContent-Length: 5",
		"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\nConnection: close",
	} {
		t.Run(head, func(t *testing.T) {
			f := newFixture(t)
			f.source.routing.Limits.BodyBytes = int64(len(upload))
			replicas := &rawReplicas{f: f, head: head, body: "early", early: true}
			replicas.replace(t)
			resp := f.do(t, f.request(t, http.MethodPost, "/book/1", upload))
			assert.Equal(t, fmt.Sprint(resp.StatusCode), strings.Fields(head)[1])
			assert.Equal(t, resp.body, "early")
			assert.Assert(t, !resp.cut)
		})
	}
}

// TestLengthOfResumedStream guards against declaring the length of one engine's stream to
// the caller, although another engine may write the rest of it differently.
func TestLengthOfResumedStream(t *testing.T) {
	half := replica.Stream(eventsPerStream / 2)
	for name, c := range map[string]struct{ before, want string }{
		"as long":   {"", fullStream()},
		"longer":    {": resumed\n\n", half + ": resumed\n\n" + strings.TrimPrefix(fullStream(), half)},
		"repeating": {half, fullStream()},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d", len(fullStream()))
			replicas := &rawReplicas{f: f, head: head, body: half, before: c.before}
			replicas.replace(t)
			resp := f.callRaw(t, "HTTP/1.1", "/note/1")
			assert.Equal(t, resp.body, c.want)
			assert.Assert(t, !resp.cut)
			assert.Equal(t, resp.ContentLength, int64(-1))
		})
	}
}

// callRaw sends a request in a version of HTTP on a connection of its own.
func (f *fixture) callRaw(t *testing.T, version, path string) response {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	var head strings.Builder
	r := f.request(t, http.MethodPost, path, "text")
	assert.NilError(t, r.Header.Write(&head))
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: api.example\r\nContent-Length: 4\r\n%s\r\ntext", path, version, head.String())
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return response{Response: &http.Response{Header: http.Header{}}, cut: true}
	}
	body, err := io.ReadAll(resp.Body)
	return response{Response: resp, body: string(body), cut: err != nil}
}
