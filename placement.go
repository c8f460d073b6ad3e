package comfreyworks

import "time"

// PolicyName names a placement policy in settings and reports.
type PolicyName string

// Placement policies.
const (
	PolicyRoundRobin  PolicyName = "round-robin"
	PolicyLeastLoaded PolicyName = "least-loaded"
	PolicyRendezvous  PolicyName = "rendezvous"
	PolicyComfrey     PolicyName = "comfrey"
)

// Candidate is one upstream that could serve a request.
type Candidate struct {
	Instance InstanceID
	// Score is the rendezvous hash of the instance and the prefix level that
	// determines the request's preferred upstream.
	Score uint64
	// CachedTokens is how many of the prompt's tokens the upstream holds.
	CachedTokens int
	// Wait is the time until the prefill work ahead of the request is done.
	Wait time.Duration
	// Running is the number of requests at the upstream.
	Running int
	// PrefillTime is the time to prefill one prompt token.
	PrefillTime time.Duration
}

// PlacementPolicy chooses an upstream. Implementations are pure functions of
// their arguments, except for round-robin, which keeps a counter.
type PlacementPolicy interface {
	// Place returns the index of the chosen candidate, or -1 if there are none.
	Place(promptTokens int, candidates []Candidate) int
}

// UpstreamChooser chooses an upstream for a request instead of the prefix
// directory. The bench uses it for a policy with information that no router has.
type UpstreamChooser interface {
	// Choose returns false if there is no suitable upstream.
	Choose(pool Pool, request GenerateRequest, exclude []InstanceID) (InstanceID, bool)
}

// PolicyNames returns all placement policies.
func PolicyNames() []PolicyName {
	return []PolicyName{PolicyRoundRobin, PolicyLeastLoaded, PolicyRendezvous, PolicyComfrey}
}
