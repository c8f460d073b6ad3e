// Package tracker follows the state of one engine, namely its cache, its load
// and whether it answers, and reports it to the pool's prefix directory.
//
// All requests to an engine pass through its sidecar. The tracker therefore
// knows the queue itself and does not rely on the engine's load report, which
// lags behind. It learns the content of the cache from the engine's events.
// After a gap in their sequence numbers, or if a request found fewer cached
// tokens than expected, the tracker fetches a snapshot.
//
// # Usage
//
//	t := tracker.New(tracker.Options{Engine: engine, Clock: clock, ...})
//	group.Go(func() error { return t.Run(ctx) })
//	request := t.Begin(id, chain)
//	request.TokenReceived()
//	request.End(usage, true)
//
// Failures of the engine or of directory shards are not returned as errors: the
// tracker reports a failed engine to the directory, and it retries.
package tracker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
	"comfreyworks/internal/state/residency"
)

const (
	// eventWait is how long the engine may wait for new events before it
	// answers.
	eventWait = time.Second
	// callTimeout limits one call to the engine, in addition to the time that
	// the engine may wait.
	callTimeout = 2 * time.Second
	// loadInterval is the time between two reads of the engine's load.
	loadInterval = 200 * time.Millisecond
	// retryDelay is the wait after a failed read of events.
	retryDelay = 100 * time.Millisecond
	// minResyncInterval is the minimum time between two snapshots.
	minResyncInterval = time.Second
)

// Options configures a Tracker.
type Options struct {
	Instance comfreyworks.InstanceID
	Engine   comfreyworks.Engine
	Clock    comfreyworks.Clock
	Logger   *zap.Logger
	// PrefillTime is the initial estimate of the time to prefill one token.
	PrefillTime time.Duration
	// ShardOwners returns the current owners of the shards of the pool's directory.
	// Shard returns a client for the shard of one of them.
	ShardOwners func() *directory.ShardOwners
	Shard       func(owner comfreyworks.Instance) comfreyworks.DirectoryShard
}

// Tracker follows one engine. It is safe for concurrent use.
type Tracker struct {
	options Options
	mu      sync.Mutex
	index   *residency.Index
	load    comfreyworks.EngineLoad
	down    bool
	// lastResponse is when the engine last answered any call.
	lastResponse time.Time
	leaving      bool
	lastResync   time.Time
	queued       map[*Request]struct{}
	// pendingLevels counts, by hash, the queued requests that are about to
	// store a level.
	pendingLevels map[uint64]int
	running       int
	// estimator is updated by completed requests. lastPrefill is when the
	// engine last finished a prompt.
	estimator    prefillEstimator
	lastPrefill  time.Time
	shardOwners  *directory.ShardOwners
	shards       map[comfreyworks.InstanceID]*shardState
	changed      chan struct{}
	refresh      chan struct{}
	urgentChange chan struct{}
}

// New returns a tracker whose engine counts as down until Refresh has read its
// load.
func New(options Options) *Tracker {
	return &Tracker{
		options:       options,
		down:          true,
		queued:        make(map[*Request]struct{}),
		pendingLevels: make(map[uint64]int),
		estimator:     newPrefillEstimator(options.PrefillTime),
		shards:        make(map[comfreyworks.InstanceID]*shardState),
		changed:       make(chan struct{}, 1),
		refresh:       make(chan struct{}, 1),
		urgentChange:  make(chan struct{}, 1),
	}
}

// Run follows the engine and sends reports until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return t.pollLoad(ctx) })
	group.Go(func() error { return t.followEvents(ctx) })
	group.Go(func() error { return t.reportLoop(ctx) })
	return group.Wait()
}

func (t *Tracker) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-t.options.Clock.After(d):
	case <-ctx.Done():
	}
}

// pollLoad reads the engine's load periodically, which detects crashes,
// restarts and new weights.
func (t *Tracker) pollLoad(ctx context.Context) error {
	for ctx.Err() == nil {
		t.Refresh(ctx)
		select {
		case <-t.options.Clock.After(loadInterval):
		case <-t.refresh:
		case <-ctx.Done():
		}
	}
	return nil
}

// Refresh reads the engine's load once.
func (t *Tracker) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := t.options.Engine.Load(ctx)
	if err != nil {
		if ctx.Err() == nil || !t.respondedRecently() {
			t.markDown()
		}
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastResponse = t.options.Clock.Now()
	if t.down {
		t.options.Logger.Info("upstream answers", zap.Uint64("incarnation", uint64(load.Incarnation)))
	}
	if t.index == nil || t.index.Incarnation() != load.Incarnation {
		t.index = residency.New(load.Incarnation, load.BlockTokens)
		t.lastPrefill = time.Time{}
	}
	if t.down || t.load.Weights != load.Weights {
		t.requestReport()
	}
	t.down = false
	t.load = load
}

// respondedRecently reports whether the engine answered any call within
// callTimeout. Such an engine is slow but not down.
func (t *Tracker) respondedRecently() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.options.Clock.Since(t.lastResponse) < callTimeout
}

// RequestRefresh makes the tracker read the engine's load at once, because a
// request to the engine failed. A single broken connection does not mark the
// engine as down: otherwise a burst that overflows a few connections would make
// the sidecar refuse every request to a healthy engine and shift them all to
// the next one.
func (t *Tracker) RequestRefresh() { notify(t.refresh) }

// notify signals a channel with a buffer of one, unless a signal is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// markDown records that the engine does not answer. The sidecar refuses new
// requests until it answers again.
func (t *Tracker) markDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down {
		t.options.Logger.Warn("upstream does not answer")
		t.requestReport()
	}
	t.down = true
}

// SetLeaving makes reports announce that the upstream accepts no new requests.
func (t *Tracker) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.requestReport()
}

// Down reports whether the engine does not answer.
func (t *Tracker) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// Weights returns the version of the weights that the engine last reported.
func (t *Tracker) Weights() comfreyworks.WeightsVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load.Weights
}

// requestReport makes an ordinary report due. The mutex must be held.
func (t *Tracker) requestReport() { notify(t.changed) }

// followEvents applies the engine's cache events to the index.
func (t *Tracker) followEvents(ctx context.Context) error {
	for ctx.Err() == nil {
		index, after := t.position()
		if index == nil || !t.readEvents(ctx, index, after) {
			t.sleep(ctx, retryDelay)
			continue
		}
		t.resyncIfStale(ctx, index)
	}
	return nil
}

func (t *Tracker) position() (*residency.Index, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.index == nil {
		return nil, 0
	}
	return t.index, t.index.Sequence()
}

// readEvents reads the next cache events and applies them to the index. It returns
// false if the engine did not answer or has been restarted since the index was
// created.
func (t *Tracker) readEvents(ctx context.Context, index *residency.Index, after uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, eventWait+callTimeout)
	defer cancel()
	events, err := t.options.Engine.Events(ctx, after, eventWait)
	if err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	index.Apply(events)
	t.lastResponse = t.options.Clock.Now()
	if len(events.Events) > 0 {
		t.requestReport()
	}
	if index.LongestLostTokens() >= urgentTokens {
		notify(t.urgentChange)
	}
	return events.Incarnation == index.Incarnation()
}

func (t *Tracker) resyncIfStale(ctx context.Context, index *residency.Index) {
	if !t.mayResync(index) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := t.options.Engine.Snapshot(ctx)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	index.Resync(snapshot)
	t.requestReport()
}

// mayResync reports whether to fetch a snapshot now: the index is stale, and the
// last fetch is long enough ago. If so, it records the time of this fetch.
func (t *Tracker) mayResync(index *residency.Index) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	if !index.Stale() || now.Sub(t.lastResync) < minResyncInterval {
		return false
	}
	t.lastResync = now
	return true
}
