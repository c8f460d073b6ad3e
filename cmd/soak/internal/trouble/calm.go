package trouble

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/cmd/soak/internal/proxy"
	"comfreyworks/internal/standin/replica"
)

const (
	// calmStream selects the random numbers of calm plans.
	calmStream = 12
	// minPause and maxPause bound the pauses of sound replicas, maxSecondPause those of two
	// in a row, so that both together end before the deadline of requests.
	minPause, maxPause, maxSecondPause = 500 * time.Millisecond, 1900 * time.Millisecond, 1300 * time.Millisecond
	// minRest and maxRest bound the time between two pauses in a row. A replica then rests
	// for longRest.
	minRest, maxRest, longRest = 50 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond
	// maxPaused is the maximum number of replicas that pause at once.
	maxPaused = 3
	// maxLapse is the longest time for which an entry lapses.
	maxLapse = 900 * time.Millisecond
	// minBusyRate and maxBusyRate bound the share of requests that busy engines refuse.
	minBusyRate, maxBusyRate = 0.1, 0.7
	// retireOffset is the maximum time from the start of an event until a replica begins to
	// leave, and until it pauses.
	retireOffset = 700 * time.Millisecond
	// The mean times between two events of a kind. Those of Retire and Terminate are the
	// least times, so that a replica has left and a gateway has started before the next.
	changeInterval, pauseInterval, lapseInterval, busyInterval, weightsInterval = 400 * time.Millisecond, 700 * time.Millisecond, 1100 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond
	retireInterval, stopInterval                                                = 1300 * time.Millisecond, 3500 * time.Millisecond
)

// pauses are the ways in which a replica pauses: the whole process, or its answers only, at
// each phase of an answer.
var pauses = []proxy.Fault{
	{Kind: proxy.Stalled},
	{Kind: proxy.ResponsesStalled},
	{Kind: proxy.ResponsesStalled, Torn: true},
	{Kind: proxy.ResponsesStalled, From: "HTTP/1.1 "},
	{Kind: proxy.ResponsesStalled, From: "HTTP/1.1 ", Torn: true},
	{Kind: proxy.ResponsesStalled, From: "id: 7\n"},
	{Kind: proxy.ResponsesStalled, From: "id: 7\n", Torn: true},
	{Kind: proxy.ResponsesStalled, From: "id: 12\n"},
	{Kind: proxy.ResponsesStalled, From: "id: 12\n", Torn: true},
}

// NewCalmPlan generates a plan without faults: sound replicas pause while operators change
// the configuration and replace replicas and gateways.
func NewCalmPlan(seed uint64, length time.Duration, gateways int) *Plan {
	rng := rand.New(rand.NewPCG(seed, calmStream))
	plan := &Plan{}
	add := func(kind Kind, least, mean time.Duration, draw func(n int, event *Event)) {
		for n, at := 0, time.Duration(rng.Int64N(int64(mean))); at < length; n++ {
			event := Event{Kind: kind, Start: at, Gateway: rng.IntN(gateways), Replica: rng.IntN(fleet.Slots), Seed: rng.Uint64()}
			if draw != nil {
				draw(n, &event)
			}
			plan.Events = append(plan.Events, event)
			at += least + time.Duration(rng.Int64N(int64(2*(mean-least))))
		}
	}
	pause := func(_ int, event *Event) {
		event.Link, event.Times = pauses[rng.IntN(len(pauses))], 1+rng.IntN(3)/2
		limit := maxPause
		if event.Times > 1 {
			limit = maxSecondPause
		}
		event.Duration = minPause + time.Duration(rng.Int64N(int64(limit-minPause)))
	}
	slots := rng.Perm(fleet.Slots)
	add(PauseReplicas, 0, pauseInterval, pause)
	add(ChangeConfig, 0, changeInterval, func(_ int, event *Event) { event.Change = fleet.Changes[rng.IntN(len(fleet.Changes))] })
	add(Hangup, 0, weightsInterval, nil)
	add(DeclareWeights, 0, weightsInterval, nil)
	add(ReplicaUnlisted, 0, lapseInterval, func(_ int, event *Event) { event.Duration = time.Duration(rng.Int64N(int64(maxLapse))) })
	add(ReplicaFaulty, 0, busyInterval, func(_ int, event *Event) {
		event.Replica, event.Fault = rng.IntN(fleet.EngineSlots), replica.FaultBusy
		event.Duration, event.FailureRate = minPause+time.Duration(rng.Int64N(int64(maxPause-minPause))), minBusyRate+rng.Float64()*(maxBusyRate-minBusyRate)
	})
	add(Terminate, stopInterval, stopInterval+1, func(n int, event *Event) { event.Gateway = n % gateways })
	add(Retire, retireInterval, retireInterval+retireInterval/4, func(n int, event *Event) {
		pause(n, event)
		event.Replica = slots[n%len(slots)]
		if event.Replica < fleet.EngineSlots && rng.IntN(2) == 0 {
			event.Release = fleet.Releases[rng.IntN(len(fleet.Releases))]
		}
	})
	return plan
}

// pauseReplicas pauses the replica of the event and most of the time others as well.
func (e *Event) pauseReplicas(f *fleet.Fleet) error {
	rng := rand.New(rand.NewPCG(e.Seed, calmStream))
	rest := randomRest(rng)
	var group errgroup.Group
	slots := rng.Perm(fleet.Slots)[:rng.IntN(maxPaused)]
	for _, slot := range append(slots, e.Replica) {
		group.Go(func() error { return e.pause(f.Replica(slot), rest) })
	}
	return group.Wait()
}

// retire replaces a replica, which pauses about the time at which it begins to leave. An
// event without a release keeps the one that the replica has.
func (e *Event) retire(f *fleet.Fleet) error {
	rng := rand.New(rand.NewPCG(e.Seed, calmStream))
	rest, says := randomRest(rng), rng.IntN(2) == 0
	leaveAfter, pauseAfter := time.Duration(rng.Int64N(int64(retireOffset))), time.Duration(rng.Int64N(int64(retireOffset)))
	release := e.Release
	if release == "" {
		release = f.Replica(e.Replica).Release
	}
	replaced, err := f.StartReplica(e.Replica, release)
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error {
		time.Sleep(pauseAfter)
		return e.pause(replaced, rest)
	})
	group.Go(func() error {
		time.Sleep(leaveAfter)
		f.Retire(replaced, says)
		return nil
	})
	return group.Wait()
}

// pause pauses a replica as often as the event says, unless it pauses or has stopped.
func (e *Event) pause(r *fleet.Replica, rest time.Duration) error {
	if !r.Pausing.TryLock() {
		return nil
	}
	defer r.Pausing.Unlock()
	for range e.Times {
		end := r.LinkFaults.Disturb()
		r.Link.Set(e.Link)
		time.Sleep(e.Duration)
		r.Link.Set(proxy.Fault{})
		end()
		time.Sleep(rest)
	}
	time.Sleep(longRest)
	return nil
}

func randomRest(rng *rand.Rand) time.Duration {
	return minRest + time.Duration(rng.Int64N(int64(maxRest-minRest)))
}
