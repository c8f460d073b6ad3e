package comfreyworks

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPrefillBacklog(t *testing.T) {
	var b PrefillBacklog
	b.AddTokens(3, 1000)
	b.AddTokens(-1, 20)
	b.AddTokens(99, 5)
	t.Run("Ahead counts the same and more urgent priorities", func(t *testing.T) {
		for priority, want := range map[int]int{0: 20, 2: 20, 3: 1020, 8: 1020, 9: 1025, 40: 1025} {
			assert.Equal(t, b.Ahead(priority), want, "%d", priority)
		}
	})
	t.Run("Add sums each priority", func(t *testing.T) {
		sum := b
		sum.Add(&b)
		assert.Equal(t, sum.Ahead(9), 2050)
	})
	t.Run("survives a gob round trip", func(t *testing.T) {
		var wire bytes.Buffer
		assert.NilError(t, gob.NewEncoder(&wire).Encode(UpstreamLoad{ID: "e", Unread: b}))
		var got UpstreamLoad
		assert.NilError(t, gob.NewDecoder(&wire).Decode(&got))
		assert.DeepEqual(t, got, UpstreamLoad{ID: "e", Unread: b})
	})
	t.Run("rejects malformed encodings", func(t *testing.T) {
		for _, encoded := range [][]byte{{0}, {NumPriorities, 2}, {1, 0x80}} {
			assert.ErrorContains(t, new(PrefillBacklog).GobDecode(encoded), "decode prefill backlog: priority out of range or malformed token count")
		}
	})
}
