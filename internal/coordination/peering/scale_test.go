package peering

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// largeFleet has the shape of a deployment with 103 gateways in five zones, of
// which three in each zone have the capacity of several others.
var largeFleet = networkOptions{gateways: 103, zones: 5, seeds: 3, capacity: func(i int) int {
	if i%7 == 3 && i < 5*21 {
		return 800
	}
	return 144
}}

const engineCount = 160

// settle starts the large fleet and waits until its roles are settled.
func settle(t *testing.T) *network {
	t.Helper()
	n := newNetworkWith(largeFleet)
	n.run(5*time.Second, func() { recordReaders(n, map[comfreyworks.InstanceID]bool{}) })
	assert.Equal(t, len(n.relays()), largeFleet.zones*relaysPerZone)
	return n
}

// TestAllToAllExchange guards against an exchange of state in which every gateway
// calls every other one: the calls of a fleet must grow with the number of
// gateways, not with its square.
func TestAllToAllExchange(t *testing.T) {
	n := settle(t)
	for _, g := range n.sorted() {
		g.syncs = 0
		clear(g.callers)
	}
	n.run(10*time.Second, nil)
	calls := 0
	for _, g := range n.sorted() {
		calls += g.syncs
		if g.relay {
			assert.Equal(t, g.options.Self.Capacity, 800, "a small gateway is a relay")
			continue
		}
		assert.Equal(t, len(g.partners), 1)
		assert.Assert(t, len(g.callers) <= len(n.relays()), "%s is called by %d gateways", g.options.Self.ID, len(g.callers))
	}
	assert.Assert(t, calls/10 <= 10*largeFleet.gateways, "%d calls per second", calls/10)
}

// TestRelayLost guards against leaves that stay without state when their relay
// fails: within two seconds each has found another one and gets what a reader
// reads. The two relays of a zone fail together.
func TestRelayLost(t *testing.T) {
	n := settle(t)
	zone := n.relays()[0].options.Self.Zone
	var reader *gateway
	for _, g := range n.relays() {
		if g.options.Self.Zone == zone {
			n.unreachable[g.address] = true
		} else {
			reader = g
		}
	}
	version := comfreyworks.ConfigRevision(2)
	n.run(2*time.Second, func() { reader.readSource(2, version) })
	for _, g := range n.sorted() {
		g.assertRoutingWithin(t, version, time.Second)
	}
}

// TestFallbackSpread guards against all gateways reading the source at the same
// time when their relays fall silent.
func TestFallbackSpread(t *testing.T) {
	n := settle(t)
	const window = 100 * time.Millisecond
	perWindow := make(map[time.Duration]int)
	for _, g := range n.sorted() {
		if !g.relay {
			perWindow[g.FallbackDelay()/window]++
		}
	}
	for at, count := range perWindow {
		assert.Assert(t, count <= largeFleet.gateways/4, "%d gateways within the same %s at %s", count, window, at*window)
	}
}

// TestHerdStart guards against a fleet that starts at the same moment and reads
// the source from every gateway, or needs long to agree on its relays. The seeds
// have read the source after 0.3 s.
func TestHerdStart(t *testing.T) {
	t.Run("all at once", func(t *testing.T) {
		n := newNetworkWith(largeFleet)
		readers := make(map[comfreyworks.InstanceID]bool)
		n.run(2*time.Second, func() { recordReaders(n, readers) })
		assertStarted(t, n, readers)
	})
	t.Run("half of the fleet is killed and comes back", func(t *testing.T) {
		n := settle(t)
		for i := range largeFleet.gateways / 2 {
			n.unreachable[address(i)] = true
		}
		n.run(2*time.Second, nil)
		readers := make(map[comfreyworks.InstanceID]bool)
		for i := range largeFleet.gateways / 2 {
			n.start(i, largeFleet)
			delete(n.unreachable, address(i))
		}
		n.run(2*time.Second, func() { recordReaders(n, readers) })
		assertStarted(t, n, readers)
	})
}

// TestWholeListsAtStart guards against a fleet whose gateways all ask the seeds for the
// whole list of upstreams until they have it: with 3,000 engines that fills the links
// of the seeds for a minute.
func TestWholeListsAtStart(t *testing.T) {
	fleet := largeFleet
	fleet.gateways = 300
	n := newNetworkWith(fleet)
	n.run(3*time.Second, func() { recordReaders(n, map[comfreyworks.InstanceID]bool{}) })
	total := 0
	for i, g := range n.sorted() {
		assert.Equal(t, len(g.catalog.Upstreams(pool)), engineCount, "%s", g.options.Self.ID)
		total += g.wholeLists
		if i < fleet.seeds {
			assert.Assert(t, g.wholeLists <= fleet.gateways/4, "seed %s sent %d", g.options.Self.ID, g.wholeLists)
		}
	}
	assert.Assert(t, total <= 2*fleet.gateways, "%d whole lists", total)
}

// recordReaders lets the gateways read the source that are selected as readers or
// have waited long enough for their peers.
func recordReaders(n *network, readers map[comfreyworks.InstanceID]bool) {
	for _, g := range n.sorted() {
		if g.IsSelected("read", 2) || (g.starting() && n.clock.Since(g.startedAt) >= g.StartDelay()) {
			readers[g.options.Self.ID] = true
			g.readSource(1, 1)
			g.list(engineCount, 1, 1)
		}
	}
}

// assertStarted checks that every gateway has the routing and all upstreams and
// that few gateways have read the source.
func assertStarted(t *testing.T, n *network, readers map[comfreyworks.InstanceID]bool) {
	t.Helper()
	for _, g := range n.sorted() {
		g.assertRoutingWithin(t, 1, time.Second)
		assert.Equal(t, len(g.catalog.Upstreams(pool)), engineCount, "%s", g.options.Self.ID)
	}
	assert.Assert(t, len(readers) <= 12, "%d gateways read the source", len(readers))
}

// TestHeartbeats guards against sending the whole list of upstreams whenever its
// position moves on, which each heartbeat of an upstream causes.
func TestHeartbeats(t *testing.T) {
	n := settle(t)
	reader := n.relays()[0]
	clear(n.replies)
	for beat := range 10 {
		reader.list(engineCount, comfreyworks.Position(beat+2), uint64(beat+2))
		n.run(500*time.Millisecond, func() {
			for from, reply := range n.replies {
				if reply.Upstreams != nil {
					assert.Equal(t, len(reply.Upstreams.Present), 0, "%s sent upstreams that had not changed", from)
				}
			}
		})
	}
	for _, g := range n.sorted() {
		assert.Equal(t, len(g.catalog.Upstreams(pool)), engineCount)
		assert.Assert(t, n.clock.Since(g.catalog.UpstreamsConfirmedAt()) < 2*time.Second)
	}
}

// TestNoticeStorm guards against a lease holder that calls every gateway for each
// engine that loads weights.
func TestNoticeStorm(t *testing.T) {
	n := settle(t)
	for _, holder := range []*gateway{n.relays()[0], leaf(n)} {
		t.Run(fmt.Sprintf("from a %s", holder.role()), func(t *testing.T) {
			for _, g := range n.sorted() {
				g.notifications = 0
			}
			for i := range engineCount {
				notice := comfreyworks.WeightsLoadNotice{
					Engine: comfreyworks.InstanceID(fmt.Sprint("e", i)), Model: "oak", Weights: 2, Done: true,
					Sequence: uint64(n.clock.Now().UnixNano()) + uint64(i),
				}
				holder.balancer.ApplyLoadNotice(notice)
				holder.Announce(notice)
			}
			n.flush()
			for _, g := range n.sorted() {
				for _, engine := range g.catalog.Upstreams(pool) {
					assert.Equal(t, g.balancer.Weights(&engine, "oak"), comfreyworks.WeightsRevision(2), "%s at %s", engine.ID, g.options.Self.ID)
				}
				assert.Assert(t, g.notifications <= 3, "%s got %d calls", g.options.Self.ID, g.notifications)
			}
		})
		n.clock.Advance(time.Millisecond)
	}
}

// TestSavedSessionsReachAll checks that a session that any gateway has saved is
// known to all within a second, and that nothing is sent again afterwards.
func TestSavedSessionsReachAll(t *testing.T) {
	n := settle(t)
	keys := make(map[*gateway]uint32)
	for i, from := range []*gateway{leaf(n), n.relays()[0], n.relays()[5]} {
		keys[from] = uint32(100 + i)
		from.options.Saved.Add(keys[from])
	}
	n.run(time.Second, nil)
	for _, g := range n.sorted() {
		for from, key := range keys {
			assert.Assert(t, g.options.Saved.Has(key), "%s does not know what %s saved", g.options.Self.ID, from.options.Self.ID)
		}
	}
	n.run(time.Second, nil)
	clear(n.replies)
	n.run(time.Second, func() {
		for from, reply := range n.replies {
			assert.Equal(t, len(reply.State.Saved), 0, "%s sent sessions again", from)
		}
	})
}
