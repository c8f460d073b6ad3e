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
	// Score is the rendezvous score of the instance for the request's home
	// level.
	Score uint64
	// CachedTokens is how many of the prompt's tokens the upstream holds.
	CachedTokens int
	// Wait is how long the prefill work ahead of the request takes.
	Wait time.Duration
	// Running is the number of requests at the upstream.
	Running int
	// PrefillTime is the time to compute one prompt token.
	PrefillTime time.Duration
}

// PlacementPolicy chooses an upstream. Implementations are pure: the same candidates
// give the same choice, but for round-robin, which counts.
type PlacementPolicy interface {
	// Place returns the index of the chosen candidate, or -1 when there is
	// none.
	Place(promptTokens int, candidates []Candidate) int
}

// UpstreamChooser chooses an upstream for a request in place of the prefix directory.
// The bench uses it for a policy that sees what no router can see.
type UpstreamChooser interface {
	// Choose returns false when it knows no upstream.
	Choose(pool Pool, request GenerateRequest, exclude []InstanceID) (InstanceID, bool)
}

// PolicyNames lists the placement policies.
func PolicyNames() []PolicyName {
	return []PolicyName{PolicyRoundRobin, PolicyLeastLoaded, PolicyRendezvous, PolicyComfrey}
}
