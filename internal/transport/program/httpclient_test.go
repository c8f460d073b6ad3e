package program

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestResponseHeaderLimit guards against reading megabytes of a response header that may
// never end.
func TestResponseHeaderLimit(t *testing.T) {
	for name, c := range map[string]struct {
		length int
		fails  bool
	}{"within the limit": {maxHeaderBytes / 2, false}, "beyond the limit": {maxHeaderBytes, true}} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Long", strings.Repeat("x", c.length))
			}))
			defer server.Close()
			response, err := NewHTTPClient().Get(server.URL)
			assert.Equal(t, err != nil, c.fails, "%v", err)
			if err == nil {
				assert.NilError(t, response.Body.Close())
			}
		})
	}
}
