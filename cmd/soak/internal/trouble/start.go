package trouble

import (
	"math/rand/v2"
	"time"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/cmd/soak/internal/proxy"
)

const (
	// startStream selects the random numbers of StartAtLeaving.
	startStream = 8
	// startInterval is the mean time between two starts, lateStarts how long they go on
	// after most other events, when the store is not disturbed.
	startInterval = 3 * time.Second
	lateStarts    = 6 * time.Second
	// minDowntime and maxDowntime bound the time that the gateway does not run. It starts
	// at most maxStartTime before or after the replica leaves.
	minDowntime, maxDowntime = 300 * time.Millisecond, 600 * time.Millisecond
	maxStartTime             = 30 * time.Millisecond
	// aloneTime is how long the others are paused if the gateway is to read the store and
	// not to learn the list from them. catchUpTime is how long gateways then exchange what
	// they know before those that were cut off from the store reach it again.
	aloneTime, catchUpTime = 1500 * time.Millisecond, 900 * time.Millisecond
)

// addStarts adds events in which a gateway starts at the moment at which a replica leaves
// and something else changes. They are drawn apart from the others. It is always the same
// gateway, so that the others run for long enough to learn what harms replicas.
func (p *Plan) addStarts(seed uint64, length time.Duration, gateways int) {
	rng := rand.New(rand.NewPCG(seed, startStream))
	gateway := rng.IntN(gateways)
	for at := time.Duration(0); at < length+lateStarts; at += startInterval/2 + time.Duration(rng.Int64N(int64(startInterval))) {
		p.Events = append(p.Events, Event{
			Kind: StartAtLeaving, Start: at, Duration: maxDowntime + maxStartTime + catchUpTime, Gateway: gateway,
			Replica: rng.IntN(fleet.Slots), Release: fleet.Releases[rng.IntN(len(fleet.Releases))], Seed: rng.Uint64(),
		})
	}
}

// StartAtLeaving kills a gateway and starts it again at the moment at which a replica
// leaves. Most of the time the other gateways learn of that from it before they reach the
// store again.
func (e *Event) StartAtLeaving(f *fleet.Fleet) error {
	rng := rand.New(rand.NewPCG(e.Seed, startStream))
	g := f.Gateways[e.Gateway]
	end := g.Disturb()
	g.Kill()
	change, release := rng.IntN(3), f.Replica(e.Replica).Release
	if change == 0 && e.Replica < fleet.EngineSlots {
		release = e.Release
	}
	leaving, err := f.StartReplica(e.Replica, release)
	if err != nil {
		return err
	}
	time.Sleep(minDowntime + time.Duration(rng.Int64N(int64(maxDowntime-minDowntime))))
	resume, reconnect := func() {}, func() {}
	if e.Alone || rng.IntN(4) > 0 {
		reconnect = e.withOthers(f, cutOff)
	}
	if e.Alone {
		resume = e.withOthers(f, pause)
	}
	leave := func() {
		switch change {
		case 1:
			f.RewriteConfig()
		case 2:
			f.DeclareWeights(uint64(2 + e.Start/time.Second))
		}
		f.Depart(leaving)
	}
	before, between := e.Alone || rng.IntN(2) == 0, time.Duration(rng.Int64N(int64(maxStartTime)))
	if before {
		leave()
		time.Sleep(between)
	}
	err = g.Start()
	end()
	if err != nil {
		return err
	}
	if !before {
		time.Sleep(between)
		leave()
	}
	if e.Alone {
		time.Sleep(aloneTime)
	}
	resume()
	time.Sleep(catchUpTime)
	reconnect()
	return nil
}

// withOthers disturbs all other gateways and returns a function that ends that.
func (e *Event) withOthers(f *fleet.Fleet, disturb func(*fleet.Gateway) (end func())) (end func()) {
	var ends []func()
	for i, g := range f.Gateways {
		if i != e.Gateway {
			ends = append(ends, disturb(g))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// cutOff resets the connections of a gateway to the store.
func cutOff(g *fleet.Gateway) (end func()) {
	endFault := g.StoreFaults.Disturb()
	g.StoreLink.Set(proxy.Fault{Kind: proxy.ResetAll})
	return func() {
		g.StoreLink.Set(proxy.Fault{})
		endFault()
	}
}

func pause(g *fleet.Gateway) (end func()) {
	endFault := g.Disturb()
	g.Pause()
	return func() {
		g.Resume()
		endFault()
	}
}
