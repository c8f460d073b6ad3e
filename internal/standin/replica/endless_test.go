package replica

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestEndlessBody guards against endless streams that begin with events that their
// caller already has, or with those of no release.
func TestEndlessBody(t *testing.T) {
	headers := comfreyworks.HeaderNames{
		RequestID: "Request-Id", Target: "Target", Instance: "Instance", Weights: "Weights", ExpectedWeights: "Expected-Weights",
		LastEventID: "Last-Event-Id", Digest: "Digest", NotRun: "Not-Run", Leaving: "Leaving",
	}
	for lastEvent, want := range map[string]string{
		"":  ReleaseEvent(1, "v2") + ReleaseEvent(2, "v2") + ": x\n",
		"1": ReleaseEvent(2, "v2") + ": x\n",
		"3": ": x\n\n: x\n",
	} {
		t.Run("after event "+lastEvent, func(t *testing.T) {
			rep := New(Options{ID: "u", Headers: headers, Events: 4, Release: "v2", EventPause: func(string) time.Duration { return time.Millisecond }})
			rep.InjectFault(FaultEndlessBody, 1)
			server := httptest.NewServer(rep)
			defer server.Close()
			r, err := http.NewRequest(http.MethodPost, server.URL, http.NoBody)
			assert.NilError(t, err)
			r.Header.Set(headers.LastEventID, lastEvent)
			response, err := server.Client().Do(r)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			got := make([]byte, len(want))
			_, err = io.ReadFull(response.Body, got)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, []byte(want)), "got %q", got)
		})
	}
}
