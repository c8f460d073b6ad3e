package replica

import (
	"io"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBrokenHead guards against faults that net/http itself rejects, so that they show
// nothing.
func TestBrokenHead(t *testing.T) {
	for fault, c := range map[Fault]struct {
		status int
		body   string
	}{
		FaultLowStatus:  {0, "answer to "},
		FaultHighStatus: {600, "answer to "},
		FaultFieldName:  {200, "a\r\nanswer to \r\n0\r\n\r\n"},
	} {
		t.Run(string(fault), func(t *testing.T) {
			rep := New(Options{})
			rep.InjectFault(fault, 1)
			server := httptest.NewServer(rep)
			defer server.Close()
			response, err := server.Client().Get(server.URL)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, response.StatusCode, c.status)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(got), c.body)
		})
	}
}
