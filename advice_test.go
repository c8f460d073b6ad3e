package comfreyworks

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryAfter checks which values of the header close an upstream, and for how
// long.
func TestRetryAfter(t *testing.T) {
	names := DefaultHeaderNames()
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "1.25": 1250 * time.Millisecond, " 0.5 ": 500 * time.Millisecond, "30": 30 * time.Second,
		"31": MaxClosedTime, "86400": MaxClosedTime, "1e300": MaxClosedTime, "1e999": MaxClosedTime, "Inf": MaxClosedTime,
		"": 0, "0": 0, "-3": 0, "-1e999": 0, "-Inf": 0, "NaN": 0, "soon": 0, "2 s": 0, "Fri, 04 Dec 2026 10:00:00 GMT": 0,
	} {
		t.Run("value "+text, func(t *testing.T) {
			header := http.Header{"Retry-After": {text}}
			assert.Equal(t, names.Advice(http.StatusServiceUnavailable, header), UpstreamAdvice{ClosedFor: want})
		})
	}
	t.Run("other statuses close nothing", func(t *testing.T) {
		for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusInternalServerError} {
			assert.Equal(t, names.Advice(status, http.Header{"Retry-After": {"2"}}), UpstreamAdvice{})
		}
	})
}
