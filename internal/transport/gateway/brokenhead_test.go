package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/internal/state/meter"
)

// brokenAnswer is what callers get if the first answer of an upstream is broken before
// any of it was passed on.
var brokenAnswer = map[string]struct {
	status int
	runs   int64
	body   string
}{
	"/book/1":   {http.StatusBadGateway, 1, ""},
	"/look/1":   {http.StatusOK, 2, "whole"},
	"/review/1": {http.StatusBadGateway, 1, ""},
	"/note/1":   {http.StatusOK, 2, fullStream()},
}

// expectNoAnswer checks that the first answer with a head is not passed on, and that its
// connection is not used again.
func expectNoAnswer(t *testing.T, head, body string) {
	t.Helper()
	for path, want := range brokenAnswer {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			replicas := &rawReplicas{f: f, head: head, body: body}
			replicas.replace(t)
			resp := f.call(t, path)
			assert.Equal(t, resp.StatusCode, want.status, resp.body)
			assert.Assert(t, !resp.cut)
			assert.Equal(t, f.gateway.options.Meter.Counter("comfrey_panics_total", meter.Labels{Class: "request"}), 0)
			if want.body != "" {
				assert.Equal(t, resp.body, want.body)
			}
			assert.Equal(t, replicas.requests.Load(), want.runs)
			assert.Equal(t, f.call(t, path).StatusCode, http.StatusOK)
			assert.Equal(t, replicas.requests.Load(), want.runs+1)
			assert.Equal(t, replicas.reused.Load(), int64(0))
		})
	}
}

// expectPassedOn checks that the first answer with a head reaches the caller with its status.
func expectPassedOn(t *testing.T, head string, status int) {
	t.Helper()
	for path := range brokenAnswer {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			replicas := &rawReplicas{f: f, head: head, body: fullStream()}
			replicas.replace(t)
			resp := f.call(t, path)
			assert.Equal(t, resp.StatusCode, status)
			assert.Equal(t, resp.body, fullStream())
			assert.Equal(t, replicas.requests.Load(), int64(1))
		})
	}
}

// TestStatusOutOfRange guards against passing on an answer whose status is not one of a
// final response.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		for name, field := range map[string]string{"with a length": "\r\nContent-Length: 4", "without a length": ""} {
			t.Run(status+" "+name, func(t *testing.T) {
				expectNoAnswer(t, "HTTP/1.1 "+status+" Broken"+field, "text")
			})
		}
	}
}

// TestOddStatusIsPassedOn guards against rejecting final statuses that are seldom used.
func TestOddStatusIsPassedOn(t *testing.T) {
	for line, status := range map[string]int{"299 Odd": 299, "404": 404, "418 Odd": 418, "499 Odd": 499} {
		t.Run(line, func(t *testing.T) { expectPassedOn(t, "HTTP/1.1 "+line, status) })
	}
}
