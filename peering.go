package comfreyworks

import (
	"context"
	"net/netip"
	"time"
)

// UpstreamLoad is the work that one gateway has sent to an upstream.
type UpstreamLoad struct {
	ID       InstanceID
	Requests int
	// Unread is what the upstream has yet to read of prompts.
	Unread PrefillBacklog
}

// WeightsLoadNotice tells that an engine is about to load weights, or has done so.
type WeightsLoadNotice struct {
	Engine  InstanceID
	Model   Model
	Weights WeightsRevision
	// For is how long the engine shall get no new work.
	For time.Duration
	// Done means that the engine serves the weights.
	Done bool
}

// GatewayPeer is a gateway that another one knows of.
type GatewayPeer struct {
	ID      InstanceID
	Address netip.AddrPort
	// HeardAgo is how long ago the gateway itself was heard of.
	HeardAgo time.Duration
}

// GatewayState is what a gateway tells another one.
type GatewayState struct {
	Self  GatewayPeer
	Peers []GatewayPeer
	Loads []UpstreamLoad
	// Declared and Listed are up to where this gateway knows both sources.
	Declared, Listed Position
}

// GatewayUpdate is the answer: what the other gateway knows.
type GatewayUpdate struct {
	State GatewayState
	// DeclaredAge and ListedAge tell how long before this answer each source
	// was asked; negative means never.
	DeclaredAge, ListedAge time.Duration
	// Declaration is set if the asker is behind.
	Declaration *Declaration
	// Upstreams is set if the asker is behind.
	Upstreams *UpstreamChanges
}

// GatewayClient reaches another gateway.
type GatewayClient interface {
	// Sync tells the state of this gateway and returns news.
	Sync(ctx context.Context, state GatewayState) (GatewayUpdate, error)
	// Notify tells that an engine loads weights.
	Notify(ctx context.Context, notice WeightsLoadNotice) error
}

// GatewayRegistry is where gateways find each other.
type GatewayRegistry interface {
	// Register records this gateway.
	Register(ctx context.Context, self GatewayPeer) error
	// Registered lists recorded gateways; some may be gone.
	Registered(ctx context.Context) ([]GatewayPeer, error)
}
