// Package directory implements one shard of a pool's prefix directory. The shard
// records which upstreams hold which prefix levels and how loaded they are.
//
// Sidecars report the levels that their upstreams gain and lose, and their load.
// For a prefix chain, the shard returns how many of its tokens each upstream
// holds. It also accounts for requests assigned since the last report: their
// uncached tokens count as queued, and the prefixes that they will leave in the
// cache count as held. Otherwise two requests with the same new prefix within one
// report interval would be prefilled on two upstreams, and a whole burst would be
// sent to the upstream that was idle at its last report.
//
// Each holding belongs to an epoch of its upstream. A new incarnation of the
// engine, a change of weights or a full report starts a new epoch, which
// invalidates all earlier holdings of the upstream at once. Holdings of older
// epochs never match; they are removed when a look-up or Sweep finds them.
//
// # Usage
//
//	shard := directory.New(clock)
//	full := shard.Report(report) // true requests a full report
//	candidates := shard.Candidates(chain, nil)
//	shard.Assign(candidates[i].Instance, chain, uncachedTokens)
//
// A Shard is safe for concurrent use.
package directory

import (
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// unconfirmedTTL is how long an assigned prefix counts as held unless a
	// report confirms it.
	unconfirmedTTL = 10 * time.Second
	// reportTTL is how long an upstream stays a candidate without a report.
	reportTTL = 5 * time.Second
	// upstreamTTL is how long an upstream is kept without a report.
	upstreamTTL = time.Minute
	// minAffinityTokens is the minimum length, in tokens, of the level that
	// determines a prompt's preferred upstream.
	minAffinityTokens = 1024
)

// epoch is incremented when an upstream changes its incarnation or weights, sends
// a full report or is removed.
type epoch uint32

// holding records that an upstream holds a level.
type holding struct {
	upstream uint32
	epoch    epoch
	// until is when an unconfirmed holding expires, in nanoseconds since the Unix
	// epoch; zero means that a report has confirmed it.
	until int64
}

// levelEntry lists the upstreams that hold one prefix level.
type levelEntry struct {
	tokens   int32
	holdings []holding
}

// upstreamEntry is the state of one upstream.
type upstreamEntry struct {
	id          comfreyworks.InstanceID
	seed        uint64
	incarnation comfreyworks.Incarnation
	weights     comfreyworks.WeightsVersion
	epoch       epoch
	sequence    uint64
	unavailable bool
	reported    time.Time
	// busyUntil is when the upstream will have prefilled all prompts that it is
	// known to have. Each assignment extends it and each report resets it.
	// Between reports the queue thus drains as the engine works.
	busyUntil   time.Time
	running     int
	prefillTime time.Duration
	// recent lists the assignments that the next report may not include yet.
	recent []assignment
}

// assignment is a request that was assigned to an upstream, with the time to
// prefill its uncached tokens.
type assignment struct {
	at   time.Time
	cost time.Duration
}

// Shard is one shard of a directory.
type Shard struct {
	clock     comfreyworks.Clock
	mu        sync.Mutex
	upstreams []*upstreamEntry
	// freeIndexes lists the indexes in upstreams whose upstream was removed.
	freeIndexes []uint32
	byID        map[comfreyworks.InstanceID]uint32
	levels      map[uint64]*levelEntry
}

// New returns an empty shard.
func New(clock comfreyworks.Clock) *Shard {
	return &Shard{
		clock:  clock,
		byID:   make(map[comfreyworks.InstanceID]uint32),
		levels: make(map[uint64]*levelEntry),
	}
}

// Len returns the number of levels in the shard.
func (s *Shard) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.levels)
}

// Report applies a sidecar's report. It returns true if the shard missed a report
// and needs a full one next.
func (s *Shard) Report(report comfreyworks.DirectoryReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, u := s.upstream(report.Instance)
	changed := u.incarnation != report.Incarnation || u.weights != report.Weights
	if changed || report.Full {
		u.epoch++
		u.incarnation = report.Incarnation
		u.weights = report.Weights
	}
	s.updateLoad(u, report)
	if !report.Full && (changed || report.Sequence != u.sequence+1) {
		return true
	}
	u.sequence = report.Sequence
	for _, change := range report.Changes {
		s.apply(index, u.epoch, change)
	}
	return false
}

// upstream returns the index and state of an upstream, which it adds if it is
// unknown.
func (s *Shard) upstream(id comfreyworks.InstanceID) (uint32, *upstreamEntry) {
	if index, ok := s.byID[id]; ok {
		return index, s.upstreams[index]
	}
	u := &upstreamEntry{id: id, seed: rendezvous.Seed(string(id))}
	index := s.addUpstream(u)
	s.byID[id] = index
	return index, u
}

// addUpstream returns the index at which it stored a new upstream. If the index
// belonged to a removed upstream, the new one continues with the next epoch, so
// that remaining holdings of the removed one are not attributed to it.
func (s *Shard) addUpstream(u *upstreamEntry) uint32 {
	if last := len(s.freeIndexes) - 1; last >= 0 {
		index := s.freeIndexes[last]
		s.freeIndexes = s.freeIndexes[:last]
		u.epoch = s.upstreams[index].epoch + 1
		s.upstreams[index] = u
		return index
	}
	s.upstreams = append(s.upstreams, u)
	return uint32(len(s.upstreams) - 1)
}

// removeSilent removes the upstreams that have not reported for longer than
// upstreamTTL.
func (s *Shard) removeSilent(now time.Time) {
	for id, index := range s.byID {
		u := s.upstreams[index]
		if now.Sub(u.reported) > upstreamTTL {
			u.epoch++
			delete(s.byID, id)
			s.freeIndexes = append(s.freeIndexes, index)
		}
	}
}

// updateLoad replaces the load of an upstream by that of a report, plus the
// assignments that the report may not include yet.
func (s *Shard) updateLoad(u *upstreamEntry, report comfreyworks.DirectoryReport) {
	now := s.clock.Now()
	u.unavailable = report.Leaving || report.Down
	u.running = report.Running
	u.prefillTime = report.PrefillTime
	u.reported = now
	u.recent = dropBefore(u.recent, now.Add(-reportDelay))
	u.busyUntil = now.Add(time.Duration(report.QueuedTokens) * report.PrefillTime)
	for _, a := range u.recent {
		u.addWork(now, a.cost)
	}
}

// addWork adds a request to the upstream's queue.
func (u *upstreamEntry) addWork(now time.Time, cost time.Duration) {
	if u.busyUntil.Before(now) {
		u.busyUntil = now
	}
	u.busyUntil = u.busyUntil.Add(cost)
	u.running++
}

// reportDelay is how long it may take until a report includes an assignment: the
// time from this shard through the entry to the upstream's sidecar and back.
const reportDelay = 20 * time.Millisecond

// dropBefore removes the assignments before a point in time. It reuses the slice.
func dropBefore(assigned []assignment, limit time.Time) []assignment {
	kept := assigned[:0]
	for _, a := range assigned {
		if !a.at.Before(limit) {
			kept = append(kept, a)
		}
	}
	return kept
}

// apply applies one change of a report.
func (s *Shard) apply(index uint32, e epoch, change comfreyworks.PrefixLevelChange) {
	entry := s.levels[change.Hash]
	if !change.Held {
		s.remove(change.Hash, entry, index)
		return
	}
	if entry == nil {
		entry = &levelEntry{tokens: change.Tokens}
		s.levels[change.Hash] = entry
	}
	entry.set(holding{upstream: index, epoch: e})
}

// remove removes the holding of an upstream from a level, and the level if it has
// no other.
func (s *Shard) remove(hash uint64, entry *levelEntry, index uint32) {
	if entry == nil {
		return
	}
	for i, h := range entry.holdings {
		if h.upstream == index {
			last := len(entry.holdings) - 1
			entry.holdings[i] = entry.holdings[last]
			entry.holdings = entry.holdings[:last]
			break
		}
	}
	if len(entry.holdings) == 0 {
		delete(s.levels, hash)
	}
}

// set adds a holding or replaces the one of the same upstream. It does not replace
// a confirmed holding of the same epoch by an unconfirmed one.
func (e *levelEntry) set(h holding) {
	for i, old := range e.holdings {
		if old.upstream != h.upstream {
			continue
		}
		if old.epoch == h.epoch && old.until == 0 {
			return
		}
		e.holdings[i] = h
		return
	}
	e.holdings = append(e.holdings, h)
}

// Candidates appends each upstream that accepts requests to buffer, with the
// number of tokens of the chain that it holds, and returns the extended buffer.
func (s *Shard) Candidates(chain comfreyworks.PrefixChain, buffer []comfreyworks.Candidate) []comfreyworks.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	affinityKey := AffinityKey(chain)
	cached := s.cachedTokens(chain, now)
	for index, u := range s.upstreams {
		if u.unavailable || now.Sub(u.reported) > reportTTL {
			continue
		}
		buffer = append(buffer, comfreyworks.Candidate{
			Instance:     u.id,
			Score:        rendezvous.Score(u.seed, affinityKey),
			CachedTokens: int(cached[index]),
			Wait:         max(u.busyUntil.Sub(now), 0),
			Running:      u.running,
			PrefillTime:  u.prefillTime,
		})
	}
	return buffer
}

// cachedTokens returns, by index of the upstream, the length of the deepest level
// of the chain that it holds.
func (s *Shard) cachedTokens(chain comfreyworks.PrefixChain, now time.Time) []int32 {
	cached := make([]int32, len(s.upstreams))
	for i := len(chain) - 1; i >= 0; i-- {
		entry := s.levels[chain[i].Hash]
		if entry == nil {
			continue
		}
		entry.sweep(s.upstreams, now.UnixNano())
		for _, h := range entry.holdings {
			if cached[h.upstream] < entry.tokens {
				cached[h.upstream] = entry.tokens
			}
		}
		if len(entry.holdings) == 0 {
			delete(s.levels, chain[i].Hash)
		}
	}
	return cached
}

// sweep removes holdings of older epochs and unconfirmed ones that have expired.
func (e *levelEntry) sweep(upstreams []*upstreamEntry, now int64) {
	kept := e.holdings[:0]
	for _, h := range e.holdings {
		current := h.epoch == upstreams[h.upstream].epoch
		if current && (h.until == 0 || h.until > now) {
			kept = append(kept, h)
		}
	}
	e.holdings = kept
}

// Assign records that a request was sent to an upstream. Its uncached tokens count
// as queued until a report can include them. Its levels count as held until a
// report confirms them or unconfirmedTTL has passed.
func (s *Shard) Assign(id comfreyworks.InstanceID, chain comfreyworks.PrefixChain, uncachedTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, ok := s.byID[id]
	if !ok {
		return
	}
	now := s.clock.Now()
	u := s.upstreams[index]
	cost := time.Duration(uncachedTokens) * u.prefillTime
	u.recent = append(dropBefore(u.recent, now.Add(-reportDelay)), assignment{at: now, cost: cost})
	u.addWork(now, cost)
	until := now.Add(unconfirmedTTL).UnixNano()
	for _, l := range chain {
		entry := s.levels[l.Hash]
		if entry == nil {
			entry = &levelEntry{tokens: int32(l.Tokens)}
			s.levels[l.Hash] = entry
		}
		entry.set(holding{upstream: index, epoch: u.epoch, until: until})
	}
}

// AffinityKey returns the hash that determines a prompt's preferred upstream: that
// of its first level with at least minAffinityTokens, or of its last level if all
// are shorter. It returns zero for an empty chain.
func AffinityKey(chain comfreyworks.PrefixChain) uint64 {
	for _, l := range chain {
		if l.Tokens >= minAffinityTokens {
			return l.Hash
		}
	}
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1].Hash
}

// Sweep removes all holdings that can no longer match and the upstreams that have
// not reported for long, and returns the number of remaining levels. It has to be
// called regularly, because levels that are never looked up again would otherwise
// stay.
func (s *Shard) Sweep() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.removeSilent(now)
	for hash, entry := range s.levels {
		entry.sweep(s.upstreams, now.UnixNano())
		if len(entry.holdings) == 0 {
			delete(s.levels, hash)
		}
	}
	return len(s.levels)
}
