package balance

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/rendezvous"
	"comfreyworks/internal/state/savedsessions"
)

const (
	// maxGatewaysWithCacheNews is the number of gateways up to which each of them
	// reads the cache changes of every engine. With more, the reads cost more than
	// they save: engines serve only a few readers, and the news arrives after newer
	// weights have emptied the caches.
	maxGatewaysWithCacheNews = 12
	// maxEnginesWithCacheNews is the number of engines of a pool up to which gateways
	// read their cache changes. Each engine takes a connection and a poll a second.
	maxEnginesWithCacheNews = 64
	// minHomes is the number of engines among which a request of a session chooses.
	// The second takes over while the first fails or loads weights, the third while
	// both do.
	minHomes = 3
	// homeIdleWait is the wait up to which an engine counts as idle. While all homes
	// of a session are busier, the session gets twice as many.
	homeIdleWait = 500 * time.Millisecond
	// importPenalty is added to the expected wait of all homes but the first for a
	// session whose prompts can be imported: importing takes little time, but the
	// prompts then occupy the memory of two engines.
	importPenalty = 500 * time.Millisecond
	// recomputeWeight is the cost of prefilling a token that the first home has
	// cached, relative to the time that it takes.
	recomputeWeight = 2.5
	// maxMovePenalty limits what leaving the first home costs.
	maxMovePenalty = 600 * time.Millisecond
	// stalePenalty is added to the expected wait of an engine whose answers lose
	// value because newer weights are declared.
	stalePenalty = 250 * time.Millisecond
)

// UsesCacheNews reports whether the balancer needs to know what the engines of a pool
// have cached. In a large fleet, and as long as the number of gateways is not known,
// sessions have fixed homes instead.
func (b *Balancer) UsesCacheNews(pool comfreyworks.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usesCacheNews(pool)
}

func (b *Balancer) usesCacheNews(pool comfreyworks.Pool) bool {
	return b.gateways != 0 && b.gateways <= maxGatewaysWithCacheNews &&
		len(b.options.Catalog.Upstreams(pool)) <= maxEnginesWithCacheNews
}

// pickHome chooses among the homes of the request's session: the engines with the
// highest rendezvous scores for it. All gateways agree on them without news of the
// caches. Prompt parts that the chosen engine lacks are imported from the
// session's cache store, or from its first home, without knowing whether they
// have them: asking in vain takes about a millisecond.
func (b *Balancer) pickHome(query Query, declared catalog.DeclaredWeights, now time.Time) *Pick {
	view := b.options.Catalog.Pool(query.Pool)
	homes := b.dividedHomes(&view, &query, declared, now)
	if len(homes) == 0 {
		return nil
	}
	session := b.newHomeSession(&query)
	homes = bestHomes(homes)
	best := slices.MinFunc(homes, func(a, b candidate) int {
		return cmp.Compare(a.homeCost(session, homes[0].rank), b.homeCost(session, homes[0].rank))
	})
	return b.newHomePick(&best, query, homes, session, declared)
}

// homeSession is the session of a request in a large fleet.
type homeSession struct {
	query *Query
	saved *savedsessions.Log
	// sharedTokens is the length of the parts that its prompts share.
	sharedTokens int
	// store is the cache store of the session, or nil if there is none or if the
	// shared parts are too short to be saved.
	store *catalog.Store
}

func (b *Balancer) newHomeSession(query *Query) *homeSession {
	s := &homeSession{query: query, saved: b.options.Saved}
	for _, part := range query.sharedParts() {
		s.sharedTokens += part.Tokens
	}
	if s.sharedTokens >= minSaveTokens {
		s.store = b.sessionStore(query.StoreKey)
	}
	return s
}

// key returns the key of the session in the record of saved sessions.
func (s *homeSession) key(weights comfreyworks.WeightsRevision) uint32 {
	parts := s.query.sharedParts()
	return savedsessions.Key(holdings.Salt(s.query.CacheScope, weights), parts[len(parts)-1].ID)
}

// isSaved reports whether the shared parts, as computed with the given weights,
// are in the store.
func (s *homeSession) isSaved(weights comfreyworks.WeightsRevision) bool {
	return s.store != nil && s.saved.Has(s.key(weights))
}

// newHomePick adds the request to the load of the chosen home and returns the
// pick, with the address from which the home imports what it lacks and, if the
// session has not been saved yet, the store to which it saves.
func (b *Balancer) newHomePick(chosen *candidate, query Query, homes []candidate, s *homeSession, declared catalog.DeclaredWeights) *Pick {
	saved := s.isSaved(chosen.weights)
	cached := s.sharedTokens
	if s.store != nil && !saved {
		cached = 0
	}
	pick := b.newPick(chosen, query, len(homes), max(query.Tokens-cached, 0))
	pick.CachedTokens, pick.Home = cached, chosen.rank
	if s.sharedTokens >= minImportTokens {
		pick.ImportFrom = s.importSource(homes, chosen)
	}
	if s.store != nil && !saved && chosen.weights >= declared.Revision {
		pick.SaveTo, pick.session = s.store.Address, s.key(chosen.weights)
	}
	return pick
}

// freeHomes returns the first homes of a session, twice as many as long as none of them is
// free.
func (b *Balancer) freeHomes(view *catalog.PoolView, query *Query, declared catalog.DeclaredWeights, now time.Time) []candidate {
	for n := b.minHomes(query); ; n *= 2 {
		homes := b.homes(view, query, declared, n, now)
		if n >= len(view.Upstreams) || slices.ContainsFunc(homes, candidate.isFreeHome) {
			return homes
		}
	}
}

// homes returns the first n homes of a session that may receive the request.
func (b *Balancer) homes(view *catalog.PoolView, query *Query, declared catalog.DeclaredWeights, n int, now time.Time) []candidate {
	homes := make([]candidate, 0, n)
	for rank, i := range b.rankHomes(view, query.AffinityKey, n) {
		if c, ok := b.newCandidate(&view.Upstreams[i], query, declared, now); ok {
			c.rank = rank
			homes = append(homes, c)
		}
	}
	return homes
}

// highestScores returns the indexes of the n seeds with the highest scores for a
// key, the highest first.
func highestScores(seeds []uint64, key uint64, n int) []int {
	return highest(len(seeds), n, func(i int) uint64 { return rendezvous.Score(seeds[i], key) })
}

// highest returns the indexes of the n highest of count scores, the highest first.
func highest(count, n int, scoreOf func(int) uint64) []int {
	type scored struct {
		score uint64
		index int
	}
	best := make([]scored, 0, n+1)
	for i := range count {
		score := scoreOf(i)
		if len(best) == n && score <= best[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, score, func(s scored, score uint64) int { return cmp.Compare(score, s.score) })
		best = slices.Insert(best, at, scored{score, i})
		best = best[:min(n, len(best))]
	}
	indexes := make([]int, len(best))
	for i := range best {
		indexes[i] = best[i].index
	}
	return indexes
}

// isFreeHome reports whether the candidate can start a prompt soon.
func (c candidate) isFreeHome() bool {
	return c.pressure == "" && !c.full && !c.avoided && !c.settling && c.wait() < homeIdleWait
}

// homeTier ranks the state of the candidate without regard to its weights; lower
// is better.
func (c *candidate) homeTier() int {
	fresh := *c
	fresh.stale = false
	return fresh.tier()
}

// bestHomes returns the homes of the lowest tier, the first home first.
func bestHomes(homes []candidate) []candidate {
	lowest := slices.MinFunc(homes, func(a, b candidate) int { return cmp.Compare(a.homeTier(), b.homeTier()) })
	return slices.DeleteFunc(homes, func(c candidate) bool { return c.homeTier() > lowest.homeTier() })
}

// homeCost is the expected wait of the request, with what it costs to leave the
// first available home, the zone and the newest weights.
func (c *candidate) homeCost(s *homeSession, first int) time.Duration {
	cost := c.wait() + c.blockedTime() + c.runningTime() + c.slowPrefill(max(s.query.Tokens-s.sharedTokens, 0))
	if c.rank != first {
		cost += s.movePenalty(c.weights)
	}
	if c.stale {
		cost += stalePenalty
	}
	if !c.sameZone {
		cost += crossZonePenalty
	}
	return cost
}

// movePenalty is what it costs to leave the first home for one that serves the
// given weights.
func (s *homeSession) movePenalty(weights comfreyworks.WeightsRevision) time.Duration {
	penalty := min(time.Duration(recomputeWeight*float64(s.sharedTokens))*prefillTime, maxMovePenalty)
	if s.isSaved(weights) {
		return min(penalty, importPenalty)
	}
	return penalty
}

// importSource returns the address from which the chosen home imports what it
// lacks: the session's cache store if the session is saved there. Otherwise it is
// the first home, which may have dropped the prompts since, or, if that is the
// chosen one, the store, which may have the parts that other sessions share. The
// result is invalid if there is neither.
func (s *homeSession) importSource(homes []candidate, chosen *candidate) netip.AddrPort {
	if s.isSaved(chosen.weights) {
		return s.store.Address
	}
	for i := range homes {
		c := &homes[i]
		if c.upstream.ID != chosen.upstream.ID && c.weights == chosen.weights && (s.store == nil || c.rank == 0) {
			return c.upstream.Address
		}
	}
	if s.store == nil {
		return netip.AddrPort{}
	}
	return s.store.Address
}

// sessionStore returns the cache store of a session, or nil if no store is
// declared. Each session uses one store, so that the stores together hold as much
// as possible.
func (b *Balancer) sessionStore(key uint64) *catalog.Store {
	stores := b.options.Catalog.Stores()
	if len(stores) == 0 {
		return nil
	}
	best := 0
	for i := range stores {
		if rendezvous.Score(stores[i].Seed, key) > rendezvous.Score(stores[best].Seed, key) {
			best = i
		}
	}
	return &stores[best]
}
