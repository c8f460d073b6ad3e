package streamorigins

import (
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

func assertRelease(t *testing.T, l *Log, key, want uint32) {
	t.Helper()
	release, ok := l.Lookup(key)
	assert.Equal(t, release, want)
	assert.Equal(t, ok, want != 0)
}

func TestHashes(t *testing.T) {
	assert.Assert(t, Key("a") != Key("b"))
	assert.Assert(t, Release("lm", "1") != Release("lm", "2"))
	assert.Assert(t, Release("lm", "1") != Release("lm1", ""), "pool and release are separate")
	assert.Assert(t, Release("", "") != 0)
}

func TestLog(t *testing.T) {
	const id = comfreyworks.RequestID("r")
	key := Key(id)
	learn := func(l *Log, release uint32) {
		l.Merge([]comfreyworks.StreamOrigin{{Stream: key, Release: release}}, Remote)
	}
	t.Run("the last attempt of this gateway counts", func(t *testing.T) {
		l := New(clockwork.NewFakeClock())
		assertRelease(t, l, key, 0)
		l.Add(id, 1)
		l.Add(id, 1)
		assertRelease(t, l, key, 1)
		l.Add(id, 2)
		assertRelease(t, l, key, 2)
		origins, _ := l.After(0, Local)
		assert.DeepEqual(t, origins, []comfreyworks.StreamOrigin{{Stream: key, Release: 2}})
	})
	t.Run("conflicting releases from elsewhere mean unknown", func(t *testing.T) {
		l := New(clockwork.NewFakeClock())
		learn(l, 1)
		learn(l, 1)
		assertRelease(t, l, key, 1)
		learn(l, 2)
		assertRelease(t, l, key, 0)
		learn(l, 1)
		assertRelease(t, l, key, 0)
	})
	t.Run("an own later one decides", func(t *testing.T) {
		l := New(clockwork.NewFakeClock())
		learn(l, 1)
		l.Add(id, 2)
		assertRelease(t, l, key, 2)
		learn(l, 1)
		learn(l, conflicting)
		assertRelease(t, l, key, 2)
		learn(l, 3)
		assertRelease(t, l, key, 0)
		l.Add(id, 2)
		learn(l, conflicting)
		assertRelease(t, l, key, 2)
	})
	t.Run("a different one that is learned after an own one makes it unknown", func(t *testing.T) {
		for _, later := range []uint32{1, conflicting} {
			l := New(clockwork.NewFakeClock())
			l.Add(id, 2)
			learn(l, later)
			assertRelease(t, l, key, 0)
		}
	})
	t.Run("a conflict is passed on", func(t *testing.T) {
		l, other := New(clockwork.NewFakeClock()), New(clockwork.NewFakeClock())
		l.Merge([]comfreyworks.StreamOrigin{{Stream: key, Release: 1}}, Local)
		learn(l, 2)
		origins, _ := l.After(0, Local)
		other.Merge(origins, Remote)
		learn(other, 2)
		assertRelease(t, other, key, 0)
	})
	t.Run("an origin is known until its lifetime ends", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		l := New(clock)
		l.Add(id, 1)
		clock.Advance(lifetime)
		assertRelease(t, l, key, 1)
		clock.Advance(1)
		assertRelease(t, l, key, 0)
		origins, _ := l.After(0, Remote)
		assert.Equal(t, len(origins), 0)
	})
	t.Run("the log is bounded", func(t *testing.T) {
		l := New(clockwork.NewFakeClock())
		origins := make([]comfreyworks.StreamOrigin, 2*maxEntries)
		for i := range origins {
			origins[i] = comfreyworks.StreamOrigin{Stream: uint32(i), Release: 1}
		}
		l.Merge(origins, Remote)
		kept, _ := l.After(0, Remote)
		assert.Assert(t, slices.Equal(kept, origins[maxEntries:]))
		assertRelease(t, l, maxEntries-1, 0)
		assertRelease(t, l, maxEntries, 1)
	})
}
