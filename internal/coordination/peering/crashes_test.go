package peering

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/crashes"
)

// crashesKnownWithin is how long what one gateway sees takes to all others, through the
// relays of two availability zones.
const crashesKnownWithin = 600 * time.Millisecond

var part = crashes.Key("shared", "part")

// crash lets engines end under requests of a gateway with a part.
func (g *gateway) crash(part uint32, times int) {
	for range times {
		g.options.Crashes.Begin([]uint32{part}).Broke(crashes.Evidence{})
	}
}

// crashesOf returns how many crashes of a part a gateway knows of.
func (g *gateway) crashesOf(part uint32) int {
	list, _ := g.options.Crashes.After(0, crashes.Remote)
	i := slices.IndexFunc(list, func(s comfreyworks.CrashSuspicion) bool { return s.Part == part })
	if i < 0 {
		return 0
	}
	return int(list[i].Crashes)
}

// assertCrashes checks how many crashes of a part gateways know of.
func assertCrashes(t *testing.T, gateways []*gateway, part uint32, want int) {
	t.Helper()
	for _, g := range gateways {
		assert.Equal(t, g.crashesOf(part), want, "%s", g.options.Self.ID)
	}
}

// lastLeaf returns a leaf that is no seed, so that only its relay learns from it.
func lastLeaf(n *network) *gateway {
	gateways := n.sorted()
	slices.Reverse(gateways)
	return gateways[slices.IndexFunc(gateways, func(g *gateway) bool { return !g.relay })]
}

// settleCrashes starts a fleet and waits until its roles are settled.
func settleCrashes(options networkOptions) *network {
	n := newNetworkWith(options)
	n.run(4*time.Second, func() { listEngines(n, 1) })
	return n
}

// TestCrashesReachAll checks that crashes under requests with one part, of which each
// gateway sees one, add up at all gateways.
func TestCrashesReachAll(t *testing.T) {
	for _, fleet := range []networkOptions{{gateways: 4, zones: 4, seeds: 1}, originsFleet, largeFleet} {
		t.Run(fmt.Sprint(fleet.gateways, " gateways"), func(t *testing.T) {
			n := settleCrashes(fleet)
			gateways := n.sorted()
			for i := range 3 {
				gateways[i*(len(gateways)-1)/2].crash(part, 1)
				n.run(crashesKnownWithin, nil)
				assertCrashes(t, gateways, part, i+1)
			}
			for _, g := range gateways {
				_, blamed := g.options.Crashes.Blamed([]uint32{part})
				assert.Assert(t, blamed, "%s", g.options.Self.ID)
			}
			gateways[1].options.Crashes.Lift(part)
			n.run(crashesKnownWithin, nil)
			assertCrashes(t, gateways, part, 0)
		})
	}
}

// TestCrashesAreNotSentAgain guards against suspicions that go round between gateways,
// or are sent with every call to gateways that do not know of them.
func TestCrashesAreNotSentAgain(t *testing.T) {
	for _, old := range []int{0, 1, 10} {
		t.Run(fmt.Sprint(old, " old gateways"), func(t *testing.T) {
			n := settleCrashes(originsFleet)
			for _, g := range append(n.relays()[:old/5], n.sorted()[originsFleet.gateways-old:]...) {
				n.old[g.address] = true
			}
			for i, g := range n.sorted() {
				g.crash(part, 1)
				g.crash(uint32(i), 1)
			}
			n.run(3*time.Second, nil)
			assert.Assert(t, n.crashes > 0)
			n.crashes = 0
			n.run(3*time.Second, nil)
			assert.Equal(t, n.crashes, 0)
		})
	}
}

// TestCrashesAfterUpgrade checks that a gateway that did not know of suspicions gets and
// passes on all once it does.
func TestCrashesAfterUpgrade(t *testing.T) {
	n := settleCrashes(originsFleet)
	from := lastLeaf(n)
	for relay := range from.partners {
		n.old[relay] = true
	}
	from.crash(part, 1)
	n.run(2*time.Second, nil)
	assertCrashes(t, n.relays(), part, 0)
	for i := range originsFleet.gateways {
		if n.old[address(i)] {
			n.start(i, originsFleet)
		}
	}
	clear(n.old)
	n.run(2*time.Second, func() { listEngines(n, 1) })
	assertCrashes(t, n.sorted(), part, 1)
}

// TestCrashesAtStart checks that a gateway that starts knows all suspicions with the
// answer to its first call, although the gateway that saw them and its relay are gone,
// and that its own reach all.
func TestCrashesAtStart(t *testing.T) {
	n := settleCrashes(originsFleet)
	from := lastLeaf(n)
	from.crash(part, 1)
	n.run(crashesKnownWithin, nil)
	for relay := range from.partners {
		n.unreachable[relay] = true
	}
	n.unreachable[from.address] = true
	n.run(3*time.Second, nil)
	var started []*gateway
	for i := range originsFleet.gateways {
		if n.unreachable[address(i)] || (n.gateway(i).relay && len(started) == 0) {
			n.start(i, originsFleet)
			started = append(started, n.gateway(i))
		}
	}
	assert.Assert(t, len(started) >= 3)
	clear(n.unreachable)
	n.run(2*time.Second, func() {
		listEngines(n, 1)
		for _, g := range started {
			if g.answered > 0 {
				assertCrashes(t, []*gateway{g}, part, 1)
			}
		}
	})
	assertCrashes(t, n.sorted(), part, 1)
}

// TestCrashesOfStartingGateways guards against crashes that a gateway reported before it
// knew that it is a leaf: the gateway that got them as from a relay does not tell the
// other relays.
func TestCrashesOfStartingGateways(t *testing.T) {
	n := newNetworkWith(originsFleet)
	next := uint32(0)
	check := func(d time.Duration, from ...*gateway) {
		first := next
		for _, g := range from {
			next++
			g.crash(next, 1)
		}
		n.run(d, func() { listEngines(n, 1) })
		for part := first + 1; part <= next; part++ {
			assertCrashes(t, n.sorted(), part, 1)
		}
	}
	check(4*time.Second, n.sorted()...)
	for i := range originsFleet.gateways {
		n.start(i, originsFleet)
		check(time.Second, n.gateway(i))
	}
}

// TestCrashesWhileCutOff checks that a gateway that was cut off or frozen knows what was
// blamed meanwhile as soon as one of its calls is answered, and that all others soon know
// what it saw.
func TestCrashesWhileCutOff(t *testing.T) {
	for name, i := range map[string]int{"relay, seed": 0, "relay": 5, "leaf, seed": 1, "leaf": 11, "leaf of a seed": 9} {
		for _, frozen := range []bool{false, true} {
			for _, d := range []time.Duration{time.Second, 20 * time.Second, 45 * time.Second} {
				t.Run(fmt.Sprintf("%s, frozen %t, for %s", name, frozen, d), func(t *testing.T) {
					n := settleCrashes(networkOptions{gateways: 12, zones: 3, seeds: 3})
					g := n.gateway(i)
					alone := func() {
						if !frozen {
							n.callPartners(g)
						}
					}
					assert.Equal(t, g.relay, strings.HasPrefix(name, "relay"))
					n.unreachable[g.address] = true
					n.run(d/2, alone)
					otherLeaf(n, g).crash(part, 3)
					g.crash(1, 1)
					n.run(d/2, alone)
					delete(n.unreachable, g.address)
					assert.Equal(t, g.crashesOf(part), 0)
					g.answered = 0
					for g.answered == 0 {
						n.run(stepInterval, nil)
					}
					_, blamed := g.options.Crashes.Blamed([]uint32{part})
					assert.Assert(t, blamed)
					n.run(2*time.Second, nil)
					assertCrashes(t, n.sorted(), part, 3)
					assertCrashes(t, n.sorted(), 1, 1)
				})
			}
		}
	}
}

// TestCrashesOfLostRelay guards against suspicions that a relay that was cut off never
// learns of, because the relay that told all others of them is gone.
func TestCrashesOfLostRelay(t *testing.T) {
	n := newFullNetwork(3)
	lost, cutOff := n.gateway(1), n.gateway(2)
	n.gateway(0).crash(1, 1)
	n.run(time.Second, nil)
	n.unreachable[cutOff.address] = true
	n.run(time.Second, func() { n.callPartners(cutOff) })
	lost.crash(part, 3)
	n.run(time.Second, func() { n.callPartners(cutOff) })
	n.unreachable[lost.address] = true
	delete(n.unreachable, cutOff.address)
	assert.Equal(t, cutOff.crashesOf(part), 0)
	n.run(2*time.Second, nil)
	assertCrashes(t, n.sorted(), part, 3)
}

// TestCrashesWhenRoleChanges guards against counting as sent what a relay sent whose role
// changed before the reply.
func TestCrashesWhenRoleChanges(t *testing.T) {
	n := settleCrashes(originsFleet)
	from, to := n.relays()[0], n.relays()[1]
	from.crash(part, 1)
	request := from.request(to.address)
	update := to.HandleSync(request)
	from.relay = false
	from.recordReply(&update.State, &request)
	assert.Equal(t, len(from.request(to.address).Crashes), 1)
}
