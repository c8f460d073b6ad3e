package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// readRecord makes a gateway know the releases of all pools, as the record does.
func (g *gateway) readRecord() {
	g.catalog.ApplyReleaseRecord(comfreyworks.ReleaseRecord{Pools: map[comfreyworks.Pool][]string{pool: {""}}}, g.options.Clock.Now())
}

func (n *network) countKnowing() (knowing int) {
	for _, g := range n.sorted() {
		if g.catalog.KnowsReleases() {
			knowing++
		}
	}
	return knowing
}

// TestReleasesAreLearned guards against hundreds of gateways that each read the record of
// releases when all start at once, and against streams that they refuse until they have.
func TestReleasesAreLearned(t *testing.T) {
	for name, options := range map[string]networkOptions{"30 gateways": originsFleet, "103 gateways": largeFleet} {
		t.Run(name, func(t *testing.T) {
			n := newNetworkWith(options)
			n.run(4*time.Second, func() { listEngines(n, 1) })
			assert.Equal(t, n.countKnowing(), 0)
			n.relays()[0].readRecord()
			took := time.Duration(0)
			for ; n.countKnowing() < options.gateways && took < 10*time.Second; took += stepInterval {
				n.run(stepInterval, func() { listEngines(n, 1) })
			}
			assert.Assert(t, took <= 2*time.Second, "took %s", took)
			t.Logf("known everywhere after %s", took)
			n.run(time.Second, func() { listEngines(n, 1) })
			n.releases = 0
			n.run(2*time.Second, func() { listEngines(n, 1) })
			assert.Equal(t, n.releases, 0, "asked although all know")
		})
	}
	t.Run("one that starts learns at once", func(t *testing.T) {
		n := newNetwork(2)
		n.run(4*time.Second, func() { listEngines(n, 1) })
		n.gateway(0).readRecord()
		n.start(1, networkOptions{gateways: 2, zones: 1, seeds: 1})
		assert.NilError(t, n.sync(1, 0))
		n.gateway(1).list(1, 1, 1)
		assert.NilError(t, n.sync(1, 0))
		assert.Assert(t, n.gateway(1).catalog.KnowsReleases())
	})
	t.Run("asking is bounded while nobody knows", func(t *testing.T) {
		n := newNetworkWith(largeFleet)
		n.run(4*time.Second, func() { listEngines(n, 1) })
		n.releases = 0
		n.run(2*time.Second, func() { listEngines(n, 1) })
		calls := n.releases / 2
		t.Logf("%d replies with releases a second", calls)
		relays := len(n.relays())
		assert.Assert(t, calls <= int(time.Second/releasesInterval+1)*(relays*(relays-1)+largeFleet.gateways), "%d", calls)
	})
}

// TestMalformedReleases guards against what a peer tells of releases that makes no sense.
func TestMalformedReleases(t *testing.T) {
	for name, known := range map[string]comfreyworks.KnownReleases{
		"nothing":            {},
		"negative durations": {For: -time.Hour, Releases: []comfreyworks.KnownRelease{{Pool: pool, Release: "v1", LeftAgo: -time.Hour, SettlesIn: -time.Hour}, {}}},
		"endless durations":  {For: 1 << 62, Releases: []comfreyworks.KnownRelease{{Pool: pool, Listed: true, SettlesIn: 1 << 62}, {Pool: "x", LeftAgo: 1 << 62}}},
		"too many":           {For: time.Hour, Releases: make([]comfreyworks.KnownRelease, 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1)
			g := n.gateway(0)
			g.list(1, 1, 1)
			g.catalog.LearnReleases(&known, n.clock.Now())
			for at, begins := range g.catalog.Pool(pool).Settling {
				assert.Assert(t, begins.Sub(n.clock.Now()) <= 10*time.Second, at)
			}
			if name != "endless durations" {
				assert.Assert(t, !g.catalog.KnowsReleases())
			}
		})
	}
}
