package trouble

import (
	"math/rand/v2"
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/cmd/soak/internal/proxy"
)

const (
	// silenceStream selects the random numbers of Silence.
	silenceStream = 5
	// silenceInterval is the mean time between two silences, minSilence and maxSilence
	// bound their duration: sound replicas are silent for that long.
	silenceInterval        = 2 * time.Second
	minSilence, maxSilence = time.Second, 1500 * time.Millisecond
	// lateSilences is how long silences go on after most other events.
	lateSilences = 8 * time.Second
	// minSilent is the number of replicas that are silent at least.
	minSilent = 3
)

// addSilences adds events in which several replicas are silent at the same time. They are
// drawn apart from the others.
func (p *Plan) addSilences(seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, silenceStream))
	for at := time.Duration(rng.Int64N(int64(silenceInterval))); at < length+lateSilences; at += time.Duration(rng.Int64N(int64(2 * silenceInterval))) {
		p.Events = append(p.Events, Event{
			Kind: Silence, Start: at, Duration: minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence))), Seed: rng.Uint64(),
		})
	}
}

// silence stalls the links to random replicas and returns a function that ends that.
func (e *Event) silence(f *fleet.Fleet) (end func()) {
	rng := rand.New(rand.NewPCG(e.Seed, silenceStream))
	var ends []func()
	for _, slot := range rng.Perm(fleet.Slots)[:minSilent+rng.IntN(fleet.Slots-minSilent+1)] {
		r := f.Replica(slot)
		endFault := r.LinkFaults.Disturb()
		r.Link.Set(proxy.Fault{Kind: proxy.Stalled})
		ends = append(ends, func() {
			r.Link.Set(proxy.Fault{})
			endFault()
		})
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}
