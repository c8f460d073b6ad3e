package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/partition"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/meter"
)

// maxSpilled is the number of engines for long prompts at which a gateway looks for an idle
// one for another request.
const maxSpilled = 2 * minHomes

const (
	// crowdedSlots is the part of its slots from which an engine counts as crowded: requests
	// of other gateways that are not reported yet may take the rest.
	crowdedSlots = 0.75
	// idleSlots is the part of its slots up to which an engine for long prompts takes streams.
	// Long prompts fill the memory of an engine with few requests.
	idleSlots = 0.25
)

// poolDivision divides the engines of a pool between long prompts and other requests.
type poolDivision struct {
	*partition.Separation
	// gap is the smallest permitted gap of the pool's streams; zero if no route permits
	// one. cacheTokens is the declared memory of an engine.
	gap         time.Duration
	cacheTokens int
	// groups holds the group of each engine that was listed at the last update, which was
	// at updatedAt; nil while all engines serve both kinds.
	groups    map[comfreyworks.InstanceID]partition.Group
	updatedAt time.Time
	// kinds holds, for each kind, the engines of a view that serve it, and others those
	// that serve only the other kind. They apply to the view whose upstreams are listed.
	kinds, others [partition.NumKinds]catalog.PoolView
	listed        []comfreyworks.Upstream
}

// division returns the division of a pool, updated if that is due.
func (b *Balancer) division(pool comfreyworks.Pool, now time.Time) *poolDivision {
	d, ok := b.divided[pool]
	if !ok {
		d = &poolDivision{Separation: partition.New(string(pool))}
		b.divided[pool] = d
	}
	if d.updatedAt.IsZero() || now.Sub(d.updatedAt) >= partition.UpdateInterval {
		d.updatedAt = now
		b.updateDivision(d, pool, now)
	}
	return d
}

// updateDivision updates the objectives and the groups of a pool's engines.
func (b *Balancer) updateDivision(d *poolDivision, pool comfreyworks.Pool, now time.Time) {
	d.gap, d.cacheTokens = b.streamObjective(pool)
	if d.gap == 0 {
		d.groups = nil
		return
	}
	view := b.options.Catalog.Pool(pool)
	speeds := b.options.Pace.Speeds()
	described := make([]partition.Engine, len(view.Upstreams))
	for i := range view.Upstreams {
		upstream := &view.Upstreams[i]
		described[i] = partition.Engine{Seed: view.Seeds[i], Speed: speeds.Of(upstream).Prefill, Usable: b.isUsable(upstream, now)}
	}
	wasActive, load := d.Active(), b.partitionLoad(pool, now)
	d.Update(now, &load, described)
	if d.Active() != wasActive {
		b.options.Logger.Info("separation of long prompts from other requests changed",
			zap.String("pool", string(pool)), zap.Bool("separated", d.Active()), zap.Float64("share-for-long", d.Share()),
			zap.Float64("engines-needed-for-long", load.Demand[partition.Long].EngineTime),
			zap.Float64("engines-needed-for-others", load.Demand[partition.Other].EngineTime),
			zap.Float64("missed", load.Missed), zap.Float64("streams", load.Streams))
	}
	if !d.Separated() {
		delete(b.demands.shares, pool)
		d.groups, d.listed = nil, nil
		d.kinds, d.others = [partition.NumKinds]catalog.PoolView{}, [partition.NumKinds]catalog.PoolView{}
		return
	}
	b.demands.shares[pool] = int(math.Round(1000 * d.Share()))
	groups := make(map[comfreyworks.InstanceID]partition.Group, len(view.Upstreams))
	for i, group := range d.Groups(described) {
		groups[view.Upstreams[i].ID] = group
	}
	if !maps.Equal(groups, d.groups) {
		d.groups, d.listed = groups, nil
	}
}

// streamObjective returns the smallest gap between two events that a route of the pool
// permits and the declared memory of the pool's engines; zero if there is none.
func (b *Balancer) streamObjective(pool comfreyworks.Pool) (gap time.Duration, cacheTokens int) {
	table, _ := b.options.Catalog.Routing()
	if table == nil {
		return 0, 0
	}
	declared := table.Declared()
	for i := range declared.Routes {
		route := &declared.Routes[i]
		if route.Kind != comfreyworks.RouteStream || route.MaxEventGap <= 0 || (gap != 0 && gap <= route.MaxEventGap) {
			continue
		}
		if slices.ContainsFunc(route.Pools, func(w comfreyworks.PoolWeight) bool { return w.Pool == pool }) {
			gap = route.MaxEventGap
		}
	}
	for i := range declared.Pools {
		if declared.Pools[i].Name == pool {
			cacheTokens = declared.Pools[i].CacheTokens
		}
	}
	return gap, cacheTokens
}

// partitionLoad returns the load of a pool. Without reports of peers, they count as having
// measured the same as this gateway.
func (b *Balancer) partitionLoad(pool comfreyworks.Pool, now time.Time) partition.Load {
	sum := b.demands.sum(now, func(comfreyworks.InstanceID) bool { return true })[pool]
	gateways := 1.0
	if len(b.demands.reports) == 0 {
		gateways = float64(max(b.gateways, 1))
	}
	demand := func(time, priority int) partition.Demand {
		return partition.Demand{EngineTime: gateways * float64(time) / 1e6, Priority: float64(priority) / float64(max(time, 1))}
	}
	judged := func(count int) float64 { return float64(count) / 1000 }
	meanShare := 0.0
	if sum.Separated > 0 {
		meanShare = float64(sum.Shares) / float64(1000*sum.Separated)
	}
	return partition.Load{
		MeanShare: meanShare,
		Demand: [partition.NumKinds]partition.Demand{
			partition.Long: demand(sum.LongTime, sum.LongPriority), partition.Other: demand(sum.OtherTime, sum.OtherPriority),
		},
		Streams: judged(sum.Streams), Missed: judged(sum.Missed), LongStreams: judged(sum.LongStreams), LongMissed: judged(sum.LongMissed),
	}
}

// permittedGap returns the permitted gap of the streams of an upstream's pool, or zero if
// there is none or if no request to the pool needed it yet.
func (b *Balancer) permittedGap(id comfreyworks.InstanceID) time.Duration {
	e := b.endpoints[id]
	if len(e.running.streams) < minSilentStreams {
		return 0
	}
	for p := range e.running.streams {
		if d := b.divided[p.query.Pool]; d != nil {
			return d.gap
		}
	}
	return 0
}

// isUsable reports whether an upstream may receive requests now, as far as this gateway
// knows.
func (b *Balancer) isUsable(upstream *comfreyworks.Upstream, now time.Time) bool {
	return upstream.State == comfreyworks.InstanceLive && !b.leaving.has(upstream) && !b.isAvoided(upstream.ID, now) && !b.isSilent(upstream.ID, now)
}

func (b *Balancer) isSilent(id comfreyworks.InstanceID, now time.Time) bool {
	e, ok := b.endpoints[id]
	return ok && e.isSilent(b.permittedGap(id), now)
}

// countDemand adds the demand of a request, unless it was counted when it was sent before,
// and returns its kind.
func (b *Balancer) countDemand(query *Query, upstream *comfreyworks.Upstream, prefillTokens int, now time.Time) partition.Kind {
	if query.Model == "" {
		return partition.Other
	}
	d := b.division(query.Pool, now)
	kind := d.kindOf(query)
	if d.gap == 0 || len(query.Exclude) > 0 || query.Only != nil || query.Returning {
		return kind
	}
	slots := cmp.Or(upstream.Slots, defaultSlots)
	if tokens := query.Tokens + query.OutputTokens; d.cacheTokens > 0 && tokens > 0 {
		slots = max(min(slots, d.cacheTokens/tokens), 1)
	}
	needed := time.Duration(prefillTokens)*prefillTime + time.Duration(query.OutputTokens)*stepTime/time.Duration(slots)
	measured := b.demands.of(query.Pool, now)
	measured.time[kind] += float64(needed.Microseconds())
	measured.priority[kind] += float64(needed.Microseconds()) * float64(min(max(query.RoutePriority, 0), comfreyworks.NumPriorities-1))
	return kind
}

// kindOf returns the kind of a request. The whole prompt counts: an engine that is not one
// of the session's homes would have to prefill all of it.
func (d *poolDivision) kindOf(query *Query) partition.Kind {
	if partition.IsLong(time.Duration(query.Tokens)*prefillTime, d.gap) {
		return partition.Long
	}
	return partition.Other
}

// serves reports whether an engine serves a kind of requests. Engines that were not listed
// at the last update serve both.
func (d *poolDivision) serves(id comfreyworks.InstanceID, kind partition.Kind) bool {
	group, ok := d.groups[id]
	return !ok || group.Serves(kind)
}

// JudgeStream records whether a stream keeps the times that its route declares. Only the
// first call counts.
func (p *Pick) JudgeStream(missed bool) {
	if p.query.Model == "" {
		return
	}
	now := p.balancer.options.Clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if p.judged {
		return
	}
	p.judged = true
	measured := p.balancer.demands.of(p.query.Pool, now)
	measured.streams[p.kind]++
	labels := meter.Labels{Class: comfreyworks.Class(p.query.Pool)}
	p.balancer.options.Meter.Add("comfrey_streams_judged_total", labels, 1)
	if missed {
		p.balancer.options.Meter.Add("comfrey_streams_missed_total", labels, 1)
		measured.missed[p.kind]++
	}
}

// dividedHomes returns the homes of a session among the engines that serve the kind of the
// request. If none of these is usable, all engines may be homes. If none of them is free, a
// request without a long prompt may use idle ones of the others.
func (b *Balancer) dividedHomes(view *catalog.PoolView, query *Query, declared catalog.DeclaredWeights, now time.Time) []candidate {
	d := b.division(query.Pool, now)
	if d.groups == nil {
		return b.freeHomes(view, query, declared, now)
	}
	d.divide(view)
	kind := d.kindOf(query)
	homes := b.freeHomes(&d.kinds[kind], query, declared, now)
	if !slices.ContainsFunc(homes, candidate.isUsable) {
		return b.freeHomes(view, query, declared, now)
	}
	if kind == partition.Long || slices.ContainsFunc(homes, candidate.isUncrowded) {
		return homes
	}
	for _, c := range b.homes(&d.others[kind], query, declared, maxSpilled, now) {
		if c.isIdle() {
			c.rank += len(homes)
			homes = append(homes, c)
		}
	}
	return homes
}

// divide divides a view, unless that was done since it or the groups changed.
func (d *poolDivision) divide(view *catalog.PoolView) {
	if len(view.Upstreams) == 0 || (len(d.listed) == len(view.Upstreams) && &d.listed[0] == &view.Upstreams[0]) {
		return
	}
	d.listed = view.Upstreams
	for kind := range partition.NumKinds {
		d.kinds[kind], d.others[kind] = catalog.PoolView{}, catalog.PoolView{}
		for i := range view.Upstreams {
			part := &d.others[kind]
			if d.serves(view.Upstreams[i].ID, kind) {
				part = &d.kinds[kind]
			}
			part.Upstreams = append(part.Upstreams, view.Upstreams[i])
			part.Seeds = append(part.Seeds, view.Seeds[i])
		}
	}
}

// dividedTier is like dividedHomes for candidates in a small fleet.
func (b *Balancer) dividedTier(tier []candidate, query *Query, now time.Time) []candidate {
	d := b.division(query.Pool, now)
	if d.groups == nil {
		return tier
	}
	kind := d.kindOf(query)
	var own, idle []candidate
	for _, c := range tier {
		switch {
		case d.serves(c.upstream.ID, kind):
			own = append(own, c)
		case kind == partition.Other && c.isIdle():
			idle = append(idle, c)
		}
	}
	switch {
	case !slices.ContainsFunc(own, candidate.isUsable):
		return tier
	case !slices.ContainsFunc(own, candidate.isUncrowded):
		return append(own, idle...)
	default:
		return own
	}
}

// isUsable reports whether the candidate has not failed.
func (c candidate) isUsable() bool { return !c.avoided && !c.settling }

// isUncrowded reports whether the candidate can start a prompt soon and has slots left.
func (c candidate) isUncrowded() bool {
	return c.isFreeHome(0) && float64(c.requests) < crowdedSlots*float64(c.slots())
}

// isIdle reports whether the candidate has little to prefill and most of its slots free.
func (c candidate) isIdle() bool {
	return c.isFreeHome(0) && c.tokensAhead <= idleTokens && float64(c.requests) <= idleSlots*float64(c.slots())
}

// slots returns the number of requests that the engine runs concurrently.
func (c *candidate) slots() int { return cmp.Or(c.upstream.Slots, defaultSlots) }
