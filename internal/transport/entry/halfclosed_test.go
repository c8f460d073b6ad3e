package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks/internal/standin/engine"
)

// TestHalfClosedCaller guards against answers that look complete although they are not, to
// callers that have closed only their sending side.
func TestHalfClosedCaller(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		stepTime time.Duration
		begins   bool
	}{
		"no token yet":      {validBody, 2 * time.Second, false},
		"stream":            {strings.Replace(validBody, "{", `{"stream":true,`, 1), 2 * time.Second, false},
		"midst of a stream": {strings.Replace(strings.Replace(validBody, "{", `{"stream":true,`, 1), `:3`, `:300`, 1), 50 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, overrides{rates: func(rates *engine.Rates) { rates.StepTime = c.stepTime }})
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.EntryURL(0), "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", c.body).Write(conn))
			reader := bufio.NewReader(conn)
			if c.begins {
				_, err = reader.Peek(1)
				assert.NilError(t, err)
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			answer, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err, "no answer")
			body, err := io.ReadAll(answer.Body)
			complete := err == nil && answer.StatusCode == http.StatusOK && !strings.Contains(string(body), `"error"`)
			assert.Assert(t, !complete, "%q looks complete", body)
			assert.Equal(t, answer.StatusCode == http.StatusOK, c.begins)
		})
	}
}
