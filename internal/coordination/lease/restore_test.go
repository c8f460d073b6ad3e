package lease

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRestoredLog guards against acting on records from before the log was restored
// from a copy: later ones, and with them the latest holder, may be lost.
func TestRestoredLog(t *testing.T) {
	// held returns a lease that has been renewed several times.
	held := func(f fixture) *Lease {
		a := f.lease("a")
		for range 5 {
			step(a)
			f.clock.Advance(duration / 4)
		}
		step(a)
		return a
	}
	t.Run("the holder continues at once with a higher token", func(t *testing.T) {
		for _, lost := range []int{0, 2, 6} {
			f := newFixture()
			a := held(f)
			first := assertHeld(t, a, true)
			f.log.restore(lost)
			pause, err := a.Step(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, pause, time.Duration(0))
			assertHeld(t, a, false)
			step(a)
			assert.Assert(t, assertHeld(t, a, true) > first)
		}
	})
	t.Run("a renewal that succeeds because the offset was given out again does not count", func(t *testing.T) {
		f := newFixture()
		a := held(f)
		f.log.restore(1)
		f.log.records = append(f.log.records, f.log.records[0])
		appended := len(f.log.records)
		step(a)
		assert.Equal(t, len(f.log.records), appended+1)
		assertHeld(t, a, false)
	})
	t.Run("an unconfirmed renewal that is executed after the restore does not count", func(t *testing.T) {
		f := newFixture()
		a := held(f)
		first := assertHeld(t, a, true)
		f.log.delayAppend = true
		step(a)
		f.log.restore(0)
		f.log.delayed()
		step(a)
		token, ok := a.Held()
		assert.Assert(t, !ok || token > first)
	})
	for name, prepare := range map[string]func(f fixture){
		"no record is left": func(f fixture) { f.log.restore(len(f.log.records)) },
		"the newest record is its own from earlier": func(f fixture) {
			f.log.restore(len(f.log.records) - 1)
		},
		"the newest record is a release": func(f fixture) { f.log.restore(len(f.log.records) - 2) },
	} {
		t.Run("another process waits although "+name, func(t *testing.T) {
			f := newFixture()
			b := f.lease("b")
			step(b)
			assert.NilError(t, b.Release(context.Background(), time.Hour))
			a := held(f)
			first := assertHeld(t, a, true)
			prepare(f)
			again := f.lease("b")
			step(again)
			assertHeld(t, again, false)
			f.clock.Advance(duration - time.Millisecond)
			step(again)
			assertHeld(t, again, false)
			f.clock.Advance(time.Millisecond)
			step(again)
			assert.Assert(t, assertHeld(t, again, true) > first)
			assertHeld(t, a, false)
		})
	}
}
