package crashes

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

const (
	crasher uint32 = iota + 1
	sound
	other
)

func newLog() (*Log, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Options{Clock: clock}), clock
}

// EngineEnded records that the engine ended under a request that had just begun.
func (r *Request) EngineEnded() int { return r.Broke(Evidence{}).Crashes }

// crash lets engines end one after another under requests with the given parts.
func crash(l *Log, times int, keys ...uint32) {
	for range times {
		l.Begin(keys).EngineEnded()
	}
}

func answer(l *Log, keys ...uint32) { l.Begin(keys).Answered() }

// exchange passes on what from knows.
func exchange(from, to *Log) {
	suspicions, _ := from.After(0, Remote)
	to.Merge(suspicions, Remote)
}

// assertBlamed checks which part is blamed for a request, zero for none.
func assertBlamed(t *testing.T, l *Log, want uint32, keys ...uint32) {
	t.Helper()
	key, blamed := l.Admit(keys)
	assert.Equal(t, key, want)
	assert.Equal(t, blamed, want != 0)
}

func TestKey(t *testing.T) {
	assert.Assert(t, Key("workspace:a", "p") != Key("workspace:b", "p"), "isolated workspaces cannot affect others")
	assert.Assert(t, Key("a", "bc") != Key("ab", "c"), "scope and part are separate")
	assert.Equal(t, KindOf(Key("a", "bc")), PromptPart)
	request := RequestKey([]byte("body"), "w", "POST", "host", "/path?q")
	assert.Equal(t, KindOf(request), WholeRequest)
	assert.Equal(t, RequestKey([]byte("body"), "w", "POST", "host", "/path?q"), request)
	for _, other := range []uint32{
		RequestKey([]byte("body"), "", "POST", "host", "/path?q"), RequestKey([]byte("body"), "w", "GET", "host", "/path?q"),
		RequestKey([]byte("body"), "w", "POST", "other", "/path?q"), RequestKey([]byte("body"), "w", "POST", "host", "/path"),
		RequestKey(nil, "w", "POST", "host", "/path?q"), RequestKey([]byte("ody"), "w", "POST", "host", "/path?qb"),
	} {
		assert.Assert(t, other != request)
	}
}

// TestRepeatedRequest checks what differs for whole requests: one that was answered
// before is blamed as soon as any other, and the first quarantine is shorter.
func TestRepeatedRequest(t *testing.T) {
	l, clock := newLog()
	request := RequestKey(nil, "request")
	answer(l, request)
	crash(l, certainAfter, request)
	clock.Advance(minRequestQuarantine)
	assertBlamed(t, l, request, request)
	clock.Advance(1)
	assertBlamed(t, l, 0, request)
	crash(l, 1, request)
	clock.Advance(2 * minRequestQuarantine)
	assertBlamed(t, l, request, request)
}

// TestPoolEndsTogether guards against a request that ends all upstreams of a small pool
// several times, because ends at the same moment count once.
func TestPoolEndsTogether(t *testing.T) {
	request := RequestKey(nil, "request")
	logs := make([]*Log, 3)
	for i := range logs {
		logs[i], _ = newLog()
	}
	endPool := func(incarnation int64) {
		var runs []*Request
		for i, l := range logs {
			runs = append(runs, l.Begin([]uint32{request, sound}).On(comfreyworks.InstanceID(fmt.Sprint(i)), time.UnixMilli(incarnation)))
		}
		for _, run := range runs {
			run.EngineEnded()
		}
		for range logs {
			for i, l := range logs {
				exchange(l, logs[(i+1)%len(logs)])
			}
		}
	}
	endPool(1)
	for _, l := range logs {
		assertBlamed(t, l, 0, request, sound)
	}
	endPool(2)
	for _, l := range logs {
		assertBlamed(t, l, request, request, sound)
		answer(l, sound)
		assertBlamed(t, l, 0, sound)
	}
}

func TestBlame(t *testing.T) {
	t.Run("crashes that follow one another blame", func(t *testing.T) {
		l, _ := newLog()
		for i := range certainAfter {
			assertBlamed(t, l, 0, crasher)
			assert.Equal(t, l.Begin([]uint32{sound, crasher}).EngineEnded(), i+1)
			answer(l, sound)
		}
		assertBlamed(t, l, crasher, sound, crasher)
		assertBlamed(t, l, 0, sound)
		assertBlamed(t, l, 0)
	})
	t.Run("engines that end together count once", func(t *testing.T) {
		l, _ := newLog()
		var inFlight []*Request
		for i := range uint32(40) {
			inFlight = append(inFlight, l.Begin([]uint32{sound, 100 + i%8}))
		}
		for _, r := range inFlight {
			assert.Equal(t, r.EngineEnded(), 1)
		}
		assertBlamed(t, l, 0, sound, 100)
	})
	t.Run("an answer in between clears, and it takes more crashes then", func(t *testing.T) {
		l, _ := newLog()
		late := l.Begin([]uint32{sound})
		crash(l, certainAfter-1, sound)
		answer(l, sound)
		assert.Equal(t, late.EngineEnded(), 0)
		crash(l, certainAfter+answeredMargin-1, sound)
		assertBlamed(t, l, 0, sound)
		crash(l, 1, sound)
		assertBlamed(t, l, sound, sound)
	})
	t.Run("only the first result of a request counts", func(t *testing.T) {
		l, _ := newLog()
		crash(l, certainAfter-1, sound)
		for _, first := range []func(*Request){(*Request).Answered, (*Request).Done} {
			r := l.Begin([]uint32{sound})
			first(r)
			assert.Equal(t, r.EngineEnded(), 0)
			r.Answered()
		}
		assertBlamed(t, l, 0, sound)
	})
	t.Run("a crash that a blamed part explains does not count for others", func(t *testing.T) {
		l, _ := newLog()
		crash(l, certainAfter-1, crasher, sound)
		late := l.Begin([]uint32{crasher, sound})
		crash(l, 1, crasher)
		assert.Equal(t, late.EngineEnded(), certainAfter)
		assertBlamed(t, l, crasher, crasher, sound)
		assertBlamed(t, l, 0, sound)
	})
}

// TestSharedPart guards against the quarantine of a part that came with several parts
// that crash engines.
func TestSharedPart(t *testing.T) {
	l, _ := newLog()
	crash(l, 1, sound, crasher)
	crash(l, 1, sound, other)
	assertBlamed(t, l, sound, sound, crasher)
	assertBlamed(t, l, 0, sound, 100)
	answer(l, sound, 100)
	crash(l, certainAfter, sound, crasher)
	assertBlamed(t, l, crasher, sound, crasher)
	assertBlamed(t, l, 0, sound, other)
}

// TestPartsThatComeTogether checks that of parts that were in the same crashed
// requests, those that crash no engine are found out.
func TestPartsThatComeTogether(t *testing.T) {
	blamePair := func() *Log {
		l, _ := newLog()
		crash(l, certainAfter, crasher, sound)
		assertBlamed(t, l, sound, sound, crasher)
		return l
	}
	t.Run("an answer to a request with one of them clears it", func(t *testing.T) {
		l := blamePair()
		assertBlamed(t, l, 0, sound)
		answer(l, sound)
		assertBlamed(t, l, crasher, sound, crasher)
		assertBlamed(t, l, crasher, crasher)
		assertBlamed(t, l, 0, sound)
	})
	t.Run("a crash of a request with one of them blames it alone", func(t *testing.T) {
		l := blamePair()
		assertBlamed(t, l, 0, crasher)
		crash(l, 1, crasher)
		assertBlamed(t, l, crasher, crasher)
		assertBlamed(t, l, 0, sound)
	})
	t.Run("of many parts the most suspected are remembered", func(t *testing.T) {
		l, _ := newLog()
		crash(l, 1, crasher)
		crash(l, 1, sound, 11, 12, 13, 14, 15, crasher)
		suspicions, _ := l.After(0, Local)
		for _, s := range suspicions[:6] {
			assert.Equal(t, len(s.With), comfreyworks.MaxCrashSuspicionWith)
			assert.Equal(t, s.With[0], crasher)
		}
	})
}

func TestExchange(t *testing.T) {
	t.Run("crashes at several gateways blame at all of them", func(t *testing.T) {
		a, _ := newLog()
		b, _ := newLog()
		for range certainAfter {
			crash(a, 1, crasher)
			exchange(a, b)
			a, b = b, a
		}
		assertBlamed(t, a, crasher, crasher)
		assertBlamed(t, b, crasher, crasher)
	})
	t.Run("crashes that gateways did not know of from each other count once", func(t *testing.T) {
		a, _ := newLog()
		b, _ := newLog()
		crash(a, certainAfter-1, crasher)
		crash(b, certainAfter-1, crasher)
		exchange(a, b)
		exchange(b, a)
		assertBlamed(t, a, 0, crasher)
		assertBlamed(t, b, 0, crasher)
	})
	t.Run("a gateway that learns of a clearing late", func(t *testing.T) {
		a, _ := newLog()
		b, _ := newLog()
		crash(a, certainAfter-1, sound)
		exchange(a, b)
		answer(a, sound)
		crash(b, 1, sound)
		assertBlamed(t, b, sound, sound)
		exchange(a, b)
		exchange(b, a)
		assertBlamed(t, a, 0, sound)
		assertBlamed(t, b, 0, sound)
	})
	t.Run("only what changed is passed on, not to where it came from", func(t *testing.T) {
		l, _ := newLog()
		crash(l, 1, crasher, sound)
		l.Merge([]comfreyworks.CrashSuspicion{{Part: other, Crashes: 2, With: []uint32{9, 8, 8, 0, 7, 6, 5, 4}}}, Remote)
		suspicions, version := l.After(0, Local)
		assert.DeepEqual(t, suspicions, []comfreyworks.CrashSuspicion{
			{Part: crasher, Crashes: 1, With: []uint32{sound}}, {Part: sound, Crashes: 1, With: []uint32{crasher}},
		})
		exchange(l, l)
		suspicions, _ = l.After(version, Remote)
		assert.Equal(t, len(suspicions), 0)
		suspicions, _ = l.After(0, Remote)
		assert.DeepEqual(t, suspicions[2].With, []uint32{5, 6, 7, 8, 9})
	})
	t.Run("what a gateway reports that relies on this one is passed on, though it is known", func(t *testing.T) {
		l, _ := newLog()
		reported := []comfreyworks.CrashSuspicion{{Part: crasher, Crashes: 1}}
		l.Merge(reported, Remote)
		for range 2 {
			l.Merge(reported, Local)
		}
		suspicions, version := l.After(0, Local)
		assert.DeepEqual(t, suspicions, reported)
		assert.Equal(t, version, uint64(2))
	})
}

func TestQuarantine(t *testing.T) {
	const spread = 0.5
	blame := func() (*Log, *clockwork.FakeClock) {
		l, clock := newLog()
		l.spread = spread
		crash(l, certainAfter, crasher)
		return l, clock
	}
	assertQuarantine := func(t *testing.T, l *Log, clock *clockwork.FakeClock, length time.Duration) {
		t.Helper()
		clock.Advance(length + length/2)
		assertBlamed(t, l, crasher, crasher)
		clock.Advance(1)
		assertBlamed(t, l, 0, crasher)
	}
	t.Run("it doubles with every crash, to a limit", func(t *testing.T) {
		l, clock := blame()
		for _, factor := range []time.Duration{1, 2, 4, 6, 6} {
			assertQuarantine(t, l, clock, factor*minQuarantine)
			crash(l, 1, crasher)
		}
	})
	t.Run("one request is let through at a time after it", func(t *testing.T) {
		l, clock := blame()
		assertQuarantine(t, l, clock, minQuarantine)
		trial := l.Begin([]uint32{crasher, sound})
		assertBlamed(t, l, crasher, crasher)
		assertBlamed(t, l, 0, sound)
		trial.Done()
		assertBlamed(t, l, 0, crasher)
		assert.Equal(t, l.Begin([]uint32{crasher}).EngineEnded(), certainAfter+1)
		assertBlamed(t, l, crasher, crasher)
		assertQuarantine(t, l, clock, 2*minQuarantine)
		answer(l, crasher)
		crash(l, 1, crasher)
		assertBlamed(t, l, 0, crasher)
	})
	t.Run("a crash elsewhere blames again, an operator clears", func(t *testing.T) {
		l, clock := blame()
		a, _ := newLog()
		exchange(l, a)
		assertQuarantine(t, l, clock, minQuarantine)
		crash(a, 1, crasher)
		exchange(a, l)
		assertBlamed(t, l, crasher, crasher)
		l.Lift(crasher)
		l.Lift(sound)
		exchange(l, a)
		assertBlamed(t, l, 0, crasher)
		assertBlamed(t, a, 0, crasher)
	})
}

func TestLimits(t *testing.T) {
	t.Run("a suspicion expires", func(t *testing.T) {
		l, clock := newLog()
		crash(l, certainAfter, crasher)
		clock.Advance(lifetime + 1)
		crash(l, 1, crasher)
		assertBlamed(t, l, 0, crasher)
	})
	t.Run("the number of suspicions is limited", func(t *testing.T) {
		l, _ := newLog()
		crash(l, 1, crasher)
		for key := range uint32(maxEntries) {
			crash(l, 1, 100+key)
		}
		suspicions, _ := l.After(0, Remote)
		assert.Equal(t, len(suspicions), maxEntries)
		crash(l, certainAfter-1, crasher)
		assertBlamed(t, l, 0, crasher)
	})
	t.Run("crashes are counted to a limit", func(t *testing.T) {
		l, _ := newLog()
		l.Merge([]comfreyworks.CrashSuspicion{{Part: crasher, Crashes: math.MaxUint16}}, Remote)
		assert.Equal(t, l.Begin([]uint32{crasher}).EngineEnded(), math.MaxUint16)
		assertBlamed(t, l, crasher, crasher)
	})
	t.Run("a part that was cleared too often is not suspected", func(t *testing.T) {
		l, _ := newLog()
		l.Merge([]comfreyworks.CrashSuspicion{{Part: sound, Cleared: math.MaxUint16 - 1, Crashes: 1}}, Remote)
		answer(l, sound)
		crash(l, certainAfter+answeredMargin, sound)
		assertBlamed(t, l, 0, sound)
	})
	t.Run("recent parts are forgotten", func(t *testing.T) {
		now := time.Unix(0, 0)
		r := recentParts{keep: recently}
		assert.Assert(t, !r.has(sound, now))
		r.add(sound, now)
		assert.Assert(t, r.has(sound, now.Add(recently)))
		r.add(other, now.Add(recently+1))
		assert.Assert(t, r.has(sound, now.Add(2*recently)))
		assert.Assert(t, !r.has(sound, now.Add(2*recently+2)))
		assert.Assert(t, r.has(other, now.Add(2*recently+2)))
		assert.Assert(t, !r.has(other, now.Add(time.Hour)))
		for key := range uint32(3 * maxRecent) {
			r.add(key, now.Add(time.Hour))
		}
		assert.Equal(t, len(r.current)+len(r.former), 2*maxRecent)
	})
}
