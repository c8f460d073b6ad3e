package replica

import (
	"io"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnframed guards against responses that have a length or chunks after all, and
// against resets that look like the end of a response.
func TestUnframed(t *testing.T) {
	for fault, want := range map[Fault]string{FaultUnframed: "answer to ", FaultUnframedReset: "answe"} {
		t.Run(string(fault), func(t *testing.T) {
			rep := New(Options{})
			rep.InjectFault(fault, 1)
			server := httptest.NewServer(rep)
			defer server.Close()
			response, err := server.Client().Get(server.URL)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, response.ContentLength, int64(-1))
			assert.Equal(t, len(response.TransferEncoding), 0)
			got, err := io.ReadAll(response.Body)
			assert.Equal(t, err == nil, fault == FaultUnframed, "%v", err)
			assert.Assert(t, fault == FaultUnframedReset || string(got) == want, "got %q", got)
		})
	}
}
