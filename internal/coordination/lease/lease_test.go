package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

const duration = 3 * time.Second

// fakeLog is an in-memory log that can be unavailable, lose answers, delay appends
// and be restored from a copy.
type fakeLog struct {
	records [][]byte
	// era counts the restores; it is in the high bits of offsets.
	era  uint64
	down bool
	// loseAnswer makes the next append succeed without an answer. delayAppend
	// stores the next append in delayed, for the test to run later.
	loseAnswer, delayAppend bool
	delayed                 func() bool
}

var errNoAnswer = errors.New("no answer")

const eraShift = 32

// end returns the offset that the next append will get.
func (l *fakeLog) end() comfreyworks.Offset {
	return comfreyworks.Offset(l.era<<eraShift | uint64(len(l.records)))
}

// restore restores the log from a copy that lacks the last records.
func (l *fakeLog) restore(lost int) {
	l.records = l.records[:max(len(l.records)-lost, 0)]
	l.era++
}

// Tail implements comfreyworks.LeaseLog.
func (l *fakeLog) Tail(context.Context, string) ([]byte, comfreyworks.Offset, error) {
	if l.down {
		return nil, 0, errNoAnswer
	}
	if len(l.records) == 0 {
		return nil, l.end(), nil
	}
	return l.records[len(l.records)-1], l.end(), nil
}

// AppendAt implements comfreyworks.LeaseLog.
func (l *fakeLog) AppendAt(_ context.Context, _ string, at comfreyworks.Offset, record []byte) (bool, error) {
	appendNow := func() bool {
		if at%(1<<eraShift) != l.end()%(1<<eraShift) {
			return false
		}
		sameEra := at == l.end()
		l.records = append(l.records, record)
		return sameEra
	}
	switch {
	case l.down:
		return false, errNoAnswer
	case l.delayAppend:
		l.delayAppend, l.delayed = false, appendNow
		return false, errNoAnswer
	case l.loseAnswer:
		l.loseAnswer = false
		appendNow()
		return false, errNoAnswer
	}
	return appendNow(), nil
}

type fixture struct {
	clock *clockwork.FakeClock
	log   *fakeLog
}

func newFixture() fixture {
	return fixture{clock: clockwork.NewFakeClock(), log: &fakeLog{}}
}

func (f fixture) lease(self comfreyworks.InstanceID) *Lease {
	return New(Options{Log: f.log, Stream: "s", Self: self, Duration: duration, Clock: f.clock})
}

// step makes one step. It ignores errors because tests make the log fail.
func step(l *Lease) { _, _ = l.Step(context.Background()) }

func assertHeld(t *testing.T, l *Lease, want bool) uint64 {
	t.Helper()
	token, held := l.Held()
	assert.Equal(t, held, want)
	return token
}

func TestAcquire(t *testing.T) {
	t.Run("a free lease is acquired", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		assertHeld(t, a, true)
	})
	t.Run("a held lease is not acquired", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		step(b)
		assertHeld(t, b, false)
	})
	t.Run("a silent holder loses the lease before another process acquires it", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		first := assertHeld(t, a, true)
		step(b)
		f.clock.Advance(duration - time.Millisecond)
		assertHeld(t, a, false)
		step(b)
		assertHeld(t, b, false)
		f.clock.Advance(time.Millisecond)
		step(b)
		assert.Assert(t, assertHeld(t, b, true) > first)
	})
	t.Run("a holder that renews the lease keeps it", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		for range 20 {
			f.clock.Advance(duration / 4)
			step(a)
			step(b)
			assertHeld(t, a, true)
			assertHeld(t, b, false)
		}
	})
	t.Run("a restarted holder acquires the lease at once with a higher token", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		first := assertHeld(t, a, true)
		again := f.lease("a")
		step(again)
		assert.Assert(t, assertHeld(t, again, true) > first)
	})
	t.Run("a lease released right after an action expires before another process acquires it", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		assert.NilError(t, a.Release(context.Background(), 0))
		assertHeld(t, a, false)
		step(b)
		assertHeld(t, b, false)
		f.clock.Advance(duration)
		step(b)
		assertHeld(t, b, true)
	})
}

// TestReleaseWhenIdle checks that a released lease can be taken over as soon as
// the last action under it is older than the lease duration. Gateways that are
// restarted in turn would otherwise each wait for the whole duration.
func TestReleaseWhenIdle(t *testing.T) {
	for idle, wait := range map[time.Duration]time.Duration{0: duration, time.Second: duration - time.Second, time.Hour: 0} {
		t.Run(idle.String(), func(t *testing.T) {
			f := newFixture()
			a, b := f.lease("a"), f.lease("b")
			step(a)
			assert.NilError(t, a.Release(context.Background(), idle))
			if wait > 0 {
				step(b)
				f.clock.Advance(wait - time.Millisecond)
				step(b)
				assertHeld(t, b, false)
				f.clock.Advance(time.Millisecond)
			}
			step(b)
			assertHeld(t, b, true)
		})
	}
}

func TestLogFailures(t *testing.T) {
	t.Run("lost answer to an acquisition", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		f.log.loseAnswer = true
		step(a)
		assertHeld(t, a, false)
		step(a)
		assertHeld(t, a, true)
	})
	t.Run("lost answer to a renewal", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		f.clock.Advance(duration / 4)
		f.log.loseAnswer = true
		step(a)
		step(a)
		step(a)
		assertHeld(t, a, true)
		assert.Equal(t, len(f.log.records), 3)
	})
	t.Run("a delayed renewal fails after another process has acquired the lease", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		step(b)
		f.log.delayAppend = true
		step(a)
		delayedRenewal := f.log.delayed
		f.clock.Advance(duration)
		step(b)
		assertHeld(t, b, true)
		assert.Assert(t, !delayedRenewal())
		step(a)
		assertHeld(t, a, false)
	})
	t.Run("the lease expires while the log is unavailable", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		f.log.down = true
		f.clock.Advance(duration)
		step(a)
		assertHeld(t, a, false)
	})
}

// TestMutualExclusion runs processes that pause, lose answers and have appends
// executed late, on a log that is restored from copies. At most one of them may hold the lease at any time, and a new
// holder must have a higher token than all earlier ones.
func TestMutualExclusion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var leases []*Lease
		for i := range 3 {
			leases = append(leases, f.lease(comfreyworks.InstanceID(fmt.Sprint("p", i))))
		}
		var delayedAppends []func() bool
		highestToken, lastHolder := uint64(0), -1
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			f.log.down = rapid.IntRange(0, 9).Draw(t, "down") == 0
			if rapid.IntRange(0, 24).Draw(t, "restore") == 0 {
				f.log.restore(rapid.IntRange(0, 6).Draw(t, "lost"))
			}
			f.log.loseAnswer = rapid.IntRange(0, 5).Draw(t, "lose") == 0
			f.log.delayAppend = rapid.IntRange(0, 7).Draw(t, "late") == 0
			step(leases[rapid.IntRange(0, 2).Draw(t, "process")])
			if f.log.delayed != nil {
				delayedAppends, f.log.delayed = append(delayedAppends, f.log.delayed), nil
			}
			if len(delayedAppends) > 0 && rapid.Bool().Draw(t, "run delayed append") {
				delayedAppends[0]()
				delayedAppends = delayedAppends[1:]
			}
			holders := 0
			for i, l := range leases {
				token, held := l.Held()
				if !held {
					continue
				}
				holders++
				if token < highestToken || (token == highestToken && i != lastHolder) {
					t.Fatalf("process %d holds the lease with token %d after token %d of process %d", i, token, highestToken, lastHolder)
				}
				highestToken, lastHolder = token, i
			}
			if holders > 1 {
				t.Fatalf("%d processes hold the lease", holders)
			}
		}
	})
}

// FuzzRecord guards against a lease that is free for nobody, or taken too early, because
// its newest record cannot be decoded or makes no sense.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		"\xff", "", `{"holder":7}`, `null`, `{"holder":"a","token":-1,"at":0}`,
		`{"holder":"a","token":1,"at":0,"released":true,"idle-ms":9223372036854775807}`,
		`{"holder":"a","token":1,"at":0,"released":true,"idle-ms":-9000000000000}`,
		`{"holder":"a","token":1,"at":0,"epoch":{"n":[1]}}`, `{"holder":"a","token":1,"at":18446744073709551615}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		clock := clockwork.NewFakeClock()
		log := &fakeLog{records: [][]byte{data}}
		l := New(Options{Log: log, Stream: "s", Self: "b", Duration: duration, Clock: clock})
		start := clock.Now()
		for clock.Since(start) <= 2*duration {
			pause, err := l.Step(context.Background())
			assert.NilError(t, err)
			if token, held := l.Held(); held {
				assert.Equal(t, token, uint64(2))
				var r record
				known := json.Unmarshal(data, &r) == nil && r.At == 0 && (r.Released || r.Holder == "b")
				assert.Assert(t, known || clock.Since(start) >= duration, "taken after %s", clock.Since(start))
				return
			}
			assert.Assert(t, pause > 0)
			clock.Advance(pause)
		}
		t.Fatal("never free")
	})
}
