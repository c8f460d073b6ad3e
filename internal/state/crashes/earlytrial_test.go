package crashes

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestEarlyTrial guards against a part that all prompts share and that is refused at all
// gateways for the whole quarantine, because engines ended under it for other reasons and
// no request with it is left that could clear it.
func TestEarlyTrial(t *testing.T) {
	refuse := func(t *testing.T, l *Log) {
		t.Helper()
		for range minRefusals {
			assertBlamed(t, l, sound, sound, 100)
		}
	}
	newPair := func() (owner, other *Log, clock *clockwork.FakeClock) {
		clock = clockwork.NewFakeClock()
		owner = New(Options{Clock: clock, Tries: func(uint32) bool { return true }})
		other = New(Options{Clock: clock, Tries: func(uint32) bool { return false }})
		crash(owner, certainAfter+2, sound)
		exchange(owner, other)
		return owner, other, clock
	}
	t.Run("one gateway lets one request through, whose answer clears the part", func(t *testing.T) {
		owner, other, clock := newPair()
		refuse(t, owner)
		refuse(t, other)
		clock.Advance(earlyTrialWait)
		assertBlamed(t, other, sound, sound, 100)
		assertBlamed(t, owner, 0, sound, 100)
		trial := owner.Begin([]uint32{sound, 100})
		assertBlamed(t, owner, sound, sound, 101)
		trial.Answered()
		exchange(owner, other)
		assertBlamed(t, owner, 0, sound, 101)
		assertBlamed(t, other, 0, sound, 101)
	})
	t.Run("a part that crashes engines is tried twice", func(t *testing.T) {
		owner, _, clock := newPair()
		refuse(t, owner)
		for range maxEarlyTrials {
			clock.Advance(earlyTrialWait)
			assertBlamed(t, owner, 0, sound)
			crash(owner, 1, sound)
			assertBlamed(t, owner, sound, sound)
		}
		refuse(t, owner)
		clock.Advance(earlyTrialWait)
		assertBlamed(t, owner, sound, sound)
	})
	for name, restart := range map[string]func(from, to *Log){
		"the others tell a gateway that starts": exchange,
		"all gateways start":                    func(from, to *Log) { to.Restore(from.Record()) },
	} {
		// Guards against restarts in turn, each of which lets a crashing part through again.
		t.Run("a restart does not renew the tries: "+name, func(t *testing.T) {
			owner, _, clock := newPair()
			arrived := 0
			for range 3 * maxEarlyTrials {
				for range minRefusals {
					owner.Admit([]uint32{sound, 100})
				}
				clock.Advance(earlyTrialWait)
				if _, blamed := owner.Admit([]uint32{sound}); !blamed {
					arrived++
					owner.Begin([]uint32{sound}).EngineEnded()
				}
				next := New(Options{Clock: clock, Tries: func(uint32) bool { return true }})
				restart(owner, next)
				owner = next
			}
			assert.Equal(t, arrived, maxEarlyTrials)
		})
	}
	t.Run("looking at a part does not count as a request", func(t *testing.T) {
		owner, _, clock := newPair()
		for range minRefusals {
			owner.Blamed([]uint32{sound})
		}
		clock.Advance(earlyTrialWait)
		assertBlamed(t, owner, sound, sound)
	})
	t.Run("a part of few prompts is not tried", func(t *testing.T) {
		owner, _, clock := newPair()
		refuse(t, owner)
		for range maxRequestsPerRefusal * minRefusals {
			assertBlamed(t, owner, 0, 100)
		}
		clock.Advance(earlyTrialWait)
		assertBlamed(t, owner, sound, sound)
	})
	t.Run("a trial without a result does not count", func(t *testing.T) {
		owner, _, clock := newPair()
		refuse(t, owner)
		clock.Advance(earlyTrialWait)
		for range maxEarlyTrials + 1 {
			assertBlamed(t, owner, 0, sound)
			owner.Begin([]uint32{sound}).Done()
		}
	})
}
