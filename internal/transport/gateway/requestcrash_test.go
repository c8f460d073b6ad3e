package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/replica"
)

// timeAway is how long an upstream that has ended refuses connections.
const timeAway = 100 * time.Millisecond

// sample is a request apart from its ID.
type sample struct {
	method, path, body string
	// parts is the header with the parts of the prompt; empty for plain services.
	parts string
	key   string
}

// requestCrashFixture is a crashFixture whose upstreams end under one request, before
// the header of its answer.
type requestCrashFixture struct {
	*crashFixture
	crashing sample
	// reached is how often the crashing request has reached an upstream.
	reached atomic.Int64
}

func newRequestCrashFixture(t *testing.T, crashing sample) *requestCrashFixture {
	t.Helper()
	f := &requestCrashFixture{crashFixture: &crashFixture{}, crashing: crashing}
	f.fixture = newFixtureBehind(t, f.endUnderRequest)
	for i := 2; i < 4; i++ {
		f.engines = append(f.engines, f.addReplica(t, "lm", i, eventsPerStream))
		f.services = append(f.services, f.addReplica(t, "orders", i, 0))
	}
	t.Cleanup(func() {
		waitFor(t, func() bool { return f.away.Load() == 0 })
		for _, server := range f.servers {
			server.Close()
		}
	})
	f.startGateways(t)
	return f
}

// endUnderRequest is the handler of an upstream that ends when it begins to run the
// crashing request.
func (f *requestCrashFixture) endUnderRequest(rep *replica.Replica) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !f.isCrashing(r, string(body)) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			rep.ServeHTTP(w, r)
			return
		}
		f.reached.Add(1)
		f.end(rep)
		panic(http.ErrAbortHandler)
	})
}

// isCrashing reports whether a request as an upstream receives it has the method, path,
// caller and body of the crashing one. Its prompt isn't looked at.
func (f *requestCrashFixture) isCrashing(r *http.Request, body string) bool {
	return r.Method == f.crashing.method && r.RequestURI == f.crashing.path && body == f.crashing.body &&
		r.Header.Get(f.names.Workspace) == "office"
}

// end closes the listener and the connections of an upstream. It is back after timeAway
// under another ID and, lest others get its port, at another address.
func (f *requestCrashFixture) end(rep *replica.Replica) {
	f.source.mu.Lock()
	server := f.servers[rep]
	f.source.mu.Unlock()
	f.away.Add(1)
	_ = server.Listener.Close()
	server.CloseClientConnections()
	time.AfterFunc(timeAway, func() {
		next := httptest.NewServer(f.endUnderRequest(rep))
		f.source.change(func(s *memorySource) {
			f.servers[rep] = next
			s.upstreams = append([]comfreyworks.Upstream(nil), s.upstreams...)
			for i := range s.upstreams {
				if s.upstreams[i].Address.String() == server.Listener.Addr().String() {
					s.upstreams[i].ID += "+"
					s.upstreams[i].Address = netip.MustParseAddrPort(next.Listener.Addr().String())
					rep.Restart(s.upstreams[i].ID)
				}
			}
		})
		server.Close()
		f.away.Add(-1)
	})
}

// sendSample sends a request with a new ID to a gateway while all upstreams are there.
func (f *requestCrashFixture) sendSample(t *testing.T, gateway int, s sample) response {
	t.Helper()
	f.awaitUpstreams(t)
	r := f.request(t, s.method, s.path, s.body)
	r.URL.Host = f.addresses[gateway]
	r.Header.Set(f.names.RequestID, fmt.Sprint("q", f.requests.Add(1)))
	r.Header.Set(f.names.APIKey, s.key)
	if s.parts != "" {
		r.Header.Set(f.names.Prefix, s.parts)
	}
	return f.do(t, r)
}

// expectAnswered checks that a gateway answers a sound request.
func (f *requestCrashFixture) expectAnswered(t *testing.T, gateway int, s sample) {
	t.Helper()
	answer := f.sendSample(t, gateway, s)
	assert.Assert(t, !answer.cut, "%+v was cut off", s)
	assert.Equal(t, answer.StatusCode, http.StatusOK, "%+v: %s", s, answer.body)
	want := fmt.Sprint("answer to q", f.requests.Load())
	if s.parts != "" {
		want = fullStream()
	}
	assert.Equal(t, answer.body, want)
}

// soundVariants returns requests that differ from the crashing one in their path, caller
// or body only. Another body of a prompt has another last part.
func (s sample) soundVariants() []sample {
	path, caller, body := s, s, s
	path.path = strings.Replace(s.path, "/1", "/2", 1)
	caller.key = "key-crew"
	variants := []sample{path, caller}
	if s.body != "" {
		body.body += " of another kind"
		if s.parts != "" {
			body.parts += "0"
		}
		variants = append(variants, body)
	}
	return variants
}

// TestRequestThatCrashesUpstreams guards against a request that is sent on and on
// although it ends each upstream that begins to run it: all upstreams of a pool ended
// again and again, with every answer that was on them.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	for name, crashing := range map[string]sample{
		"GET without body":         {method: http.MethodGet, path: "/look/1?page=2"},
		"POST with body":           {method: http.MethodPost, path: "/look/1?page=2", body: "text"},
		"non-idempotent":           {method: http.MethodPost, path: "/book/1", body: "text"},
		"stream with one part":     {method: http.MethodPost, path: "/review/1", body: "text", parts: "own1:250"},
		"stream with shared parts": {method: http.MethodPost, path: "/review/1", body: "text", parts: "5c1e:800,91bd:410,own1:250"},
		"resumable, with one part": {method: http.MethodPost, path: "/note/1", body: "text", parts: "own1:250"},
		"resumable, shared parts":  {method: http.MethodPost, path: "/note/1", body: "text", parts: "5c1e:800,91bd:410,own1:250"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashing.key = "key-office"
			f := newRequestCrashFixture(t, crashing)
			expectSound := func() {
				for i, sound := range crashing.soundVariants() {
					f.expectAnswered(t, i%2, sound)
				}
			}
			expectSound()
			for i := 0; f.reached.Load() < 3 && i < 6; i++ {
				f.sendSample(t, i%2, crashing)
				expectSound()
			}
			time.Sleep(exchangeTime)
			before := f.reached.Load()
			for i := range 6 {
				f.sendSample(t, i%2, crashing)
				expectSound()
			}
			after := f.reached.Load() - before
			assert.Assert(t, after <= 3, "the request reached upstreams %d times more after it had ended %d", after, before)
		})
	}
}
