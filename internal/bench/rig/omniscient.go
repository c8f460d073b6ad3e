package rig

import (
	"slices"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/standin/engine"
)

// maxTransitTime is how long a placed request counts as not yet seen by its
// engine.
const maxTransitTime = 5 * time.Millisecond

// omniscientChooser places requests by the actual cache and queue of every engine.
// No router can have this information; the policy is the reference that other
// policies are compared with.
type omniscientChooser struct {
	rig             *Rig
	recomputeWeight float64
	mu              sync.Mutex
	pending         []pendingRequest
}

// pendingRequest is a request that was placed but may not have reached its engine.
type pendingRequest struct {
	sentAt   time.Time
	instance comfreyworks.InstanceID
	blocks   []uint64
	uncached int
}

// NewOmniscientChooser returns a function that creates a chooser for a rig. The
// chooser uses recomputeWeight as the cost of recomputing a token, relative to the
// time to prefill it.
func NewOmniscientChooser(recomputeWeight float64) func(*Rig) comfreyworks.UpstreamChooser {
	return func(r *Rig) comfreyworks.UpstreamChooser {
		return &omniscientChooser{rig: r, recomputeWeight: recomputeWeight}
	}
}

// Choose implements comfreyworks.UpstreamChooser.
func (o *omniscientChooser) Choose(pool comfreyworks.Pool, request comfreyworks.GenerateRequest, exclude []comfreyworks.InstanceID) (comfreyworks.InstanceID, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	blocks := engine.BlockHashes(request.CacheSalt, request.Prompt)
	tokens := len(blocks) * engine.BlockTokens
	o.dropArrived()
	var candidates []comfreyworks.Candidate
	for _, id := range o.rig.EngineIDs(pool) {
		state := o.rig.Engine(id).PromptState(blocks)
		if state.Down || slices.Contains(exclude, id) {
			continue
		}
		candidates = append(candidates, o.candidate(id, state, blocks))
	}
	index := placement.Comfrey{RecomputeWeight: o.recomputeWeight}.Place(tokens, candidates)
	if index < 0 {
		return "", false
	}
	chosen := candidates[index]
	o.pending = append(o.pending, pendingRequest{
		sentAt: o.rig.options.Clock.Now(), instance: chosen.Instance,
		blocks: blocks, uncached: max(tokens-chosen.CachedTokens, 0),
	})
	return chosen.Instance, true
}

// candidate describes an engine to the placement policy, including the effect of
// the pending requests on its cache and queue.
func (o *omniscientChooser) candidate(id comfreyworks.InstanceID, state engine.PromptState, blocks []uint64) comfreyworks.Candidate {
	candidate := comfreyworks.Candidate{
		Instance:     id,
		CachedTokens: state.CachedTokens,
		PrefillTime:  o.rig.options.Rates(id).PrefillTime,
	}
	queued := state.QueuedTokens
	for _, p := range o.pending {
		if p.instance == id {
			queued += p.uncached
			common := engine.CommonPrefixTokens(p.blocks, blocks)
			candidate.CachedTokens = max(candidate.CachedTokens, common)
		}
	}
	candidate.Wait = time.Duration(queued) * candidate.PrefillTime
	return candidate
}

// dropArrived removes the requests that were placed longer than maxTransitTime
// ago; they are in the queues of their engines by now.
func (o *omniscientChooser) dropArrived() {
	limit := o.rig.options.Clock.Now().Add(-maxTransitTime)
	o.pending = slices.DeleteFunc(o.pending, func(p pendingRequest) bool { return p.sentAt.Before(limit) })
}
