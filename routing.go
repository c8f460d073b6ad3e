package comfreyworks

import (
	"net/netip"
	"time"
)

// RouteKind tells what may be done with a request of a route.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStream requests are answered by a stream of events. They run at
	// most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// PoolWeight is one pool's share of a route's requests.
type PoolWeight struct {
	Pool   Pool
	Weight int
}

// Route sends the requests of a host and a path prefix to pools.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Pools share the requests by weight; there is at least one.
	Pools []PoolWeight
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// Objective is the latency objective: for streams, of the first event.
	Objective time.Duration
	// MaxEventGap is the longest pause between events that is in time.
	MaxEventGap time.Duration
	// Priority orders requests; zero is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request may run on; none means
	// one.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// Affinity requests declare the parts of their prompt.
	Affinity bool
	// Resumable streams may go on elsewhere behind an event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// UpstreamPool describes a pool of upstreams that a gateway reaches directly.
type UpstreamPool struct {
	Name Pool
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
	// Models is empty for plain services.
	Models []Model
	// CacheTokens is the KV memory of one engine, in tokens.
	CacheTokens int
	// CacheReaders is how many processes may follow the cache of one engine or
	// store at once; zero means that there is no bound.
	CacheReaders int
	// Store is set for a store of kept KV cache, which takes no requests.
	Store *CacheStore
}

// CacheStore is a store of kept KV cache.
type CacheStore struct {
	Address netip.AddrPort
	Zone    Zone
}

// CallerLimits bounds what callers may send. Zero means no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WorkspaceKeys is a workspace with the keys that its callers may use.
type WorkspaceKeys struct {
	Name Workspace
	Keys []string
	// Priority overrides the priority of routes; negative means it does not.
	Priority int
	// Isolated workspaces share no cached prefix with any other.
	Isolated bool
}

// Routing is one version of what operators declare for a gateway.
type Routing struct {
	Version ConfigRevision
	Routes  []Route
	Pools   []UpstreamPool
	Limits  CallerLimits
	// Workspaces is empty when requests need no key.
	Workspaces []WorkspaceKeys
}

// WeightsRevision numbers the versions of a model's weights in the order in
// which they were named. Zero means unknown.
type WeightsRevision uint64

// Upstream is one model engine or plain service that a gateway reaches
// directly, as the list of upstreams tells it.
type Upstream struct {
	ID      InstanceID
	Pool    Pool
	Zone    Zone
	Address netip.AddrPort
	State   InstanceState
	// Slots is the number of requests that it works on at once.
	Slots int
	// Started tells two lives under one ID apart; it may be zero.
	Started time.Time
	// Sequence grows with each entry of one life.
	Sequence uint64
	// Weights are the revisions that an engine serves.
	Weights map[Model]WeightsRevision
}
