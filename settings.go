package comfreyworks

import (
	"net/netip"
	"time"
)

// GatewaySettings are what one gateway process is started with.
type GatewaySettings struct {
	ID   InstanceID
	Zone Zone
	// Listen takes requests, ReadyListen the balancer's questions, PeerListen
	// calls of other gateways.
	Listen      netip.AddrPort
	ReadyListen netip.AddrPort
	PeerListen  netip.AddrPort
	// ReadyPath is asked by the balancer.
	ReadyPath string
	// Peers are addresses where other gateways may be found; some may be stale.
	Peers []netip.AddrPort
	// MemoryBytes bounds the process; zero means no bound.
	MemoryBytes int64
	Bounds      GatewayBounds
	Headers     HeaderNames
}

// GatewayBounds are promises that a gateway keeps.
type GatewayBounds struct {
	// KeyRevocation is how long a withdrawn key may still be used.
	KeyRevocation time.Duration
	// StopGrace is the time between the signal to stop and the end.
	StopGrace time.Duration
	// RetryRatio and RetrySlack bound what all gateways together send again
	// within RetryWindow.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// LeaseDuration is how long orders of a former holder may still arrive.
	LeaseDuration time.Duration
	// SupersededWeights is how long superseded weights may answer.
	SupersededWeights time.Duration
}
