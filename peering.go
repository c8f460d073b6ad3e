package comfreyworks

import (
	"context"
	"net/netip"
	"time"
)

// UpstreamLoad is the load that one gateway has put on an upstream.
type UpstreamLoad struct {
	ID InstanceID
	// Requests is the number of requests in progress.
	Requests int
	// Unread counts the prompt tokens that the upstream has yet to prefill.
	Unread PrefillBacklog
}

// WeightsLoadNotice announces that an engine is about to load weights or has
// loaded them.
type WeightsLoadNotice struct {
	Engine  InstanceID
	Model   Model
	Weights WeightsRevision
	// For is how long the engine is to receive no new requests.
	For time.Duration
	// Done means that the engine already serves the weights.
	Done bool
}

// GatewayPeer is a gateway as known to another gateway.
type GatewayPeer struct {
	ID      InstanceID
	Address netip.AddrPort
	// HeardAgo is the time since the gateway last called or answered another one.
	HeardAgo time.Duration
}

// GatewayState is the state that gateways send to each other.
type GatewayState struct {
	Self  GatewayPeer
	Peers []GatewayPeer
	Loads []UpstreamLoad
	// Declared and Listed are the positions up to which this gateway has read
	// the DeclarationSource and the UpstreamSource.
	Declared, Listed Position
}

// GatewayUpdate is a gateway's reply to the state of another gateway.
type GatewayUpdate struct {
	State GatewayState
	// DeclaredAge and ListedAge are how long before this reply the latest read of
	// the DeclarationSource and the UpstreamSource started; negative means never.
	DeclaredAge, ListedAge time.Duration
	// Declaration is set if the other gateway's Declared position is behind.
	Declaration *Declaration
	// Upstreams is set if the other gateway's Listed position is behind.
	Upstreams *UpstreamChanges
}

// GatewayClient calls another gateway.
type GatewayClient interface {
	// Sync sends the state of this gateway and returns what the other one knows.
	Sync(ctx context.Context, state GatewayState) (GatewayUpdate, error)
	// Notify announces that an engine loads weights.
	Notify(ctx context.Context, notice WeightsLoadNotice) error
}

// GatewayRegistry lets gateways discover each other.
type GatewayRegistry interface {
	// Register adds this gateway.
	Register(ctx context.Context, self GatewayPeer) error
	// Registered returns the registered gateways. Some may no longer exist.
	Registered(ctx context.Context) ([]GatewayPeer, error)
}
