package peering

import (
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
		},
		"origins of nothing": {
			Self: comfreyworks.GatewayPeer{ID: "x", Address: address(9)}, Role: comfreyworks.PeerLeaf,
			Origins: []comfreyworks.StreamOrigin{{}, {}, {Stream: 1}, {Release: 1}, {Stream: 1, Release: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(2)
			n.passOrigins = true
			g := n.gateway(0)
			g.list(1, 1, 1)
			g.HandleSync(state)
			if state.OriginsKnown.Version > 0 {
				state.OriginsKnown.Process = g.members.version.Process
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
