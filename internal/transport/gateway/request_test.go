package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/routing"
)

func TestRequestForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	r := f.request(t, http.MethodPost, "/book/a%2Fb/c?x=1&y=%20", "the body")
	r.Header.Set("X-Own", "1")
	for _, forged := range []string{f.names.Workspace, f.names.Target, f.names.CacheSalt, f.names.ImportFrom, f.names.Priority, f.names.ExpectedWeights, "Comfrey-Hold"} {
		r.Header.Set(forged, "forged")
	}
	resp := f.do(t, r)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.body, "answer to r1")
	assert.Equal(t, resp.Header.Get(f.names.RequestID), "r1")
	assert.Assert(t, resp.Header.Get(f.names.Digest) != "")
	runs := f.runs(f.services)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Target, "/book/a%2Fb/c?x=1&y=%20")
	assert.Equal(t, runs[0].Body, "the body")
	for name, want := range map[string]string{
		"X-Own": "1", f.names.Workspace: "office", f.names.APIKey: "", f.names.CacheSalt: "", f.names.ImportFrom: "",
		f.names.Priority: "", f.names.ExpectedWeights: "", "Comfrey-Hold": "", f.names.Deadline: "60000",
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, runs[0].Header.Get(name), want) })
	}
	t.Run("prompts carry their parts, cache salt and expected weights", func(t *testing.T) {
		f.call(t, "/review/7")
		run := f.runs(f.engines)[0]
		assert.Equal(t, run.Header.Get(f.names.Prefix), "5c1e:800,91bd:410,e440:250")
		assert.Equal(t, run.Header.Get(f.names.Tokens), "1460,80")
		assert.Equal(t, run.Header.Get(f.names.CacheSalt), routing.New(f.source.routing).CacheScope(nil)+"/1")
		assert.Equal(t, run.Header.Get(f.names.ExpectedWeights), "1")
	})
	t.Run("an end-to-end header cannot be declared hop-by-hop", func(t *testing.T) {
		r := f.request(t, http.MethodPost, "/book/1", "")
		r.Header.Set("Connection", "X-Own, "+f.names.RequestID)
		r.Header.Set("X-Own", "1")
		f.do(t, r)
		runs := f.runs(f.services)
		last := runs[len(runs)-1]
		assert.Equal(t, last.Header.Get(f.names.RequestID), "r1")
		assert.Equal(t, last.Header.Get("X-Own"), "")
	})
}

func TestRejections(t *testing.T) {
	f := newFixture(t)
	cases := map[string]struct {
		change func(r *http.Request)
		status int
	}{
		"unknown host":  {func(r *http.Request) { r.Host = "none.example" }, http.StatusNotFound},
		"unknown path":  {func(r *http.Request) { r.URL.Path = "/none/" }, http.StatusNotFound},
		"unknown key":   {func(r *http.Request) { r.Header.Set(f.names.APIKey, "none") }, http.StatusUnauthorized},
		"no key":        {func(r *http.Request) { r.Header.Del(f.names.APIKey) }, http.StatusUnauthorized},
		"no request ID": {func(r *http.Request) { r.Header.Del(f.names.RequestID) }, http.StatusBadRequest},
		"large body": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.request(t, http.MethodPost, "/book/1", "text")
			c.change(r)
			resp := f.do(t, r)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, resp.Header.Get(f.names.Digest), "")
		})
	}
	assert.Equal(t, len(f.runs(f.services)), 0)
	t.Run("public routes need no key", func(t *testing.T) {
		r := f.request(t, http.MethodGet, "/open/1", "")
		r.Header.Del(f.names.APIKey)
		assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
		assert.Equal(t, f.runs(f.services)[0].Header.Get(f.names.Workspace), "")
	})
}

func TestUpstreamFaults(t *testing.T) {
	cases := map[string]struct {
		path   string
		fault  replica.Fault
		n      int
		status int
		runs   int
		cut    bool
	}{
		"book: busy is retried elsewhere":                        {"/book/1", replica.FaultBusy, 1, 200, 1, false},
		"book: a reset is not retried":                           {"/book/1", replica.FaultReset, 1, 502, 1, false},
		"book: a response cut off is an error":                   {"/book/1", replica.FaultTruncatedResponse, 1, 502, 1, false},
		"book: a response without digest is an error":            {"/book/1", replica.FaultNoDigest, 1, 502, 1, false},
		"book: a failure is passed on":                           {"/book/1", replica.FaultError, 1, 500, 1, false},
		"book: all busy is rejected":                             {"/book/1", replica.FaultBusy, 9, 503, 0, false},
		"look: a reset is retried elsewhere":                     {"/look/1", replica.FaultReset, 1, 200, 2, false},
		"look: a failure is retried elsewhere":                   {"/look/1", replica.FaultError, 1, 200, 2, false},
		"look: a response cut off is retried elsewhere":          {"/look/1", replica.FaultTruncatedResponse, 1, 200, 2, false},
		"review: a stream cut off looks cut off":                 {"/review/1", replica.FaultTruncatedResponse, 1, 200, 1, true},
		"review: a stream ended within an event looks cut off":   {"/review/1", replica.FaultTruncatedEvent, 1, 200, 1, true},
		"review: a reset is not retried":                         {"/review/1", replica.FaultReset, 1, 502, 1, false},
		"note: a stream cut off resumes elsewhere":               {"/note/1", replica.FaultTruncatedResponse, 1, 200, 2, false},
		"note: a stream ended within an event resumes elsewhere": {"/note/1", replica.FaultTruncatedEvent, 1, 200, 2, false},
		"note: a stream cut off twice looks cut off":             {"/note/1", replica.FaultTruncatedResponse, 2, 200, 2, true},
		"note: a failure is retried elsewhere":                   {"/note/1", replica.FaultError, 1, 200, 2, false},
		"review: no fault":                                       {"/review/1", "", 0, 200, 1, false},
		"review: weights that were just replaced":                {"/review/1", "", 0, 200, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			replicas := append(append([]*replica.Replica{}, f.services...), f.engines...)
			f.failFirst(replicas, c.fault, c.n)
			if strings.Contains(name, "weights") {
				f.engines[0].SetWeights(2)
				f.engines[1].SetWeights(2)
			}
			resp := f.call(t, c.path)
			assert.Equal(t, resp.StatusCode, c.status, resp.body)
			assert.Equal(t, resp.cut, c.cut)
			assert.Equal(t, len(f.runs(replicas)), c.runs)
			if c.status == 200 && !c.cut && (strings.HasPrefix(c.path, "/review") || strings.HasPrefix(c.path, "/note")) {
				assert.Equal(t, resp.body, fullStream())
			}
			if c.status == 503 {
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
			}
		})
	}
}

// TestCallerDisconnects checks that the request is cancelled at the upstream
// when the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t)
	for _, r := range f.services {
		r.InjectFault(replica.FaultHang, 1)
	}
	ctx, leave := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		resp, err := f.server.Client().Do(f.request(t, http.MethodGet, "/look/1", "").WithContext(ctx))
		if err == nil {
			return resp.Body.Close()
		}
		return nil
	})
	waitFor(t, func() bool { return len(f.runs(f.services)) == 1 })
	leave()
	assert.NilError(t, group.Wait())
	waitFor(t, func() bool { return f.runs(f.services)[0].Cancelled })
}

// TestKeysExpire cuts the gateway off from its sources. Keys must be accepted
// only for a bounded time, so that revoked ones stop working, and unknown routes
// must be answered with 503, because they may have been declared meanwhile.
func TestKeysExpire(t *testing.T) {
	f := newFixture(t)
	f.source.change(func(s *memorySource) { s.down = true })
	cases := []struct {
		name    string
		advance time.Duration
		path    string
		status  int
	}{
		{"confirmed just now", 0, "/book/1", 200},
		{"confirmed recently", 4 * time.Second, "/book/1", 200},
		{"unknown route may be new", 0, "/none/1", 503},
		{"confirmed too long ago", time.Second, "/book/1", 503},
		{"public route still works", 0, "/open/1", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.clock.Advance(c.advance)
			assert.Equal(t, f.call(t, c.path).StatusCode, c.status)
		})
	}
	t.Run("not ready", func(t *testing.T) { assert.Equal(t, f.gateway.notReadyReason(), "keys not proven") })
	t.Run("ready again", func(t *testing.T) {
		f.source.change(func(s *memorySource) { s.down = false })
		f.refresh(t)
		assert.Equal(t, f.gateway.notReadyReason(), "")
		assert.Equal(t, f.call(t, "/book/1").StatusCode, http.StatusOK)
	})
	t.Run("revoked key", func(t *testing.T) {
		f.source.change(func(s *memorySource) { s.routing.Workspaces[0].Keys = nil })
		f.refresh(t)
		assert.Equal(t, f.call(t, "/book/1").StatusCode, http.StatusUnauthorized)
	})
}

// TestLastWorkspaceRemoved guards against revoked and unknown keys that are accepted once
// the last workspace is removed, also at gateways that learn of the change from others.
func TestLastWorkspaceRemoved(t *testing.T) {
	f := newFixture(t)
	office := f.source.routing.Workspaces
	steps := []struct {
		name       string
		required   bool
		workspaces []comfreyworks.WorkspaceKeys
		status     int
	}{
		{"with its key", true, office, http.StatusOK},
		{"the last workspace is removed", true, nil, http.StatusUnauthorized},
		{"a workspace without keys", true, []comfreyworks.WorkspaceKeys{{Name: "office"}}, http.StatusUnauthorized},
		{"empty again", true, nil, http.StatusUnauthorized},
		{"no keys are required", false, nil, http.StatusOK},
		{"an earlier version, which does not say that keys are required", false, office[1:], http.StatusUnauthorized},
		{"with its key again", true, office, http.StatusOK},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			f.source.change(func(s *memorySource) {
				s.routing.KeysRequired, s.routing.Workspaces = step.required, step.workspaces
			})
			f.refresh(t)
			assert.Equal(t, f.call(t, "/book/1").StatusCode, step.status)
			assert.Equal(t, f.call(t, "/open/1").StatusCode, http.StatusOK, "public")
			follower := catalog.New(f.clock)
			follower.ApplyDeclaration(sentToPeer(t, f.source), f.clock.Now())
			table, _ := follower.Routing()
			own, _ := f.gateway.catalog.Routing()
			assert.Equal(t, table.RequiresKeys(), own.RequiresKeys())
		})
	}
	t.Run("knowledge of an empty list expires like that of keys", func(t *testing.T) {
		f.source.change(func(s *memorySource) { s.routing.KeysRequired, s.routing.Workspaces = true, nil })
		f.refresh(t)
		f.source.change(func(s *memorySource) { s.down = true })
		f.clock.Advance(5 * time.Second)
		assert.Equal(t, f.call(t, "/book/1").StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, f.gateway.notReadyReason(), "keys not proven")
	})
}

// sentToPeer returns the whole declaration as another gateway receives it.
func sentToPeer(t *testing.T, source *memorySource) (received comfreyworks.Declaration) {
	t.Helper()
	declaration, err := source.Declarations(t.Context(), 0, 0)
	assert.NilError(t, err)
	var message bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&message).Encode(declaration))
	assert.NilError(t, gob.NewDecoder(&message).Decode(&received))
	return received
}

func TestNoRoutingYet(t *testing.T) {
	f := newFixture(t)
	fresh := New(f.gateway.options)
	server := httptest.NewServer(fresh.requestHandler())
	defer server.Close()
	f.server = server
	for _, path := range []string{"/book/1", "/none/1"} {
		t.Run(path, func(t *testing.T) {
			assert.Equal(t, f.call(t, path).StatusCode, http.StatusServiceUnavailable)
		})
	}
	assert.Equal(t, fresh.notReadyReason(), "no routing yet")
}

// TestRequestSmuggling guards against forwarding a second request that is hidden
// in the body of the first one.
func TestRequestSmuggling(t *testing.T) {
	hidden := "POST /book/2 HTTP/1.1\r\nHost: api.example\r\nComfrey-Request-Id: r2\r\nComfrey-Key: key-office\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]string{
		"length and chunks": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":       "Content-Length: 0\r\nContent-Length: 200\r\n\r\n" + hidden,
		"body":              fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden,
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "POST /book/1 HTTP/1.1\r\nHost: api.example\r\nConnection: close\r\nComfrey-Request-Id: r1\r\nComfrey-Key: key-office\r\n"+rest)
			assert.NilError(t, err)
			_, err = io.ReadAll(bufio.NewReader(conn))
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			for _, run := range f.runs(f.services) {
				assert.Equal(t, run.ID, comfreyworks.RequestID("r1"))
				assert.Equal(t, run.Target, "/book/1")
			}
		})
	}
}
