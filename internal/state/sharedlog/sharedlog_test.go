package sharedlog

import (
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const (
	lifetime   = 10 * time.Second
	maxEntries = 8
)

func newLog(promote bool) (*Log[int], *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Options[int]{Clock: clock, Lifetime: lifetime, MaxEntries: maxEntries, Promote: promote}), clock
}

// merge records values of which the given one counts.
func merge(l *Log[int], values map[uint32]int, origin Origin) {
	l.Merge(maps.All(values), origin, func(_, given int) int { return given })
}

// assertAfter checks what a log passes on after a version, and returns the current
// version.
func assertAfter(t *testing.T, l *Log[int], version uint64, origin Origin, want map[uint32]int) uint64 {
	t.Helper()
	got := make(map[uint32]int)
	current := l.After(version, origin, func(key uint32, value int) {
		_, repeated := got[key]
		assert.Assert(t, !repeated, "key %d is passed on twice", key)
		got[key] = value
	})
	assert.DeepEqual(t, got, want)
	return current
}

func TestLog(t *testing.T) {
	t.Run("a changed value is passed on, a replaced or repeated one is not", func(t *testing.T) {
		l, _ := newLog(false)
		merge(l, map[uint32]int{1: 10}, Local)
		version := assertAfter(t, l, 0, Local, map[uint32]int{1: 10})
		merge(l, map[uint32]int{1: 10}, Local)
		assertAfter(t, l, version, Local, map[uint32]int{})
		merge(l, map[uint32]int{1: 11}, Local)
		assertAfter(t, l, version, Local, map[uint32]int{1: 11})
		assertAfter(t, l, 0, Local, map[uint32]int{1: 11})
	})
	t.Run("a local entry that a remote one changes remains local", func(t *testing.T) {
		l, _ := newLog(false)
		merge(l, map[uint32]int{1: 10}, Local)
		merge(l, map[uint32]int{1: 11, 2: 20}, Remote)
		assertAfter(t, l, 0, Local, map[uint32]int{1: 11})
	})
	t.Run("only promotion passes on a remote entry that arrives as a local one", func(t *testing.T) {
		for promote, want := range map[bool]map[uint32]int{false: {}, true: {1: 10}} {
			l, _ := newLog(promote)
			merge(l, map[uint32]int{1: 10}, Remote)
			merge(l, map[uint32]int{1: 10}, Local)
			version := assertAfter(t, l, 0, Local, want)
			merge(l, map[uint32]int{1: 10}, Local)
			assertAfter(t, l, version, Remote, map[uint32]int{})
		}
	})
	t.Run("a changed entry outlives the one that it replaced", func(t *testing.T) {
		l, clock := newLog(false)
		merge(l, map[uint32]int{1: 10}, Local)
		clock.Advance(lifetime)
		merge(l, map[uint32]int{1: 11}, Local)
		clock.Advance(lifetime)
		assertAfter(t, l, 0, Local, map[uint32]int{1: 11})
		value, age, ok := l.LookupAge(1)
		assert.Assert(t, ok && value == 11 && age == lifetime)
		clock.Advance(1)
		assertAfter(t, l, 0, Local, map[uint32]int{})
		assert.Equal(t, len(l.latest), 0)
	})
	t.Run("the log is bounded", func(t *testing.T) {
		l, _ := newLog(false)
		for i := range 3 * maxEntries {
			merge(l, map[uint32]int{uint32(i / 2): i}, Remote)
		}
		assert.Equal(t, len(l.entries), maxEntries)
		assert.Equal(t, len(l.latest), maxEntries/2)
		merge(l, map[uint32]int{100: 1, 101: 1, 102: 1, 103: 1, 104: 1, 105: 1, 106: 1, 107: 1, 108: 1, 109: 1}, Remote)
		assert.Equal(t, len(l.entries), maxEntries)
		assert.Equal(t, len(l.latest), maxEntries)
	})
}
