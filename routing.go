package comfreyworks

import (
	"net/netip"
	"time"
)

// RouteKind tells how often the requests of a route may run and how they are
// answered.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = "non-idempotent"
	// RouteStream requests are answered with a stream of events. They run at
	// most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// PoolWeight is the relative share of a route's requests that a pool receives.
type PoolWeight struct {
	Pool   Pool
	Weight int
}

// Route maps requests with a host and a path prefix to pools.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Pools share the requests in proportion to their weights; there is at least
	// one.
	Pools []PoolWeight
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the latency objective; for streams it applies to the first
	// event.
	Objective time.Duration
	// MaxEventGap is the objective for the time between two events of a stream.
	MaxEventGap time.Duration
	// Priority orders requests; zero is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of upstreams that one request may run
	// on; zero means one.
	MaxAttempts int
	// Public means that requests need no key.
	Public bool
	// Affinity means that requests declare the parts of their prompt.
	Affinity bool
	// Resumable means that another upstream may continue a stream after its last
	// event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// UpstreamPool describes a pool of upstreams that a gateway reaches directly.
type UpstreamPool struct {
	Name Pool
	// MaxConnections is the maximum number of connections from all callers to
	// one upstream.
	MaxConnections int
	// Models is empty for plain services.
	Models []Model
	// CacheTokens is the KV cache capacity of one engine, in tokens.
	CacheTokens int
	// CacheReaders is the number of processes that may read the cache changes of
	// one engine or cache store at the same time; zero means no limit.
	CacheReaders int
	// Store is set if the pool is a cache store, which receives no requests.
	Store *CacheStore
}

// CacheStore is a store of offloaded KV cache.
type CacheStore struct {
	Address netip.AddrPort
	Zone    Zone
}

// CallerLimits holds the limits that operators declare for what callers send.
// Zero means that no limit is declared.
type CallerLimits struct {
	// HeaderBytes and BodyBytes apply to one request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time in which the header of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection stays open between two requests.
	IdleTimeout time.Duration
}

// WorkspaceKeys is a workspace with the keys that its callers may use.
type WorkspaceKeys struct {
	Name Workspace
	Keys []string
	// Priority overrides the priority of routes; negative means that it is not
	// set.
	Priority int
	// Isolated means that the workspace shares no cached prefix with any other.
	Isolated bool
	// Limit limits the usage of the workspace.
	Limit UsageLimit
}

// Routing is one version of the routes, pools, limits and workspaces that
// operators declare for gateways.
type Routing struct {
	Version ConfigRevision
	Routes  []Route
	Pools   []UpstreamPool
	Limits  CallerLimits
	// KeysRequired means that requests need a key, also while there are no workspaces.
	// Gateways of earlier versions don't pass it on; a routing with workspaces requires
	// keys anyway.
	KeysRequired bool
	Workspaces   []WorkspaceKeys
}

// WeightsRevision numbers the versions of a model's weights in the order in
// which they were declared. Zero means unknown.
type WeightsRevision uint64

// Upstream is one model engine or plain service that a gateway reaches
// directly, as described by the list of upstreams.
type Upstream struct {
	ID      InstanceID
	Pool    Pool
	Zone    Zone
	Address netip.AddrPort
	State   InstanceState
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Started distinguishes incarnations with the same ID; it may be zero.
	Started time.Time
	// Sequence grows with each entry of one incarnation.
	Sequence uint64
	// Release is the version of its software; empty if unknown. Streams of different
	// releases do not fit together.
	Release string
	// Weights are the revisions that an engine serves.
	Weights map[Model]WeightsRevision
}
