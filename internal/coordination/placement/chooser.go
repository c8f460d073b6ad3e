package placement

import (
	"slices"
	"sync/atomic"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
)

// Chooser chooses upstreams from one directory shard. It records each choice in
// the shard, so that the next choice takes it into account.
type Chooser struct {
	shard  *directory.Shard
	policy atomic.Pointer[comfreyworks.PlacementPolicy]
}

// NewChooser returns a chooser that applies a policy to a shard.
func NewChooser(shard *directory.Shard, policy comfreyworks.PlacementPolicy) *Chooser {
	c := &Chooser{shard: shard}
	c.SetPolicy(policy)
	return c
}

// SetPolicy replaces the policy.
func (c *Chooser) SetPolicy(policy comfreyworks.PlacementPolicy) { c.policy.Store(&policy) }

// Choose chooses an upstream for a chain. It returns an empty placement if there
// is no candidate that is not excluded.
func (c *Chooser) Choose(chain comfreyworks.PrefixChain, exclude []comfreyworks.InstanceID) comfreyworks.Placement {
	candidates := c.shard.Candidates(chain, nil)
	if len(exclude) > 0 {
		candidates = slices.DeleteFunc(candidates, func(candidate comfreyworks.Candidate) bool {
			return slices.Contains(exclude, candidate.Instance)
		})
	}
	index := (*c.policy.Load()).Place(chain.Tokens(), candidates)
	if index < 0 {
		return comfreyworks.Placement{}
	}
	chosen := candidates[index]
	c.shard.Assign(chosen.Instance, chain, max(chain.Tokens()-chosen.CachedTokens, 0))
	return comfreyworks.Placement{
		Instance:     chosen.Instance,
		CachedTokens: chosen.CachedTokens,
		Candidates:   len(candidates),
	}
}
