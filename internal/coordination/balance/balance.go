// Package balance chooses the upstream for a request from what this process
// has seen of each upstream: the work that it has sent there, failures and
// refusals, the weights that answered, the parts of prompts that it holds.
//
// A placer weighs an engine's queue against the tokens that it would have to
// read. Tokens that another engine holds can be imported and count as nearly
// held. Parts that nobody holds have a home by rendezvous hashing, so that all
// processes send the first requests for them to the same engine.
//
// # Usage
//
//	b := balance.New(balance.Options{Catalog: c, Holdings: index, Placer: placer, Clock: clock, Zone: zone})
//	pick := b.Pick(query) // nil: no upstream may take it
//	... send to pick.Upstream, importing from pick.ImportFrom ...
//	pick.Begun()          // the answer has begun
//	pick.Done(balance.Result{Outcome: balance.Answered, Elapsed: elapsed})
package balance

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// avoidance is how long an upstream is avoided after a failure; it
	// doubles with each further one up to maxAvoidance.
	avoidance    = 200 * time.Millisecond
	maxAvoidance = 3200 * time.Millisecond
	// failuresBeforeAvoidance is how many failures in a row a reachable
	// upstream may have: single failures say little about the next request.
	failuresBeforeAvoidance = 3
	// fullFor is how long an upstream counts as full after it said so; queues
	// move within a few requests' time.
	fullFor = 60 * time.Millisecond
	// loadingFor is how long an upstream counts as loading weights after it
	// refused work while newer weights are due.
	loadingFor = 250 * time.Millisecond
	// latencyShare is the weight of the newest answer in the mean latency.
	latencyShare = 0.1
	// staleWeightsAfter is how long superseded weights are as good as new
	// ones: answers on them lose worth from 1.5 s on.
	staleWeightsAfter = 1200 * time.Millisecond
	// weightsMargin is how much earlier than the bound superseded weights stop
	// being used, beside the time to read what waits there: the way to the
	// engine, the age of the news and what other processes send meanwhile.
	weightsMargin = 800 * time.Millisecond
	// unknownAgeLimit is how long a process uses weights that were superseded
	// at an unknown time before it started: long enough to load new ones after
	// all processes were lost.
	unknownAgeLimit = 1500 * time.Millisecond
)

// Options configures a Balancer.
type Options struct {
	Catalog  *catalog.Catalog
	Holdings *holdings.Index
	// Placer chooses among the engines that may take a prompt.
	Placer comfreyworks.PlacementPolicy
	Clock  comfreyworks.Clock
	Zone   comfreyworks.Zone
	// WeightsBound is how long superseded weights may answer; zero means for
	// ever.
	WeightsBound time.Duration
}

// Query asks for an upstream.
type Query struct {
	Pool  comfreyworks.Pool
	Model comfreyworks.Model
	// Wall names whose cached parts may be used.
	Wall string
	// Affinity names the session: it ranks engines that are as good otherwise, and
	// the stores of kept cache.
	Affinity uint64
	// Parts are the declared parts of the prompt, Tokens its whole length.
	Parts  []comfreyworks.PromptPart
	Tokens int
	// Priority is the rank at the engine; 0 goes first.
	Priority int
	// Exclude lists upstreams that have been tried.
	Exclude []comfreyworks.InstanceID
}

// shared returns the parts that others may ask for too; the last one is the
// request's own.
func (q *Query) shared() []comfreyworks.PromptPart { return q.Parts[:max(len(q.Parts)-1, 0)] }

// Outcome tells what became of a request at an upstream.
type Outcome string

// Outcomes of requests.
const (
	// Answered means that the upstream answered as it should.
	Answered Outcome = "answered"
	// Failed means that its answer was a failure, broken, or none.
	Failed Outcome = "failed"
	// Unreachable means that the request could not be sent.
	Unreachable Outcome = "unreachable"
	// Full means that the upstream had no room.
	Full Outcome = "full"
	// OtherWeights means that it serves other weights.
	OtherWeights Outcome = "other-weights"
	// Gone means that another upstream has its address.
	Gone Outcome = "gone"
	// Withdrawn means that the request was given up; it says nothing.
	Withdrawn Outcome = "withdrawn"
)

// Result is an outcome with what it taught.
type Result struct {
	Outcome Outcome
	// Elapsed is the time to the answer, for Answered.
	Elapsed time.Duration
	// Weights is the revision that answered; zero when unknown.
	Weights comfreyworks.WeightsRevision
}

// Balancer is safe for concurrent use.
type Balancer struct {
	options Options

	mu        sync.Mutex
	endpoints map[comfreyworks.InstanceID]*endpoint
	// peers is what other processes have sent, by process.
	peers map[comfreyworks.InstanceID]peerLoads
}

// peerLoads is one process's account of what it has sent.
type peerLoads struct {
	loads map[comfreyworks.InstanceID]comfreyworks.UpstreamLoad
	until time.Time
}

// endpoint is what this process knows of one upstream by itself.
type endpoint struct {
	seed     uint64
	started  time.Time
	requests int
	// unread is what the upstream has yet to read of prompts.
	unread   comfreyworks.PrefillBacklog
	latency  time.Duration
	failures int
	// unreachable means that the last request could not be sent.
	unreachable bool
	// avoidUntil, fullUntil and loadingUntil end what was learned by failures
	// and refusals.
	avoidUntil, fullUntil, loadingUntil time.Time
	weights                             map[comfreyworks.Model]comfreyworks.WeightsRevision
	seenAt                              time.Time
}

// New returns a balancer that has seen nothing.
func New(options Options) *Balancer {
	return &Balancer{
		options:   options,
		endpoints: make(map[comfreyworks.InstanceID]*endpoint),
		peers:     make(map[comfreyworks.InstanceID]peerLoads),
	}
}

// Pick is a chosen upstream; Done must be called once.
type Pick struct {
	Upstream comfreyworks.Upstream
	// Weights is the revision that the engine is believed to serve.
	Weights comfreyworks.WeightsRevision
	// Candidates is the number of upstreams that were considered.
	Candidates int
	// Wait is how long the engine takes to read what goes before the prompt.
	Wait time.Duration
	// Held is how many tokens of the prompt the engine is believed to hold.
	Held int
	// ImportFrom holds more of the prompt, Importable tokens of it; it may not
	// be valid.
	ImportFrom netip.AddrPort
	Importable int
	// SaveTo shall get the parts that nobody holds; it may not be valid.
	SaveTo netip.AddrPort

	balancer *Balancer
	endpoint *endpoint
	query    Query
	unread   int
}

// Pick chooses an upstream and counts the request there, or returns nil.
func (b *Balancer) Pick(query Query) *Pick {
	named := b.options.Catalog.Weights(query.Model)
	upstreams := b.options.Catalog.Upstreams(query.Pool)
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := make([]candidate, 0, len(upstreams))
	for i := range upstreams {
		if c, ok := b.candidate(&upstreams[i], &query, named, now); ok {
			candidates = append(candidates, c)
		}
	}
	tier := leastTier(candidates)
	if len(tier) == 0 {
		return nil
	}
	if query.Model == "" {
		return b.take(&tier[chooseIdle(tier)], query, len(candidates), 0)
	}
	sources := b.weigh(tier, &query, now)
	tier = b.homes(tier)
	best := b.options.Placer.Place(query.Tokens, placerCandidates(tier))
	chosen := &tier[best]
	pick := b.take(chosen, query, len(candidates), max(query.Tokens-max(chosen.held, chosen.importable), 0))
	if source, ok := sources[chosen.weights]; ok && chosen.importable >= chosen.held+leastImport {
		pick.ImportFrom, pick.Importable = source.address, source.held
	}
	if chosen.weights == named.Revision {
		pick.SaveTo = b.store(&query, sources[chosen.weights].holders)
	}
	return pick
}

// take counts a request at a candidate.
func (b *Balancer) take(c *candidate, query Query, candidates, unread int) *Pick {
	c.endpoint.requests++
	c.endpoint.unread.AddTokens(query.Priority, unread)
	return &Pick{
		Upstream: *c.upstream, Weights: c.weights, Candidates: candidates, Held: c.held,
		Wait:     c.wait(),
		balancer: b, endpoint: c.endpoint, query: query, unread: unread,
	}
}

func (b *Balancer) candidate(upstream *comfreyworks.Upstream, query *Query, named catalog.NamedWeights, now time.Time) (candidate, bool) {
	if upstream.State != comfreyworks.InstanceLive || slices.Contains(query.Exclude, upstream.ID) {
		return candidate{}, false
	}
	e := b.endpoint(upstream, now)
	others := b.others(upstream.ID, now)
	c := candidate{
		upstream: upstream, endpoint: e, latency: e.latency,
		requests: e.requests + others.Requests,
		unread:   e.unread.Ahead(query.Priority) + others.Unread.Ahead(query.Priority),
		near:     upstream.Zone == b.options.Zone,
		avoided:  now.Before(e.avoidUntil),
		full:     now.Before(e.fullUntil) || now.Before(e.loadingUntil),
	}
	if c.avoided && e.unreachable {
		return candidate{}, false
	}
	c.score = rendezvous.Score(e.seed, query.Affinity)
	if query.Model == "" {
		return c, true
	}
	c.weights = max(upstream.Weights[query.Model], e.weights[query.Model])
	successor, superseded := named.Succeeded(c.weights)
	if !superseded {
		return c, true
	}
	age := now.Sub(successor.At)
	limit := b.options.WeightsBound - weightsMargin - c.wait()
	if successor.Earlier {
		limit = min(limit, unknownAgeLimit)
	}
	c.stale = successor.Earlier || age > staleWeightsAfter
	return c, b.options.WeightsBound == 0 || age <= limit
}

// endpoint returns the record of an upstream; a new life starts a new one.
func (b *Balancer) endpoint(upstream *comfreyworks.Upstream, now time.Time) *endpoint {
	e, ok := b.endpoints[upstream.ID]
	if !ok || !e.started.Equal(upstream.Started) {
		e = &endpoint{
			seed: rendezvous.Seed(string(upstream.ID)), started: upstream.Started,
			weights: make(map[comfreyworks.Model]comfreyworks.WeightsRevision),
		}
		b.endpoints[upstream.ID] = e
	}
	e.seenAt = now
	return e
}

// others sums up what other processes have sent to an upstream.
func (b *Balancer) others(id comfreyworks.InstanceID, now time.Time) comfreyworks.UpstreamLoad {
	var sum comfreyworks.UpstreamLoad
	for _, peer := range b.peers {
		if load, ok := peer.loads[id]; ok && now.Before(peer.until) {
			sum.Requests += load.Requests
			sum.Unread.Add(&load.Unread)
		}
	}
	return sum
}

// PeerLoads takes in what another process has sent, good until a time.
func (b *Balancer) PeerLoads(peer comfreyworks.InstanceID, loads []comfreyworks.UpstreamLoad, until time.Time) {
	account := peerLoads{loads: make(map[comfreyworks.InstanceID]comfreyworks.UpstreamLoad, len(loads)), until: until}
	for _, load := range loads {
		account.loads[load.ID] = load
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = account
}

// ForgetPeer drops what another process has sent.
func (b *Balancer) ForgetPeer(peer comfreyworks.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, peer)
}

// Loads returns what this process has sent.
func (b *Balancer) Loads() []comfreyworks.UpstreamLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []comfreyworks.UpstreamLoad
	for id, e := range b.endpoints {
		if e.requests > 0 {
			loads = append(loads, comfreyworks.UpstreamLoad{ID: id, Requests: e.requests, Unread: e.unread})
		}
	}
	return loads
}

// Requests returns how many requests an upstream has, from all processes.
func (b *Balancer) Requests(id comfreyworks.InstanceID) int {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.others(id, now).Requests
	if e, ok := b.endpoints[id]; ok {
		n += e.requests
	}
	return n
}

// Notice takes in that an engine is about to load weights, or has done so.
func (b *Balancer) Notice(notice comfreyworks.WeightsLoadNotice) {
	now := b.options.Clock.Now()
	engine, ok := b.options.Catalog.Upstream(notice.Engine)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(&engine, now)
	e.loadingUntil = now.Add(notice.For)
	if notice.Done && notice.Weights > e.weights[notice.Model] {
		// Loading weights discards what the engine held.
		b.options.Holdings.Forget(notice.Engine)
		e.weights[notice.Model] = notice.Weights
	}
}

// Weights returns the revision that an upstream is believed to serve.
func (b *Balancer) Weights(upstream *comfreyworks.Upstream, model comfreyworks.Model) comfreyworks.WeightsRevision {
	b.mu.Lock()
	defer b.mu.Unlock()
	revision := upstream.Weights[model]
	if e, ok := b.endpoints[upstream.ID]; ok && e.started.Equal(upstream.Started) {
		revision = max(revision, e.weights[model])
	}
	return revision
}

// Forget drops the records of upstreams that were not seen for a while.
func (b *Balancer) Forget(unseenFor time.Duration) {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.endpoints {
		if e.requests == 0 && now.Sub(e.seenAt) > unseenFor {
			delete(b.endpoints, id)
		}
	}
}

// Begun records that the answer has begun, so that the engine has read the
// prompt and holds it.
func (p *Pick) Begun() {
	p.balancer.mu.Lock()
	p.endpoint.unread.AddTokens(p.query.Priority, -p.unread)
	p.unread = 0
	p.balancer.mu.Unlock()
	if p.query.Model == "" {
		return
	}
	salt := holdings.Salt(p.query.Wall, p.Weights)
	for _, part := range p.query.Parts {
		p.balancer.options.Holdings.Add(p.Upstream.ID, holdings.Part{
			Salt: salt, Model: p.query.Model, ID: part.ID, Tokens: part.Tokens,
		})
	}
}

// Done ends the request at the chosen upstream.
func (p *Pick) Done(result Result) {
	now := p.balancer.options.Clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	e := p.endpoint
	e.requests--
	e.unread.AddTokens(p.query.Priority, -p.unread)
	if result.Weights != 0 && p.query.Model != "" {
		e.weights[p.query.Model] = max(e.weights[p.query.Model], result.Weights)
	}
	switch result.Outcome {
	case Answered:
		e.failures = 0
		e.unreachable = false
		e.avoidUntil = time.Time{}
		e.learnLatency(result.Elapsed)
	case Failed:
		e.fail(now, failuresBeforeAvoidance)
	case Unreachable:
		e.unreachable = true
		e.fail(now, 1)
	case Full:
		e.fullUntil = now.Add(fullFor)
		if p.query.Model != "" && p.Weights < p.balancer.options.Catalog.Weights(p.query.Model).Revision {
			// It is likely to refuse because it loads newer weights.
			e.loadingUntil = later(e.loadingUntil, now.Add(loadingFor))
		}
	case OtherWeights:
		if result.Weights == 0 {
			e.loadingUntil = later(e.loadingUntil, now.Add(loadingFor))
		}
	case Gone:
		e.unreachable = true
		e.avoidUntil = now.Add(maxAvoidance)
	case Withdrawn:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *endpoint) learnLatency(elapsed time.Duration) {
	if e.latency == 0 {
		e.latency = elapsed
		return
	}
	e.latency += time.Duration(latencyShare * float64(elapsed-e.latency))
}

// fail counts a failure and avoids the upstream from a number of them on.
func (e *endpoint) fail(now time.Time, from int) {
	e.failures++
	if e.failures < from {
		return
	}
	e.avoidUntil = now.Add(min(avoidance<<min(e.failures-from, 10), maxAvoidance))
}
