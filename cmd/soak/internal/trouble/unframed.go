package trouble

import (
	"math/rand/v2"
	"time"

	"comfreyworks/internal/standin/replica"
)

const (
	// unframedStream selects the random numbers of unframed answers.
	unframedStream = 7
	// unframedInterval is the mean time between two pairs of events with them.
	unframedInterval = 1500 * time.Millisecond
)

// unframedFaults are the faults of replicas whose answers end with their connection.
var unframedFaults = []replica.Fault{replica.FaultUnframed, replica.FaultUnframedReset}

// addUnframed adds pairs of events in which the answers of a replica end with their
// connection, closed or reset. They are drawn apart from the others.
func (p *Plan) addUnframed(seed uint64, length time.Duration, gateways, replicas int) {
	rng := rand.New(rand.NewPCG(seed, unframedStream))
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * unframedInterval))) {
		for _, fault := range unframedFaults {
			event := randomEvent(rng, at, gateways, replicas)
			event.Kind, event.Fault = ReplicaFaulty, fault
			p.Events = append(p.Events, event)
		}
	}
}
