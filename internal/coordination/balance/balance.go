// Package balance chooses the upstream for a request. It uses what this gateway
// knows of each upstream: the requests in progress there, failures and refusals,
// the weights that it serves and the parts of prompts that it has cached.
//
// For engines a placement policy weighs the queue against the number of tokens
// to prefill. Tokens that can be imported from another engine or a cache store
// count as almost cached. Parts that are cached nowhere are assigned to one
// engine by rendezvous hashing, so that all gateways send the first requests for
// them to the same engine.
//
// In a large fleet no gateway knows what engines have cached. There each session
// has a few homes among the engines, on which all gateways agree.
//
// While streams miss the times that their routes declare, long prompts and other requests
// use different engines, see package partition.
//
// # Usage
//
//	b := balance.New(balance.Options{Catalog: c, Holdings: index, Policy: policy, Clock: clock, Zone: zone})
//	pick := b.Pick(query) // nil: no suitable upstream
//	... send to pick.Upstream, importing from pick.ImportFrom ...
//	pick.AnswerStarted()
//	pick.Done(balance.Result{Outcome: balance.Answered, Elapsed: elapsed})
package balance

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/partition"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/enginepace"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/rendezvous"
	"comfreyworks/internal/state/savedsessions"
)

const (
	// baseAvoidTime is how long an upstream is avoided after a failure. It
	// doubles with each further failure up to maxAvoidTime.
	baseAvoidTime = 200 * time.Millisecond
	maxAvoidTime  = 3200 * time.Millisecond
	// minFailuresToAvoid is the number of consecutive failures after which a
	// reachable upstream is avoided. A single failure says little about the next
	// request.
	minFailuresToAvoid = 3
	// fullDuration is how long an upstream counts as full after it refused a
	// request for lack of capacity. Queues shrink within the time of a few
	// requests.
	fullDuration = 60 * time.Millisecond
	// loadingDuration is how long an upstream counts as loading weights after it
	// refused a request while newer weights are declared, or because it serves
	// weights that it did not name.
	loadingDuration = 250 * time.Millisecond
	// minUnreachableReports is the number of peers that could not reach an upstream
	// from which it is avoided, unless it answered this gateway within
	// reportedUnreachableAfter. One peer may itself be cut off.
	minUnreachableReports    = 2
	reportedUnreachableAfter = time.Second
	// latencyWeight is the weight of the latest answer in the moving average of
	// the latency.
	latencyWeight = 0.1
)

// Options configures a Balancer.
type Options struct {
	Catalog  *catalog.Catalog
	Holdings *holdings.Index
	// Saved records the sessions that are in a cache store; it is used in large
	// fleets.
	Saved *savedsessions.Log
	// Pace knows how fast engines are; nil means a log of its own.
	Pace *enginepace.Log
	// Policy chooses among the engines that may receive a prompt.
	Policy comfreyworks.PlacementPolicy
	Clock  comfreyworks.Clock
	Zone   comfreyworks.Zone
	// Logger logs what upstreams say about themselves; it may be nil.
	Logger *zap.Logger
	// Meter may be nil.
	Meter *meter.Meter
	// SupersededWeights is how long superseded weights may generate answers; zero
	// means without limit.
	SupersededWeights time.Duration
}

// Balancer chooses upstreams. It is safe for concurrent use.
type Balancer struct {
	options Options

	mu        sync.Mutex
	endpoints map[comfreyworks.InstanceID]*endpoint
	peers     peerLoads
	// gateways is the number of gateways, including this one; zero means that it is
	// not known yet.
	gateways int
	leaving  departures
	demands  demands
	divided  map[comfreyworks.Pool]*poolDivision
	// late counts late short prompts by pool.
	late map[comfreyworks.Pool]*lateness
}

// endpoint holds what this gateway has observed of one upstream itself.
type endpoint struct {
	// seed is the upstream's seed for rendezvous hashing.
	seed     uint64
	started  time.Time
	requests int
	// backlog counts the prompt tokens that this gateway has sent to the upstream
	// and that are not prefilled yet.
	backlog comfreyworks.PrefillBacklog
	// latency is a moving average; zero means that there was no answer yet.
	// probeInterval is zero or the current interval of probes.
	latency, probeInterval time.Duration
	// failures counts consecutive failures.
	failures int
	// unreachable is set when a request could not be sent or when another
	// upstream uses the address, and reset by an answer.
	unreachable bool
	// avoidUntil, fullUntil and loadingUntil are the times until which the
	// upstream counts as avoided, full or loading. Until retrialUntil one request tries
	// whether it may be used again.
	avoidUntil, fullUntil, loadingUntil, retrialUntil time.Time
	// answeredAt is the time of the latest answer.
	answeredAt time.Time
	weights    map[comfreyworks.Model]comfreyworks.WeightsRevision
	// noticeToken and noticeSequence number the last notice about the upstream.
	noticeToken, noticeSequence uint64
	closure                     closure
	seenAt                      time.Time
	running                     runningLoad
}

// New returns a balancer without any observations.
func New(options Options) *Balancer {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Meter == nil {
		options.Meter = meter.New()
	}
	if options.Pace == nil {
		options.Pace = enginepace.New(enginepace.Options{Clock: options.Clock})
	}
	return &Balancer{
		options:   options,
		endpoints: make(map[comfreyworks.InstanceID]*endpoint),
		peers:     newPeerLoads(),
		gateways:  1,
		leaving:   make(departures),
		demands:   newDemands(),
		divided:   make(map[comfreyworks.Pool]*poolDivision),
		late:      make(map[comfreyworks.Pool]*lateness),
	}
}

// Pick is a chosen upstream. Done must be called exactly once.
type Pick struct {
	Upstream comfreyworks.Upstream
	// Weights is the newest revision that the engine is known to serve.
	Weights comfreyworks.WeightsRevision
	// Candidates is the number of upstreams that were considered.
	Candidates int
	// Home is the position of the upstream among the homes of the session, starting
	// at zero.
	Home int
	// Wait is the estimated time until the engine starts to prefill the prompt.
	Wait time.Duration
	// CachedTokens is the estimated number of prompt tokens that the engine has
	// cached.
	CachedTokens int
	// Pressure is why the request is not to be sent now: all engines that could receive it
	// are under pressure. It is empty if it may be sent.
	Pressure PressureReason
	// ImportFrom is an engine or cache store that has more of the prompt cached,
	// namely ImportableTokens. It is invalid if there is none.
	ImportFrom       netip.AddrPort
	ImportableTokens int
	// SaveTo is the cache store to which the shared parts of the prompt are to be
	// copied. It is invalid if there is no store, if the store has almost all of
	// them or if the engine serves superseded weights.
	SaveTo netip.AddrPort

	balancer *Balancer
	endpoint *endpoint
	query    Query
	// prefillTokens is this request's remaining contribution to the backlog.
	prefillTokens int
	// sentAt is when the upstream was chosen, tokensBefore the number of prompt tokens
	// that it then had to prefill up to the end of this prompt.
	sentAt       time.Time
	tokensBefore int
	// session is the key of the session in the record of saved sessions; zero if it
	// is not used.
	session uint32
	// trial means that the request is one of those that the closure counts.
	// turnedAway means that the upstream closed itself in its answer.
	trial, turnedAway bool
	// silent means that the upstream's silence has been counted as a failure, isProbe
	// that the answer measures its latency anew, isRetrial that it ends retrialUntil.
	silent, isProbe, isRetrial bool
	// kind is the kind of the request, judged means that JudgeStream was called.
	kind   partition.Kind
	judged bool
	// memory is the number of tokens that the request takes in the engine's KV cache.
	memory int
}

// Pick chooses an upstream and adds the request to its load. It returns nil if
// there is no suitable upstream.
func (b *Balancer) Pick(query Query) *Pick {
	declared := b.options.Catalog.Weights(query.Model)
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	query.weighsBehind = query.Model != "" && b.weighsPromptsBehind(query.Pool)
	if query.Model != "" && !b.usesCacheNews(query.Pool) {
		return b.pickHome(query, declared, now)
	}
	upstreams := b.options.Catalog.Upstreams(query.Pool)
	candidates := make([]candidate, 0, len(upstreams))
	for i := range upstreams {
		if c, ok := b.newCandidate(&upstreams[i], &query, declared, now); ok {
			candidates = append(candidates, c)
		}
	}
	tier := bestTier(candidates)
	if len(tier) == 0 {
		return nil
	}
	if query.Model == "" {
		return b.newPick(&tier[chooseFastest(tier, now)], query, len(candidates), 0)
	}
	tier = b.dividedTier(tier, &query, now)
	sources := b.addCacheState(tier, &query, now)
	tier = b.sessionSubset(withinWait(tier, query.MaxWait))
	best := b.options.Policy.Place(query.Tokens, policyCandidates(tier))
	chosen := &tier[best]
	pick := b.newPick(chosen, query, len(candidates), max(query.Tokens-max(chosen.cachedTokens, chosen.importableTokens), 0))
	if source, ok := sources[chosen.weights]; ok && chosen.importableTokens >= chosen.cachedTokens+minImportTokens {
		pick.ImportFrom, pick.ImportableTokens = source.address, source.cachedTokens
	}
	if chosen.weights >= declared.Revision {
		pick.SaveTo = b.chooseStore(&query, sources[chosen.weights].cachedBy)
	}
	return pick
}

// newPick adds the request to the load of the chosen candidate and returns the
// pick.
func (b *Balancer) newPick(c *candidate, query Query, candidates, prefillTokens int) *Pick {
	c.endpoint.requests++
	c.endpoint.backlog.AddTokens(query.Priority, prefillTokens)
	kind := b.countDemand(&query, c.upstream, prefillTokens, c.endpoint.seenAt)
	memory := c.endpoint.running.begin(&query, prefillTokens)
	pick := &Pick{
		Upstream: *c.upstream, Weights: c.weights, Candidates: candidates, CachedTokens: c.cachedTokens,
		Wait:     c.wait(),
		balancer: b, endpoint: c.endpoint, query: query, prefillTokens: prefillTokens, kind: kind, memory: memory, Pressure: c.pressure,
		sentAt: b.options.Clock.Now(), tokensBefore: c.tokensAhead + prefillTokens,
		trial: c.endpoint.closure.start(), isProbe: c.isProbe, isRetrial: c.endpoint.startRetrial(),
	}
	if query.Model != "" {
		c.endpoint.running.startWait(pick)
	}
	return pick
}

// newCandidate returns the candidate for an upstream, or false if the upstream
// must not receive the request.
func (b *Balancer) newCandidate(upstream *comfreyworks.Upstream, query *Query, declared catalog.DeclaredWeights, now time.Time) (candidate, bool) {
	if !query.allows(upstream) || b.leaving.has(upstream) {
		return candidate{}, false
	}
	e := b.endpoint(upstream, now)
	peerLoad := b.peers.load(upstream.ID, now)
	c := candidate{
		upstream: upstream, endpoint: e, latency: e.latency,
		requests:    e.requests + peerLoad.Requests,
		tokensAhead: e.backlog.Ahead(query.Priority) + peerLoad.Unread.Ahead(query.Priority),
		sameZone:    upstream.Zone == b.options.Zone,
		avoided:     now.Before(e.avoidUntil) || (peerLoad.Unreachable >= minUnreachableReports && now.Sub(e.answeredAt) > reportedUnreachableAfter),
		full:        now.Before(e.fullUntil) || now.Before(e.loadingUntil),
	}
	if query.BeginsStream {
		view := b.options.Catalog.Pool(query.Pool)
		if view.Unrecorded[upstream.Release] || now.Before(view.Unsettled[upstream.Release]) {
			return candidate{}, false
		}
		c.settling = now.Before(view.Settling[upstream.Release])
	}
	if query.Only == nil && (!e.closure.admits(now) || (c.avoided && e.unreachable)) {
		return candidate{}, false
	}
	c.avoided = c.avoided || now.Before(e.retrialUntil)
	c.score = rendezvous.Score(e.seed, query.AffinityKey)
	if query.Model == "" {
		return c, true
	}
	c.pace = b.options.Pace.Pace(upstream)
	c.pressure = b.pressureOn(&c, peerLoad.Memory, query, now)
	if query.weighsBehind {
		c.tokensBehind = tokensBehind(e, &peerLoad, query.Priority)
	}
	c.weights = max(upstream.Weights[query.Model], e.weights[query.Model])
	successor, superseded := declared.Superseded(c.weights)
	if !superseded {
		return c, true
	}
	c.stale = successor.NotBefore.IsZero() || now.Sub(successor.LearnedAt) > staleWeightsAfter
	return c, b.mayUseSuperseded(&c, successor, now)
}

// Requests returns the number of requests in progress at an upstream, from all
// gateways.
func (b *Balancer) Requests(id comfreyworks.InstanceID) int {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.peers.load(id, now).Requests
	if e, ok := b.endpoints[id]; ok {
		n += e.requests
	}
	return n
}

// ApplyLoadNotice applies a notice that an engine is about to load weights or has
// loaded them. It returns false if the notice is not newer than the last one about
// the engine, or if that incarnation of the engine is not listed.
func (b *Balancer) ApplyLoadNotice(notice comfreyworks.WeightsLoadNotice) bool {
	now := b.options.Clock.Now()
	engine, ok := b.options.Catalog.Upstream(notice.Engine)
	if !ok || (!notice.Started.IsZero() && !notice.Started.Equal(engine.Started)) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(&engine, now)
	if notice.Token < e.noticeToken || (notice.Token == e.noticeToken && notice.Sequence <= e.noticeSequence) {
		return false
	}
	e.noticeToken, e.noticeSequence = notice.Token, notice.Sequence
	e.loadingUntil = now.Add(min(notice.For, comfreyworks.MaxClosedTime))
	if notice.Done && notice.Weights > e.weights[notice.Model] {
		// Loading weights clears the engine's cache.
		b.options.Holdings.RemoveEngine(notice.Engine)
		e.weights[notice.Model] = notice.Weights
	}
	return true
}

// RemoveUnseen removes the observations of upstreams that have no requests and
// were not considered for longer than unseenFor.
func (b *Balancer) RemoveUnseen(unseenFor time.Duration) {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.endpoints {
		if e.requests == 0 && now.Sub(e.seenAt) > unseenFor {
			delete(b.endpoints, id)
		}
	}
	b.leaving.prune(b.options.Catalog, now)
}

// CacheScope returns the Query.CacheScope for which the upstream was chosen.
func (p *Pick) CacheScope() string { return p.query.CacheScope }

// AnswerStarted records that the answer has started, which means that the engine
// has prefilled the prompt and has it cached.
func (p *Pick) AnswerStarted() {
	p.balancer.mu.Lock()
	p.endpoint.running.heardAt = p.balancer.options.Clock.Now()
	delete(p.endpoint.running.waiting, p)
	p.endpoint.backlog.AddTokens(p.query.Priority, -p.prefillTokens)
	p.prefillTokens = 0
	p.endTrial(p.balancer.options.Clock.Now(), true)
	p.balancer.mu.Unlock()
	if p.query.Model == "" {
		return
	}
	if p.session != 0 && p.SaveTo.IsValid() {
		p.balancer.options.Saved.Add(p.session)
	}
	if !p.balancer.UsesCacheNews(p.query.Pool) {
		return
	}
	salt := holdings.Salt(p.query.CacheScope, p.Weights)
	for _, part := range p.query.Parts {
		p.balancer.options.Holdings.Add(p.Upstream.ID, holdings.Part{
			Salt: salt, Model: p.query.Model, ID: part.ID, Tokens: part.Tokens,
		})
	}
}

// Done removes the request from the upstream's load and records its result.
func (p *Pick) Done(result Result) {
	now := p.balancer.options.Clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	e := p.endpoint
	e.requests--
	e.running.end(p)
	e.backlog.AddTokens(p.query.Priority, -p.prefillTokens)
	if result.Weights != 0 && p.query.Model != "" {
		e.weights[p.query.Model] = max(e.weights[p.query.Model], result.Weights)
	}
	p.endTrial(now, result.Outcome == Answered)
	if p.turnedAway {
		return
	}
	switch result.Outcome {
	case Answered:
		e.failures = 0
		e.unreachable = false
		e.avoidUntil = time.Time{}
		e.answeredAt = now
		e.updateLatency(result.Elapsed, p.isProbe)
	case Failed:
		if !p.silent {
			e.recordFailure(now, minFailuresToAvoid)
		}
	case Unreachable:
		e.unreachable = true
		e.recordFailure(now, 1)
	case Full:
		e.fullUntil = now.Add(fullDuration)
		if p.query.Model != "" && p.Weights < p.balancer.options.Catalog.Weights(p.query.Model).Revision {
			// The engine probably refuses because it is loading newer weights.
			e.loadingUntil = comfreyworks.Later(e.loadingUntil, now.Add(loadingDuration))
		}
	case OtherWeights:
		if result.Weights == 0 {
			e.loadingUntil = comfreyworks.Later(e.loadingUntil, now.Add(loadingDuration))
		}
	case OtherInstance:
		e.unreachable = true
		e.avoidUntil = now.Add(maxAvoidTime)
	case Withdrawn:
	}
}
