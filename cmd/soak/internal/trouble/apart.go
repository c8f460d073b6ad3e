package trouble

import (
	"math/rand/v2"
	"time"

	"comfreyworks/internal/standin/replica"
)

const (
	// unframedStream, repeatedStream and brokenHeadStream select the random numbers of
	// unframed answers, of repeated refusals and of answers with broken heads.
	unframedStream   = 7
	repeatedStream   = 10
	brokenHeadStream = 14
	// apartInterval is the mean time between two groups of events with them.
	apartInterval = 1500 * time.Millisecond
)

var (
	// unframedFaults are the faults of replicas whose answers end with their connection,
	// closed or reset, repeatedFaults those with answers that are written once more, and
	// brokenHeadFaults those with an invalid status or field name.
	unframedFaults   = []replica.Fault{replica.FaultUnframed, replica.FaultUnframedReset}
	repeatedFaults   = []replica.Fault{replica.FaultRepeatedRefusal}
	brokenHeadFaults = []replica.Fault{replica.FaultLowStatus, replica.FaultHighStatus, replica.FaultFieldName}
)

// addFaults adds groups of events with the given faults of replicas. They are drawn apart
// from the others.
func (p *Plan) addFaults(seed, stream uint64, faults []replica.Fault, length time.Duration, gateways, replicas int) {
	rng := rand.New(rand.NewPCG(seed, stream))
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * apartInterval))) {
		for _, fault := range faults {
			event := randomEvent(rng, at, gateways, replicas)
			event.Kind, event.Fault = ReplicaFaulty, fault
			p.Events = append(p.Events, event)
		}
	}
}
