package exchange

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// adviceIn returns the advice in an answer with the given text.
func adviceIn(t *testing.T, answer string) comfreyworks.UpstreamAdvice {
	t.Helper()
	f := newFixture(t)
	u := serve(t, respondWith(answer))
	var received comfreyworks.UpstreamAdvice
	ctx := comfreyworks.WithAdvice(context.Background(), func(advice comfreyworks.UpstreamAdvice) { received = advice })
	response, err := f.client.Exchange(ctx, newForwardedRequest("POST", "text"), optionsFor(u))
	if err == nil {
		assert.NilError(t, response.Body.Close())
	}
	return received
}

// TestLeavingInAnswers guards against kinds of answers in which it is overlooked
// that the upstream is leaving.
func TestLeavingInAnswers(t *testing.T) {
	const rest = "Comfrey-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	for name, head := range map[string]string{
		"success":             "200 OK\r\nComfrey-Request-Id: r1\r\nComfrey-Digest: d\r\n",
		"failure":             "500 Failed\r\nComfrey-Request-Id: r1\r\n",
		"not run":             "503 Busy\r\nComfrey-Request-Id: r1\r\nComfrey-Not-Run: 1\r\n",
		"invalid request":     "400 Invalid\r\nComfrey-Not-Run: 1\r\n",
		"other weights":       "421 Other\r\nComfrey-Weights: 2\r\n",
		"to another request":  "200 OK\r\nComfrey-Request-Id: r0\r\n",
		"without a length":    "200 OK\r\nComfrey-Request-Id: r1\r\nConnection: close\r\n",
		"start of a stream":   "200 OK\r\nComfrey-Request-Id: r1\r\nContent-Type: text/event-stream\r\n",
		"deadline has passed": "504 Late\r\nComfrey-Request-Id: r1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, adviceIn(t, "HTTP/1.1 "+head+rest).Leaving)
		})
	}
	t.Run("another upstream that uses the address", func(t *testing.T) {
		assert.Equal(t, adviceIn(t, "HTTP/1.1 421 Other\r\nComfrey-Instance: u2\r\n"+rest), comfreyworks.UpstreamAdvice{})
	})
	t.Run("an answer without the header", func(t *testing.T) {
		assert.Equal(t, adviceIn(t, completeResponse), comfreyworks.UpstreamAdvice{})
	})
	t.Run("another value", func(t *testing.T) {
		assert.Equal(t, adviceIn(t, "HTTP/1.1 200 OK\r\nComfrey-Leaving: 0\r\nContent-Length: 0\r\n\r\n"), comfreyworks.UpstreamAdvice{})
	})
}
