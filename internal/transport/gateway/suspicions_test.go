package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/meter"
)

// provisionalTime is how long callers are told to try again.
const provisionalTime = 10 * time.Second

// blame puts a part under quarantine.
func (f *fixture) blame(workspace *comfreyworks.WorkspaceKeys, part string) {
	f.gateway.crashes.Merge([]comfreyworks.CrashSuspicion{{Part: forward.PartKey(workspace, part), Crashes: 4}}, crashes.Remote)
}

// manage sends a request about quarantines to the metrics listener's handler.
func (f *fixture) manage(method, query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	f.gateway.metricsHandler().ServeHTTP(w, httptest.NewRequest(method, "/quarantine"+query, http.NoBody))
	return w
}

func (f *fixture) suspicions(t *testing.T) []listedSuspicion {
	t.Helper()
	var parts []listedSuspicion
	assert.NilError(t, json.Unmarshal(f.manage(http.MethodGet, "").Body.Bytes(), &parts))
	return parts
}

// TestQuarantinedRequest checks what callers get and what operators can count.
func TestQuarantinedRequest(t *testing.T) {
	f := newFixture(t)
	f.blame(nil, "91bd")
	expect := func(t *testing.T, status int, retryAfter string, times int) {
		t.Helper()
		for _, path := range []string{"/review/x", "/note/x"} {
			response := f.call(t, path)
			assert.Equal(t, response.StatusCode, status)
			assert.Equal(t, response.body, "prompt part under quarantine\n")
			assert.Equal(t, response.Header.Get("Retry-After"), retryAfter)
			assert.Equal(t, f.gateway.options.Meter.Counter("comfrey_quarantined_total", meter.Labels{Class: comfreyworks.Class(path[1 : len(path)-2])}), times)
		}
	}
	expect(t, http.StatusServiceUnavailable, "1.000", 1)
	f.clock.Advance(provisionalTime)
	f.refresh(t)
	expect(t, http.StatusBadRequest, "", 2)
	assert.Equal(t, len(f.runs(f.engines)), 0)
	t.Run("routes without prompts are not affected", func(t *testing.T) {
		r := f.request(t, http.MethodPost, "/look/x", "text")
		r.Header.Set(f.names.Prefix, "5c1e:800,91bd:410,e440:250")
		assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
	})
	t.Run("nor are isolated workspaces", func(t *testing.T) {
		r := f.request(t, http.MethodPost, "/review/x", "text")
		r.Header.Set(f.names.APIKey, "key-crew")
		assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
	})
}

// TestLiftQuarantine checks that an operator can list what is under quarantine and lift
// it.
func TestLiftQuarantine(t *testing.T) {
	f := newFixture(t)
	crew := &f.source.routing.Workspaces[1]
	f.blame(nil, "91bd")
	f.blame(crew, "91bd")
	key := forward.FormatSuspectKey(forward.PartKey(nil, "91bd"))
	assert.Equal(t, len(f.suspicions(t)), 2)
	for _, part := range f.suspicions(t) {
		assert.Equal(t, part.Crashes, uint16(4))
		assert.Assert(t, part.Quarantined)
	}
	for _, query := range []string{"", "?part=", "?key=x", "?workspace=unknown&part=91bd"} {
		assert.Equal(t, f.manage(http.MethodDelete, query).Code, http.StatusBadRequest, query)
	}
	assert.Equal(t, f.manage(http.MethodDelete, "?workspace=crew&part=91bd").Code, http.StatusNoContent)
	assert.Equal(t, f.suspicions(t)[0].Key, key)
	assert.Assert(t, isQuarantined(f.call(t, "/review/x")))
	for name, query := range map[string]string{
		"by its key": "?key=" + key, "by its ID": "?part=91bd", "by its ID and a workspace that is not isolated": "?workspace=office&part=91bd",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.blame(nil, "91bd")
			assert.Equal(t, f.manage(http.MethodDelete, query).Code, http.StatusNoContent)
			assert.Equal(t, len(f.suspicions(t)), 0)
			assert.Equal(t, f.call(t, "/review/x").StatusCode, http.StatusOK)
		})
	}
	t.Run("the list is bounded", func(t *testing.T) {
		for i := range 2 * maxListedSuspicions {
			f.blame(nil, fmt.Sprint("part", i))
		}
		assert.Equal(t, len(f.suspicions(t)), maxListedSuspicions)
	})
}
