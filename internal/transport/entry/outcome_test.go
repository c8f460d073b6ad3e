package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestOutcomeWithInvalidStatus guards against answering with a status that is none: an
// outcome may come from a log or a sidecar that did not check it.
func TestOutcomeWithInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600} {
		w := httptest.NewRecorder()
		writeOutcome(w, comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan, Answer: comfreyworks.ServiceAnswer{Status: status}})
		assert.Equal(t, w.Code, http.StatusBadGateway)
		assert.Equal(t, w.Header().Get(HeaderRun), string(comfreyworks.RunStateUnknown))
	}
}
