package peering

import (
	"encoding/gob"
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestMalformedState guards against a peer whose messages make no sense: they must
// neither end the process nor leave state that never expires.
func TestMalformedState(t *testing.T) {
	own := address(0)
	for name, state := range map[string]comfreyworks.GatewayState{
		"empty":               {},
		"no address":          {Self: comfreyworks.GatewayPeer{ID: "x"}},
		"address of receiver": {Self: comfreyworks.GatewayPeer{ID: "x", Address: own}},
		"unknown role":        {Self: comfreyworks.GatewayPeer{ID: "x", Address: address(9)}, Role: "king"},
		"negative capacity":   {Self: comfreyworks.GatewayPeer{ID: "x", Address: address(9), Capacity: -1}, Role: comfreyworks.PeerLeaf},
		"heard in the future": {
			Self:  comfreyworks.GatewayPeer{ID: "x", Address: address(9)},
			Peers: []comfreyworks.GatewayPeer{{ID: "y", Address: address(8), HeardAgo: -time.Hour}, {}, {ID: "z", Address: netip.AddrPort{}, Gone: true}},
		},
		"negative loads": {
			Self: comfreyworks.GatewayPeer{ID: "x", Address: address(9)}, Role: comfreyworks.PeerLeaf,
			Loads: []comfreyworks.UpstreamLoad{{ID: "e0", Requests: -5, Unreachable: -3}, {}},
		},
		"versions from nowhere": {
			Self: comfreyworks.GatewayPeer{ID: "x", Address: address(9)}, Declared: 1 << 60, Listed: 1 << 60,
			Known: comfreyworks.ListVersion{Version: 1 << 60}, SavedKnown: comfreyworks.ListVersion{Version: 1 << 60},
			OriginsKnown: comfreyworks.ListVersion{Version: 1 << 60}, OriginsList: comfreyworks.ListVersion{Process: 1, Version: 1 << 60},
			CrashesKnown: comfreyworks.ListVersion{Version: 1 << 60}, CrashesList: comfreyworks.ListVersion{Process: 1, Version: 1 << 60},
		},
		"origins of nothing": {
			Self: comfreyworks.GatewayPeer{ID: "x", Address: address(9)}, Role: comfreyworks.PeerLeaf,
			Origins: []comfreyworks.StreamOrigin{{}, {}, {Stream: 1}, {Release: 1}, {Stream: 1, Release: 1}},
		},
		"crashes of nothing": {
			Self:    comfreyworks.GatewayPeer{ID: "x", Address: address(9)},
			Crashes: []comfreyworks.CrashSuspicion{{}, {}, {Part: 1}, {Part: 2, With: []uint32{2, 0, 2}}, {Cleared: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(2)
			n.passOrigins = true
			g := n.gateway(0)
			g.list(1, 1, 1)
			g.HandleSync(state)
			if state.OriginsKnown.Version > 0 {
				state.OriginsKnown.Process, state.CrashesKnown.Process = g.members.version.Process, g.members.version.Process
				g.HandleSync(state)
			}
			_, found := g.StreamOrigin(t.Context(), "r")
			assert.Assert(t, !found)
			g.HandleNotify(comfreyworks.WeightsLoadNotices{Notices: []comfreyworks.WeightsLoadNotice{{}, {Engine: "e0", For: -time.Hour}}})
			n.run(memberExpiry+time.Second, nil)
			assert.Equal(t, g.Gateways(), 2)
			assert.Equal(t, g.balancer.Requests("e0"), 0)
		})
	}
}

// TestExcessiveCrashes guards against a peer that sends more suspicions, or longer ones,
// than gateways keep: what is kept and passed on must fit into a message.
func TestExcessiveCrashes(t *testing.T) {
	const maxMessageBytes = 8 << 20
	n := newNetwork(2)
	g := n.gateway(0)
	state := comfreyworks.GatewayState{
		Self: comfreyworks.GatewayPeer{ID: "x", Address: address(9)}, CrashesKnown: comfreyworks.ListVersion{Process: unknownProcess},
	}
	for i := range uint32(2 * maxCrashes) {
		part := 1<<31 + 8*i
		var ended []uint32
		for n := range uint32(comfreyworks.MaxCrashSuspicionEnded + 1) {
			ended = append(ended, part+n<<16+1)
		}
		state.Crashes = append(state.Crashes, comfreyworks.CrashSuspicion{
			Part: part, Crashes: math.MaxUint16, With: []uint32{part + 1, part + 2, part + 3, part + 4, part + 5, part + 6},
			Ended: ended,
		})
	}
	for range 2 {
		update := g.HandleSync(state)
		assert.Equal(t, len(update.State.Crashes), maxCrashes)
		assert.Equal(t, update.State.Crashes[0].Part, state.Crashes[0].Part)
		for _, s := range update.State.Crashes {
			assert.Equal(t, len(s.With), comfreyworks.MaxCrashSuspicionWith)
			assert.Equal(t, len(s.Ended), comfreyworks.MaxCrashSuspicionEnded)
		}
		var sent byteCounter
		assert.NilError(t, gob.NewEncoder(&sent).Encode(update))
		assert.Assert(t, sent <= maxMessageBytes/4, "%d bytes", sent)
	}
}
