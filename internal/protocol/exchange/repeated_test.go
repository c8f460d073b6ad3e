package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// repeater is a faulty upstream that writes an answer of its own and, at some point, once
// more. It runs all requests but the first on each connection that it gives an answer of
// its own to.
type repeater struct {
	// answer is the answer to the first request, with ID for that of the request.
	answer string
	// at once means that the answer is repeated behind itself, and otherwise before the
	// answer to the next request on the connection.
	atOnce bool

	mu    sync.Mutex
	stale map[net.Conn]string
	runs  atomic.Int64
}

func (p *repeater) respond(conn net.Conn, r *http.Request, nth int64) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Comfrey-Request-Id")
	p.mu.Lock()
	defer p.mu.Unlock()
	var text string
	if nth == 1 {
		text = strings.ReplaceAll(p.answer, "ID", id)
		if p.atOnce {
			text += text
		} else {
			p.stale = map[net.Conn]string{conn: text}
		}
	} else {
		p.runs.Add(1)
		text = p.stale[conn] + strings.Replace(completeResponse, "r1", id, 1)
		delete(p.stale, conn)
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// expectOwn sends a request and expects its own answer or, if mayBeLost is set, that it
// counts as one that may have run.
func (f fixture) expectOwn(t *testing.T, u *upstream, id comfreyworks.RequestID, mayBeLost bool) {
	t.Helper()
	request := newForwardedRequest(http.MethodPost, "text")
	request.ID = id
	response, err := f.exchange(u, request)
	if err != nil && mayBeLost {
		expectKind(t, err, comfreyworks.ExchangeLost)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(f.names.RequestID), string(id))
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.NilError(t, response.Body.Close())
}

// TestRepeatedAnswer guards against taking an answer for one to the request that was
// sent last on its connection, although it is an earlier one that is written once more: a
// request that runs would be reported as not run.
func TestRepeatedAnswer(t *testing.T) {
	const echo = "\r\nComfrey-Request-Id: ID"
	heads := map[string]string{
		"full":                         "503 Full\r\nComfrey-Not-Run: 1" + echo,
		"full, no ID":                  "503 Full\r\nComfrey-Not-Run: 1",
		"too many, no ID":              "429 Many\r\nComfrey-Not-Run: 1",
		"invalid, no ID":               "400 Invalid\r\nComfrey-Not-Run: 1",
		"other instance":               "421 Other" + echo,
		"other instance, no ID":        "421 Other\r\nComfrey-Instance: u2",
		"other weights, no ID":         "421 Other\r\nComfrey-Weights: 2",
		"success":                      "200 OK\r\nComfrey-Digest: d" + echo,
		"success, no ID":               "200 OK\r\nComfrey-Digest: d",
		"failure":                      "500 Failed\r\nComfrey-Digest: d" + echo,
		"failure, no ID":               "500 Failed\r\nComfrey-Digest: d",
		"informational before it":      "100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nComfrey-Not-Run: 1" + echo,
		"200 that says not run, no ID": "200 OK\r\nComfrey-Not-Run: 1",
	}
	for name, head := range heads {
		for body, framed := range map[string]string{"no body": "Content-Length: 0\r\n\r\n", "body": "Content-Length: 4\r\n\r\nfull", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"} {
			for _, atOnce := range []bool{false, true} {
				for _, second := range []comfreyworks.RequestID{"r1", "r2"} {
					if second == "r1" && strings.Contains(head, "200 OK") {
						// Nobody sends a request again that has succeeded.
						continue
					}
					t.Run(fmt.Sprintf("%s, %s, at once %t, then %s", name, body, atOnce, second), func(t *testing.T) {
						f := newFixture(t)
						p := &repeater{answer: "HTTP/1.1 " + head + "\r\n" + framed, atOnce: atOnce}
						u := serve(t, p.respond)
						if response, err := f.exchange(u, newForwardedRequest(http.MethodPost, "text")); err == nil {
							_, err = io.ReadAll(response.Body)
							assert.NilError(t, err)
							assert.NilError(t, response.Body.Close())
						}
						f.expectOwn(t, u, second, !atOnce && second != "r1")
						for i := range 3 {
							f.expectOwn(t, u, comfreyworks.RequestID(fmt.Sprint("later", i)), false)
						}
						assert.Equal(t, p.runs.Load(), int64(4))
						assert.Assert(t, u.connections.Load() <= 2)
					})
				}
			}
		}
	}
}

// compete sends requests from several callers at once and expects that each reaches the
// upstream once and is answered.
func (f fixture) compete(t *testing.T, u *upstream, method string) {
	t.Helper()
	const callers, requests = 8, 40
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			for n := range requests {
				request := newForwardedRequest(method, "")
				request.ID = comfreyworks.RequestID(fmt.Sprint(i, "-", n))
				response, err := f.exchange(u, request)
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	assert.Equal(t, u.requests.Load(), int64(callers*requests))
}

// TestLeftOver guards against taking what follows a complete answer for the next one,
// while many requests compete for the connection.
func TestLeftOver(t *testing.T) {
	const answer = "HTTP/1.1 %s\r\nComfrey-Request-Id: %s\r\nComfrey-Digest: d\r\n%s"
	for name, c := range map[string]struct{ method, status, rest string }{
		"behind the declared length":  {http.MethodPost, "200 OK", "Content-Length: 2\r\n\r\nok"},
		"behind the last chunk":       {http.MethodPost, "200 OK", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"behind a header without one": {http.MethodHead, "200 OK", "Content-Length: 2\r\n\r\n"},
		"behind 204":                  {http.MethodPost, "204 No Content", "\r\n"},
		"behind 304":                  {http.MethodPost, "304 Not Modified", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := serve(t, func(conn net.Conn, r *http.Request, _ int64) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				own := fmt.Sprintf(answer, c.status, r.Header.Get("Comfrey-Request-Id"), c.rest)
				_, err := io.WriteString(conn, own+"HTTP/1.1 503 Full\r\nComfrey-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			f.compete(t, u, c.method)
		})
	}
}

// TestLeftOverPart guards against writing a request on a connection on which a part of
// another answer was read: with what follows it would be taken for the answer.
func TestLeftOverPart(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nComfrey-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ part, rest string }{
		"a byte of a refusal":           {refusal[:1], refusal[1:]},
		"a part of the status line":     {refusal[:15], refusal[15:]},
		"all but the last byte":         {refusal[:len(refusal)-1], "\n"},
		"a refusal cut off in its head": {"HTTP/1.1 503 Full\r\nComfrey-Not-Run: 1\r\nServer: ", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var used sync.Map
			u := serve(t, func(conn net.Conn, r *http.Request, _ int64) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				own := strings.Replace(completeResponse, "r1", r.Header.Get("Comfrey-Request-Id"), 1)
				if _, again := used.Swap(conn, true); again {
					own = c.rest + own
				}
				_, err := io.WriteString(conn, own+c.part)
				return err == nil
			})
			f.compete(t, u, http.MethodPost)
		})
	}
}

// TestRefusalsKeepConnections guards against a new connection for each refusal.
func TestRefusalsKeepConnections(t *testing.T) {
	f := newFixture(t)
	u := serve(t, respondWithID("HTTP/1.1 503 Full\r\nComfrey-Not-Run: 1\r\nComfrey-Request-Id: ID\r\nContent-Length: 0\r\n\r\n"))
	const requests = 10 * maxOpenAnswers
	for i := range requests {
		request := newForwardedRequest(http.MethodPost, "text")
		request.ID = comfreyworks.RequestID(fmt.Sprint("r", i))
		_, err := f.exchange(u, request)
		expectKind(t, err, comfreyworks.ExchangeNotRun)
	}
	assert.Equal(t, u.requests.Load(), int64(requests))
	assert.Assert(t, u.connections.Load() <= requests/maxOpenAnswers)
}

// BenchmarkExchange measures requests that follow each other on one connection.
func BenchmarkExchange(b *testing.B) {
	f, u := newFixture(b), serve(b, respondWith(completeResponse))
	for b.Loop() {
		response, err := f.exchange(u, newForwardedRequest(http.MethodPost, "text"))
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, errors.Join(err, response.Body.Close()))
	}
	assert.Equal(b, u.connections.Load(), int64(1))
}
