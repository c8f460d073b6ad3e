// Package trouble generates a random schedule of overlapping faults from a seed
// and injects them into a fleet.
//
// # Usage
//
//	plan := trouble.NewPlan(seed, length, gateways, replicas)
//	revokedAt, err := plan.Execute(f)
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

// Kind is a kind of event: a fault, or a change that operators or replicas make
// in normal operation.
type Kind string

// Kinds of events.
const (
	// Kill kills a gateway; it is restarted at the end of the event.
	Kill Kind = "kill"
	// KillAll kills all gateways; they are restarted at the end of the event.
	KillAll Kind = "kill-all"
	// Pause suspends a gateway's process.
	Pause Kind = "pause"
	// Terminate stops a gateway gracefully; it is restarted at the end of the
	// event.
	Terminate Kind = "terminate"
	// Hangup sends SIGHUP to a gateway.
	Hangup Kind = "hangup"
	// ReplicaLinkFault injects a network fault between all gateways and a replica.
	ReplicaLinkFault Kind = "replica-link"
	// StoreLinkFault injects a network fault between a gateway and the store.
	StoreLinkFault Kind = "store-link"
	// StorePartition stalls the connections of all gateways to the store.
	StorePartition Kind = "store-cut-for-all"
	// StoreDown makes the store answer every call with an error.
	StoreDown Kind = "store-down"
	// StoreSlow delays every call to the store.
	StoreSlow Kind = "store-slow"
	// StoreResponseLoss makes the store execute calls without answering them.
	StoreResponseLoss Kind = "store-loses-answers"
	// StoreCompaction drops superseded records from the store's topics.
	StoreCompaction Kind = "store-compacts"
	// StoreRestored restores the store at the end of the event from a copy made at its
	// start. Operators declare the deployment several times meanwhile, so that more of
	// their records are lost than they write again.
	StoreRestored Kind = "store-restored"
	// TopicDown makes only the topic with the record of releases answer with errors.
	TopicDown Kind = "topic-down"
	// Isolate declares a workspace as isolated, and ends that.
	Isolate Kind = "isolate"
	// ReplicaUnlisted removes a replica from the list of upstreams.
	ReplicaUnlisted Kind = "entry-lapses"
	// ReplicaDraining lists a replica as draining.
	ReplicaDraining Kind = "replica-drains"
	// ReplicaFaulty makes a replica fail some of its requests.
	ReplicaFaulty Kind = "replica-faulty"
	// ReplicaLeaves makes a replica say in all answers that it is leaving, while it is
	// still listed as ready. At the end of the event it is restarted.
	ReplicaLeaves Kind = "replica-says-it-leaves"
	// ReplicaCloses makes a replica turn all requests away and say until when.
	ReplicaCloses Kind = "replica-closes"
	// Silence makes several replicas send nothing for a while, after which they go on.
	Silence Kind = "replicas-silent"
	// RewriteConfig declares the same configuration as a new version.
	RewriteConfig Kind = "redeclare"
	// RewriteConfigs declares the same configuration again and again. Meanwhile random
	// gateways get SIGHUP, and one is stopped gracefully and restarted.
	RewriteConfigs Kind = "redeclare-in-series"
	// DeclareWeights declares newer weights of the model.
	DeclareWeights Kind = "new-weights"
	// Release replaces engines by ones of another release of their software. The new
	// ones start at the beginning of the event; the old ones leave or crash at its
	// end.
	Release Kind = "release"
	// Harm makes callers send requests that harm the replicas which begin to run them.
	Harm Kind = "harm"
	// StartAtLeaving restarts a gateway at the moment at which a replica leaves.
	StartAtLeaving Kind = "start-at-leaving"
	// EndlessAnswers makes all answers of several replicas endless.
	EndlessAnswers Kind = "endless-answers"
	// Crowd opens many connections to a gateway that leave requests incomplete.
	Crowd Kind = "crowd"
	// PauseReplicas pauses sound replicas, and nothing else is wrong with them.
	PauseReplicas Kind = "sound-replicas-pause"
	// ChangeConfig declares a change of the configuration.
	ChangeConfig Kind = "change"
	// Retire replaces a replica, which leaves once it is idle. It pauses meanwhile.
	Retire Kind = "retire"
	// RevokeKey revokes the key of workspace guest.
	RevokeKey Kind = "revoke"
)

// kinds are the kinds that randomEvent selects from with equal probability. A
// kind that is listed twice is twice as likely.
var kinds = []Kind{
	Kill, KillAll, Pause, Terminate, Hangup, ReplicaLinkFault, StoreLinkFault, StorePartition, StoreDown, StoreSlow, StoreResponseLoss,
	StoreCompaction, ReplicaUnlisted, ReplicaDraining, ReplicaFaulty, ReplicaFaulty, RewriteConfig, DeclareWeights,
}

const (
	// meanInterval is the mean time between the starts of two events. It is
	// shorter than most events last, so that they overlap.
	meanInterval = 500 * time.Millisecond
	// minDuration and maxDuration bound the duration of an event: from less than
	// any timeout to more than the duration of the lease.
	minDuration, maxDuration = 200 * time.Millisecond, 4 * time.Second
	// lostDeclarations is the number of declarations that are lost when the store is
	// restored.
	lostDeclarations = 3
	// partitionDuration is how long all gateways are cut off from the store when
	// the guest's key is revoked: longer than the key may still be accepted.
	partitionDuration = fleet.KeyRevocationBound + 2*time.Second
)

// replicaFaults are the faults that a faulty replica may show.
var replicaFaults = []replica.Fault{
	replica.FaultBusy, replica.FaultError, replica.FaultReset, replica.FaultTruncatedResponse, replica.FaultTruncatedEvent, replica.FaultNoDigest,
	replica.FaultHang, replica.FaultEndlessHead, replica.FaultEndlessBody,
}

// linkFaults are the network faults that links may show.
var linkFaults = []proxy.Kind{proxy.Delayed, proxy.ResetAll, proxy.Stalled, proxy.ResponsesStalled}

// Event is one scheduled event with its target and its random parameters. Each
// kind uses only some of them.
type Event struct {
	Kind     Kind
	Start    time.Duration
	Duration time.Duration
	// Gateway and Replica are the indexes of the targets.
	Gateway, Replica int
	Link             proxy.Fault
	Fault            replica.Fault
	// FailureRate is the share of a faulty replica's requests that fail.
	FailureRate float64
	Seed        uint64
	// Release is the release of the engines that replace others.
	Release string
	// Harmful is what callers send, Source the one of its callers.
	Harmful fleet.Harmful
	Source  int
	// Alone means that the other gateways are paused while one starts.
	Alone bool
	// Change is the change that ChangeConfig declares.
	Change fleet.Change
	// Times is how often replicas pause in a row.
	Times int
}

// String describes the event on one line.
func (e *Event) String() string {
	return fmt.Sprintf("%.1f s to %.1f s %s, gateway %d, replica %d %s %q %s %s %s %s",
		e.Start.Seconds(), (e.Start + e.Duration).Seconds(), e.Kind, e.Gateway, e.Replica, e.Link.Kind, e.Link.From, e.Fault, e.Release, e.Change, &e.Harmful)
}

// Plan is a schedule of events.
type Plan struct{ Events []Event }

// NewPlan generates a plan that starts events for the given length of time. Every
// plan revokes the key of workspace guest; for even seeds all gateways are cut off
// from the store at that time. Every plan restores the store from a copy once, for
// some seeds again soon afterwards. Releases are drawn independently, with newReleases.
func NewPlan(seed uint64, length time.Duration, gateways, replicas int) *Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	plan := &Plan{}
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * meanInterval))) {
		plan.Events = append(plan.Events, randomEvent(rng, at, gateways, replicas))
	}
	plan.addAdvice(seed, length, gateways, replicas)
	plan.addHarm(seed, length)
	plan.addSilences(seed, length)
	plan.addRewrites(seed, length, gateways)
	plan.addStarts(seed, length, gateways)
	plan.addFaults(seed, unframedStream, unframedFaults, length, gateways, replicas)
	plan.addFaults(seed, repeatedStream, repeatedFaults, length, gateways, replicas)
	plan.addFaults(seed, brokenHeadStream, brokenHeadFaults, length, gateways, replicas)
	plan.addScopes(seed, length)
	plan.addMemory(seed, length, gateways)
	revocation := Event{Kind: RevokeKey, Start: time.Duration(rng.Int64N(int64(length / 2)))}
	var cut Event
	if seed%2 == 0 {
		cut = Event{Kind: StorePartition, Start: revocation.Start, Duration: partitionDuration}
		plan.Events = append(plan.Events, cut)
		revocation.Start += 2 * minDuration
	}
	plan.Events = append(plan.Events, revocation)
	restore := Event{Kind: StoreRestored, Start: time.Duration(rng.Int64N(int64(length))), Duration: randomDuration(rng)}
	plan.Events = append(plan.Events, restore)
	if seed%3 == 0 {
		restore.Start += restore.Duration / 2
		plan.Events = append(plan.Events, restore)
	}
	plan.Events = append(plan.Events, newReleases(seed, length, gateways, &cut)...)
	return plan
}

func randomEvent(rng *rand.Rand, at time.Duration, gateways, replicas int) Event {
	return Event{
		Kind: kinds[rng.IntN(len(kinds))], Start: at, Duration: randomDuration(rng),
		Gateway: rng.IntN(gateways), Replica: rng.IntN(replicas),
		Link:  proxy.Fault{Kind: linkFaults[rng.IntN(len(linkFaults))], Delay: time.Duration(rng.Int64N(int64(500 * time.Millisecond)))},
		Fault: replicaFaults[rng.IntN(len(replicaFaults))], FailureRate: 0.1 + 0.6*rng.Float64(), Seed: rng.Uint64(),
	}
}

func randomDuration(rng *rand.Rand) time.Duration {
	return minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration)))
}

// Execute injects the events at their times and returns after the last one has
// ended, with the time at which the guest's key was revoked. It returns an error if a
// replica cannot be started.
func (p *Plan) Execute(f *fleet.Fleet) (revokedAt time.Time, err error) {
	start := time.Now()
	var mu sync.Mutex
	var group errgroup.Group
	for i := range p.Events {
		event := &p.Events[i]
		group.Go(func() error {
			time.Sleep(event.Start - time.Since(start))
			switch event.Kind {
			case RevokeKey:
				mu.Lock()
				defer mu.Unlock()
				revokedAt = f.RevokeGuestKey()
				return nil
			case Release:
				return event.replaceEngines(f)
			case StartAtLeaving:
				return event.StartAtLeaving(f)
			case PauseReplicas:
				return event.pauseReplicas(f)
			case Retire:
				return event.retire(f)
			case ChangeConfig:
				f.Change(event.Change)
				return nil
			case Harm:
				return f.Harm(event.Source, &event.Harmful, event.Duration)
			}
			r := f.Replica(event.Replica)
			undisturb := event.disturb(f, r)
			end := event.inject(f, r)
			time.Sleep(event.Duration)
			end()
			undisturb()
			return nil
		})
	}
	err = group.Wait()
	return revokedAt, err
}

// disturb records that the event affects gateways, the store or a replica, and returns a function
// that records its end. A gateway counts as affected if its process is stopped or paused:
// faults of the store and SIGHUP are no reason to refuse streams.
func (e *Event) disturb(f *fleet.Fleet, r *fleet.Replica) (end func()) {
	switch e.Kind {
	case Kill, Pause, Terminate:
		return f.Gateways[e.Gateway].Disturb()
	case KillAll:
		var ends []func()
		for _, g := range f.Gateways {
			ends = append(ends, g.Disturb())
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	case StoreLinkFault:
		return f.Gateways[e.Gateway].StoreFaults.Disturb()
	case StorePartition, StoreDown, StoreSlow, StoreResponseLoss, StoreRestored:
		return f.StoreFaults.Disturb()
	case ReplicaLinkFault, ReplicaUnlisted, ReplicaDraining, ReplicaFaulty, ReplicaLeaves, ReplicaCloses:
		return r.Disturb()
	default:
		return func() {}
	}
}

// inject starts the event and returns a function that ends it. Because events
// overlap, starting a process that already runs and stopping one that has exited
// do nothing.
func (e *Event) inject(f *fleet.Fleet, r *fleet.Replica) (end func()) {
	g := f.Gateways[e.Gateway]
	restart := func() { _ = g.Start() }
	noop := func() {}
	switch e.Kind {
	case Kill:
		g.Kill()
		return restart
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
		return restart
	case Hangup:
		g.Hangup()
		return noop
	case ReplicaLinkFault:
		endFault := r.LinkFaults.Disturb()
		r.Link.Set(e.Link)
		return func() {
			r.Link.Set(proxy.Fault{})
			endFault()
		}
	case StoreLinkFault:
		g.StoreLink.Set(e.Link)
		return func() { g.StoreLink.Set(proxy.Fault{}) }
	case ReplicaUnlisted:
		f.SetUnlisted(r, true)
		return func() { f.SetUnlisted(r, false) }
	case ReplicaDraining:
		f.SetDraining(r, true)
		return func() { f.SetDraining(r, false) }
	case ReplicaFaulty:
		r.SetFaultFunc(e.newFaultSource())
		return func() { r.SetFaultFunc(nil) }
	case ReplicaLeaves:
		r.SetLeaving(true)
		return func() { f.Restart(r) }
	case ReplicaCloses:
		r.Close(time.Now().Add(e.Duration))
		return noop
	case RewriteConfigs:
		return e.rewriteConfigs(f)
	case Silence:
		return e.silence(f)
	case EndlessAnswers:
		return e.answerWithoutEnd(f)
	case Crowd:
		return crowd(g.Address())
	case RewriteConfig:
		f.RewriteConfig()
		return noop
	case Isolate:
		f.SetIsolated(true)
		return func() { f.SetIsolated(false) }
	case DeclareWeights:
		f.DeclareWeights(uint64(2 + e.Start/time.Second))
		return noop
	default:
		return e.injectStoreFault(f)
	}
}

// injectStoreFault is inject for the kinds that affect the store.
func (e *Event) injectStoreFault(f *fleet.Fleet) (end func()) {
	removeFault := func() { f.Store.SetFault(standin.Fault{}) }
	switch e.Kind {
	case StorePartition:
		for _, g := range f.Gateways {
			g.StoreLink.Set(proxy.Fault{Kind: proxy.Stalled})
		}
		return func() {
			for _, g := range f.Gateways {
				g.StoreLink.Set(proxy.Fault{})
			}
		}
	case StoreDown:
		f.Store.SetFault(standin.Fault{Status: http.StatusServiceUnavailable})
		return removeFault
	case StoreSlow:
		f.Store.SetFault(standin.Fault{Delay: e.Link.Delay})
		return removeFault
	case StoreRestored:
		saved := f.Store.Copy()
		for range lostDeclarations {
			f.RewriteConfig()
		}
		return func() { f.RestoreStore(saved) }
	case StoreResponseLoss:
		f.Store.SetFault(standin.Fault{DropResponses: true})
		return removeFault
	case TopicDown:
		f.Store.SetTopicDown(standin.ReleaseTopic, true)
		return func() { f.Store.SetTopicDown(standin.ReleaseTopic, false) }
	default:
		f.Store.Compact(standin.OperatorTopic)
		f.Store.Compact(standin.UpstreamTopic)
		return func() {}
	}
}

// newFaultSource returns a function that selects the fault of each request of a
// faulty replica at random; an empty fault means success. It is safe for
// concurrent use.
func (e *Event) newFaultSource() func() replica.Fault {
	rng := rand.New(rand.NewPCG(e.Seed, 1))
	var mu sync.Mutex
	return func() replica.Fault {
		mu.Lock()
		defer mu.Unlock()
		if rng.Float64() < e.FailureRate {
			return e.Fault
		}
		return ""
	}
}
