// Package directory keeps one shard of a pool's prefix directory: which
// upstreams hold which levels, and how loaded they are.
//
// Sidecars report gains and losses of levels and their load; the directory
// answers which of a chain's tokens each upstream holds. It also remembers its
// own advice: between two reports an upstream is charged with the work it was
// just sent and credited with the prefixes that the work will leave there.
// Without that, two requests for one new prefix that arrive within a report
// interval would be computed on two upstreams, and a burst would all be sent
// to the upstream that was idle at the last report.
//
// Every level belongs to an epoch of its holder. A new engine incarnation or a
// change of weights starts a new epoch, which empties the holder at once: old
// entries never match again and are swept when they are met.
//
// # Usage
//
//	shard := directory.New(clock)
//	full := shard.Report(report)   // true asks the sender for a full report
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
	// expectationLife is how long an assigned prefix counts as held before a
	// report confirms it.
	expectationLife = 10 * time.Second
	// reportLife is how long an upstream stays a candidate without a report.
	reportLife = 5 * time.Second
	// memberLife is how long an upstream is remembered without a report.
	memberLife = time.Minute
	// homeTokens is the length, in tokens, from which a level is deep enough
	// to give a prompt its home.
	homeTokens = 1024
)

type epoch uint32

// holding is one upstream's claim to one level.
type holding struct {
	member uint32
	epoch  epoch
	// until is the end of an unconfirmed expectation; zero means confirmed.
	until int64
}

type levelEntry struct {
	tokens   int32
	holdings []holding
}

// member is one upstream.
type member struct {
	id          comfreyworks.InstanceID
	seed        uint64
	incarnation comfreyworks.Incarnation
	weights     comfreyworks.WeightsVersion
	epoch       epoch
	sequence    uint64
	closed      bool
	reported    time.Time
	// busyUntil is when the member will have computed all prompts that it is
	// known to have. It moves on with each assignment and is set anew by each
	// report, so that between two reports the queue drains as the engine works.
	busyUntil   time.Time
	running     int
	prefillTime time.Duration
	// recent are assignments that the next report may not contain yet.
	recent []assignment
}

// assignment is work that was sent to a member.
type assignment struct {
	at   time.Time
	cost time.Duration
}

// Shard is one shard of a directory.
type Shard struct {
	clock   comfreyworks.Clock
	mu      sync.Mutex
	members []*member
	// free are the places of members that were forgotten.
	free   []uint32
	byID   map[comfreyworks.InstanceID]uint32
	levels map[uint64]*levelEntry
}

// New returns an empty shard.
func New(clock comfreyworks.Clock) *Shard {
	return &Shard{
		clock:  clock,
		byID:   make(map[comfreyworks.InstanceID]uint32),
		levels: make(map[uint64]*levelEntry),
	}
}

// Len returns the number of levels that the shard knows.
func (s *Shard) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.levels)
}

// Report takes a sidecar's report. It returns true when the shard missed
// something and needs a full report next.
func (s *Shard) Report(report comfreyworks.DirectoryReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, m := s.member(report.Instance)
	changed := m.incarnation != report.Incarnation || m.weights != report.Weights
	if changed || report.Full {
		m.epoch++
		m.incarnation = report.Incarnation
		m.weights = report.Weights
	}
	s.updateLoad(m, report)
	if !report.Full && (changed || report.Sequence != m.sequence+1) {
		return true
	}
	m.sequence = report.Sequence
	for _, change := range report.Changes {
		s.apply(index, m.epoch, change)
	}
	return false
}

func (s *Shard) member(id comfreyworks.InstanceID) (uint32, *member) {
	if index, ok := s.byID[id]; ok {
		return index, s.members[index]
	}
	m := &member{id: id, seed: rendezvous.Seed(string(id))}
	index := s.place(m)
	s.byID[id] = index
	return index, m
}

// place finds a place for a new member. In the place of a forgotten one it
// goes on with that one's epochs, so that holdings which still name the place
// do not become the newcomer's.
func (s *Shard) place(m *member) uint32 {
	if last := len(s.free) - 1; last >= 0 {
		index := s.free[last]
		s.free = s.free[:last]
		m.epoch = s.members[index].epoch + 1
		s.members[index] = m
		return index
	}
	s.members = append(s.members, m)
	return uint32(len(s.members) - 1)
}

// forget gives up the places of members that have been silent for long.
func (s *Shard) forget(now time.Time) {
	for id, index := range s.byID {
		m := s.members[index]
		if now.Sub(m.reported) > memberLife {
			m.epoch++
			delete(s.byID, id)
			s.free = append(s.free, index)
		}
	}
}

func (s *Shard) updateLoad(m *member, report comfreyworks.DirectoryReport) {
	now := s.clock.Now()
	m.closed = report.Leaving || report.Down
	m.running = report.Running
	m.prefillTime = report.PrefillTime
	m.reported = now
	m.recent = dropBefore(m.recent, now.Add(-assignmentDelay))
	m.busyUntil = now.Add(time.Duration(report.QueuedTokens) * report.PrefillTime)
	for _, a := range m.recent {
		m.take(now, a.cost)
	}
}

// take adds work to a member's queue.
func (m *member) take(now time.Time, cost time.Duration) {
	if m.busyUntil.Before(now) {
		m.busyUntil = now
	}
	m.busyUntil = m.busyUntil.Add(cost)
	m.running++
}

// assignmentDelay is how long an assignment may take to show in a report: the
// way from here over the entry to the sidecar and back.
const assignmentDelay = 20 * time.Millisecond

func dropBefore(assigned []assignment, limit time.Time) []assignment {
	kept := assigned[:0]
	for _, a := range assigned {
		if !a.at.Before(limit) {
			kept = append(kept, a)
		}
	}
	return kept
}

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
	entry.set(holding{member: index, epoch: e})
}

func (s *Shard) remove(hash uint64, entry *levelEntry, index uint32) {
	if entry == nil {
		return
	}
	for i, h := range entry.holdings {
		if h.member == index {
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

// set adds a holding or replaces the one of the same member. A confirmed
// holding of the same epoch is not turned back into an expectation.
func (e *levelEntry) set(h holding) {
	for i, old := range e.holdings {
		if old.member != h.member {
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

// Candidates appends to buffer every upstream that takes work, with the tokens
// of the chain that it holds, and returns the extended buffer.
func (s *Shard) Candidates(chain comfreyworks.PrefixChain, buffer []comfreyworks.Candidate) []comfreyworks.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	home := Home(chain)
	cached := s.cachedTokens(chain, now)
	for index, m := range s.members {
		if m.closed || now.Sub(m.reported) > reportLife {
			continue
		}
		buffer = append(buffer, comfreyworks.Candidate{
			Instance:     m.id,
			Score:        rendezvous.Score(m.seed, home),
			CachedTokens: int(cached[index]),
			Wait:         max(m.busyUntil.Sub(now), 0),
			Running:      m.running,
			PrefillTime:  m.prefillTime,
		})
	}
	return buffer
}

// cachedTokens returns for each member the length of the deepest level held.
func (s *Shard) cachedTokens(chain comfreyworks.PrefixChain, now time.Time) []int32 {
	cached := make([]int32, len(s.members))
	for i := len(chain) - 1; i >= 0; i-- {
		entry := s.levels[chain[i].Hash]
		if entry == nil {
			continue
		}
		entry.sweep(s.members, now.UnixNano())
		for _, h := range entry.holdings {
			if cached[h.member] < entry.tokens {
				cached[h.member] = entry.tokens
			}
		}
		if len(entry.holdings) == 0 {
			delete(s.levels, chain[i].Hash)
		}
	}
	return cached
}

// sweep drops holdings of older epochs and expectations that ran out.
func (e *levelEntry) sweep(members []*member, now int64) {
	kept := e.holdings[:0]
	for _, h := range e.holdings {
		current := h.epoch == members[h.member].epoch
		if current && (h.until == 0 || h.until > now) {
			kept = append(kept, h)
		}
	}
	e.holdings = kept
}

// Assign records that a request was sent to an instance: its uncached tokens
// count as queued until a report can contain them, its levels as held until a
// report confirms them or the expectation runs out.
func (s *Shard) Assign(id comfreyworks.InstanceID, chain comfreyworks.PrefixChain, uncachedTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, ok := s.byID[id]
	if !ok {
		return
	}
	now := s.clock.Now()
	m := s.members[index]
	cost := time.Duration(uncachedTokens) * m.prefillTime
	m.recent = append(dropBefore(m.recent, now.Add(-assignmentDelay)), assignment{at: now, cost: cost})
	m.take(now, cost)
	until := now.Add(expectationLife).UnixNano()
	for _, l := range chain {
		entry := s.levels[l.Hash]
		if entry == nil {
			entry = &levelEntry{tokens: int32(l.Tokens)}
			s.levels[l.Hash] = entry
		}
		entry.set(holding{member: index, epoch: m.epoch, until: until})
	}
}

// Home returns the hash that a prompt's home is chosen by: its first level of
// some depth, or the whole prompt if it is short.
func Home(chain comfreyworks.PrefixChain) uint64 {
	for _, l := range chain {
		if l.Tokens >= homeTokens {
			return l.Hash
		}
	}
	if len(chain) == 0 {
		return 0
	}
	return chain[len(chain)-1].Hash
}

// Sweep drops every holding that can no longer match, forgets upstreams that
// have gone and returns the number of levels left. Call it now and then: levels
// that are never asked for again would stay otherwise.
func (s *Shard) Sweep() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.forget(now)
	for hash, entry := range s.levels {
		entry.sweep(s.members, now.UnixNano())
		if len(entry.holdings) == 0 {
			delete(s.levels, hash)
		}
	}
	return len(s.levels)
}
