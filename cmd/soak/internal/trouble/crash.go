package trouble

import (
	"math/rand/v2"
	"time"
)

const (
	// crashStream selects the random numbers of CrashPart.
	crashStream = 4
	// crashDuration is how long callers send prompts that crash engines. All engines
	// together crash about once in 5 s unless the part is under quarantine.
	crashDuration = 16 * time.Second
)

// addCrashPart adds an event in which a part of prompts crashes engines. It is drawn
// apart from the others, and goes on for some time after most of them.
func (p *Plan) addCrashPart(seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, crashStream))
	p.Events = append(p.Events, Event{
		Kind: CrashPart, Start: length/2 + time.Duration(rng.Int64N(int64(length/2))), Duration: crashDuration, Seed: rng.Uint64(),
	})
}
