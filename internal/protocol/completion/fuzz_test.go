package completion

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParse guards against a body that panics, or that is taken for a request without a
// prompt or with a length that makes no sense.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "null", "[[[[", `{"model":"m","prompt":"x","max_tokens":-1}`, `{"model":"m","prompt":"x","max_tokens":1e300}`, `{"model":"m","prompt":["x"]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"},null]},null]}`, `{"model":"m","model":7,"messages":[{"role":"user","content":"x"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, parse := range []func([]byte) (*Request, error){ParseChat, ParseText} {
			request, err := parse(body)
			assert.Assert(t, (request == nil) == (err != nil))
			if err == nil {
				assert.Assert(t, len(request.PromptParts) > 0 && request.MaxTokens > 0, "%+v", request)
			}
		}
	})
}
