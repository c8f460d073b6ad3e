package balance

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// farPenalty is what an upstream in another availability zone may be faster
	// for to be taken: the way there and back is 2 ms, the rest is for the price
	// of bytes between zones.
	farPenalty = 10 * time.Millisecond
	// firstLatency is assumed of an upstream that has not answered yet.
	firstLatency = 50 * time.Millisecond
	// prefillTime is the time to read one prompt token, and slotTime what each
	// running request adds to the time of a new one; only their ratio matters.
	prefillTime = 25 * time.Microsecond
	slotTime    = 2 * time.Millisecond
	// importShare is the part of the time to read a token that importing it
	// takes.
	importShare = 0.03
	// leastImport is the number of tokens from which on an import pays.
	leastImport = 64
	// freshPeers is the number of other processes up to which each is heard of so
	// often that the idlest engine is known.
	freshPeers = 8
	// leastHomes is the number of engines that serve a session: two would do to
	// spread what is known late, the third is for one that fails or loads.
	leastHomes = 3
	// idleWait is the wait up to which a session keeps to its engines: a prompt
	// that is read elsewhere takes longer to read and the memory of one more.
	idleWait = 500 * time.Millisecond
	// leastSave is the number of tokens from which on a store is used.
	leastSave = 512
)

// candidate is an upstream that may take a request.
type candidate struct {
	upstream *comfreyworks.Upstream
	endpoint *endpoint
	// score ranks the candidates for a session.
	score    uint64
	requests int
	// unread is the number of prompt tokens that are read before this request's.
	unread  int
	latency time.Duration
	weights comfreyworks.WeightsRevision
	near    bool
	// held is what the engine holds of the prompt, importable the most that
	// another one with the same weights does.
	held, importable int
	// expected is what it will hold behind that: nobody holds it yet, and
	// requests for it from all processes come here.
	expected int
	// avoided candidates have failed, full ones have no room, stale ones serve
	// weights that lose the answer's worth.
	avoided, full, stale bool
}

// tier ranks what a candidate's state says; lower is better.
func (c *candidate) tier() int {
	tier := 0
	if c.stale {
		tier++
	}
	if c.full {
		tier += 2
	}
	if c.avoided {
		tier += 4
	}
	return tier
}

// leastTier returns the candidates whose state is best.
func leastTier(candidates []candidate) []candidate {
	var least []candidate
	for i := range candidates {
		switch {
		case len(least) == 0 || candidates[i].tier() < least[0].tier():
			least = append(least[:0:0], candidates[i])
		case candidates[i].tier() == least[0].tier():
			least = append(least, candidates[i])
		}
	}
	return least
}

// homes returns the candidates that serve a session: a few by rendezvous hashing,
// more while all of these are busy, and those that hold most of the prompt or
// are to read what nobody holds. Where there are many processes, what one sends
// is known to the others only later: if each looked for the idlest engine of
// all, all would find the same one. A session on few engines also takes less of
// their memory.
func (b *Balancer) homes(candidates []candidate) []candidate {
	if len(b.peers) <= freshPeers {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	n := leastHomes
	for n < len(candidates) && !slices.ContainsFunc(candidates[:n], candidate.idle) {
		n *= 2
	}
	if n >= len(candidates) {
		return candidates
	}
	most := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.held, b.held) }).held
	kept := slices.Clone(candidates[:n])
	for _, c := range candidates[n:] {
		if c.expected > 0 || (c.held == most && most > kept[0].held) {
			kept = append(kept, c)
		}
	}
	return kept
}

// wait is how long a new prompt waits before it is read.
func (c *candidate) wait() time.Duration { return time.Duration(c.unread) * prefillTime }

// idle reports whether the candidate begins with a new prompt soon.
func (c candidate) idle() bool { return c.wait() < idleWait }

// source is where a prefix can be imported from.
type source struct {
	address netip.AddrPort
	held    int
	// holders is how much each engine and store holds.
	holders map[comfreyworks.InstanceID]int
}

// weigh fills in what the candidates hold, and returns the best source for each
// revision that they serve.
func (b *Balancer) weigh(candidates []candidate, query *Query, now time.Time) map[comfreyworks.WeightsRevision]source {
	sources := make(map[comfreyworks.WeightsRevision]source)
	held := make(map[comfreyworks.WeightsRevision]map[comfreyworks.InstanceID]int)
	for i := range candidates {
		c := &candidates[i]
		if _, ok := held[c.weights]; !ok {
			held[c.weights] = b.options.Holdings.Prefix(holdings.Salt(query.Wall, c.weights), query.Model, query.Parts)
			if s := b.source(query.Pool, held[c.weights], now); s.held > 0 {
				s.holders = held[c.weights]
				sources[c.weights] = s
			}
		}
		c.held = held[c.weights][c.upstream.ID]
		c.importable = sources[c.weights].held
	}
	for weights := range held {
		expect(candidates, query, weights, sources[weights].held)
	}
	return sources
}

// expect makes one of the engines with certain weights the home of the parts
// that nobody holds, so that no two engines read them at the same time. The last
// part is the request's own and has no home.
func expect(candidates []candidate, query *Query, weights comfreyworks.WeightsRevision, known int) {
	start, missing := 0, 0
	var key uint64
	for _, part := range query.shared() {
		if start+part.Tokens > known {
			if missing == 0 {
				key = xxhash.Sum64String(query.Wall + "/" + part.ID)
			}
			missing = start + part.Tokens - known
		}
		start += part.Tokens
	}
	if missing == 0 {
		return
	}
	home := -1
	var highest uint64
	for i := range candidates {
		if candidates[i].weights != weights {
			continue
		}
		if score := rendezvous.Score(candidates[i].endpoint.seed, key); home < 0 || score > highest {
			home, highest = i, score
		}
	}
	candidates[home].expected = missing
}

// source returns the engine that holds most, of those in this zone if several
// do.
func (b *Balancer) source(pool comfreyworks.Pool, held map[comfreyworks.InstanceID]int, now time.Time) source {
	var best source
	near := false
	for _, upstream := range b.options.Catalog.Upstreams(pool) {
		n := held[upstream.ID]
		if n == 0 || n < best.held || (n == best.held && near) || b.endpointAvoided(upstream.ID, now) {
			continue
		}
		best = source{address: upstream.Address, held: n}
		near = upstream.Zone == b.options.Zone
	}
	for _, store := range b.options.Catalog.Stores() {
		// An engine's link is faster than a store's, which all engines share.
		if n := held[store.ID]; n > best.held+leastSave {
			best = source{address: store.Address, held: n}
		}
	}
	return best
}

// store returns where the shared parts of a prompt are kept beyond the memory of
// one engine, if much of them is not there yet. Each session has its store, so
// that together they hold as much as they can.
func (b *Balancer) store(query *Query, holders map[comfreyworks.InstanceID]int) netip.AddrPort {
	stores := b.options.Catalog.Stores()
	if len(stores) == 0 {
		return netip.AddrPort{}
	}
	kept := slices.MaxFunc(stores, func(a, b catalog.Store) int {
		return cmp.Compare(rendezvous.Score(a.Seed, query.Affinity), rendezvous.Score(b.Seed, query.Affinity))
	})
	missing := -holders[kept.ID]
	for _, part := range query.shared() {
		missing += part.Tokens
	}
	if missing < leastSave {
		return netip.AddrPort{}
	}
	return kept.Address
}

func (b *Balancer) endpointAvoided(id comfreyworks.InstanceID, now time.Time) bool {
	e, ok := b.endpoints[id]
	return ok && now.Before(e.avoidUntil)
}

// placerCandidates puts the candidates into the placer's terms.
func placerCandidates(candidates []candidate) []comfreyworks.Candidate {
	placed := make([]comfreyworks.Candidate, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		cached := c.held
		if c.importable > c.held {
			cached += int((1 - importShare) * float64(c.importable-c.held))
		}
		placed[i] = comfreyworks.Candidate{
			Instance: c.upstream.ID, Score: c.score, CachedTokens: cached + c.expected,
			Wait:    c.wait() + time.Duration(c.requests)*slotTime,
			Running: c.requests, PrefillTime: prefillTime,
		}
		if !c.near {
			placed[i].Wait += farPenalty
		}
	}
	return placed
}

// chooseIdle returns the candidate with the shortest expected time.
func chooseIdle(candidates []candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].expectedTime() < candidates[best].expectedTime() {
			best = i
		}
	}
	return best
}

// expectedTime is the time that the candidate will take, for comparison.
func (c *candidate) expectedTime() time.Duration {
	latency := c.latency
	if latency == 0 {
		latency = firstLatency
	}
	expected := latency * time.Duration(c.requests+1)
	if !c.near {
		expected += farPenalty
	}
	return expected
}
