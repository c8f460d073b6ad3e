package placement

import (
	"slices"
	"sync/atomic"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
)

// Chooser makes choices from one directory shard and tells the shard of them,
// so that the next choice already counts on this one.
type Chooser struct {
	shard  *directory.Shard
	placer atomic.Pointer[comfreyworks.PlacementPolicy]
}

// NewChooser returns a chooser that applies a policy to a shard.
func NewChooser(shard *directory.Shard, placer comfreyworks.PlacementPolicy) *Chooser {
	c := &Chooser{shard: shard}
	c.SetPlacer(placer)
	return c
}

// SetPlacer replaces the policy.
func (c *Chooser) SetPlacer(placer comfreyworks.PlacementPolicy) { c.placer.Store(&placer) }

// Choose picks an upstream for a chain. The choice is empty when there is no
// candidate left.
func (c *Chooser) Choose(chain comfreyworks.PrefixChain, exclude []comfreyworks.InstanceID) comfreyworks.Placement {
	candidates := c.shard.Candidates(chain, nil)
	if len(exclude) > 0 {
		candidates = slices.DeleteFunc(candidates, func(candidate comfreyworks.Candidate) bool {
			return slices.Contains(exclude, candidate.Instance)
		})
	}
	index := (*c.placer.Load()).Place(chain.Tokens(), candidates)
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
