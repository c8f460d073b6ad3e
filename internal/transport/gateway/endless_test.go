package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/replica"
)

// TestEndlessAnswers guards against upstreams whose answers never end: each request must
// get its final answer, and the connection and the goroutines of the answer must end.
func TestEndlessAnswers(t *testing.T) {
	cases := map[string]struct {
		path   string
		fault  replica.Fault
		status int
		runs   int
		cut    bool
		body   string
	}{
		"book: a header is an error":              {"/book/1", replica.FaultEndlessHead, 502, 1, false, ""},
		"look: a header is retried elsewhere":     {"/look/1", replica.FaultEndlessHead, 200, 2, false, ""},
		"review: a header is an error":            {"/review/1", replica.FaultEndlessHead, 502, 1, false, ""},
		"note: a header is retried elsewhere":     {"/note/1", replica.FaultEndlessHead, 200, 2, false, fullStream()},
		"book: a body looks cut off":              {"/book/1", replica.FaultEndlessBody, 200, 1, true, ""},
		"review: comments look cut off":           {"/review/1", replica.FaultEndlessBody, 200, 1, true, replica.Stream(eventsPerStream / 2)},
		"note: after comments, resumed elsewhere": {"/note/1", replica.FaultEndlessBody, 200, 2, false, fullStream()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			replicas := append(append([]*replica.Replica{}, f.services...), f.engines...)
			f.failFirst(replicas, c.fault, 1)
			goroutines := runtime.NumGoroutine()
			resp := f.call(t, c.path)
			assert.Equal(t, resp.StatusCode, c.status, resp.body)
			assert.Equal(t, resp.cut, c.cut)
			assert.Equal(t, len(f.runs(replicas)), c.runs)
			if c.body != "" {
				assert.Equal(t, resp.body, c.body)
			}
			waitFor(t, func() bool { return f.runs(replicas)[0].Cancelled || f.runs(replicas)[c.runs-1].Cancelled })
			f.server.CloseClientConnections()
			f.gateway.upstreamClient.Close()
			waitFor(t, func() bool { return runtime.NumGoroutine() <= goroutines })
		})
	}
}

// TestEndlessCallerBody guards against a caller whose body never ends: it must be
// answered at the deadline of its request, and be told that nothing was run.
func TestEndlessCallerBody(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, "POST /book/1 HTTP/1.1\r\nHost: api.example\r\nContent-Length: 900\r\n"+
		"Comfrey-Request-Id: r1\r\nComfrey-Key: key-office\r\nComfrey-Deadline-Ms: 50\r\n\r\nx")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, len(f.runs(f.services)), 0)
}
