package gateway

import (
	"context"
	"net"

	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/protocol/peer"
)

// receiver answers calls of other gateways.
type receiver struct{ gateway *Gateway }

// Sync answers a peer's state with ours.
func (r *receiver) Sync(state comfreyworks.GatewayState, reply *comfreyworks.GatewayUpdate) error {
	*reply = r.gateway.peering.Answer(state)
	return nil
}

// Notify takes in that an engine loads weights.
func (r *receiver) Notify(notice comfreyworks.WeightsLoadNotice, _ *peer.Nothing) error {
	r.gateway.balancer.Notice(notice)
	return nil
}

// servePeers starts to stay in touch with other gateways.
func (g *Gateway) servePeers(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	server, err := peer.NewServer("", &receiver{g})
	if err != nil {
		return &Error{Op: "serve peers", Kind: KindServe, Err: err}
	}
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error { return g.peering.Run(ctx) })
	return nil
}
