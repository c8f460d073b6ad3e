// Package placement holds the policies that choose an upstream for a request.
//
// The policies are pure: they see candidates and return an index. They neither
// wait nor talk, so they can be tested and measured alone.
//
// # Usage
//
//	placer, err := placement.New(comfreyworks.PolicyComfrey)
//	index := placer.Place(promptTokens, candidates)
//
// New fails with KindUnknownPolicy for a name it does not know. Place returns
// -1 when there are no candidates.
package placement

import (
	"sync/atomic"
	"time"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// KindUnknownPolicy means that no policy has the given name.
const KindUnknownPolicy Kind = "unknown policy"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// DefaultRecomputeWeight is how much more than its own time a recomputed token costs:
// it takes the engine from other requests and evicts blocks that they need.
const DefaultRecomputeWeight = 2.5

// tieTolerance is the difference in cost below which candidates count as
// equal and the rendezvous score decides. It keeps cold prompts on the home
// that a lookup without a directory would find too.
const tieTolerance = 2 * time.Millisecond

// New returns the policy of a name.
func New(name comfreyworks.PolicyName) (comfreyworks.PlacementPolicy, error) {
	switch name {
	case comfreyworks.PolicyRoundRobin:
		return &RoundRobin{}, nil
	case comfreyworks.PolicyLeastLoaded:
		return LeastLoaded{}, nil
	case comfreyworks.PolicyRendezvous:
		return Rendezvous{}, nil
	case comfreyworks.PolicyComfrey:
		return Comfrey{RecomputeWeight: DefaultRecomputeWeight}, nil
	default:
		return nil, &Error{Op: "new " + string(name), Kind: KindUnknownPolicy}
	}
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ count atomic.Uint64 }

// Place implements comfreyworks.PlacementPolicy.
func (p *RoundRobin) Place(_ int, candidates []comfreyworks.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return int((p.count.Add(1) - 1) % uint64(len(candidates)))
}

// LeastLoaded takes the candidate with the least work ahead.
type LeastLoaded struct{}

// Place implements comfreyworks.PlacementPolicy.
func (LeastLoaded) Place(_ int, candidates []comfreyworks.Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || lessLoaded(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

func lessLoaded(a, b *comfreyworks.Candidate) bool {
	if a.Wait != b.Wait {
		return a.Wait < b.Wait
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.Score > b.Score
}

// Rendezvous takes the candidate with the highest score for the prompt's home
// level; it needs no state at all.
type Rendezvous struct{}

// Place implements comfreyworks.PlacementPolicy.
func (Rendezvous) Place(_ int, candidates []comfreyworks.Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || candidates[i].Score > candidates[best].Score {
			best = i
		}
	}
	return best
}

// Comfrey takes the candidate with the lowest expected cost: the wait for the
// queue ahead plus the weighted time to compute what is not cached.
type Comfrey struct {
	// RecomputeWeight is how much more than its own time a recomputed token
	// costs.
	RecomputeWeight float64
}

// Place implements comfreyworks.PlacementPolicy.
func (p Comfrey) Place(promptTokens int, candidates []comfreyworks.Candidate) int {
	cheapest := time.Duration(-1)
	for i := range candidates {
		if c := p.Cost(promptTokens, &candidates[i]); cheapest < 0 || c < cheapest {
			cheapest = c
		}
	}
	best := -1
	for i := range candidates {
		if p.Cost(promptTokens, &candidates[i]) > cheapest+tieTolerance {
			continue
		}
		if best < 0 || candidates[i].Score > candidates[best].Score {
			best = i
		}
	}
	return best
}

// Cost returns the expected cost of a prompt at a candidate, as a time.
func (p Comfrey) Cost(promptTokens int, c *comfreyworks.Candidate) time.Duration {
	uncached := float64(max(promptTokens-c.CachedTokens, 0))
	return c.Wait + time.Duration(p.RecomputeWeight*uncached*float64(c.PrefillTime))
}
