package crashes

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// endOn lets upstreams end under one request each, with a pause in between. The parts
// are those of the requests in the order of the upstreams.
func endOn(l *Log, clock *clockwork.FakeClock, pause time.Duration, parts ...[]uint32) {
	requests := make([]*Request, len(parts))
	for i, keys := range parts {
		requests[i] = l.Begin(keys).On(comfreyworks.InstanceID(fmt.Sprint("engine/", i)), time.Time{})
	}
	for _, r := range requests {
		r.EngineEnded()
		clock.Advance(pause)
	}
}

func crashesOf(l *Log, key uint32) int {
	s, _ := l.log.Lookup(key)
	return int(s.crashes)
}

// TestExcusedTogether guards against blaming parts because several upstreams ended for
// another reason under requests with them, and against excusing the part that ended them.
func TestExcusedTogether(t *testing.T) {
	together := [][]uint32{{sound, 100}, {other, 101}, {102}, {103}, {104}}
	for _, c := range []struct {
		name  string
		pause time.Duration
		parts [][]uint32
		want  map[uint32]int
	}{
		{"several upstreams", 0, together, map[uint32]int{sound: 0, other: 0, 100: 0, 104: 0}},
		{"one after another", togetherWindow, together, map[uint32]int{sound: 1, other: 1, 100: 1, 104: 1}},
		{"two upstreams", 0, together[:2], map[uint32]int{sound: 1, other: 1}},
		{
			"a part of half the requests", 0,
			[][]uint32{{crasher, 100}, {crasher, 101}, {crasher, 102}, {sound}, {other}},
			map[uint32]int{crasher: 1, 100: 0, sound: 0},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, clock := newLog()
			endOn(l, clock, c.pause, c.parts...)
			for key, want := range c.want {
				assert.Equal(t, crashesOf(l, key), want, "part %d", key)
			}
		})
	}
	t.Run("many requests of one upstream", func(t *testing.T) {
		l, _ := newLog()
		for key := range uint32(10) {
			l.Begin([]uint32{100 + key}).On("engine/0", time.Time{}).EngineEnded()
		}
		assert.Equal(t, crashesOf(l, 100), 1)
	})
	t.Run("earlier crashes are kept", func(t *testing.T) {
		l, clock := newLog()
		crash(l, 1, sound)
		endOn(l, clock, 0, together...)
		assert.Equal(t, crashesOf(l, sound), 1)
	})
	t.Run("a gateway that saw one upstream end", func(t *testing.T) {
		l, clock := newLog()
		single := New(Options{Clock: clock})
		crash(single, 1, sound)
		endOn(l, clock, 0, together...)
		exchange(l, single)
		assert.Equal(t, crashesOf(single, sound), 0)
	})
	t.Run("a part that is blamed", func(t *testing.T) {
		l, clock := newLog()
		crash(l, certainAfter, crasher)
		endOn(l, clock, 0, append(together, []uint32{crasher})...)
		assertBlamed(t, l, crasher, crasher)
	})
	t.Run("a part that ends upstreams all the time", func(t *testing.T) {
		l, clock := newLog()
		for range maxExcuses + certainAfter {
			endOn(l, clock, 0, append(together, []uint32{crasher})...)
			clock.Advance(time.Second)
		}
		assertBlamed(t, l, crasher, crasher)
	})
}
