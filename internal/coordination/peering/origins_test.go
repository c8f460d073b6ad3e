package peering

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

const (
	stream = comfreyworks.RequestID("r0")
	// originsLifetime exceeds the lifetime of origins at all gateways that they reach.
	originsLifetime = 32 * time.Second
)

// originsFleet has six relays, and seeds that are leaves.
var originsFleet = networkOptions{gateways: 30, zones: 3, seeds: 3}

// startWithOrigins starts a fleet that passes on origins.
func startWithOrigins(options networkOptions) *network {
	n := newNetworkWith(options)
	n.passOrigins = true
	return n
}

// settleWithOrigins starts a fleet that passes on origins and waits until its roles
// are settled.
func settleWithOrigins(t *testing.T, options networkOptions) *network {
	t.Helper()
	n := startWithOrigins(options)
	n.run(4*time.Second, func() { listEngines(n, 1) })
	assert.Equal(t, len(n.relays()), options.zones*relaysPerZone)
	return n
}

// passOn lets the gateways call each other for as long as an origin takes from a leaf
// to all relays: one leaf interval and one interval between relays.
func passOn(n *network) {
	relay := n.relays()[0]
	between := relay.syncInterval(n.relays()[1].address, nil)
	n.run(leafInterval+between.Truncate(stepInterval)+stepInterval, nil)
}

// assertOrigin checks what gateways answer about a stream; zero means unknown.
func assertOrigin(t *testing.T, gateways []*gateway, id comfreyworks.RequestID, want uint32) {
	t.Helper()
	for _, g := range gateways {
		release, found := g.StreamOrigin(t.Context(), id)
		assert.Equal(t, release, want, "%s at %s", id, g.options.Self.ID)
		assert.Equal(t, found, want != 0, "%s at %s", id, g.options.Self.ID)
	}
}

// assertLogged checks what gateways know about a stream without asking others; zero means
// unknown.
func assertLogged(t *testing.T, gateways []*gateway, id comfreyworks.RequestID, want uint32) {
	t.Helper()
	for _, g := range gateways {
		release, _ := g.options.Origins.Lookup(streamorigins.Key(id))
		assert.Equal(t, release, want, "%s at %s", id, g.options.Self.ID)
	}
}

// otherLeaf returns a leaf in another zone than a gateway.
func otherLeaf(n *network, than *gateway) *gateway {
	for _, g := range n.sorted() {
		if !g.relay && g.options.Self.Zone != than.options.Self.Zone {
			return g
		}
	}
	return nil
}

func TestStreamOrigins(t *testing.T) {
	t.Run("of a leaf reach every relay and are found by every leaf", func(t *testing.T) {
		n := settleWithOrigins(t, largeFleet)
		leaf(n).options.Origins.Add(stream, 7)
		passOn(n)
		assertOrigin(t, n.relays(), stream, 7)
		assertOrigin(t, n.sorted(), stream, 7)
		assert.Equal(t, n.originsToLeaves, 0)
		assertOrigin(t, n.sorted(), "another", 0)
	})
	t.Run("are not sent again", func(t *testing.T) {
		n := settleWithOrigins(t, originsFleet)
		leaf(n).options.Origins.Add(stream, 7)
		n.run(2*time.Second, nil)
		n.origins = 0
		n.run(2*time.Second, nil)
		assert.Equal(t, n.origins, 0)
	})
	t.Run("remain known when the gateway and its relay are gone", func(t *testing.T) {
		n := settleWithOrigins(t, originsFleet)
		from := leaf(n)
		from.options.Origins.Add(stream, 7)
		passOn(n)
		for relay := range from.partners {
			n.unreachable[relay] = true
		}
		n.unreachable[from.address] = true
		assertOrigin(t, n.relays(), stream, 7)
		n.run(3*time.Second, nil)
		assertOrigin(t, n.sorted(), stream, 7)
	})
	t.Run("expire everywhere", func(t *testing.T) {
		n := settleWithOrigins(t, originsFleet)
		leaf(n).options.Origins.Add(stream, 7)
		n.run(originsLifetime, nil)
		assertOrigin(t, n.sorted(), stream, 0)
	})
}

// TestStreamOriginsPassedOnLater checks that nothing is sent while gateways do not
// pass on origins, and that those still alive follow once they do.
func TestStreamOriginsPassedOnLater(t *testing.T) {
	n := settleWithOrigins(t, originsFleet)
	n.passOrigins = false
	leaf(n).options.Origins.Add("old", 5)
	n.run(originsLifetime, nil)
	for _, from := range []*gateway{leaf(n), n.relays()[3]} {
		from.options.Origins.Add(stream, 7)
	}
	n.run(2*time.Second, nil)
	assert.Equal(t, n.origins, 0)
	assertLogged(t, n.relays()[:3], stream, 0)
	n.passOrigins = true
	passOn(n)
	assertOrigin(t, n.sorted(), stream, 7)
	assertOrigin(t, n.sorted(), "old", 0)
	n.passOrigins = false
	n.origins = 0
	leaf(n).options.Origins.Add("late", 8)
	n.run(2*time.Second, nil)
	assert.Equal(t, n.origins, 0)
}

// TestStreamOriginsAfterRestart checks that a relay that restarted gets all origins
// again, from its leaves and from the other relays.
func TestStreamOriginsAfterRestart(t *testing.T) {
	n := settleWithOrigins(t, originsFleet)
	near := leaf(n)
	far := otherLeaf(n, near)
	near.options.Origins.Add("near", 7)
	far.options.Origins.Add("far", 8)
	n.run(2*time.Second, nil)
	for i := range originsFleet.gateways {
		if near.partners[address(i)] {
			n.start(i, originsFleet)
			n.run(2*time.Second, func() { listEngines(n, 1) })
			assert.Assert(t, n.gateway(i).relay)
			assertOrigin(t, []*gateway{n.gateway(i)}, "near", 7)
			assertOrigin(t, []*gateway{n.gateway(i)}, "far", 8)
		}
	}
}

// TestStreamOriginsBetweenTwo checks the versions that two relays keep of each other's
// log when one restarts and only the other one calls.
func TestStreamOriginsBetweenTwo(t *testing.T) {
	start := func(t *testing.T) *network {
		n := newFullNetwork(2)
		n.passOrigins = true
		assert.NilError(t, n.sync(1, 0))
		return n
	}
	restart := func(t *testing.T, n *network) {
		n.start(0, networkOptions{gateways: 2, zones: 2, seeds: 1})
		assert.NilError(t, n.sync(1, 0))
		n.gateway(0).updatePartners()
	}
	t.Run("what one sent in requests or replies it does not send in the others", func(t *testing.T) {
		n := start(t)
		n.gateway(0).options.Origins.Add("first", 7)
		n.gateway(1).options.Origins.Add("second", 7)
		for _, call := range [][2]int{{1, 0}, {1, 0}, {0, 1}, {1, 0}} {
			assert.NilError(t, n.sync(call[0], call[1]))
		}
		n.origins = 0
		n.gateway(1).options.Origins.Add(stream, 8)
		n.gateway(0).options.Origins.Add("third", 9)
		for _, call := range [][2]int{{1, 0}, {1, 0}, {0, 1}} {
			assert.NilError(t, n.sync(call[0], call[1]))
		}
		assert.Equal(t, n.origins, 2)
		assertOrigin(t, []*gateway{n.gateway(0)}, stream, 8)
		assertOrigin(t, []*gateway{n.gateway(1)}, "third", 9)
	})
	t.Run("the caller sends its own again", func(t *testing.T) {
		n := start(t)
		n.gateway(1).options.Origins.Add(stream, 7)
		assert.NilError(t, n.sync(1, 0))
		assertOrigin(t, []*gateway{n.gateway(0)}, stream, 7)
		restart(t, n)
		assertLogged(t, []*gateway{n.gateway(0)}, stream, 0)
		assert.NilError(t, n.sync(1, 0))
		assertLogged(t, []*gateway{n.gateway(0)}, stream, 7)
	})
	t.Run("a shorter log is read from its beginning", func(t *testing.T) {
		n := start(t)
		for _, id := range []comfreyworks.RequestID{"a", "b", "c"} {
			n.gateway(0).options.Origins.Add(id, 7)
		}
		assert.NilError(t, n.sync(1, 0))
		assertOrigin(t, []*gateway{n.gateway(1)}, "c", 7)
		n.start(0, networkOptions{gateways: 2, zones: 2, seeds: 1})
		n.gateway(0).options.Origins.Add(stream, 7)
		n.gateway(0).partners[address(1)] = true
		assert.NilError(t, n.sync(1, 0))
		assertOrigin(t, []*gateway{n.gateway(1)}, stream, 7)
	})
}

// TestStreamOriginsOfNewRelay guards against a relay that lacks what others passed on
// while it was a leaf, because it had read their lists when it was a relay before.
func TestStreamOriginsOfNewRelay(t *testing.T) {
	n := settleWithOrigins(t, originsFleet)
	from := leaf(n)
	var relay netip.AddrPort
	for relay = range from.partners {
	}
	before := n.relays()
	from.options.Origins.Add("before", 7)
	n.unreachable[relay] = true
	n.run(3*time.Second, nil)
	assertOrigin(t, n.sorted(), "before", 7)
	delete(n.unreachable, relay)
	n.run(3*time.Second, nil)
	assert.Assert(t, slices.Equal(n.relays(), before))
	from.options.Origins.Add(stream, 7)
	passOn(n)
	n.unreachable[relay], n.unreachable[from.address] = true, true
	n.run(3*time.Second, nil)
	assertOrigin(t, n.sorted(), stream, 7)
}

// TestStreamOriginsOfStartingGateway guards against origins that a gateway reported
// before it knew that it is a leaf: the seed that got them as from a relay did not
// tell the other relays.
func TestStreamOriginsOfStartingGateway(t *testing.T) {
	n := startWithOrigins(originsFleet)
	for _, g := range n.sorted() {
		g.options.Origins.Add(comfreyworks.RequestID(g.options.Self.ID), 7)
	}
	n.run(4*time.Second, func() { listEngines(n, 1) })
	for _, g := range n.sorted() {
		assertOrigin(t, n.relays(), comfreyworks.RequestID(g.options.Self.ID), 7)
	}
}

func TestConflictingStreamOrigins(t *testing.T) {
	t.Run("of two gateways are unknown to all others", func(t *testing.T) {
		n := settleWithOrigins(t, originsFleet)
		a := leaf(n)
		b := otherLeaf(n, a)
		a.options.Origins.Add(stream, 7)
		b.options.Origins.Add(stream, 8)
		n.run(time.Second, nil)
		assertOrigin(t, n.relays(), stream, 0)
		for _, g := range n.sorted() {
			if g != a && g != b {
				assertOrigin(t, []*gateway{g}, stream, 0)
			}
		}
		assertOrigin(t, []*gateway{a}, stream, 7)
		assertOrigin(t, []*gateway{b}, stream, 8)
	})
	t.Run("an own later one decides", func(t *testing.T) {
		n := settleWithOrigins(t, originsFleet)
		leaf(n).options.Origins.Add(stream, 7)
		passOn(n)
		relay := n.relays()[3]
		assertOrigin(t, []*gateway{relay}, stream, 7)
		relay.options.Origins.Add(stream, 8)
		n.run(time.Second, nil)
		assertOrigin(t, []*gateway{relay}, stream, 8)
		assertOrigin(t, n.relays()[:3], stream, 0)
	})
	t.Run("one that was not passed on yet is replaced", func(t *testing.T) {
		n := settleWithOrigins(t, originsFleet)
		from := leaf(n)
		from.options.Origins.Add(stream, 7)
		from.options.Origins.Add(stream, 8)
		passOn(n)
		assertOrigin(t, n.sorted(), stream, 8)
	})
	t.Run("one that was passed on already is withdrawn", func(t *testing.T) {
		n := settleWithOrigins(t, originsFleet)
		from := leaf(n)
		from.options.Origins.Add(stream, 7)
		passOn(n)
		from.options.Origins.Add(stream, 8)
		passOn(n)
		assertOrigin(t, n.relays(), stream, 0)
		assertOrigin(t, []*gateway{from}, stream, 8)
	})
}

// TestStreamOriginWithoutRelay guards against resumed streams that are refused because the
// relay of a leaf, or all relays of its zone, have just ended.
func TestStreamOriginWithoutRelay(t *testing.T) {
	n := settleWithOrigins(t, originsFleet)
	from := leaf(n)
	from.options.Origins.Add(stream, 7)
	n.relays()[5].options.Origins.Add("another", 8)
	n.run(time.Second, nil)
	assertOrigin(t, []*gateway{from}, "another", 8)
	for relay := range from.partners {
		n.unreachable[relay] = true
	}
	assertOrigin(t, []*gateway{from}, stream, 7)
	assertOrigin(t, []*gateway{from}, "another", 8)
	assertOrigin(t, []*gateway{from}, "yet another", 0)
	t.Run("nor any other relay", func(t *testing.T) {
		for _, relay := range n.relays() {
			n.unreachable[relay.address] = true
		}
		assertOrigin(t, []*gateway{from}, stream, 7)
		assertOrigin(t, []*gateway{from}, "another", 0)
	})
	t.Run("one that knows of a conflict decides", func(t *testing.T) {
		clear(n.unreachable)
		from.options.Origins.Merge([]comfreyworks.StreamOrigin{{Stream: streamorigins.Key("own"), Release: 7}, {Stream: streamorigins.Key("own"), Release: 8}}, streamorigins.Remote)
		assertOrigin(t, []*gateway{from}, "own", 0)
		n.relays()[0].options.Origins.Add("other", 7)
		n.relays()[1].options.Origins.Merge([]comfreyworks.StreamOrigin{{Stream: streamorigins.Key("other"), Release: 7}, {Stream: streamorigins.Key("other"), Release: 8}}, streamorigins.Remote)
		assertOrigin(t, []*gateway{from}, "other", 0)
	})
}
