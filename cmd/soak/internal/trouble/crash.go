package trouble

import (
	"math/rand/v2"
	"time"
)

const (
	// crashStream selects the random numbers of CrashPart.
	crashStream = 4
	// crashDuration is how long callers send prompts that crash engines: long enough
	// that other events end meanwhile.
	crashDuration = 10 * time.Second
)

// addCrashPart adds an event in which a part of prompts crashes engines. It is drawn
// apart from the others.
func (p *Plan) addCrashPart(seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, crashStream))
	p.Events = append(p.Events, Event{
		Kind: CrashPart, Start: time.Duration(rng.Int64N(int64(length))), Duration: crashDuration, Seed: rng.Uint64(),
	})
}
