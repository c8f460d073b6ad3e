package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/internal/state/meter"
)

// newLimitedFixture returns a fixture in which the workspace office has a usage limit.
func newLimitedFixture(t *testing.T, limit comfreyworks.UsageLimit) *fixture {
	t.Helper()
	f := newFixture(t)
	f.source.change(func(s *memorySource) { s.routing.Workspaces[0].Limit = limit })
	f.refresh(t)
	// The bucket is empty at first.
	f.gateway.usage.limiter.Active()
	f.clock.Advance(2 * time.Second)
	return f
}

func (f *fixture) returned() int {
	return f.gateway.options.Meter.Counter("comfrey_usage_returned_total", meter.Labels{Workspace: "office"})
}

// TestUsageLimit guards against requests over the limit that are sent, or are refused
// with an answer that does not tell when to come back.
func TestUsageLimit(t *testing.T) {
	f := newLimitedFixture(t, comfreyworks.UsageLimit{Unit: comfreyworks.UsageTokens, Rate: 2000, Burst: 2000, PlainTokens: 200})
	for range 2 {
		assert.Equal(t, f.call(t, "/review/7").StatusCode, http.StatusOK)
	}
	refused := f.call(t, "/review/7")
	assert.Equal(t, refused.StatusCode, http.StatusTooManyRequests)
	after, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after < 5, "%f s", after)
	assert.Equal(t, len(f.runs(f.engines)), 2)
	t.Run("other workspaces are not limited", func(t *testing.T) {
		r := f.request(t, http.MethodPost, "/book/1", "")
		r.Header.Set(f.names.APIKey, "key-crew")
		assert.Equal(t, f.do(t, r).StatusCode, http.StatusOK)
	})
	t.Run("public routes are not limited", func(t *testing.T) {
		assert.Equal(t, f.call(t, "/open/1").StatusCode, http.StatusOK)
	})
	t.Run("it admits requests again in time", func(t *testing.T) {
		f.clock.Advance(2 * time.Second)
		assert.Equal(t, f.call(t, "/review/7").StatusCode, http.StatusOK)
	})
	t.Run("a request that exceeds it alone is not told to come back", func(t *testing.T) {
		r := f.request(t, http.MethodPost, "/review/7", "")
		r.Header.Set(f.names.Tokens, "90000,80")
		refused := f.do(t, r)
		assert.Equal(t, refused.StatusCode, http.StatusTooManyRequests)
		assert.Equal(t, refused.Header.Get("Retry-After"), "")
	})
}

// TestUsageReturned guards against requests that no upstream ran but that count.
func TestUsageReturned(t *testing.T) {
	f := newLimitedFixture(t, comfreyworks.UsageLimit{Unit: comfreyworks.UsageTokens, Rate: 2000, Burst: 2000, PlainTokens: 200})
	f.failFirst(f.engines, replica.FaultBusy, 4)
	assert.Equal(t, f.call(t, "/review/7").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.returned(), 1540)
	t.Run("unless an upstream may have run it", func(t *testing.T) {
		f.failFirst(f.services, replica.FaultReset, 4)
		f.call(t, "/book/1")
		assert.Equal(t, f.returned(), 1540)
	})
	t.Run("also if the body is incomplete", func(t *testing.T) {
		r := f.request(t, http.MethodPost, "/book/1", string(make([]byte, 2000)))
		assert.Equal(t, f.do(t, r).StatusCode, http.StatusRequestEntityTooLarge)
		assert.Equal(t, f.returned(), 1540+200)
	})
}

// TestUsageAmount guards against headers that make a limit looser.
func TestUsageAmount(t *testing.T) {
	tokens := &comfreyworks.UsageLimit{Unit: comfreyworks.UsageTokens, PlainTokens: 200}
	for name, test := range map[string]struct {
		values []string
		want   int
		valid  bool
	}{
		"prompt and answer": {[]string{"1460,80"}, 1540, true},
		"spaces":            {[]string{" 1460, 80 "}, 1540, true},
		"none":              {nil, 200, true},
		"empty":             {[]string{""}, 200, false},
		"one number":        {[]string{"1460"}, 1460, false},
		"three numbers":     {[]string{"100,80,5"}, 200, false},
		"negative":          {[]string{"-5000,80"}, 200, false},
		"no number":         {[]string{"1460,many"}, 1460, false},
		"not a number":      {[]string{"NaN,NaN"}, 200, false},
		"too high":          {[]string{"99999999999999999999,1"}, comfreyworks.MaxPromptTokens + 1, false},
		"two headers":       {[]string{"1,1", "1460,80"}, 1540, false},
	} {
		t.Run(name, func(t *testing.T) {
			amount, valid := usageAmount(test.values, tokens)
			assert.Equal(t, amount, test.want)
			assert.Equal(t, valid, test.valid)
		})
	}
	t.Run("requests", func(t *testing.T) {
		amount, valid := usageAmount([]string{"-1"}, &comfreyworks.UsageLimit{Unit: comfreyworks.UsageRequests})
		assert.Assert(t, amount == 1 && valid)
	})
}
