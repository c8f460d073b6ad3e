package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/platform/standin"
)

// newFleet starts a fleet without gateways.
func newFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := Start(Options{Dir: t.TempDir()})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	return f
}

// entry returns the entry of a replica as it is in the store, or the empty string if it
// is not listed.
func entry(t *testing.T, f *Fleet, r *Replica) string {
	t.Helper()
	after := ""
	for {
		w := httptest.NewRecorder()
		query := url.Values{"topic": {standin.UpstreamTopic}, "after": {after}}
		f.Store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/log-newest?"+query.Encode(), http.NoBody))
		var page struct {
			Items []struct {
				Key   string
				Value []byte
			}
			More bool
		}
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &page))
		for _, item := range page.Items {
			after = item.Key
			if item.Key == string(r.ID) {
				return string(item.Value)
			}
		}
		if !page.More {
			return ""
		}
	}
}

// TestRestart guards against restarts that change the release of a replica, and against
// ones that list a replica again that has left.
func TestRestart(t *testing.T) {
	f := newFleet(t)
	_, err := f.StartReplica(0, Releases[2])
	assert.NilError(t, err)
	r := f.Replica(0)
	f.Restart(r)
	assert.Equal(t, len(r.Starts()), 2)
	assert.Assert(t, r.Starts()[1].After(r.Started))
	assert.Assert(t, strings.Contains(entry(t, f, r), `"version":"`+Releases[2]+`"`))

	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	f.Restart(r)
	assert.Assert(t, strings.Contains(entry(t, f, r), `"draining"`))
	f.remove(r)
	f.Restart(r)
	assert.Equal(t, len(r.Starts()), 3)
	assert.Equal(t, entry(t, f, r), "")
}
