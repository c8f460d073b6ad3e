package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/protocol/peer"
)

// maxPeerMessageBytes is the maximum size of a message between gateways. The longest
// ones hold the whole routing and the list of upstreams.
const maxPeerMessageBytes = 8 << 20

// peerStopTimeout is how long a stopping gateway waits for answers to its peers. It is a
// part of shutdownMargin.
const peerStopTimeout = 50 * time.Millisecond

// peerService implements the RPC methods that other gateways call.
type peerService struct{ gateway *Gateway }

// Sync receives a peer's state and replies with the state of this gateway.
func (s *peerService) Sync(state comfreyworks.GatewayState, reply *comfreyworks.GatewayUpdate) error {
	return s.call(func() { *reply = s.gateway.peering.HandleSync(state) })
}

// Notify receives a peer's notices that engines load weights.
func (s *peerService) Notify(notices comfreyworks.WeightsLoadNotices, _ *peer.Empty) error {
	return s.call(func() { s.gateway.peering.HandleNotify(notices) })
}

// FindStream tells a peer which release began a stream.
func (s *peerService) FindStream(args peer.FindStreamArgs, reply *peer.FindStreamReply) error {
	return s.call(func() { reply.Release, reply.Found = s.gateway.peering.HandleFindStream(args.Stream) })
}

// errPanic is what a peer learns of a panic that its call caused.
var errPanic = errors.New("call failed")

// call calls f in a goroutine of net/rpc, which does not recover from panics.
func (s *peerService) call(f func()) error {
	if !s.gateway.options.Faults.Run("peer-call", f) {
		return errPanic
	}
	return nil
}

// servePeers starts the RPC server for other gateways and the exchange of state
// with them.
func (g *Gateway) servePeers(ctx context.Context, group *errgroup.Group, listener net.Listener, maxHandshakes int) error {
	server, err := peer.NewServer("", &peerService{g})
	if err != nil {
		return &Error{Op: "serve peers", Kind: KindServe, Err: err}
	}
	server.Faults = g.options.Faults
	server.StopTimeout = peerStopTimeout
	server.MaxHandshakes = maxHandshakes
	server.Limits = peer.MessageLimits{Bytes: maxPeerMessageBytes}
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error { return g.peering.Run(ctx) })
	return nil
}
