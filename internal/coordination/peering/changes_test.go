package peering

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
	"comfreyworks/internal/state/sharedlog"
)

// TestMain fixes the seed of the properties unless another one is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// travellingLog is state that gateways pass on as changes since a position or version.
type travellingLog interface {
	// write changes the state, at a gateway if there is no source.
	write(t *rapid.T, g *gateway)
	// read lets a gateway read the source, if there is one.
	read(t *rapid.T, g *gateway)
	// exchanged records that a gateway has called another one.
	exchanged(g, peer *gateway)
	// missing describes what a gateway lacks, or has although it is gone.
	missing(n *network, g *gateway) string
}

// lossyClient delivers calls but loses the answers.
type lossyClient struct{ networkClient }

// Sync implements comfreyworks.GatewayClient.
func (c lossyClient) Sync(ctx context.Context, state comfreyworks.GatewayState) (comfreyworks.GatewayUpdate, error) {
	_, err := c.networkClient.Sync(ctx, state)
	return comfreyworks.GatewayUpdate{}, errors.Join(errUnreachable, err)
}

// TestChangesAreComplete guards against a gateway that passes on changes although it
// does not know all of them since the position of the receiver, which then never
// learns of the others: any order of changes, reads, exchanges, lost answers, starts
// and restores.
func TestChangesAreComplete(t *testing.T) {
	for name, newLog := range map[string]func() travellingLog{
		"upstreams":    func() travellingLog { return newListSource() },
		"declarations": func() travellingLog { return &declarationSource{declared: make(map[comfreyworks.Position]string)} },
		"saved sessions": func() travellingLog {
			return newGossip(func(g *gateway, key uint32) { g.options.Saved.Add(key) }, func(g *gateway) []uint32 {
				keys, _ := g.options.Saved.After(0, sharedlog.Remote)
				return keys
			})
		},
		"stream origins": func() travellingLog {
			return newGossip(func(g *gateway, key uint32) {
				g.options.Origins.Merge([]comfreyworks.StreamOrigin{{Stream: key, Release: 1}}, sharedlog.Local)
			}, func(g *gateway) (keys []uint32) {
				origins, _ := g.options.Origins.After(0, sharedlog.Remote)
				for _, o := range origins {
					keys = append(keys, o.Stream)
				}
				return keys
			})
		},
		"suspicions": func() travellingLog {
			return newGossip(func(g *gateway, key uint32) {
				g.options.Crashes.Merge([]comfreyworks.CrashSuspicion{{Part: key, Crashes: 1}}, sharedlog.Local)
			}, func(g *gateway) (keys []uint32) {
				suspicions, _ := g.options.Crashes.After(0, sharedlog.Remote)
				for _, s := range suspicions {
					keys = append(keys, s.Part)
				}
				return keys
			})
		},
		"members": func() travellingLog {
			s := newGossip(func(g *gateway, key uint32) {
				now := g.options.Clock.Now()
				g.members.record(comfreyworks.GatewayPeer{ID: "other", Address: address(1000 + int(key)), Zone: "z"}, now, now)
			}, func(g *gateway) (keys []uint32) {
				for key := range uint32(maxGossip) {
					if g.members.members[address(1000+int(key))] != nil {
						keys = append(keys, key)
					}
				}
				return keys
			})
			s.repliesOnly = true
			return s
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				options := networkOptions{gateways: 4, zones: 4, seeds: 1}
				n, log := newNetworkWith(options), newLog()
				n.passOrigins = true
				gateways := rapid.IntRange(0, options.gateways-1)
				for range rapid.IntRange(1, 60).Draw(t, "steps") {
					n.clock.Advance(time.Millisecond)
					i, j := gateways.Draw(t, "gateway"), gateways.Draw(t, "peer")
					g, peer := n.gateway(i), n.gateway(j)
					switch step := rapid.SampledFrom([]string{"write", "write", "read", "exchange", "exchange", "lost", "restart"}).Draw(t, "step"); {
					case step == "write":
						log.write(t, g)
					case step == "read":
						log.read(t, g)
					case step == "restart":
						n.start(i, options)
					case i != j:
						exchange(n, log, g, peer, step == "lost")
					}
					for _, g := range n.sorted() {
						if missing := log.missing(n, g); missing != "" {
							t.Fatalf("%s: %s", g.options.Self.ID, missing)
						}
					}
				}
			})
		})
	}
}

// exchange lets a gateway call a peer that is its partner.
func exchange(n *network, log travellingLog, g, peer *gateway, lost bool) {
	for range 2 {
		g.updatePartners()
		peer.updatePartners()
		var client comfreyworks.GatewayClient = networkClient{n, peer.address}
		if lost {
			client = lossyClient{networkClient{n, peer.address}}
		}
		if err := g.sync(context.Background(), client, peer.address); err != nil {
			g.recordFailure(peer.address, err)
		}
	}
	if !lost {
		log.exchanged(g, peer)
	}
}

// listSource is a list of upstreams with what it held at each position.
type listSource struct {
	position, restored comfreyworks.Position
	sequence           uint64
	listed             map[comfreyworks.InstanceID]comfreyworks.Upstream
	// writtenAt holds the position of the last record of each upstream.
	writtenAt map[comfreyworks.InstanceID]comfreyworks.Position
	held      map[comfreyworks.Position]string
	lastRead  map[*gateway]comfreyworks.Position
	// unsettled counts the checks until the grace periods of a restore are to end.
	unsettled int
}

// stepsOfRestore is the number of checks of gateways in which they learn of a restore.
const stepsOfRestore = 40

func newListSource() *listSource {
	s := &listSource{
		held: map[comfreyworks.Position]string{0: describe(nil)}, lastRead: make(map[*gateway]comfreyworks.Position),
		listed:    make(map[comfreyworks.InstanceID]comfreyworks.Upstream),
		writtenAt: make(map[comfreyworks.InstanceID]comfreyworks.Position),
	}
	s.put("first")
	return s
}

// put lists an upstream, or writes its entry again.
func (s *listSource) put(id comfreyworks.InstanceID) {
	s.sequence++
	upstream, known := s.listed[id]
	if !known {
		upstream = comfreyworks.Upstream{ID: id, Pool: pool, State: comfreyworks.InstanceLive, Started: time.UnixMilli(int64(s.sequence))}
	}
	upstream.Sequence = s.sequence
	s.listed[id] = upstream
	s.record(id)
}

func (s *listSource) record(id comfreyworks.InstanceID) {
	s.position++
	s.writtenAt[id] = s.position
	s.held[s.position] = describe(slices.Collect(maps.Values(s.listed)))
}

func (s *listSource) write(t *rapid.T, _ *gateway) {
	id := comfreyworks.InstanceID(rapid.StringMatching("[a-d]").Draw(t, "id"))
	upstream, known := s.listed[id]
	switch kind := rapid.IntRange(0, 6).Draw(t, "write"); {
	case kind == 0 && rapid.IntRange(0, 3).Draw(t, "restore") == 0:
		s.restore()
	case kind <= 2 || !known:
		s.put(id)
	case kind <= 4 && upstream.State == comfreyworks.InstanceLive:
		upstream.State = comfreyworks.InstanceLeaving
		s.listed[id] = upstream
		s.put(id)
	case s.unsettled == 0 || upstream.State == comfreyworks.InstanceLeaving:
		delete(s.listed, id)
		s.record(id)
	}
}

// restore loses the history of the list, after which all upstreams write their entries.
func (s *listSource) restore() {
	s.unsettled = stepsOfRestore
	s.restored = (s.position>>40+1)<<40 | 1
	s.position = s.restored + s.position&(1<<40-1)
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		s.put(id)
	}
}

func (s *listSource) read(t *rapid.T, g *gateway) {
	_, known := g.catalog.SourceStates()
	switch rapid.IntRange(0, 9).Draw(t, "dropped") {
	case 0:
		known.Position = 0
	case 1, 2, 3:
		// Readers read on from their own last read.
		known.Position = s.lastRead[g]
	}
	s.list(g, known.Position)
	s.lastRead[g] = s.position
}

// list lets a gateway read the changes after a position.
func (s *listSource) list(g *gateway, after comfreyworks.Position) {
	changes := comfreyworks.UpstreamChanges{Since: after, Next: s.position}
	if after == 0 || after < s.restored {
		changes.Since = 0
		changes.Whole, changes.Restored = true, s.restored
	}
	for id, at := range s.writtenAt {
		upstream, listed := s.listed[id]
		switch {
		case listed && (changes.Whole || at > after):
			changes.Present = append(changes.Present, upstream)
		case !listed && !changes.Whole && at > after:
			changes.Gone = append(changes.Gone, id)
		}
	}
	g.catalog.ApplyUpstreams(changes, g.options.Clock.Now())
}

func (s *listSource) exchanged(_, _ *gateway) {}

func (s *listSource) missing(n *network, g *gateway) string {
	if s.unsettled > 0 {
		s.unsettled--
		if s.unsettled == 0 {
			for range 2 {
				for _, g := range n.sorted() {
					_, known := g.catalog.SourceStates()
					s.list(g, known.Position)
				}
				n.clock.Advance(2 * time.Second)
			}
		}
		return ""
	}
	_, known := g.catalog.SourceStates()
	if got, want := describe(g.catalog.Upstreams(pool)), s.held[known.Position]; got != want {
		return fmt.Sprintf("has %s at position %d, the source had %s", got, known.Position, want)
	}
	return ""
}

// describe returns what the property compares of upstreams.
func describe(upstreams []comfreyworks.Upstream) string {
	described := make([]string, 0, len(upstreams))
	for _, u := range upstreams {
		described = append(described, fmt.Sprint(u.ID, "/", u.State, "/", u.Started.UnixMilli()))
	}
	slices.Sort(described)
	return fmt.Sprint(described)
}

// TestLostChange guards against a gateway that lost a change and keeps another list than
// all others for longer than requests may still reach a leaving upstream.
func TestLostChange(t *testing.T) {
	const (
		drainTime = 2 * time.Second
		// skipped is the number of positions after the lost change that are skipped with it.
		skipped = 16
	)
	for name, choose := range map[string]func(n *network) *gateway{
		"relay": func(n *network) *gateway { return n.relays()[0] }, "leaf": leaf,
	} {
		for change, write := range map[string]func(s *listSource){
			"a removal": func(s *listSource) { delete(s.listed, "a"); s.record("a") },
			"an entry":  func(s *listSource) { s.put("b") },
		} {
			t.Run(name+" lost "+change, func(t *testing.T) {
				n, source := newNetworkWith(largeFleet), newListSource()
				source.put("a")
				nextRead, lastRead := make(map[*gateway]time.Time), make(map[*gateway]comfreyworks.Position)
				doubts := 0
				step := func() {
					source.put("first")
					for _, g := range n.sorted() {
						doubtful := g.catalog.UpstreamsDoubtful()
						if (g.IsSelected("read", 2) || doubtful) && !n.clock.Now().Before(nextRead[g]) {
							if doubtful {
								lastRead[g] = 0
								doubts++
							}
							g.readSource(1, 1)
							source.list(g, lastRead[g])
							g.catalog.UpstreamsVerified()
							if _, known := g.catalog.SourceStates(); known.Position == source.position {
								lastRead[g] = known.Position
							}
							nextRead[g] = n.clock.Now().Add(readInterval)
						}
					}
				}
				n.run(5*time.Second, step)
				g := choose(n)
				write(source)
				g.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Next: source.position + skipped}, n.clock.Now())
				n.run(drainTime, step)
				for _, g := range n.sorted() {
					assert.Equal(t, source.missing(n, g), "", "%s", g.options.Self.ID)
				}
				t.Logf("%d whole lists read because of a doubt", doubts)
			})
		}
	}
}

// declarationSource is a source of declarations with what it held at each position.
type declarationSource struct {
	position comfreyworks.Position
	routing  comfreyworks.ConfigRevision
	weights  comfreyworks.WeightsRevision
	// routingAt is the position of the last routing.
	routingAt comfreyworks.Position
	declared  map[comfreyworks.Position]string
}

func (s *declarationSource) write(t *rapid.T, _ *gateway) {
	s.position++
	if rapid.Bool().Draw(t, "routing") || s.routing == 0 {
		s.routing, s.routingAt = s.routing+1, s.position
	} else {
		s.weights++
	}
	s.declared[s.position] = fmt.Sprint(s.routing, "/", s.weights)
}

func (s *declarationSource) read(_ *rapid.T, g *gateway) {
	known, _ := g.catalog.SourceStates()
	declaration := comfreyworks.Declaration{Next: s.position, Weights: map[comfreyworks.Model]comfreyworks.WeightsRevision{"oak": s.weights}}
	if s.routingAt > known.Position {
		declaration.Routing = &comfreyworks.Routing{Version: s.routing}
	}
	g.catalog.ApplyDeclaration(declaration, g.options.Clock.Now())
}

func (s *declarationSource) exchanged(_, _ *gateway) {}

func (s *declarationSource) missing(_ *network, g *gateway) string {
	known, _ := g.catalog.SourceStates()
	if known.Position == 0 {
		return ""
	}
	table, _ := g.catalog.Routing()
	if table == nil {
		return "no routing"
	}
	if got, want := fmt.Sprint(table.Version(), "/", g.catalog.Weights("oak").Revision), s.declared[known.Position]; got != want {
		return fmt.Sprintf("has %s at position %d, the source had %s", got, known.Position, want)
	}
	return ""
}

// maxGossip is the number of keys that a test records.
const maxGossip = 60

// gossip is a log to which each gateway adds keys, and which others are told of.
type gossip struct {
	add  func(g *gateway, key uint32)
	held func(g *gateway) []uint32
	next uint32
	// repliesOnly means that requests carry no keys.
	repliesOnly bool
	// added holds the keys that a process added, expected those that it must hold.
	added, expected map[*gateway][]uint32
}

func newGossip(add func(*gateway, uint32), held func(*gateway) []uint32) *gossip {
	return &gossip{add: add, held: held, added: make(map[*gateway][]uint32), expected: make(map[*gateway][]uint32)}
}

func (s *gossip) write(_ *rapid.T, g *gateway) {
	s.add(g, s.next)
	s.added[g], s.expected[g] = append(s.added[g], s.next), append(s.expected[g], s.next)
	s.next++
}

func (s *gossip) read(_ *rapid.T, _ *gateway) {}

func (s *gossip) exchanged(g, peer *gateway) {
	s.expected[g] = append(s.expected[g], s.added[peer]...)
	if !s.repliesOnly {
		s.expected[peer] = append(s.expected[peer], s.added[g]...)
	}
}

func (s *gossip) missing(_ *network, g *gateway) string {
	held := s.held(g)
	for _, key := range s.expected[g] {
		if !slices.Contains(held, key) {
			return fmt.Sprintf("has %v, but not %d", held, key)
		}
	}
	return ""
}
