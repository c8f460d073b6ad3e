package savedsessions

import (
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestLog(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(clock)
	key := Key("shared/2", "site")
	assert.Assert(t, key != Key("shared/3", "site"), "parts of other weights are other sessions")
	t.Run("an added session is saved until its lifetime ends", func(t *testing.T) {
		assert.Assert(t, !l.Has(key))
		l.Add(key)
		assert.Assert(t, l.Has(key))
		clock.Advance(lifetime)
		assert.Assert(t, l.Has(key))
		clock.Advance(1)
		assert.Assert(t, !l.Has(key))
	})
	t.Run("only what was added since is passed on", func(t *testing.T) {
		_, version := l.After(0, Remote)
		l.Add(1)
		l.Merge([]uint32{2, 1}, Remote)
		keys, next := l.After(version, Remote)
		assert.DeepEqual(t, keys, []uint32{1, 2})
		local, _ := l.After(version, Local)
		assert.DeepEqual(t, local, []uint32{1})
		keys, _ = l.After(next, Remote)
		assert.Equal(t, len(keys), 0)
	})
	t.Run("a process that restarted has a shorter log", func(t *testing.T) {
		keys, version := New(clock).After(99, Remote)
		assert.Assert(t, len(keys) == 0 && version == 0)
	})
	t.Run("the log is bounded", func(t *testing.T) {
		keys := make([]uint32, 2*maxEntries)
		for i := range keys {
			keys[i] = uint32(i)
		}
		l.Merge(keys, Remote)
		l.Merge(nil, Remote)
		kept, _ := l.After(0, Remote)
		assert.Assert(t, slices.Equal(kept, keys[maxEntries:]))
		for i, key := range keys {
			assert.Equal(t, l.Has(key), i >= maxEntries, "key %d", key)
		}
	})
}
