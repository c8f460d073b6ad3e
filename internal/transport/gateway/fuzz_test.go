package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// FuzzRequestHeader guards against headers of callers that move the deadline beyond the
// route's, end a request at once, or count as more tokens than all prompts together.
func FuzzRequestHeader(f *testing.F) {
	f.Add("100", "5", "a:3,b:2", "close")
	f.Add("1e300", "-5", "a:-3,b:2", "")
	f.Add("inf", "9223372036854775807", "a:9223372036854775807,b:9223372036854775807", "x,,")
	f.Add("NaN", "1,2", ":,a,:::", ",")
	f.Add("0x1p-1074", "99999999999999999999", "a:1:2", "keep-alive")
	names := comfreyworks.DefaultHeaderNames()
	g := &Gateway{options: Options{Settings: comfreyworks.GatewaySettings{Headers: names}}}
	f.Fuzz(func(t *testing.T, deadline, tokens, parts, connection string) {
		received := time.Unix(1_700_000_000, 0)
		route := &comfreyworks.Route{Timeout: time.Minute}
		got := requestDeadline(deadline, route, received)
		assert.Assert(t, !got.Before(received) && !got.After(received.Add(route.Timeout)), "%q becomes %s", deadline, got)
		header := http.Header{"Connection": {connection}}
		header.Set(names.Tokens, tokens)
		header.Set(names.Prefix, parts)
		header.Set(names.APIKey, "key")
		prompt := parsePrompt(header, &names)
		assertTokens(t, prompt.Tokens)
		assertTokens(t, prompt.OutputTokens)
		for _, part := range prompt.Parts {
			assertTokens(t, part.Tokens)
		}
		forwarded := g.forwardableHeader(header)
		assert.Equal(t, forwarded.Get(names.APIKey), "")
		assert.Equal(t, forwarded.Get(names.Prefix), parts, "%q", connection)
	})
}

func assertTokens(t *testing.T, n int) {
	t.Helper()
	assert.Assert(t, n >= 0 && n <= comfreyworks.MaxPromptTokens, "%d tokens", n)
}
