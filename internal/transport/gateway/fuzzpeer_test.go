package gateway

import (
	"bytes"
	"encoding/gob"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
)

// FuzzPeerMessage guards against the state of a peer that panics, that changes what is
// in force here, or that makes an upstream look less than idle.
func FuzzPeerMessage(f *testing.F) {
	peer := comfreyworks.GatewayPeer{ID: "p", Address: netip.MustParseAddrPort("10.0.0.2:1"), Zone: "z"}
	for _, state := range []comfreyworks.GatewayState{
		{Self: peer, Role: comfreyworks.PeerRelay, WantsState: true, Loads: []comfreyworks.UpstreamLoad{{ID: "u", Requests: 3, Unread: comfreyworks.PrefillBacklog{5}}}},
		{
			Self: peer, Role: "other", Known: comfreyworks.ListVersion{Process: 1, Version: math.MaxUint64}, Declared: math.MaxUint64, Listed: math.MaxUint64,
			Loads: []comfreyworks.UpstreamLoad{{ID: "u", Requests: math.MinInt, Unreachable: -1, Unread: comfreyworks.PrefillBacklog{math.MinInt, math.MaxInt, 1}}, {ID: "u", Requests: math.MinInt}},
		},
		{Self: comfreyworks.GatewayPeer{ID: "p", Address: peer.Address, Capacity: math.MinInt, HeardAgo: math.MinInt64}, Peers: []comfreyworks.GatewayPeer{{}, peer, {ID: "q", Address: peer.Address, HeardAgo: math.MinInt64}, {ID: "r", Gone: true}}},
		{Self: peer, Saved: []uint32{0, 0}, Origins: []comfreyworks.StreamOrigin{{}}, Crashes: []comfreyworks.CrashSuspicion{{Crashes: math.MaxUint16, With: make([]uint32, 9)}}, Leaving: []comfreyworks.UpstreamIncarnation{{ID: "u"}}},
	} {
		var encoded bytes.Buffer
		assert.NilError(f, gob.NewEncoder(&encoded).Encode(&state))
		f.Add(encoded.Bytes())
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var state comfreyworks.GatewayState
		if gob.NewDecoder(bytes.NewReader(message)).Decode(&state) != nil {
			return
		}
		clock := clockwork.NewFakeClock()
		g := New(Options{
			Settings: comfreyworks.GatewaySettings{ID: "g", Zone: "z", PeerListen: netip.MustParseAddrPort("10.0.0.1:1")},
			Clock:    clock, Logger: zap.NewNop(), Meter: meter.New(),
		})
		g.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 5, Routing: &comfreyworks.Routing{Version: 3}}, clock.Now())
		g.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Next: 6, Whole: true, Present: []comfreyworks.Upstream{{ID: "u", Pool: "lm", State: comfreyworks.InstanceLive}}}, clock.Now())
		var update comfreyworks.GatewayUpdate
		for range 2 {
			assert.NilError(t, (&peerService{g}).Sync(state, &update))
			clock.Advance(time.Second)
		}
		table, _ := g.catalog.Routing()
		_, listed := g.catalog.SourceStates()
		assert.Equal(t, table.Version(), comfreyworks.ConfigRevision(3))
		assert.Equal(t, listed.Position, comfreyworks.Position(6))
		for _, load := range g.balancer.AllLoadsExcept("none") {
			assert.Assert(t, load.Requests >= 0 && load.Unreachable >= 0 && load.Unread.Ahead(comfreyworks.NumPriorities-1) >= 0, "%+v", load)
		}
		assert.NilError(t, gob.NewEncoder(new(bytes.Buffer)).Encode(&update))
	})
}
