package comfreyworks

import (
	"context"
	"net/netip"
	"time"
)

// UpstreamLoad is the load that one or more gateways have put on an upstream.
type UpstreamLoad struct {
	ID InstanceID
	// Requests is the number of requests in progress.
	Requests int
	// Unread counts the prompt tokens that the upstream has yet to prefill.
	Unread PrefillBacklog
	// Unreachable is the number of gateways that recently could not reach the
	// upstream.
	Unreachable int
	// Memory is the number of tokens, in units of 1,024, that the requests in progress need
	// in the KV cache of an engine: their prompts and their declared output.
	Memory int
}

// WeightsLoadNotice announces that an engine is about to load weights or has
// loaded them.
type WeightsLoadNotice struct {
	Engine InstanceID
	// Started is the start time of the incarnation that loads; zero if unknown.
	Started time.Time
	Model   Model
	Weights WeightsRevision
	// Token is the fencing token of the lease holder that gave the notice, and
	// Sequence grows with each notice of this holder. A notice that is not newer than
	// the last one about the same engine is ignored.
	Token, Sequence uint64
	// For is how long the engine is to receive no new requests.
	For time.Duration
	// Done means that the engine already serves the weights.
	Done bool
}

// PeerRole is the role of a gateway in the exchange of state between gateways.
type PeerRole string

// Roles of gateways.
const (
	// PeerRelay gateways exchange state with each other on behalf of their
	// availability zone.
	PeerRelay PeerRole = "relay"
	// PeerLeaf gateways exchange state with one relay.
	PeerLeaf PeerRole = "leaf"
)

// GatewayPeer is a gateway as known to another gateway.
type GatewayPeer struct {
	ID      InstanceID
	Address netip.AddrPort
	Zone    Zone
	// Capacity is the processor share of the gateway in thousandths of a core.
	Capacity int
	// HeardAgo is the time since the gateway last called or answered another one.
	HeardAgo time.Duration
	// Gone means that the gateway has not been heard of for too long. It is set
	// only in lists that gateways send to each other.
	Gone bool
}

// ListVersion is a version of a list that one process keeps.
type ListVersion struct {
	// Process identifies the process that keeps the list.
	Process uint64
	Version uint64
}

// StreamOrigin tells which release of an upstream's software began a stream.
type StreamOrigin struct {
	// Stream is the hash of the ID of the request that began the stream.
	Stream uint32
	// Release is the hash of the pool and the release. Zero means that gateways
	// disagree about it.
	Release uint32
}

// CrashSuspicion tells how often upstreams ended while they ran the same request, or
// requests with the same prompt part, one crash after another, without an answer in
// between.
type CrashSuspicion struct {
	// Part identifies the request or the part: a hash of its content, or of the cache
	// scope and the ID of the part. Older gateways know the field by this name.
	Part uint32
	// Cleared counts how often the suspicion was dropped. A suspicion that was
	// cleared more often replaces the others.
	Cleared uint16
	// Crashes counts the crashes since the suspicion was last cleared.
	Crashes uint16
	// With lists keys of what was in all of these requests as well. It has at most
	// MaxCrashSuspicionWith entries.
	With []uint32
	// Ended lists hashes of the incarnations of upstreams that ended under these requests,
	// at most MaxCrashSuspicionEnded.
	Ended []uint32
	// Answered means that a gateway had seen the part answered shortly before the first of
	// these crashes, so that it takes more of them to blame it. Older gateways don't send it.
	Answered bool
	// Tried counts the requests that were let through early in a quarantine, since the
	// suspicion was last cleared, and under which an upstream ended. Older gateways don't
	// send it.
	Tried uint16
}

// Maximum lengths of CrashSuspicion.With and Ended.
const (
	MaxCrashSuspicionWith  = 5
	MaxCrashSuspicionEnded = 12
)

// GatewayState is the state that gateways send to each other.
type GatewayState struct {
	Self GatewayPeer
	Role PeerRole
	// Peers lists gateways: from a relay to a relay, those that call the sender
	// directly; otherwise, in a reply, those that changed after Known.
	Peers []GatewayPeer
	// PeerList is the version of the sender's list of gateways after Peers.
	PeerList ListVersion
	// Known is the version of the receiver's list of gateways that the sender has.
	Known ListVersion
	// Saved lists the keys of sessions that were saved to cache stores, as far as
	// the receiver does not know them yet. SavedList is the version of the sender's
	// list after Saved, SavedKnown the version of the receiver's list that the
	// sender has.
	Saved                 []uint32
	SavedList, SavedKnown ListVersion
	// Origins lists the origins of streams that the receiver does not know yet,
	// with OriginsList and OriginsKnown as for Saved. Leaves receive none.
	Origins                   []StreamOrigin
	OriginsList, OriginsKnown ListVersion
	// Crashes lists the suspicions that the receiver does not know yet, with
	// CrashesList and CrashesKnown as for Saved. CrashesKnown.Process is zero only in
	// the state of a gateway that does not exchange suspicions.
	Crashes                   []CrashSuspicion
	CrashesList, CrashesKnown ListVersion
	// Usage lists the counts of workspaces with usage limits that the receiver does not
	// know yet, summed like Loads, with UsageList and UsageKnown as for Saved.
	// UsageList.Process also changes when the counts are summed over other gateways.
	// UsageWhole means that all counts are listed.
	Usage                 []UsageCount
	UsageList, UsageKnown ListVersion
	UsageWhole            bool
	// UsageGateways is the number of gateways whose recent counts are in the sums.
	UsageGateways int
	// Loads are the loads of the sender and of the leaves that call it. In a reply
	// to a leaf, they are the loads of all other gateways.
	Loads []UpstreamLoad
	// Demands are the demands that the gateways of Loads measured, one for each pool. It
	// is empty in most messages; the demands of the last one that has any still apply.
	Demands []PoolDemand
	// Paces are the speeds of engines that the sender and the leaves that call it have
	// measured, as far as they differ from the others; in a reply to a leaf, those of all
	// other gateways. Most messages have none.
	Paces EnginePaces
	// Leaving lists the listed upstreams that have said in an answer, to any
	// gateway, that they are leaving.
	Leaving []UpstreamIncarnation
	// Declared and Listed are the positions up to which this gateway has read
	// the DeclarationSource and the UpstreamSource.
	Declared, Listed Position
	// WantsState asks for what changed after these positions.
	WantsState bool
	// WantsReleases asks for the releases that the other gateway knows.
	WantsReleases bool
}

// GatewayUpdate is a gateway's reply to the state of another gateway.
type GatewayUpdate struct {
	State GatewayState
	// DeclaredAge and ListedAge are how long before this reply the latest read of
	// the DeclarationSource and the UpstreamSource started; negative means never.
	DeclaredAge, ListedAge time.Duration
	// ListedSteady is UpstreamChanges.SteadyFor, also if Upstreams is nil.
	ListedSteady time.Duration
	// DeclaredWait is how long after the start of that read of the DeclarationSource
	// the declarations are still known to have been complete.
	DeclaredWait time.Duration
	// DeclaredRestored and Redeclared are Declaration.Restored and Declaration.Redeclared as
	// the sender knows them.
	DeclaredRestored Position
	Redeclared       bool
	// Declaration holds what changed after the other gateway's Declared position;
	// nil means nothing, or that it was not asked for.
	Declaration *Declaration
	// Upstreams holds what changed after the other gateway's Listed position; nil
	// means nothing, that it was not asked for, or that the whole list must be asked
	// for again later.
	Upstreams *UpstreamChanges
	// Releases holds the releases of upstreams as of the time of ListedAge or later; nil
	// means that they were not asked for or that the list is too old.
	Releases *KnownReleases
}

// WeightsLoadNotices is a batch of notices in the order in which they were given.
type WeightsLoadNotices struct {
	// From is the gateway that sends the batch, Role its role.
	From    InstanceID
	Role    PeerRole
	Notices []WeightsLoadNotice
}

// GatewayClient calls another gateway.
type GatewayClient interface {
	// Sync sends the state of this gateway and returns what the other one knows.
	Sync(ctx context.Context, state GatewayState) (GatewayUpdate, error)
	// Notify announces that engines load weights.
	Notify(ctx context.Context, notices WeightsLoadNotices) error
	// FindStream returns the release that began a stream, as in StreamOrigin, and
	// whether the other gateway knows it. Zero and true mean that gateways disagree.
	FindStream(ctx context.Context, stream uint32) (release uint32, found bool, err error)
}

// GatewayRegistry lets gateways discover each other.
type GatewayRegistry interface {
	// Register adds this gateway.
	Register(ctx context.Context, self GatewayPeer) error
	// Registered returns the registered gateways. Some may no longer exist.
	Registered(ctx context.Context) ([]GatewayPeer, error)
}
