package balance

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// maxGatewaysWithCacheNews is the number of gateways up to which each of them
	// reads the cache changes of every engine. With more, the reads cost more than
	// they save: engines serve only a few readers, and the news arrives after newer
	// weights have emptied the caches.
	maxGatewaysWithCacheNews = 12
	// minHomes is the number of engines among which a request of a session chooses.
	// The second takes over while the first fails or loads weights, the third while
	// both do.
	minHomes = 3
	// homeIdleWait is the wait up to which an engine counts as idle. While all homes
	// of a session are busier, the session gets twice as many.
	homeIdleWait = 200 * time.Millisecond
	// secondHomePenalty is added to the expected wait of all homes but the first,
	// which has most of the session's prompts cached.
	secondHomePenalty = 80 * time.Millisecond
	// stalePenalty is added to the expected wait of an engine whose answers lose
	// value because newer weights are declared.
	stalePenalty = 250 * time.Millisecond
)

// UsesCacheNews reports whether the balancer needs to know what engines have
// cached. In a large fleet, sessions have fixed homes instead.
func (b *Balancer) UsesCacheNews() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usesCacheNews()
}

func (b *Balancer) usesCacheNews() bool { return b.gateways <= maxGatewaysWithCacheNews }

// pickHome chooses among the homes of the request's session: the engines with the
// highest rendezvous scores for it. All gateways agree on them without news of the
// caches. Prompt parts that the chosen engine lacks are imported from the
// session's cache store, or from its first home, without knowing whether they
// have them: asking in vain takes about a millisecond.
func (b *Balancer) pickHome(query Query, declared catalog.DeclaredWeights, now time.Time) *Pick {
	view := b.options.Catalog.Pool(query.Pool)
	var homes []candidate
	for n := minHomes; ; n *= 2 {
		homes = b.homes(&view, &query, declared, n, now)
		if n >= len(view.Upstreams) || slices.ContainsFunc(homes, candidate.isFreeHome) {
			break
		}
	}
	if len(homes) == 0 {
		return nil
	}
	best := slices.MinFunc(homes, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.homeTier(), b.homeTier()), cmp.Compare(a.homeCost(), b.homeCost()))
	})
	shared := 0
	for _, part := range query.sharedParts() {
		shared += part.Tokens
	}
	pick := b.newPick(&best, query, len(homes), max(query.Tokens-shared, 0))
	pick.ImportFrom = b.chooseImport(&query, homes, &best)
	if best.weights == declared.Revision {
		if store := b.sessionStore(query.AffinityKey); store != nil {
			pick.SaveTo = store.Address
		}
	}
	return pick
}

// homes returns the first n homes of a session that may receive the request.
func (b *Balancer) homes(view *catalog.PoolView, query *Query, declared catalog.DeclaredWeights, n int, now time.Time) []candidate {
	homes := make([]candidate, 0, n)
	for rank, i := range highestScores(view.Seeds, query.AffinityKey, n) {
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
	type scored struct {
		score uint64
		index int
	}
	best := make([]scored, 0, n+1)
	for i, seed := range seeds {
		score := rendezvous.Score(seed, key)
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
func (c candidate) isFreeHome() bool { return !c.full && !c.avoided && c.wait() < homeIdleWait }

// homeTier ranks the state of the candidate without regard to its weights; lower
// is better.
func (c *candidate) homeTier() int {
	fresh := *c
	fresh.stale = false
	return fresh.tier()
}

// homeCost is the expected wait of the request, with what it costs to leave the
// first home, the zone and the newest weights.
func (c *candidate) homeCost() time.Duration {
	cost := c.wait() + time.Duration(c.requests)*runningRequestTime
	if c.rank > 0 {
		cost += secondHomePenalty
	}
	if c.stale {
		cost += stalePenalty
	}
	if !c.sameZone {
		cost += crossZonePenalty
	}
	return cost
}

// chooseImport returns the address from which the chosen home imports what it
// lacks: the session's cache store or, if there is none, another home that serves
// the same weights. The result is invalid if there is neither.
func (b *Balancer) chooseImport(query *Query, homes []candidate, chosen *candidate) netip.AddrPort {
	if store := b.sessionStore(query.AffinityKey); store != nil {
		return store.Address
	}
	for i := range homes {
		c := &homes[i]
		if c.upstream.ID != chosen.upstream.ID && c.weights == chosen.weights && !c.avoided {
			return c.upstream.Address
		}
	}
	return netip.AddrPort{}
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
