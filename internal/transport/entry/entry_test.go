package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/tmaxmax/go-sse"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/examples"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/protocol/completion"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/standin/service"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/entry"
)

// overrides holds functions that change the limits for callers and the rates of
// the engines before a rig starts; all may be nil.
type overrides struct {
	callers func(*settings.Callers)
	rates   func(*engine.Rates)
	class   func(*settings.Class)
	memory  *memory.Budget
	// workspaces takes the place of the declared ones unless it is nil.
	workspaces []settings.Workspace
}

// newRig starts one entry and two upstreams for each pool.
func newRig(t *testing.T, changes overrides) *rig.Rig {
	t.Helper()
	return newRigWithEntries(t, changes, 1)
}

// newRigWithEntries starts the given number of entries and two upstreams for each
// pool.
func newRigWithEntries(t *testing.T, changes overrides, entries int) *rig.Rig {
	t.Helper()
	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
	assert.NilError(t, err)
	for i := range deployment.Pools {
		deployment.Pools[i].Replicas = 2
	}
	deployment.Callers.StopNotice = 0
	if changes.callers != nil {
		changes.callers(&deployment.Callers)
	}
	if changes.class != nil {
		for i := range deployment.Classes {
			changes.class(&deployment.Classes[i])
		}
	}
	if changes.workspaces != nil {
		deployment.Workspaces = changes.workspaces
	}
	rates := engine.DefaultRates()
	rates.StepTime = time.Millisecond
	if changes.rates != nil {
		changes.rates(&rates)
	}
	r, err := rig.Start(context.Background(), rig.Options{
		Deployment: deployment, Entries: entries, Clock: clockwork.NewRealClock(), Seed: 1, EntryMemory: changes.memory,
		Rates: func(comfreyworks.InstanceID) engine.Rates { return rates },
	})
	assert.NilError(t, err)
	t.Cleanup(r.Stop)
	return r
}

func request(t *testing.T, method, url, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key-office")
	return req
}

const validBody = `{"model":"oak-12b","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`

// expectError sends a request and checks the error response, including the header
// that tells whether the request ran.
func expectError(t *testing.T, req *http.Request, status int, code string, run comfreyworks.RunState) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, status)
	assert.Equal(t, resp.Header.Get("Content-Type"), "application/json")
	assert.Equal(t, resp.Header.Get(entry.HeaderRun), string(run))
	var errorResponse completion.ErrorResponse
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&errorResponse))
	assert.Equal(t, errorResponse.Error.Code, code, errorResponse.Error.Message)
	assert.Assert(t, errorResponse.Error.Message != "")
}

// expectCompletion checks that the first entry answers a request correctly.
func expectCompletion(t *testing.T, r *rig.Rig) {
	t.Helper()
	resp, err := http.DefaultClient.Do(request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", validBody))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var answer completion.Response
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
	expected := ""
	for i := range 3 {
		expected += engine.OutputToken(answer.ID, i)
	}
	assert.Equal(t, answer.Choices[0].Message.Content, expected)
}

func TestInvalidRequests(t *testing.T) {
	r := newRig(t, overrides{callers: func(c *settings.Callers) { c.MaxBody = 1 << 10 }})
	url := r.EntryURL(0)
	const chat = "/v1/chat/completions"
	tests := []struct {
		name, method, path, body string
		change                   func(*http.Request)
		status                   int
		code                     string
	}{
		{"no key", "POST", chat, validBody, func(r *http.Request) { r.Header.Del("Authorization") }, 401, "invalid_key"},
		{"unknown key", "POST", chat, validBody, func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-nobody") }, 401, "invalid_key"},
		{"unknown class", "POST", chat, validBody, func(r *http.Request) { r.Header.Set(entry.HeaderClass, "vip") }, 400, "unknown_class"},
		{"unknown model", "POST", chat, strings.Replace(validBody, "oak-12b", "elm", 1), nil, 404, "unknown_model"},
		{"malformed JSON", "POST", chat, validBody[:20], nil, 400, "malformed_json"},
		{"no messages", "POST", chat, `{"model":"oak-12b"}`, nil, 400, "invalid_value"},
		{"too many tokens", "POST", chat, `{"model":"oak-12b","max_tokens":1000000}`, nil, 400, "invalid_value"},
		{"image part", "POST", chat, `{"model":"oak-12b","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "invalid_value"},
		{"prompt that is not a string", "POST", "/v1/completions", `{"model":"oak-12b","prompt":[1]}`, nil, 400, "invalid_value"},
		{"body over the limit", "POST", chat, strings.Repeat(" ", 2<<10), nil, 413, "body_too_large"},
		{"wrong method", "GET", chat, "", nil, 405, "method_not_allowed"},
		{"unknown path", "GET", "/v2", "", nil, 404, "not_found"},
		{"unknown service", "GET", "/services/nobody/x", "", nil, 404, "unknown_service"},
		{"model pool called as a service", "GET", "/services/lm-pool/x", "", nil, 404, "unknown_service"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			req := request(t, test.method, url+test.path, test.body)
			if test.change != nil {
				test.change(req)
			}
			expectError(t, req, test.status, test.code, comfreyworks.RunStateNotRun)
		})
	}
	expectCompletion(t, r)
}

// TestNoMemory guards against bodies that together take more memory than an entry has, and
// against small ones that are refused beside them.
func TestNoMemory(t *testing.T) {
	budget := memory.New(memory.Options{Limit: 1 << 20, Clock: clockwork.NewRealClock(), Meter: meter.New()})
	r := newRig(t, overrides{memory: budget})
	others := budget.Hold(memory.Body, nil)
	assert.Assert(t, others.TryGrow(700<<10))
	others.Complete()
	large := strings.Replace(validBody, "{", "{"+strings.Repeat(" ", 200<<10), 1)
	expectError(t, request(t, "POST", r.EntryURL(0)+"/v1/chat/completions", large), 503, "memory", comfreyworks.RunStateNotRun)
	expectCompletion(t, r)
	tooLarge := strings.Repeat(" ", 900<<10)
	expectError(t, request(t, "POST", r.EntryURL(0)+"/v1/chat/completions", tooLarge), 413, "body_too_large", comfreyworks.RunStateNotRun)
}

// TestNoWorkspaces guards against an entry that admits every caller once the last workspace
// is removed.
func TestNoWorkspaces(t *testing.T) {
	r := newRig(t, overrides{workspaces: []settings.Workspace{}})
	for _, change := range []func(*http.Request){
		func(*http.Request) {},
		func(r *http.Request) { r.Header.Del("Authorization") },
		func(r *http.Request) { r.Header.Set("Authorization", "Bearer ") },
	} {
		req := request(t, "POST", r.EntryURL(0)+"/v1/chat/completions", validBody)
		change(req)
		expectError(t, req, 401, "invalid_key", comfreyworks.RunStateNotRun)
	}
}

func TestModelsHealthAndMetrics(t *testing.T) {
	r := newRig(t, overrides{})
	expectCompletion(t, r)
	tests := []struct{ path, expected string }{
		{"/v1/models", `"id":"oak-12b"`},
		{"/healthz", "ok"},
		{"/readyz", "ready"},
		{"/metrics", `comfrey_ttft_seconds_count{workspace="office",class="review"} 1`},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			resp, err := http.DefaultClient.Do(request(t, http.MethodGet, r.EntryURL(0)+test.path, ""))
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(body), test.expected), string(body))
		})
	}
}

func TestServiceCalls(t *testing.T) {
	r := newRig(t, overrides{})
	do := func(method, path string) (*http.Response, string) {
		req := request(t, method, r.EntryURL(0)+"/services/dispatch"+path, "body")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp, string(body)
	}
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			resp, body := do(method, "/jobs?crew=7")
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, resp.Header.Get(entry.HeaderRun), string(comfreyworks.RunStateRan))
			assert.Assert(t, strings.Contains(body, fmt.Sprintf(`"method":%q,"path":"/jobs?crew=7","echo":"body"`, method)), body)
		})
	}
	t.Run("a call with a lost answer has an unknown run state and is not repeated", func(t *testing.T) {
		for _, s := range r.Services("dispatch") {
			s.LoseAnswers(1)
		}
		expectError(t, request(t, "POST", r.EntryURL(0)+"/services/dispatch/orders", ""), 502, "run_unknown", comfreyworks.RunStateUnknown)
		runs := 0
		for _, s := range r.Services("dispatch") {
			for call, n := range s.Runs() {
				if call.Path == "/orders" {
					runs += n
				}
			}
		}
		assert.Equal(t, runs, 1)
	})
}

func TestCallsWithIdempotencyKey(t *testing.T) {
	r := newRig(t, overrides{})
	keyed := func(key, body string) *http.Request {
		req := request(t, http.MethodPost, r.EntryURL(0)+"/services/dispatch/bookings", body)
		req.Header.Set("Idempotency-Key", key)
		return req
	}
	answer := func(key string) string {
		resp, err := http.DefaultClient.Do(keyed(key, "crew 7"))
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get(entry.HeaderRun), string(comfreyworks.RunStateRan), string(body))
		return string(body)
	}
	runs := func(key string) int {
		n := 0
		for _, s := range r.Services("dispatch") {
			n += s.Runs()[service.Call{Method: http.MethodPost, Path: "/bookings", Key: key}]
		}
		return n
	}
	t.Run("a repeated key gets the first answer", func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		first := answer(key)
		for range 5 {
			assert.Equal(t, answer(key), first)
		}
		assert.Equal(t, runs(key), 1)
	})
	t.Run("a used key with another body is a conflict", func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		answer(key)
		expectError(t, keyed(key, "crew 8"), 409, "key_conflict", comfreyworks.RunStateNotRun)
	})
	t.Run("a key that is not a UUIDv7 is rejected", func(t *testing.T) {
		expectError(t, keyed("b-1", "crew 7"), 400, "invalid_key", comfreyworks.RunStateNotRun)
	})
	t.Run("a lost answer stays unknown when the key is repeated", func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		for _, s := range r.Services("dispatch") {
			s.LoseAnswers(1)
		}
		expectError(t, keyed(key, "crew 7"), 502, "run_unknown", comfreyworks.RunStateUnknown)
		expectError(t, keyed(key, "crew 7"), 502, "run_unknown", comfreyworks.RunStateUnknown)
		assert.Equal(t, runs(key), 1)
		for _, s := range r.Services("dispatch") {
			s.LoseAnswers(0)
		}
	})
	t.Run("nothing runs while the log is unavailable", func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		r.Log().SetOutage(true)
		resp, err := http.DefaultClient.Do(keyed(key, "crew 7"))
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get(entry.HeaderRun), string(comfreyworks.RunStateNotRun))
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, runs(key), 0)
		r.Log().SetOutage(false)
		answer(key)
		assert.Equal(t, runs(key), 1)
	})
}

// startStream sends a request for a streamed answer and returns the open response
// after the first line.
func startStream(t *testing.T, ctx context.Context, r *rig.Rig, tokens int) (*http.Response, *bufio.Reader) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"oak-12b","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	resp, err := http.DefaultClient.Do(request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", body).WithContext(ctx))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	reader := bufio.NewReader(resp.Body)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(line, "id: cmpl-"), line)
	return resp, reader
}

func waitUntilIdle(r *rig.Rig) {
	for busy := 1; busy > 0; {
		busy = 0
		for _, e := range r.Engines("lm-pool") {
			busy += e.Running()
		}
		time.Sleep(time.Millisecond)
	}
}

func cancelledRequests(r *rig.Rig) int {
	n := 0
	for _, e := range r.Engines("lm-pool") {
		n += e.Counts().Cancelled
	}
	return n
}

func TestCallerDisconnects(t *testing.T) {
	r := newRig(t, overrides{})
	ctx, cancel := context.WithCancel(context.Background())
	resp, _ := startStream(t, ctx, r, 16000)
	cancel()
	_ = resp.Body.Close()
	waitUntilIdle(r)
	assert.Equal(t, cancelledRequests(r), 1)
	expectCompletion(t, r)
}

func TestCallerStopsReading(t *testing.T) {
	r := newRig(t, overrides{
		callers: func(c *settings.Callers) { c.WriteTimeout = 100 * time.Millisecond },
		rates:   func(rates *engine.Rates) { rates.StepTime = 20 * time.Microsecond },
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.EntryURL(0), "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(1<<10))
	body := `{"model":"oak-12b","stream":true,"max_tokens":16384,"messages":[{"role":"user","content":"hello"}]}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-office\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	// The caller reads nothing. Other requests are answered, and the engine's
	// request ends because of the write timeout.
	expectCompletion(t, r)
	waitUntilIdle(r)
	expectCompletion(t, r)
}

func TestConnectionLimits(t *testing.T) {
	r := newRig(t, overrides{callers: func(c *settings.Callers) {
		c.HeaderTimeout = 100 * time.Millisecond
		c.IdleTimeout = 100 * time.Millisecond
	}})
	tests := []struct{ name, sent string }{
		{"header cut off in a line", "POST /v1/chat/completions HTTP/1.1\r\nHo"},
		{"header without the final empty line", "GET /healthz HTTP/1.1\r\nHost: entry\r\n"},
		{"no further request after a response", "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.EntryURL(0), "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.sent)
			assert.NilError(t, err)
			// The read ends only when the entry closes the connection.
			_, err = io.ReadAll(conn)
			assert.NilError(t, err)
		})
	}
	expectCompletion(t, r)
}

func TestTimeoutsDoNotCutAnswersOff(t *testing.T) {
	r := newRig(t, overrides{
		callers: func(c *settings.Callers) {
			c.BodyTimeout = 100 * time.Millisecond
			c.WriteTimeout = 100 * time.Millisecond
		},
		rates: func(rates *engine.Rates) { rates.StepTime = 10 * time.Millisecond },
	})
	resp, reader := startStream(t, context.Background(), r, 40)
	defer func() { _ = resp.Body.Close() }()
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), string(rest))
	// The next request on the keep-alive connection is not affected by the expired
	// deadline.
	time.Sleep(150 * time.Millisecond)
	expectCompletion(t, r)
}

// readText reads up to the given number of events, or all if it is negative. It
// returns their text, the ID of the last one and whether the answer is complete.
func readText(t *testing.T, body io.Reader, events int) (text, last string, complete bool) {
	t.Helper()
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return text, last, false
		}
		last = event.LastEventID
		if event.Data == "[DONE]" {
			return text, last, true
		}
		var chunk completion.Response
		assert.NilError(t, json.Unmarshal([]byte(event.Data), &chunk))
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
		events--
		if events == 0 {
			return text, last, false
		}
	}
	return text, last, false
}

const longBody = `{"model":"oak-12b","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"hello"}]}`

func TestResume(t *testing.T) {
	slow := overrides{rates: func(rates *engine.Rates) { rates.StepTime = 5 * time.Millisecond }}
	// checkResume reads a few events from one entry, interrupts the stream and
	// resumes it at another entry.
	checkResume := func(t *testing.T, interrupt func(r *rig.Rig, cancel func())) {
		r := newRigWithEntries(t, slow, 2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resp, err := http.DefaultClient.Do(request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", longBody).WithContext(ctx))
		assert.NilError(t, err)
		first, last, complete := readText(t, resp.Body, 10)
		assert.Assert(t, !complete)
		interrupt(r, cancel)
		_ = resp.Body.Close()

		again := request(t, http.MethodPost, r.EntryURL(1)+"/v1/chat/completions", longBody)
		again.Header.Set(entry.HeaderLastEventID, last)
		resp, err = http.DefaultClient.Do(again)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		rest, last, complete := readText(t, resp.Body, -1)
		assert.Assert(t, complete)
		id, _, _ := strings.Cut(last, ".")
		var expected strings.Builder
		for i := range 80 {
			expected.WriteString(engine.OutputToken(comfreyworks.RequestID(id), i))
		}
		assert.Equal(t, first+rest, expected.String())
	}
	t.Run("resumes the stream after the entry was lost", func(t *testing.T) {
		checkResume(t, func(r *rig.Rig, _ func()) { assert.NilError(t, r.RestartEntries("entry/0")) })
	})
	t.Run("generates the rest again after the caller disconnected", func(t *testing.T) {
		checkResume(t, func(r *rig.Rig, cancel func()) {
			cancel()
			waitUntilIdle(r)
		})
	})
	t.Run("rejects malformed event IDs and those of other workspaces", func(t *testing.T) {
		r := newRig(t, slow)
		resp, err := http.DefaultClient.Do(request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", longBody))
		assert.NilError(t, err)
		_, last, _ := readText(t, resp.Body, 2)
		_ = resp.Body.Close()
		for _, id := range []string{"x", last + ".1", strings.Replace(last, "cmpl-", "cmpl-0", 1)} {
			again := request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", longBody)
			again.Header.Set(entry.HeaderLastEventID, id)
			expectError(t, again, 400, "invalid_value", comfreyworks.RunStateNotRun)
		}
		other := request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", longBody)
		other.Header.Set("Authorization", "Bearer key-atlanta")
		other.Header.Set(entry.HeaderLastEventID, last)
		expectError(t, other, 400, "invalid_value", comfreyworks.RunStateNotRun)
	})
}

func TestGracefulStop(t *testing.T) {
	t.Run("an entry finishes its streams", func(t *testing.T) {
		r := newRig(t, overrides{rates: func(rates *engine.Rates) { rates.StepTime = 5 * time.Millisecond }})
		resp, reader := startStream(t, context.Background(), r, 60)
		defer func() { _ = resp.Body.Close() }()
		var group errgroup.Group
		group.Go(func() error {
			r.StopEntry(0)
			return nil
		})
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
		assert.NilError(t, group.Wait())
		_, err = http.Get(r.EntryURL(0) + "/healthz")
		assert.Assert(t, err != nil)
	})
	t.Run("a sidecar finishes its streams and accepts no new requests", func(t *testing.T) {
		r := newRig(t, overrides{rates: func(rates *engine.Rates) { rates.StepTime = 5 * time.Millisecond }})
		resp, reader := startStream(t, context.Background(), r, 60)
		defer func() { _ = resp.Body.Close() }()
		leaving := comfreyworks.InstanceID("lm-pool/0")
		if r.Engine(leaving).Running() == 0 {
			leaving = "lm-pool/1"
		}
		var group errgroup.Group
		group.Go(func() error { return r.StopSidecar(leaving) })
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
		assert.NilError(t, group.Wait())
		assert.Equal(t, r.Meter().Counter("comfrey_attempts_total", meter.Labels{Workspace: "office", Class: "review"}), 1)
		before := r.Engine(leaving).Counts().Requests
		expectCompletion(t, r)
		assert.Equal(t, r.Engine(leaving).Counts().Requests, before)
	})
}
