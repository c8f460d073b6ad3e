package comfreyworks

import (
	"net/netip"
	"time"
)

// GatewaySettings is the start-up configuration of a gateway process.
type GatewaySettings struct {
	ID   InstanceID
	Zone Zone
	// Listen is the address for callers' requests, ReadyListen for the load
	// balancer's readiness probes and PeerListen for calls of other gateways.
	Listen      netip.AddrPort
	ReadyListen netip.AddrPort
	PeerListen  netip.AddrPort
	// ReadyPath is the path of the readiness probes.
	ReadyPath string
	// Peers are addresses where other gateways may be found; some may be stale.
	Peers []netip.AddrPort
	// Capacity is the processor share of the process in thousandths of a core.
	Capacity int
	// MemoryBytes is the memory limit of the process; zero means no limit.
	MemoryBytes int64
	// MaxDescriptors is the maximum number of open descriptors; zero means no limit.
	MaxDescriptors int
	Bounds         GatewayBounds
	Headers        HeaderNames
}

// GatewayBounds holds the limits that a gateway guarantees.
type GatewayBounds struct {
	// KeyRevocation is how long a revoked key may still be accepted.
	KeyRevocation time.Duration
	// StopGrace is the time between the stop signal and the end of the process.
	StopGrace time.Duration
	// All gateways together send at most RetryRatio retries for each request,
	// plus RetrySlack, within RetryWindow.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// LeaseDuration is how long the lease of a silent holder lasts. Orders of a
	// former holder may still arrive for that long.
	LeaseDuration time.Duration
	// SupersededWeights is how long superseded weights may still generate
	// answers.
	SupersededWeights time.Duration
	// Within each UsageWindow, upstreams run at most (rate * UsageWindow + burst) *
	// (1 + UsageOverage) + UsageSlack for a workspace with a usage limit.
	UsageWindow  time.Duration
	UsageOverage float64
	UsageSlack   float64
}
