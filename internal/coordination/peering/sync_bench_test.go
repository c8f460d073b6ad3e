package peering

import (
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
	"comfreyworks/internal/state/crashes"
	"comfreyworks/internal/state/rendezvous"
	"comfreyworks/internal/state/streamorigins"
)

// fleetSizes are the sizes at which the cost of the exchange is measured: gateways,
// engines and requests in progress at one gateway.
var fleetSizes = []struct {
	networkOptions
	engines, requests int
}{
	{networkOptions{gateways: 30, zones: 5, seeds: 3, capacity: largeFleet.capacity}, 46, 5},
	{largeFleet, engineCount, 5},
	{networkOptions{gateways: 340, zones: 11, seeds: 3, capacity: largeFleet.capacity}, 1100, 12},
}

// byteCounter counts the bytes written to it.
type byteCounter int

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// BenchmarkSync measures one call of a leaf to its relay and one of a relay to
// another, both ends, in processor time and in bytes on the wire. Type descriptions,
// which travel once for each connection, are not counted.
func BenchmarkSync(b *testing.B) {
	for _, size := range fleetSizes {
		n := newNetworkWith(size.networkOptions)
		n.run(4*time.Second, func() { listEngines(n, size.engines) })
		for i, g := range n.sorted() {
			for j := range size.requests {
				key := rendezvous.Seed(fmt.Sprint("session-", i, "-", j))
				g.balancer.Pick(balance.Query{Pool: pool, Model: "oak", AffinityKey: key, Tokens: 2900})
			}
		}
		n.run(time.Second, nil)
		relays := n.relays()
		name := fmt.Sprintf("%d gateways, %d engines", size.gateways, size.engines)
		b.Run(name+", leaf to relay", func(b *testing.B) { benchmarkSync(b, n, leaf(n), relays[0], func() {}) })
		b.Run(name+", relay to relay", func(b *testing.B) { benchmarkSync(b, n, relays[1], relays[0], func() {}) })
	}
}

// listEngines lets the selected readers read the routing and a list of engines.
func listEngines(n *network, engines int) {
	for _, g := range n.sorted() {
		if g.IsSelected("read", 2) {
			g.readSource(1, 1)
			g.list(engines, 1, 1)
		}
	}
}

// BenchmarkRollingRestart counts the whole lists of upstreams that gateways send while
// all of them are restarted one after another within some 20 s and one engine leaves
// each second.
func BenchmarkRollingRestart(b *testing.B) {
	for _, size := range fleetSizes[1:] {
		b.Run(fmt.Sprintf("%d gateways, %d engines", size.gateways, size.engines), func(b *testing.B) {
			n, source, sent := newNetworkWith(size.networkOptions), newListSource(), 0
			for i := range size.engines {
				source.put(comfreyworks.InstanceID(fmt.Sprint("e", i)))
			}
			nextRead, lastRead := make(map[*gateway]time.Time), make(map[*gateway]comfreyworks.Position)
			steps := 0
			step := func() {
				steps++
				if id := comfreyworks.InstanceID(fmt.Sprint("e", steps/20)); steps%20 == 0 {
					delete(source.listed, id)
					source.record(id)
				}
				source.put("first")
				for _, g := range n.sorted() {
					if g.IsSelected("read", 2) && !n.clock.Now().Before(nextRead[g]) {
						g.readSource(1, 1)
						source.list(g, lastRead[g])
						_, known := g.catalog.SourceStates()
						lastRead[g], nextRead[g] = known.Position, n.clock.Now().Add(readInterval)
					}
				}
			}
			n.run(4*time.Second, step)
			count := func() (total int) {
				for _, g := range n.gateways {
					total += g.wholeLists
				}
				return total
			}
			sent = -count()
			for i := range size.gateways {
				sent += n.gateway(i).wholeLists
				n.start(i, size.networkOptions)
				if i%(size.gateways/100) == 0 {
					n.run(4*stepInterval, step)
				}
			}
			n.run(4*time.Second, step)
			var bytes byteCounter
			assert.NilError(b, gob.NewEncoder(&bytes).Encode(n.relays()[0].catalog.UpstreamsAfter(0)))
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(sent+count()), "lists")
			b.ReportMetric(float64(bytes), "B/list")
		})
	}
}

// newOrigins is the number of origins of streams that BenchmarkSyncOrigins sends in
// one call.
const newOrigins = 1000

// BenchmarkSyncOrigins measures a call of a relay to another one that passes on new
// origins of streams, in a fleet without load.
func BenchmarkSyncOrigins(b *testing.B) {
	n := startWithOrigins(originsFleet)
	n.run(4*time.Second, func() { listEngines(n, 1) })
	relays := n.relays()
	for _, origins := range []int{0, newOrigins} {
		b.Run(fmt.Sprint(origins, " origins"), func(b *testing.B) {
			next := 0
			benchmarkSync(b, n, relays[1], relays[0], func() {
				for range origins {
					relays[1].options.Origins.Add(comfreyworks.RequestID(fmt.Sprint("r", next)), streamorigins.Release(pool, "1"))
					next++
				}
			})
		})
	}
}

// BenchmarkSyncUsage measures calls while the counts of all workspaces with usage limits
// change between two calls, and while none does.
func BenchmarkSyncUsage(b *testing.B) {
	for _, workspaces := range []int{0, 16, 1600} {
		n := newNetworkWith(networkOptions{gateways: 30, zones: 5, seeds: 3, capacity: largeFleet.capacity})
		n.limits = &comfreyworks.Routing{}
		for i := range workspaces {
			n.limits.Workspaces = append(n.limits.Workspaces, comfreyworks.WorkspaceKeys{
				Name:  comfreyworks.Workspace(fmt.Sprint("w", i)),
				Limit: comfreyworks.UsageLimit{Unit: comfreyworks.UsageTokens, Rate: 1e9, Burst: 1e9},
			})
		}
		n.run(4*time.Second, func() { listEngines(n, 1) })
		for _, from := range []*gateway{leaf(n), n.relays()[1]} {
			to := n.relays()[0]
			for address := range from.partners {
				to = n.gateways[address]
			}
			for _, changed := range []int{0, workspaces} {
				b.Run(fmt.Sprintf("%d workspaces, %d changed, from a %s", workspaces, changed, from.role()), func(b *testing.B) {
					benchmarkSync(b, n, from, to, func() {
						for i := range changed {
							from.options.Usage.Admit(n.limits.Workspaces[i].Name, 1100, 1)
							to.options.Usage.Admit(n.limits.Workspaces[i].Name, 1100, 1)
						}
					})
				})
			}
		}
	}
}

// newCrashes is the number of suspicions that BenchmarkSyncCrashes sends in one call. Each
// names two other parts.
const newCrashes = 8

// BenchmarkSyncCrashes measures calls in fleets without load when no suspicion was ever
// there, when newCrashes are known to all, and when that many are new in each call.
func BenchmarkSyncCrashes(b *testing.B) {
	for _, size := range fleetSizes {
		n := settleCrashes(size.networkOptions)
		relays := n.relays()
		for _, state := range []string{"none", "known", "new"} {
			if state == "known" {
				for i := range uint32(newCrashes) {
					relays[2].crash(crashes.Key("shared", fmt.Sprint("known-", i)), 1)
				}
				n.run(3*time.Second, nil)
			}
			for _, from := range []*gateway{leaf(n), relays[1]} {
				b.Run(fmt.Sprintf("%d gateways, %s to relay, %s", size.gateways, from.role(), state), func(b *testing.B) {
					next := 0
					// Receives what was measured before.
					assert.NilError(b, from.sync(context.Background(), networkClient{n, relays[0].address}, relays[0].address))
					benchmarkSync(b, n, from, relays[0], func() {
						for range newCrashes {
							if state != "new" {
								return
							}
							key := func(i int) uint32 { return crashes.Key("shared", fmt.Sprint(i, next, from.options.Self.ID)) }
							from.options.Crashes.Merge([]comfreyworks.CrashSuspicion{{Part: key(0), Crashes: 3, With: []uint32{key(1), key(2)}}}, crashes.Local)
							next++
						}
					})
				})
			}
		}
	}
}

// BenchmarkCrashesReachAll measures how long a suspicion takes from one gateway to all
// others, and how often it is sent in the first two seconds.
func BenchmarkCrashesReachAll(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.gateways, " gateways"), func(b *testing.B) {
			n := settleCrashes(size.networkOptions)
			gateways := n.sorted()
			part, calls := uint32(0), 0
			var total, longest time.Duration
			for b.Loop() {
				n.run(time.Duration(part%7)*stepInterval, nil)
				part++
				gateways[int(part)*7%len(gateways)].crash(part, 1)
				start := n.clock.Now()
				took := time.Duration(-1)
				for _, g := range gateways {
					calls -= g.syncs
				}
				n.run(2*time.Second, func() {
					if took < 0 && !slices.ContainsFunc(gateways, func(g *gateway) bool { return g.crashesOf(part) == 0 }) {
						took = n.clock.Since(start)
					}
				})
				for _, g := range gateways {
					calls += g.syncs
				}
				assert.Assert(b, took >= 0)
				total, longest = total+took, max(longest, took)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/suspicion")
			b.ReportMetric(float64(longest.Milliseconds()), "ms-at-most")
			b.ReportMetric(float64(n.crashes)/float64(b.N), "sent/suspicion")
			b.ReportMetric(float64(calls)/float64(b.N)/2, "calls/s")
		})
	}
}

// benchmarkSync measures calls from one gateway to another. It calls prepare before
// each.
func benchmarkSync(b *testing.B, n *network, from, to *gateway, prepare func()) {
	var sent byteCounter
	encoder := gob.NewEncoder(&sent)
	assert.NilError(b, encoder.Encode(comfreyworks.GatewayState{}))
	assert.NilError(b, encoder.Encode(comfreyworks.GatewayUpdate{}))
	client := networkClient{n, to.address}
	sent = 0
	for b.Loop() {
		b.StopTimer()
		prepare()
		b.StartTimer()
		request := from.request(to.address)
		update, err := client.Sync(context.Background(), request)
		assert.NilError(b, err)
		from.recordReply(&update.State, &request)
		b.StopTimer()
		assert.NilError(b, encoder.Encode(request))
		assert.NilError(b, encoder.Encode(update))
		b.StartTimer()
	}
	b.ReportMetric(float64(sent)/float64(b.N), "B/sync")
}
