package trouble

import (
	"math/rand/v2"
	"time"

	"comfreyworks/cmd/soak/internal/check"
	"comfreyworks/cmd/soak/internal/fleet"
)

// adviceInterval is the mean time between two events of one kind of advice.
const adviceInterval = 2 * time.Second

// addAdvice adds events in which replicas say something about themselves. They are
// drawn apart from the others, so that the plans of earlier seeds keep their events.
func (p *Plan) addAdvice(seed uint64, length time.Duration, gateways, replicas int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for _, kind := range []Kind{ReplicaLeaves, ReplicaCloses} {
		for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * adviceInterval))) {
			event := randomEvent(rng, at, gateways, replicas)
			event.Kind = kind
			p.Events = append(p.Events, event)
		}
	}
}

// Disturbances returns the times at which gateways did not run, if the plan was started
// at a time. A gateway that was told to stop may take the whole grace period until it is
// started again. Replicas record themselves when their links were disturbed, because
// releases change which replica a plan's event affects.
func (p *Plan) Disturbances(startedAt time.Time) []check.Disturbance {
	var disturbances []check.Disturbance
	for i := range p.Events {
		e := &p.Events[i]
		d := check.Disturbance{Gateway: e.Gateway, Replica: -1, From: startedAt.Add(e.Start), To: startedAt.Add(e.Start + e.Duration)}
		switch e.Kind {
		case Kill, Pause, StartAtLeaving:
		case KillAll:
			d.Gateway = -1
		case Terminate, RewriteConfigs:
			d.To = d.To.Add(fleet.StopGrace)
		default:
			continue
		}
		disturbances = append(disturbances, d)
	}
	return disturbances
}
