// Package placement implements the policies that choose an upstream for a
// request.
//
// A policy receives candidates and returns the index of one of them. It does not
// block or communicate, so that it can be tested and benchmarked in isolation.
//
// # Usage
//
//	policy, err := placement.New(comfreyworks.PolicyComfrey)
//	index := policy.Place(promptTokens, candidates)
//
// New returns an error of KindUnknownPolicy for an unknown name. Place returns -1
// if there are no candidates.
package placement

import (
	"sync/atomic"
	"time"

	"comfreyworks"
)

// Kind classifies the errors of this package.
type Kind string

// KindUnknownPolicy means that there is no policy with the given name.
const KindUnknownPolicy Kind = "unknown policy"

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// DefaultRecomputeWeight is the cost of recomputing a token relative to the time
// that it takes. It is above one because recomputing delays other requests at the
// engine and evicts cached blocks that they need.
const DefaultRecomputeWeight = 2.5

// tieTolerance is the maximum difference in cost between candidates that count as
// equal; the rendezvous score decides between them. It keeps uncached prompts on
// the upstream that Fallback would choose too.
const tieTolerance = 2 * time.Millisecond

// New returns the policy with the given name.
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

// RoundRobin chooses the candidates in turn.
type RoundRobin struct{ count atomic.Uint64 }

// Place implements comfreyworks.PlacementPolicy.
func (p *RoundRobin) Place(_ int, candidates []comfreyworks.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return int((p.count.Add(1) - 1) % uint64(len(candidates)))
}

// LeastLoaded chooses the candidate with the shortest wait. Ties are broken by
// the number of running requests and then by the rendezvous score.
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

// Rendezvous chooses the candidate with the highest rendezvous score. It needs no
// state.
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

// Comfrey chooses the candidate with the lowest expected cost: the wait in its
// queue plus the weighted time to prefill the tokens that are not cached.
type Comfrey struct {
	// RecomputeWeight is the cost of recomputing a token relative to the time
	// that it takes.
	RecomputeWeight float64
}

// Place implements comfreyworks.PlacementPolicy.
func (p Comfrey) Place(promptTokens int, candidates []comfreyworks.Candidate) int {
	lowest := time.Duration(-1)
	for i := range candidates {
		if c := p.Cost(promptTokens, &candidates[i]); lowest < 0 || c < lowest {
			lowest = c
		}
	}
	best := -1
	for i := range candidates {
		if p.Cost(promptTokens, &candidates[i]) > lowest+tieTolerance {
			continue
		}
		if best < 0 || candidates[i].Score > candidates[best].Score {
			best = i
		}
	}
	return best
}

// Cost returns the expected cost of a prompt at a candidate, expressed as a
// duration.
func (p Comfrey) Cost(promptTokens int, c *comfreyworks.Candidate) time.Duration {
	uncached := float64(max(promptTokens-c.CachedTokens, 0))
	return c.Wait + time.Duration(p.RecomputeWeight*uncached*float64(c.PrefillTime))
}
