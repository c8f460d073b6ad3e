package lease

import (
	"context"
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

// fakeLog is a log in memory that can be down, lose answers and run writes late.
type fakeLog struct {
	records [][]byte
	down    bool
	// lose makes the next append happen without an answer, late keeps it for
	// the test to run.
	lose, late bool
	held       func() bool
}

var errNoAnswer = errors.New("no answer")

// Tail implements comfreyworks.LeaseLog.
func (l *fakeLog) Tail(context.Context, string) ([]byte, comfreyworks.Offset, error) {
	if l.down {
		return nil, 0, errNoAnswer
	}
	if len(l.records) == 0 {
		return nil, 0, nil
	}
	return l.records[len(l.records)-1], comfreyworks.Offset(len(l.records)), nil
}

// AppendAt implements comfreyworks.LeaseLog.
func (l *fakeLog) AppendAt(_ context.Context, _ string, at comfreyworks.Offset, record []byte) (bool, error) {
	write := func() bool {
		if int(at) != len(l.records) {
			return false
		}
		l.records = append(l.records, record)
		return true
	}
	switch {
	case l.down:
		return false, errNoAnswer
	case l.late:
		l.late, l.held = false, write
		return false, errNoAnswer
	case l.lose:
		l.lose = false
		write()
		return false, errNoAnswer
	}
	return write(), nil
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

// step makes one step; errors of the log are part of the tests.
func step(l *Lease) { _, _ = l.Step(context.Background()) }

func expectHeld(t *testing.T, l *Lease, want bool) uint64 {
	t.Helper()
	token, held := l.Held()
	assert.Equal(t, held, want)
	return token
}

func TestAcquire(t *testing.T) {
	t.Run("free", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		expectHeld(t, a, true)
	})
	t.Run("taken", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		step(b)
		expectHeld(t, b, false)
	})
	t.Run("a silent holder is waited for, and stops acting well before", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		first := expectHeld(t, a, true)
		step(b)
		f.clock.Advance(duration - time.Millisecond)
		expectHeld(t, a, false)
		step(b)
		expectHeld(t, b, false)
		f.clock.Advance(time.Millisecond)
		step(b)
		assert.Assert(t, expectHeld(t, b, true) > first)
	})
	t.Run("a holder that renews keeps it", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		for range 20 {
			f.clock.Advance(duration / 4)
			step(a)
			step(b)
			expectHeld(t, a, true)
			expectHeld(t, b, false)
		}
	})
	t.Run("the same process after a restart need not wait, with a new token", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		first := expectHeld(t, a, true)
		again := f.lease("a")
		step(again)
		assert.Assert(t, expectHeld(t, again, true) > first)
	})
	t.Run("released is waited for too", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		assert.NilError(t, a.Release(context.Background(), 0))
		expectHeld(t, a, false)
		step(b)
		expectHeld(t, b, false)
		f.clock.Advance(duration)
		step(b)
		expectHeld(t, b, true)
	})
}

// TestHandOver is the load of gateways that are stopped in turn: one that has not
// acted for a while leaves nothing to wait for.
func TestHandOver(t *testing.T) {
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
				expectHeld(t, b, false)
				f.clock.Advance(time.Millisecond)
			}
			step(b)
			expectHeld(t, b, true)
		})
	}
}

func TestLostAnswers(t *testing.T) {
	t.Run("of an acquisition", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		f.log.lose = true
		step(a)
		expectHeld(t, a, false)
		step(a)
		expectHeld(t, a, true)
	})
	t.Run("of a renewal", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		f.clock.Advance(duration / 4)
		f.log.lose = true
		step(a)
		step(a)
		step(a)
		expectHeld(t, a, true)
		assert.Equal(t, len(f.log.records), 3)
	})
	t.Run("a renewal that runs late does not stand against a successor", func(t *testing.T) {
		f := newFixture()
		a, b := f.lease("a"), f.lease("b")
		step(a)
		step(b)
		f.log.late = true
		step(a)
		late := f.log.held
		f.clock.Advance(duration)
		step(b)
		expectHeld(t, b, true)
		assert.Assert(t, !late())
		step(a)
		expectHeld(t, a, false)
	})
	t.Run("while the log is down it ends", func(t *testing.T) {
		f := newFixture()
		a := f.lease("a")
		step(a)
		f.log.down = true
		f.clock.Advance(duration)
		step(a)
		expectHeld(t, a, false)
	})
}

// TestOneActs runs processes that pause, lose answers and have writes run late,
// and checks that no two may act within the same span, that a successor begins
// only after its predecessor has stopped, and that tokens only grow.
func TestOneActs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var leases []*Lease
		for i := range 3 {
			leases = append(leases, f.lease(comfreyworks.InstanceID(fmt.Sprint("p", i))))
		}
		var late []func() bool
		highest, lastActor := uint64(0), -1
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			f.log.down = rapid.IntRange(0, 9).Draw(t, "down") == 0
			f.log.lose = rapid.IntRange(0, 5).Draw(t, "lose") == 0
			f.log.late = rapid.IntRange(0, 7).Draw(t, "late") == 0
			step(leases[rapid.IntRange(0, 2).Draw(t, "process")])
			if f.log.held != nil {
				late, f.log.held = append(late, f.log.held), nil
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "run late") {
				late[0]()
				late = late[1:]
			}
			acting := 0
			for i, l := range leases {
				token, held := l.Held()
				if !held {
					continue
				}
				acting++
				if token < highest || (token == highest && i != lastActor) {
					t.Fatalf("process %d acts with token %d after %d of process %d", i, token, highest, lastActor)
				}
				highest, lastActor = token, i
			}
			if acting > 1 {
				t.Fatalf("%d processes act", acting)
			}
		}
	})
}
