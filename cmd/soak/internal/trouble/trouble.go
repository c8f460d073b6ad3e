// Package trouble draws a series of overlapping troubles from a seed and brings
// them about.
//
// # Usage
//
//	plan := trouble.Draw(seed, length, gateways, replicas)
//	revokedAt := plan.Run(f)
package trouble

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/cmd/soak/internal/proxy"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform/standin"
)

// Kind is a kind of trouble.
type Kind string

// Kinds of trouble.
const (
	Kill         Kind = "kill"
	KillAll      Kind = "kill-all"
	Pause        Kind = "pause"
	Terminate    Kind = "terminate"
	Hangup       Kind = "hangup"
	ReplicaLink  Kind = "replica-link"
	StoreLink    Kind = "store-link"
	StoreCut     Kind = "store-cut-for-all"
	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreDeaf    Kind = "store-loses-answers"
	StoreCompact Kind = "store-compacts"
	Lapse        Kind = "entry-lapses"
	Drain        Kind = "replica-drains"
	Faulty       Kind = "replica-faulty"
	Redeclare    Kind = "redeclare"
	NewWeights   Kind = "new-weights"
	Revoke       Kind = "revoke"
)

// kinds are drawn with equal chance.
var kinds = []Kind{
	Kill, KillAll, Pause, Terminate, Hangup, ReplicaLink, StoreLink, StoreCut, StoreDown, StoreSlow, StoreDeaf,
	StoreCompact, Lapse, Drain, Faulty, Faulty, Redeclare, NewWeights,
}

const (
	// gap is the mean time between the beginnings of two troubles, shorter than
	// most last, so that they overlap.
	gap = 500 * time.Millisecond
	// shortest and longest bound how long a trouble lasts: from less than any
	// timeout to more than every bound of the fleet.
	shortest, longest = 200 * time.Millisecond, 4 * time.Second
	// cutFor is how long all gateways are cut off when the guest's key is taken
	// away: longer than the key may still be used.
	cutFor = fleet.RevokeBound + 2*time.Second
)

// faults are what a faulty replica does with part of its requests.
var faults = []replica.Fault{
	replica.FaultBusy, replica.FaultError, replica.FaultReset, replica.FaultCut, replica.FaultTorn, replica.FaultUnproven,
	replica.FaultHang,
}

// linkTroubles are what happens to links.
var linkTroubles = []proxy.Kind{proxy.Delayed, proxy.ResetAll, proxy.Stalled, proxy.ResponsesStalled}

// Event is one trouble.
type Event struct {
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Gateway and Replica are whom it befalls.
	Gateway, Replica int
	Link             proxy.Fault
	Fault            replica.Fault
	// Share is the part of a faulty replica's requests that fail.
	Share float64
	Seed  uint64
}

// String describes an event for reports.
func (e *Event) String() string {
	return fmt.Sprintf("%.1f s to %.1f s %s, gateway %d, replica %d %s %s",
		e.At.Seconds(), (e.At + e.For).Seconds(), e.Kind, e.Gateway, e.Replica, e.Link.Kind, e.Fault)
}

// Plan is a series of troubles.
type Plan struct{ Events []Event }

// Draw draws a plan. The guest's key is taken away in each, in every second one
// while all gateways are cut off from the store.
func Draw(seed uint64, length time.Duration, gateways, replicas int) *Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	plan := &Plan{}
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * gap))) {
		plan.Events = append(plan.Events, draw(rng, at, gateways, replicas))
	}
	revoke := Event{Kind: Revoke, At: time.Duration(rng.Int64N(int64(length / 2)))}
	if seed%2 == 0 {
		plan.Events = append(plan.Events, Event{Kind: StoreCut, At: revoke.At, For: cutFor})
		revoke.At += 2 * shortest
	}
	plan.Events = append(plan.Events, revoke)
	return plan
}

func draw(rng *rand.Rand, at time.Duration, gateways, replicas int) Event {
	return Event{
		Kind: kinds[rng.IntN(len(kinds))], At: at, For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
		Gateway: rng.IntN(gateways), Replica: rng.IntN(replicas),
		Link:  proxy.Fault{Kind: linkTroubles[rng.IntN(len(linkTroubles))], Delay: time.Duration(rng.Int64N(int64(500 * time.Millisecond)))},
		Fault: faults[rng.IntN(len(faults))], Share: 0.1 + 0.6*rng.Float64(), Seed: rng.Uint64(),
	}
}

// Run brings the troubles about and returns when the last has ended, with the
// time at which the guest's key was taken away.
func (p *Plan) Run(f *fleet.Fleet) (revokedAt time.Time) {
	start := time.Now()
	var mu sync.Mutex
	var group errgroup.Group
	for i := range p.Events {
		event := &p.Events[i]
		group.Go(func() error {
			time.Sleep(event.At - time.Since(start))
			if event.Kind == Revoke {
				mu.Lock()
				defer mu.Unlock()
				revokedAt = f.Revoke()
				return nil
			}
			end := event.begin(f)
			time.Sleep(event.For)
			end()
			return nil
		})
	}
	_ = group.Wait()
	return revokedAt
}

// begin begins a trouble and returns what ends it. Starting a process that runs
// already, or ending one that is gone, does nothing: troubles overlap.
func (e *Event) begin(f *fleet.Fleet) (end func()) {
	g, r := f.Gateways[e.Gateway], f.Replicas[e.Replica]
	start := func() { _ = g.Start() }
	nothing := func() {}
	switch e.Kind {
	case Kill:
		g.Kill()
		return start
	case KillAll:
		for _, g := range f.Gateways {
			g.Kill()
		}
		return func() {
			for _, g := range f.Gateways {
				_ = g.Start()
			}
		}
	case Pause:
		g.Pause()
		return g.Resume
	case Terminate:
		g.Terminate()
		return start
	case Hangup:
		g.Hangup()
		return nothing
	case ReplicaLink:
		r.Link.Set(e.Link)
		return func() { r.Link.Set(proxy.Fault{}) }
	case StoreLink:
		g.StoreLink.Set(e.Link)
		return func() { g.StoreLink.Set(proxy.Fault{}) }
	case Lapse:
		f.Lapse(r, true)
		return func() { f.Lapse(r, false) }
	case Drain:
		f.Drain(r, true)
		return func() { f.Drain(r, false) }
	case Faulty:
		r.FailIf(e.fault())
		return func() { r.FailIf(nil) }
	case Redeclare:
		f.Redeclare()
		return nothing
	case NewWeights:
		f.Name(uint64(2 + e.At/time.Second))
		return nothing
	default:
		return e.beginStore(f)
	}
}

// beginStore begins a trouble of the store.
func (e *Event) beginStore(f *fleet.Fleet) (end func()) {
	heal := func() { f.Store.Disturb(standin.Disturbance{}) }
	switch e.Kind {
	case StoreCut:
		for _, g := range f.Gateways {
			g.StoreLink.Set(proxy.Fault{Kind: proxy.Stalled})
		}
		return func() {
			for _, g := range f.Gateways {
				g.StoreLink.Set(proxy.Fault{})
			}
		}
	case StoreDown:
		f.Store.Disturb(standin.Disturbance{Status: http.StatusServiceUnavailable})
		return heal
	case StoreSlow:
		f.Store.Disturb(standin.Disturbance{Delay: e.Link.Delay})
		return heal
	case StoreDeaf:
		f.Store.Disturb(standin.Disturbance{LoseAnswers: true})
		return heal
	default:
		f.Store.Compact(standin.OperatorTopic)
		f.Store.Compact(standin.UpstreamTopic)
		return func() {}
	}
}

// fault draws the fault of each request of a faulty replica.
func (e *Event) fault() func() replica.Fault {
	rng := rand.New(rand.NewPCG(e.Seed, 1))
	var mu sync.Mutex
	return func() replica.Fault {
		mu.Lock()
		defer mu.Unlock()
		if rng.Float64() < e.Share {
			return e.Fault
		}
		return ""
	}
}
