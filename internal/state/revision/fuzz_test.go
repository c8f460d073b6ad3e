package revision

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// FuzzReplay guards against a record of the configuration stream that panics, that hides
// the records after it, or that takes the place of a sound revision without its digest.
func FuzzReplay(f *testing.F) {
	at := time.Unix(1_700_000_000, 0)
	first := Empty().Propose(documentWithDeadline(f, 60), "ann", "", at)
	second := mustApply(f, Empty(), first).Propose(documentWithDeadline(f, 30), "ann", "", at)
	encode := func(record Record) []byte {
		data, err := json.Marshal(record)
		assert.NilError(f, err)
		return data
	}
	for _, seed := range []string{"", "null", "[", `{"base":-1}`, `{"base":1,"sections":{"classes":null,"classes":[]}}`, `{"base":18446744073709551615,"carried":true}`, `{"base":1,"sections":{"":"\u0000"},"at":"x"}`} {
		f.Add([]byte(seed))
	}
	before, after := encode(first), encode(second)
	f.Add(after)
	f.Fuzz(func(t *testing.T, data []byte) {
		entries := Replay([]comfreyworks.Record{{Data: before}, {Data: data}, {Data: after}})
		assert.Equal(t, len(entries), 3)
		assert.Assert(t, entries[0].Document != nil)
		assert.Assert(t, (entries[1].Document == nil) == (entries[1].Err != nil))
		if entries[1].Document != nil {
			assert.Equal(t, entries[1].Document.Digest(), entries[1].Record.Digest)
		} else {
			assert.Assert(t, entries[2].Document != nil, "%v", entries[2].Err)
		}
		assert.Assert(t, Newest(entries).Deployment() != nil)
	})
}
