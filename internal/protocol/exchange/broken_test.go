package exchange

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestBrokenHead guards against passing on a broken answer, against promising that its
// request has not run, and against sending another request on its connection.
func TestBrokenHead(t *testing.T) {
	const fields = "Comfrey-Request-Id: r1\r\nComfrey-Digest: d\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"status":                 "HTTP/1.1 000 Broken\r\n" + fields,
		"status of a refusal":    "HTTP/1.1 000 Broken\r\nComfrey-Not-Run: 1\r\n" + fields,
		"status above the range": "HTTP/1.1 600 Broken\r\n" + fields,
		"field":                  "HTTP/1.1 200 OK\r\nX Broken: 1\r\n" + fields,
		"field of a refusal":     "HTTP/1.1 503 Busy\r\nX-Broken : 1\r\nComfrey-Not-Run: 1\r\n" + fields,
		"informational response": "HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + fields,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := serve(t, respondWith(text))
			for range 2 {
				_, err := f.exchange(u, newForwardedRequest(http.MethodPost, "text"))
				expectKind(t, err, comfreyworks.ExchangeLost)
			}
			assert.Equal(t, u.requests.Load(), int64(2))
			assert.Equal(t, u.connections.Load(), int64(2))
		})
	}
}
