package balance

import (
	"slices"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/streamorigins"
)

// Query describes a request that needs an upstream.
type Query struct {
	Pool  comfreyworks.Pool
	Model comfreyworks.Model
	// CacheScope identifies the group of workspaces whose cached parts may be used.
	CacheScope string
	// AffinityKey identifies the session: the requests that are sent to the same
	// engines if possible. It ranks engines of about equal cost and selects the
	// cache store.
	AffinityKey uint64
	// StoreKey selects the cache store of the session in a large fleet. Sessions
	// whose first parts are shared by few others have the same key, so that they
	// find these parts in their store.
	StoreKey uint64
	// Parts are the declared parts of the prompt, Tokens is the length of the
	// whole prompt.
	Parts  []comfreyworks.PromptPart
	Tokens int
	// OutputTokens is the declared maximum length of the answer; zero if unknown.
	OutputTokens int
	// Events is the expected number of events of a stream; zero if unknown. Deadline is
	// when it must have ended; zero if it has none.
	Events   float64
	Deadline time.Time
	// RoutePriority is the priority of the route, without that of the workspace.
	RoutePriority int
	// Objective is the latency objective for the first event; zero means none.
	Objective time.Duration
	// MaxWait is the wait in an engine's queue beyond which the request is refused; zero
	// means that it is not.
	MaxWait time.Duration
	// Priority is the priority in the engine's queue; 0 is the most urgent.
	Priority int
	// Returning means that the caller repeats a request that was refused, which is no
	// further demand.
	Returning bool
	// Release is the only release that may serve the request, as a value of
	// streamorigins.Release; zero means any.
	Release uint32
	// BeginsStream means that the request begins a stream that other gateways may
	// have to continue.
	BeginsStream bool
	// Exclude lists the upstreams that have already been tried.
	Exclude []comfreyworks.InstanceID
	// Only lists the upstreams to which the request may return, even if they can't be
	// reached or want no requests at the moment; nil means that it may be sent to any.
	Only []comfreyworks.UpstreamIncarnation

	// weighsBehind is the result of Balancer.weighsPromptsBehind.
	weighsBehind bool
}

// allows reports whether the request may be sent to an upstream.
func (q *Query) allows(upstream *comfreyworks.Upstream) bool {
	return upstream.State == comfreyworks.InstanceLive && !slices.Contains(q.Exclude, upstream.ID) &&
		(q.Only == nil || slices.ContainsFunc(q.Only, upstream.Incarnation().Equal)) &&
		(q.Release == 0 || q.Release == streamorigins.Release(upstream.Pool, upstream.Release))
}

// sharedParts returns the parts that other requests may have in common with this
// one. The last part is specific to the request.
func (q *Query) sharedParts() []comfreyworks.PromptPart { return q.Parts[:max(len(q.Parts)-1, 0)] }

// Outcome is the result of a request at an upstream.
type Outcome string

// Outcomes of requests.
const (
	// Answered means that the upstream answered correctly.
	Answered Outcome = "answered"
	// Failed means that the answer reported a failure, was incomplete or did not
	// arrive.
	Failed Outcome = "failed"
	// Unreachable means that the request could not be sent.
	Unreachable Outcome = "unreachable"
	// Full means that the upstream had no free capacity.
	Full Outcome = "full"
	// OtherWeights means that the upstream serves other weights.
	OtherWeights Outcome = "other-weights"
	// OtherInstance means that another upstream now uses the address.
	OtherInstance Outcome = "gone"
	// Withdrawn means that this gateway gave up the request, which says nothing
	// about the upstream.
	Withdrawn Outcome = "withdrawn"
)

// Result is an outcome with the measurements that go with it.
type Result struct {
	Outcome Outcome
	// Elapsed is the time until the answer; it is used only for Answered.
	Elapsed time.Duration
	// Weights is the revision that the upstream reported; zero if unknown.
	Weights comfreyworks.WeightsRevision
}
