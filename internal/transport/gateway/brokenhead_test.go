package gateway

import (
	"fmt"
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

// TestMalformedFieldName guards against passing on an answer with a field whose name is
// none: the field may be the one that says where the body ends.
func TestMalformedFieldName(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprint("Content-Length: ", len(fullStream()))
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(fullStream()), fullStream())
	for name, c := range map[string]struct{ head, body string }{
		"a blank inside":            {status + "X Broken: 1\r\n" + length, fullStream()},
		"a blank before the colon":  {status + "X-Broken : 1\r\n" + length, fullStream()},
		"and without a length":      {status + "X-Broken : 1", fullStream()},
		"and without a body":        {status + "X-Broken : 1\r\nContent-Length: 0", ""},
		"before a tab":              {status + "X-Broken\t: 1\r\n" + length, fullStream()},
		"of the framing":            {status + "Transfer-Encoding : chunked", chunked},
		"of the framing beside one": {status + "Transfer-Encoding : chunked\r\n" + length, chunked},
		"of the length":             {status + "Content-Length : 3", fullStream()},
		"a control byte":            {status + "X\x01Broken: 1\r\n" + length, fullStream()},
		"a zero byte":               {status + "X\x00Broken: 1\r\n" + length, fullStream()},
		"empty":                     {status + ": 1\r\n" + length, fullStream()},
		"brackets":                  {status + "X(Broken): 1\r\n" + length, fullStream()},
		"beyond ASCII":              {status + "X-Bröken: 1\r\n" + length, fullStream()},
		"of an informational one":   {"HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\n" + status + length, fullStream()},
	} {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, c.head, c.body) })
	}
	t.Run("tabs in a value", func(t *testing.T) {
		expectPassedOn(t, status+"X-Sound:\ta\tb\t\r\n"+length, http.StatusOK)
	})
}
