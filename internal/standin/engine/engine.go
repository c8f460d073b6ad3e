// Package engine is a small stand-in for a model engine.
//
// It batches continuously, computes prompts at a fixed rate, caches prompt
// blocks in limited memory under a salt, honours priorities, resumes and
// cancels streams, publishes cache events late and with losses, reports its
// load with a lag, exports and imports cached blocks, takes orders with or
// without a fencing check, and can crash and come back empty. It is only as
// true as the tests and measurements need.
//
// # Usage
//
//	e := engine.New(engine.Options{Clock: clock, Rates: engine.DefaultRates(), Seed: 1})
//	group.Go(func() error { return e.Run(ctx) })
//	server := http.Server{Handler: e.Handler()}
//
// Run returns when its context ends. The handler answers errors with a status
// and a line of text.
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
	// Weights is the version served at the start.
	Weights comfreyworks.WeightsVersion
	// Store is where orders load weights from; nil makes loading free.
	Store comfreyworks.WeightsStore
	// Kept is the store of kept cache; nil means none.
	Kept *kept.Store
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// EventLag and EventLoss make cache events late and incomplete; the loss
	// is a share from 0 to 1.
	EventLag  time.Duration
	EventLoss float64
	// LoadLag is how old a load report may be.
	LoadLag time.Duration
	Seed    uint64
}

// recentPrompts is how many prompts can still be exported.
const recentPrompts = 1024

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 1 << 14

// timedEvent is an event and the time from which readers see it.
type timedEvent struct {
	event   comfreyworks.CacheEvent
	visible time.Time
	lost    bool
}

// Engine is the stand-in.
type Engine struct {
	options Options
	mu      sync.Mutex
	core    *core
	random  *rand.Rand
	wake    chan struct{}

	incarnation comfreyworks.Incarnation
	weights     comfreyworks.WeightsVersion
	fencing     uint64
	downUntil   time.Time
	slowFactor  float64
	loss        float64
	sequence    uint64
	events      []timedEvent
	load        comfreyworks.EngineLoad
	loadAt      time.Time
	counts      Counts
	// prompts are the blocks of recent prompts, for exports.
	prompts *simplelru.LRU[comfreyworks.RequestID, []uint64]
}

// Counts sums up what an engine did over all incarnations.
type Counts struct {
	Requests        int
	PromptTokens    int
	CachedTokens    int
	PrefilledTokens int
	Cancelled       int
	Crashes         int
}

// New returns an engine that does nothing until Run is called.
func New(options Options) *Engine {
	prompts, err := simplelru.NewLRU[comfreyworks.RequestID, []uint64](recentPrompts, nil)
	if err != nil {
		panic("engine: no room for prompts")
	}
	return &Engine{
		prompts:     prompts,
		options:     options,
		core:        newCore(options.Rates),
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		wake:        make(chan struct{}, 1),
		incarnation: comfreyworks.Incarnation(options.Seed<<16 | 1),
		weights:     options.Weights,
		slowFactor:  1,
		loss:        options.EventLoss,
	}
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	for {
		duration, finish, generation := e.plan()
		if finish == nil {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-e.options.Clock.After(duration):
			e.complete(finish, generation)
		case <-ctx.Done():
			return nil
		}
	}
}

// plan starts a step, or returns no finish function when there is no work.
func (e *Engine) plan() (time.Duration, func(), comfreyworks.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.core.idle() {
		return 0, nil, 0
	}
	duration, finish := e.core.step()
	return time.Duration(float64(duration) * e.slowFactor), finish, e.incarnation
}

// complete ends a step unless the engine crashed during it.
func (e *Engine) complete(finish func(), generation comfreyworks.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.incarnation {
		return
	}
	before := e.core.prefilledTokens
	finish()
	e.counts.PrefilledTokens += e.core.prefilledTokens - before
	e.publish()
}

// publish numbers the core's new events and decides which are lost.
func (e *Engine) publish() {
	visible := e.options.Clock.Now().Add(e.options.EventLag)
	for _, event := range e.core.events {
		e.sequence++
		event.Sequence = e.sequence
		lost := e.random.Float64() < e.loss
		e.events = append(e.events, timedEvent{event: event, visible: visible, lost: lost})
	}
	e.core.events = e.core.events[:0]
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
	j := e.core.submit(request)
	e.prompts.Add(request.ID, j.blocks)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j
}

// cancel stops a request that its caller has left.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.done {
		return
	}
	e.counts.Cancelled++
	e.core.cancel(j)
}

// result returns how a finished request ended.
func (e *Engine) result(j *job) (comfreyworks.Usage, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.failed {
		e.counts.PromptTokens += j.usage.PromptTokens
		e.counts.CachedTokens += j.usage.CachedTokens
	}
	return j.usage, !j.failed
}

// Crash drops everything and stays down for a time. The engine comes back
// empty, as a new incarnation.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Crashes++
	e.restart()
	e.downUntil = e.options.Clock.Now().Add(down)
}

func (e *Engine) restart() {
	e.core.crash()
	e.incarnation++
	e.sequence = 0
	e.events = nil
	e.loadAt = time.Time{}
}

func (e *Engine) isDown() bool { return e.options.Clock.Now().Before(e.downUntil) }

// SetSlow multiplies the time of every step.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
}

// SetEventLoss sets the share of events that are lost.
func (e *Engine) SetEventLoss(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loss = share
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Running returns the number of requests at the engine, queued or running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.core.running) + len(e.core.waiting)
}

// BlockHashes returns the hashes of a prompt's blocks, for HeldTokens.
func BlockHashes(salt, prompt string) []uint64 { return blockHashes(salt, prompt) }

// HeldTokens returns how many tokens of a prompt the engine holds now. Only an
// observer outside of the system can ask this.
func (e *Engine) HeldTokens(blocks []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return 0
	}
	return e.core.cache.peek(blocks) * blockTokens
}

// Outlook is what an observer with full sight of an engine expects of it.
type Outlook struct {
	// HeldTokens is what a prompt will find: cached blocks, and blocks that a
	// request ahead of it is going to store.
	HeldTokens   int
	QueuedTokens int
	Down         bool
}

// Outlook looks at the true cache and queue.
func (e *Engine) Outlook(blocks []uint64) Outlook {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return Outlook{Down: true}
	}
	return Outlook{
		HeldTokens:   e.core.outlook(blocks) * blockTokens,
		QueuedTokens: e.core.queuedTokens(),
	}
}

// visibleEvents returns the events after a number that readers may see.
func (e *Engine) visibleEvents(after uint64) comfreyworks.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	batch := comfreyworks.CacheEvents{Incarnation: e.incarnation}
	for _, t := range e.events {
		if t.event.Sequence > after && !t.lost && !t.visible.After(now) {
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
		Blocks:      e.core.cache.blocks(),
	}
}

// currentLoad returns a load report that is up to LoadLag old.
func (e *Engine) currentLoad() comfreyworks.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	if e.loadAt.IsZero() || now.Sub(e.loadAt) >= e.options.LoadLag {
		e.loadAt = now
		e.load = comfreyworks.EngineLoad{
			Incarnation:   e.incarnation,
			Running:       len(e.core.running),
			Waiting:       len(e.core.waiting),
			PrefillTokens: e.core.queuedTokens(),
			BlockTokens:   blockTokens,
			Weights:       e.weights,
		}
	}
	return e.load
}
