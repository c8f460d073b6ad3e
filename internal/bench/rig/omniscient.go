package rig

import (
	"slices"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/placement"
	"comfreyworks/internal/standin/engine"
)

// transitTime is how long a chosen request may be on its way to the engine.
const transitTime = 5 * time.Millisecond

// omniscient sees every engine's true cache and queue. It is the measure that
// other policies are held against; no router could have its view.
type omniscient struct {
	rig    *Rig
	weight float64
	mu     sync.Mutex
	sent   []sent
}

// sent is a request on its way to an engine.
type sent struct {
	at       time.Time
	instance comfreyworks.InstanceID
	blocks   []uint64
	uncached int
}

// Omniscient returns a chooser for a rig that weighs recomputation by a factor.
func Omniscient(weight float64) func(*Rig) comfreyworks.UpstreamChooser {
	return func(r *Rig) comfreyworks.UpstreamChooser { return &omniscient{rig: r, weight: weight} }
}

// Choose implements comfreyworks.UpstreamChooser.
func (o *omniscient) Choose(pool comfreyworks.Pool, request comfreyworks.GenerateRequest, exclude []comfreyworks.InstanceID) (comfreyworks.InstanceID, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	blocks := engine.BlockHashes(request.CacheSalt, request.Prompt)
	tokens := len(blocks) * engine.BlockTokens
	o.forget()
	var candidates []comfreyworks.Candidate
	for _, id := range o.rig.EngineIDs(pool) {
		outlook := o.rig.Engine(id).Outlook(blocks)
		if outlook.Down || slices.Contains(exclude, id) {
			continue
		}
		candidates = append(candidates, o.candidate(id, outlook, blocks))
	}
	index := placement.Comfrey{RecomputeWeight: o.weight}.Place(tokens, candidates)
	if index < 0 {
		return "", false
	}
	chosen := candidates[index]
	o.sent = append(o.sent, sent{
		at: o.rig.options.Clock.Now(), instance: chosen.Instance,
		blocks: blocks, uncached: max(tokens-chosen.CachedTokens, 0),
	})
	return chosen.Instance, true
}

func (o *omniscient) candidate(id comfreyworks.InstanceID, outlook engine.Outlook, blocks []uint64) comfreyworks.Candidate {
	candidate := comfreyworks.Candidate{
		Instance:     id,
		CachedTokens: outlook.HeldTokens,
		PrefillTime:  o.rig.options.Rates(id).PrefillTime,
	}
	queued := outlook.QueuedTokens
	for _, s := range o.sent {
		if s.instance == id {
			queued += s.uncached
			common := engine.CommonTokens(s.blocks, blocks)
			candidate.CachedTokens = max(candidate.CachedTokens, common)
		}
	}
	candidate.Wait = time.Duration(queued) * candidate.PrefillTime
	return candidate
}

// forget drops requests that have arrived.
func (o *omniscient) forget() {
	limit := o.rig.options.Clock.Now().Add(-transitTime)
	o.sent = slices.DeleteFunc(o.sent, func(s sent) bool { return s.at.Before(limit) })
}
