package balance

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
	"comfreyworks/internal/state/enginepace"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// crossZonePenalty is added to the expected time of an upstream in another
	// availability zone. The round trip takes 2 ms; the rest accounts for the
	// price of traffic between zones.
	crossZonePenalty = 10 * time.Millisecond
	// initialLatency is assumed for an upstream that has not answered yet.
	initialLatency = 50 * time.Millisecond
	// prefillTime is the assumed time to prefill one prompt token, and
	// runningRequestTime the time that each running request adds to a new one.
	// For comparing the load of engines only their ratio matters.
	prefillTime        = 25 * time.Microsecond
	runningRequestTime = 2 * time.Millisecond
	// importTimeRatio is the time to import a token relative to the time to
	// prefill it.
	importTimeRatio = 0.03
	// minImportTokens is the minimum number of additional tokens for which an
	// import is worthwhile.
	minImportTokens = 64
	// maxPeersWithoutSubset is the maximum number of peers for which load reports
	// arrive often enough to know the least loaded engine. With more, each session
	// is limited to a subset of the engines.
	maxPeersWithoutSubset = 8
	// minSubsetSize is the minimum number of engines that serve a session. Two
	// would suffice to spread requests despite outdated load reports; the third
	// replaces an engine that fails or loads weights.
	minSubsetSize = 3
	// maxIdleWait is the wait up to which an engine counts as idle and a session
	// stays on its subset. On another engine the prompt takes longer to prefill
	// and occupies cache memory once more.
	maxIdleWait = 500 * time.Millisecond
	// minSaveTokens is the minimum number of additional tokens for which copying
	// to or from a cache store is worthwhile.
	minSaveTokens = 512
)

// candidate is an upstream that may receive a request.
type candidate struct {
	upstream *comfreyworks.Upstream
	endpoint *endpoint
	// score ranks the candidates for a session. rank is the position among the homes
	// of a session, starting at zero.
	score    uint64
	rank     int
	requests int
	// tokensAhead is the number of prompt tokens that are prefilled before this
	// request.
	tokensAhead int
	// tokensBehind is the number of prompt tokens of less urgent requests, as far as
	// they count.
	tokensBehind int
	latency      time.Duration
	// isProbe means that the request is to measure the latency anew.
	isProbe  bool
	weights  comfreyworks.WeightsRevision
	sameZone bool
	// cachedTokens is the number of prompt tokens that the engine has cached.
	// importableTokens is the largest number that an engine or cache store has
	// cached for the same weights.
	cachedTokens, importableTokens int
	// expectedTokens is the number of further prompt tokens that are cached
	// nowhere yet and that this engine will cache, because all gateways send
	// requests for them here.
	expectedTokens int
	// pace is how fast the engine is; the zero value means as fast as all others.
	pace enginepace.Pace
	// avoided candidates have failed, full ones have no free capacity, stale ones
	// serve weights whose answers lose value. settling ones run a release that other
	// gateways may not know yet.
	avoided, full, stale, settling bool
	// pressure is why the engine must not receive the request while streams miss their
	// times; empty if it may.
	pressure PressureReason
}

// tier ranks the state of the candidate; lower is better.
func (c *candidate) tier() int {
	tier := 0
	if c.stale {
		tier++
	}
	if c.pressure != "" {
		tier += 2
	}
	if c.full {
		tier += 4
	}
	if c.avoided {
		tier += 8
	}
	if c.settling {
		tier += 16
	}
	return tier
}

// bestTier returns the candidates of the lowest tier.
func bestTier(candidates []candidate) []candidate {
	var best []candidate
	for i := range candidates {
		switch {
		case len(best) == 0 || candidates[i].tier() < best[0].tier():
			best = append(best[:0:0], candidates[i])
		case candidates[i].tier() == best[0].tier():
			best = append(best, candidates[i])
		}
	}
	return best
}

// sessionSubset returns the candidates that serve a session: a few engines by
// rendezvous hashing, more while all of these are busy, and in addition the
// engines that have most of the prompt cached or are expected to cache the parts
// that are cached nowhere. With many gateways, load reports arrive late: if every
// gateway chose the least loaded of all engines, all of them would choose the
// same one. A session on few engines also occupies less cache memory.
func (b *Balancer) sessionSubset(candidates []candidate) []candidate {
	if b.gateways-1 <= maxPeersWithoutSubset {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	n := minSubsetSize
	for n < len(candidates) && !slices.ContainsFunc(candidates[:n], candidate.idle) {
		n *= 2
	}
	if n >= len(candidates) {
		return candidates
	}
	mostCached := slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cachedTokens, b.cachedTokens) }).cachedTokens
	subset := slices.Clone(candidates[:n])
	for _, c := range candidates[n:] {
		if c.expectedTokens > 0 || (c.cachedTokens == mostCached && mostCached > subset[0].cachedTokens) {
			subset = append(subset, c)
		}
	}
	return subset
}

// idle reports whether the candidate can start a new prompt soon.
func (c candidate) idle() bool { return c.wait() < maxIdleWait }

// importSource is an engine or cache store from which a prefix can be imported.
type importSource struct {
	address      netip.AddrPort
	cachedTokens int
	// cachedBy is the number of prompt tokens that each engine and cache store has
	// cached.
	cachedBy map[comfreyworks.InstanceID]int
}

// addCacheState sets the cached, importable and expected tokens of the candidates
// and returns the best import source for each revision that they serve.
func (b *Balancer) addCacheState(candidates []candidate, query *Query, now time.Time) map[comfreyworks.WeightsRevision]importSource {
	sources := make(map[comfreyworks.WeightsRevision]importSource)
	cached := make(map[comfreyworks.WeightsRevision]map[comfreyworks.InstanceID]int)
	for i := range candidates {
		c := &candidates[i]
		if _, ok := cached[c.weights]; !ok {
			cached[c.weights] = b.options.Holdings.PrefixTokens(holdings.Salt(query.CacheScope, c.weights), query.Model, query.Parts)
			if s := b.bestImportSource(query.Pool, cached[c.weights], now); s.cachedTokens > 0 {
				s.cachedBy = cached[c.weights]
				sources[c.weights] = s
			}
		}
		c.cachedTokens = cached[c.weights][c.upstream.ID]
		c.importableTokens = sources[c.weights].cachedTokens
	}
	for weights := range cached {
		assignExpectedTokens(candidates, query, weights, sources[weights].cachedTokens)
	}
	return sources
}

// assignExpectedTokens assigns the parts that are cached nowhere to one of the
// engines that serve the given weights, so that two engines do not prefill them
// at the same time. The last part is specific to the request and is not assigned.
func assignExpectedTokens(candidates []candidate, query *Query, weights comfreyworks.WeightsRevision, cached int) {
	start, missing := 0, 0
	var key uint64
	for _, part := range query.sharedParts() {
		if start+part.Tokens > cached {
			if missing == 0 {
				key = xxhash.Sum64String(query.CacheScope + "/" + part.ID)
			}
			missing = start + part.Tokens - cached
		}
		start += part.Tokens
	}
	if missing == 0 {
		return
	}
	owner := -1
	var highest uint64
	for i := range candidates {
		if candidates[i].weights != weights {
			continue
		}
		if score := rendezvous.Score(candidates[i].endpoint.seed, key); owner < 0 || score > highest {
			owner, highest = i, score
		}
	}
	candidates[owner].expectedTokens = missing
}

// bestImportSource returns the engine or cache store that has the most tokens
// cached. Between engines with the same number it prefers one in this zone, and
// it prefers an engine to a store that has hardly more.
func (b *Balancer) bestImportSource(pool comfreyworks.Pool, cached map[comfreyworks.InstanceID]int, now time.Time) importSource {
	var best importSource
	bestSameZone := false
	for _, upstream := range b.options.Catalog.Upstreams(pool) {
		n := cached[upstream.ID]
		if n == 0 || n < best.cachedTokens || (n == best.cachedTokens && bestSameZone) || b.isAvoided(upstream.ID, now) || b.leaving.has(&upstream) {
			continue
		}
		best = importSource{address: upstream.Address, cachedTokens: n}
		bestSameZone = upstream.Zone == b.options.Zone
	}
	for _, store := range b.options.Catalog.Stores() {
		// An engine's link is faster than that of a store, which all engines
		// share.
		if n := cached[store.ID]; n > best.cachedTokens+minSaveTokens {
			best = importSource{address: store.Address, cachedTokens: n}
		}
	}
	return best
}

// chooseStore returns the cache store to which the shared parts of a prompt are
// to be copied, or an invalid address if the store lacks fewer than minSaveTokens
// of their tokens.
func (b *Balancer) chooseStore(query *Query, cachedBy map[comfreyworks.InstanceID]int) netip.AddrPort {
	store := b.sessionStore(query.AffinityKey)
	if store == nil {
		return netip.AddrPort{}
	}
	missing := -cachedBy[store.ID]
	for _, part := range query.sharedParts() {
		missing += part.Tokens
	}
	if missing < minSaveTokens {
		return netip.AddrPort{}
	}
	return store.Address
}

// isAvoided reports whether nothing is to be imported from an upstream because it
// has failed or is closed.
func (b *Balancer) isAvoided(id comfreyworks.InstanceID, now time.Time) bool {
	e, ok := b.endpoints[id]
	return ok && (now.Before(e.avoidUntil) || e.closure.closed(now))
}

// policyCandidates converts the candidates for the placement policy.
func policyCandidates(candidates []candidate) []comfreyworks.Candidate {
	converted := make([]comfreyworks.Candidate, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		cached := c.cachedTokens
		if c.importableTokens > c.cachedTokens {
			cached += int((1 - importTimeRatio) * float64(c.importableTokens-c.cachedTokens))
		}
		converted[i] = comfreyworks.Candidate{
			Instance: c.upstream.ID, Score: c.score, CachedTokens: cached + c.expectedTokens,
			Wait:    c.wait() + c.blockedTime() + c.runningTime(),
			Running: c.requests, PrefillTime: scaled(prefillTime, c.pace.Prefill),
		}
		if !c.sameZone {
			converted[i].Wait += crossZonePenalty
		}
	}
	return converted
}

// chooseFastest returns the index of the candidate with the shortest expected
// time. A slow candidate whose latency may be measured anew counts as hardly slower
// than the fastest one.
func chooseFastest(candidates []candidate, now time.Time) int {
	fastest := candidates[0].knownLatency()
	for i := range candidates {
		fastest = min(fastest, candidates[i].knownLatency())
	}
	limit := time.Duration(probeLatencyFactor * float64(fastest))
	best := 0
	for i := range candidates {
		if c := &candidates[i]; c.latency > limit && c.endpoint.mayProbe(now) {
			c.latency, c.isProbe = limit, true
		}
		if candidates[i].expectedTime() < candidates[best].expectedTime() {
			best = i
		}
	}
	return best
}

// expectedTime estimates the time until the candidate answers. It is accurate
// enough only to compare candidates.
func (c *candidate) expectedTime() time.Duration {
	expected := c.knownLatency() * time.Duration(c.requests+1)
	if !c.sameZone {
		expected += crossZonePenalty
	}
	return expected
}

// knownLatency returns the latency, or initialLatency if it is unknown.
func (c *candidate) knownLatency() time.Duration { return cmp.Or(c.latency, initialLatency) }
