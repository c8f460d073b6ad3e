// Package engine provides a simulated model engine for tests and benchmarks.
//
// It uses continuous batching, prefills prompts at a fixed rate, caches the
// blocks of prompts under a salt in limited memory, honours priorities, resumes
// and cancels streams, publishes cache events late and with losses, reports its
// load with a delay, exports and imports cached blocks, accepts orders to load
// weights with or without a fencing check, and can crash and restart with an
// empty cache. It simulates only what tests and benchmarks need.
//
// # Usage
//
//	e := engine.New(engine.Options{Clock: clock, Rates: engine.DefaultRates(), Seed: 1})
//	group.Go(func() error { return e.Run(ctx) })
//	server := http.Server{Handler: e.Handler()}
//
// Run returns nil when its context ends. The handler reports errors as an HTTP
// status and one line of text. While the engine is down, it aborts connections.
package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"comfreyworks"
	"comfreyworks/internal/standin/kept"
)

// Options configures an Engine.
type Options struct {
	Clock comfreyworks.Clock
	Rates Rates
	// Weights is the version served at the start; empty accepts requests for any
	// version.
	Weights comfreyworks.WeightsVersion
	// WeightsStore is the store from which weights are loaded; nil means that
	// loading takes no time.
	WeightsStore comfreyworks.WeightsStore
	// CacheStore holds offloaded KV cache; nil means that there is no cache store.
	CacheStore *kept.Store
	// ChecksFencing makes the engine refuse an order unless its fencing token is
	// greater than those of all earlier orders.
	ChecksFencing bool
	// EventLag is the delay until readers can see a cache event.
	EventLag time.Duration
	// EventLoss is the share of cache events that readers never see, from 0 to 1.
	EventLoss float64
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// Seed determines which events are lost, and the first incarnation.
	Seed uint64
}

// maxRecentPrompts is the number of recent prompts that can be exported.
const maxRecentPrompts = 1024

// maxEvents is the number of recent cache events that are kept. Older ones are
// dropped once there are more than twice as many.
const maxEvents = 1 << 14

// timedEvent is a cache event with the time from which readers can see it.
type timedEvent struct {
	event     comfreyworks.CacheEvent
	visibleAt time.Time
	lost      bool
}

// Engine is a simulated engine. It is safe for concurrent use.
type Engine struct {
	options   Options
	mu        sync.Mutex
	scheduler *scheduler
	random    *rand.Rand
	// wake tells Run that a request was submitted.
	wake chan struct{}

	incarnation comfreyworks.Incarnation
	weights     comfreyworks.WeightsVersion
	// fencingToken is the greatest token of all accepted orders.
	fencingToken uint64
	downUntil    time.Time
	slowFactor   float64
	eventLoss    float64
	// sequence is the number of the last published event.
	sequence uint64
	events   []timedEvent
	// load is the last load report, made at loadReportedAt.
	load           comfreyworks.EngineLoad
	loadReportedAt time.Time
	counts         Counts
	// recentPrompts holds the blocks of recent prompts, for exports.
	recentPrompts *simplelru.LRU[comfreyworks.RequestID, []uint64]
}

// Counts holds totals over all incarnations of an engine.
type Counts struct {
	Requests int
	// PromptTokens and CachedTokens count only requests that were answered
	// completely.
	PromptTokens int
	CachedTokens int
	// PrefilledTokens counts the tokens prefilled for all requests, including
	// those that were not answered completely.
	PrefilledTokens int
	// Cancelled is the number of requests that callers cancelled.
	Cancelled int
	Crashes   int
}

// New returns an engine that processes no requests until Run is called.
func New(options Options) *Engine {
	prompts, err := simplelru.NewLRU[comfreyworks.RequestID, []uint64](maxRecentPrompts, nil)
	if err != nil {
		panic("engine: maxRecentPrompts must be positive")
	}
	return &Engine{
		recentPrompts: prompts,
		options:       options,
		scheduler:     newScheduler(options.Rates),
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed)),
		wake:          make(chan struct{}, 1),
		incarnation:   comfreyworks.Incarnation(options.Seed<<16 | 1),
		weights:       options.Weights,
		slowFactor:    1,
		eventLoss:     options.EventLoss,
	}
}

// Run processes requests until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		duration, apply, incarnation := e.startStep()
		if apply == nil {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-e.options.Clock.After(duration):
			e.completeStep(apply, incarnation)
		case <-ctx.Done():
			return nil
		}
	}
}

// startStep plans the next step. It returns the step's duration, a function that
// applies its results, and the incarnation. The function is nil if there are no
// requests.
func (e *Engine) startStep() (time.Duration, func(), comfreyworks.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.scheduler.idle() {
		return 0, nil, 0
	}
	duration, apply := e.scheduler.planStep()
	return time.Duration(float64(duration) * e.slowFactor), apply, e.incarnation
}

// completeStep applies the results of a step unless the engine was restarted
// during it.
func (e *Engine) completeStep(apply func(), incarnation comfreyworks.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return
	}
	before := e.scheduler.prefilledTokens
	apply()
	e.counts.PrefilledTokens += e.scheduler.prefilledTokens - before
	e.publish()
}

// publish numbers the scheduler's new events and chooses which of them are lost.
func (e *Engine) publish() {
	visibleAt := e.options.Clock.Now().Add(e.options.EventLag)
	for _, event := range e.scheduler.events {
		e.sequence++
		event.Sequence = e.sequence
		lost := e.random.Float64() < e.eventLoss
		e.events = append(e.events, timedEvent{event: event, visibleAt: visibleAt, lost: lost})
	}
	e.scheduler.events = e.scheduler.events[:0]
	if len(e.events) > 2*maxEvents {
		e.events = append(e.events[:0], e.events[len(e.events)-maxEvents:]...)
	}
}

// submit queues a request, or returns nil while the engine is down.
func (e *Engine) submit(request comfreyworks.GenerateRequest) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return nil
	}
	e.counts.Requests++
	j := e.scheduler.submit(request)
	e.recentPrompts.Add(request.ID, j.blocks)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j
}

// cancel stops a request whose caller has cancelled it.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.done {
		return
	}
	e.counts.Cancelled++
	e.scheduler.remove(j)
}

// recordResult adds the usage of a finished request to the counts and returns it.
// It returns false if the request failed.
func (e *Engine) recordResult(j *job) (comfreyworks.Usage, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.failed {
		e.counts.PromptTokens += j.usage.PromptTokens
		e.counts.CachedTokens += j.usage.CachedTokens
	}
	return j.usage, !j.failed
}

// Crash aborts all requests and keeps the engine down for a time. Then the
// engine serves as a new incarnation with an empty cache.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Crashes++
	e.restart()
	e.downUntil = e.options.Clock.Now().Add(down)
}

// restart fails all requests, empties the cache and begins a new incarnation.
func (e *Engine) restart() {
	e.scheduler.reset()
	e.incarnation++
	e.sequence = 0
	e.events = nil
	e.loadReportedAt = time.Time{}
}

func (e *Engine) isDown() bool { return e.options.Clock.Now().Before(e.downUntil) }

// SetSlowFactor multiplies the duration of each step by a factor.
func (e *Engine) SetSlowFactor(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
}

// SetEventLoss sets the share of cache events that are lost, from 0 to 1.
func (e *Engine) SetEventLoss(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventLoss = share
}

// Counts returns the totals so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Running returns the number of requests at the engine, queued or running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.scheduler.running) + len(e.scheduler.waiting)
}

// BlockHashes returns the hashes of a prompt's complete blocks, which are the
// arguments of CachedTokens, PromptState and CommonPrefixTokens.
func BlockHashes(salt, prompt string) []uint64 { return blockHashes(salt, prompt) }

// CachedTokens returns how many tokens of a prompt are cached now. It is for
// measurements: real engines do not offer it, so routers cannot use it.
func (e *Engine) CachedTokens(blocks []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return 0
	}
	return e.scheduler.cache.peek(blocks) * blockTokens
}

// PromptState is the part of an engine's actual state that determines how long it
// would take to prefill one prompt.
type PromptState struct {
	// CachedTokens is the number of the prompt's tokens that are cached or that
	// requests already submitted will store.
	CachedTokens int
	// QueuedTokens is the number of tokens of all requests that are still to be
	// prefilled.
	QueuedTokens int
	Down         bool
}

// PromptState returns the actual state of the engine for a prompt with the given
// blocks. If the engine is down, the token counts are zero.
func (e *Engine) PromptState(blocks []uint64) PromptState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return PromptState{Down: true}
	}
	return PromptState{
		CachedTokens: e.scheduler.expectedBlocks(blocks) * blockTokens,
		QueuedTokens: e.scheduler.queuedTokens(),
	}
}

// visibleEvents returns the events after a sequence number that readers can see
// now.
func (e *Engine) visibleEvents(after uint64) comfreyworks.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	batch := comfreyworks.CacheEvents{Incarnation: e.incarnation}
	for _, t := range e.events {
		if t.event.Sequence > after && !t.lost && !t.visibleAt.After(now) {
			batch.Events = append(batch.Events, t.event)
		}
	}
	return batch
}

func (e *Engine) snapshot() comfreyworks.CacheSnapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return comfreyworks.CacheSnapshot{
		Incarnation: e.incarnation,
		Sequence:    e.sequence,
		Blocks:      e.scheduler.cache.blocks(),
	}
}

// currentLoad returns a load report that is up to LoadLag old.
func (e *Engine) currentLoad() comfreyworks.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	if e.loadReportedAt.IsZero() || now.Sub(e.loadReportedAt) >= e.options.LoadLag {
		e.loadReportedAt = now
		e.load = comfreyworks.EngineLoad{
			Incarnation:   e.incarnation,
			Running:       len(e.scheduler.running),
			Waiting:       len(e.scheduler.waiting),
			PrefillTokens: e.scheduler.queuedTokens(),
			BlockTokens:   blockTokens,
			Weights:       e.weights,
		}
	}
	return e.load
}
