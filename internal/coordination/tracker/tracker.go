// Package tracker follows one engine: what it caches, how busy it is and
// whether it is there at all, and reports that to the pool's prefix directory.
//
// The sidecar is the only gate to its engine, so it knows the queue first-hand
// and does not have to believe the engine's lagging load report. What the
// engine caches is learned from its events; a gap in their numbers, or a
// request that found less than expected, makes the tracker ask for a snapshot.
//
// # Usage
//
//	t := tracker.New(tracker.Options{Engine: engine, Clock: clock, ...})
//	group.Go(func() error { return t.Run(ctx) })
//	work := t.Begin(request, chain)
//	work.FirstToken()
//	work.End(usage, true)
//
// Failures of the engine or of directory shards are not errors: the tracker
// shows them in its next report and tries again.
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
	// eventWait is how long one read of events is held back for news.
	eventWait = time.Second
	// callTimeout bounds one call to the engine, beyond its own wait.
	callTimeout = 2 * time.Second
	// loadInterval is how often the engine's load is read.
	loadInterval = 200 * time.Millisecond
	// retryDelay is the pause after a failed call to the engine.
	retryDelay = 100 * time.Millisecond
	// resyncPause is the least time between two snapshots.
	resyncPause = time.Second
)

// Options configures a Tracker.
type Options struct {
	Instance comfreyworks.InstanceID
	Engine   comfreyworks.Engine
	Clock    comfreyworks.Clock
	Logger   *zap.Logger
	// PrefillTime is the first estimate of the time for one prompt token.
	PrefillTime time.Duration
	// Ring returns the pool's directory as it is now; Shard reaches the shard
	// at one of its owners.
	Ring  func() *directory.Ring
	Shard func(owner comfreyworks.Instance) comfreyworks.DirectoryShard
}

// Tracker follows one engine. It is safe for concurrent use.
type Tracker struct {
	options Options
	mu      sync.Mutex
	index   *residency.Index
	load    comfreyworks.EngineLoad
	down    bool
	// heardAt is when the engine last answered anything.
	heardAt time.Time
	leaving bool
	resync  time.Time
	work    map[*Work]struct{}
	// coming counts the requests that are about to store each level.
	coming  map[uint64]int
	running int
	// speed is learned from requests; lastPrefill is when the engine last
	// finished a prompt.
	speed       speed
	lastPrefill time.Time
	ring        *directory.Ring
	shards      map[comfreyworks.InstanceID]*shardState
	dirty       chan struct{}
	doubt       chan struct{}
	urgent      chan struct{}
}

// New returns a tracker of an engine that it has not seen yet.
func New(options Options) *Tracker {
	return &Tracker{
		options: options,
		down:    true,
		work:    make(map[*Work]struct{}),
		coming:  make(map[uint64]int),
		speed:   newSpeed(options.PrefillTime),
		shards:  make(map[comfreyworks.InstanceID]*shardState),
		dirty:   make(chan struct{}, 1),
		doubt:   make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
	}
}

// Run follows the engine until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return t.followLoad(ctx) })
	group.Go(func() error { return t.followEvents(ctx) })
	group.Go(func() error { return t.report(ctx) })
	return group.Wait()
}

func (t *Tracker) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-t.options.Clock.After(d):
	case <-ctx.Done():
	}
}

// followLoad notices crashes, restarts and changes of weights.
func (t *Tracker) followLoad(ctx context.Context) error {
	for ctx.Err() == nil {
		t.Refresh(ctx)
		select {
		case <-t.options.Clock.After(loadInterval):
		case <-t.doubt:
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
		if ctx.Err() == nil || !t.heardLately() {
			t.failed()
		}
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardAt = t.options.Clock.Now()
	if t.down {
		t.options.Logger.Info("upstream answers", zap.Uint64("incarnation", uint64(load.Incarnation)))
	}
	if t.index == nil || t.index.Incarnation() != load.Incarnation {
		t.index = residency.New(load.Incarnation, load.BlockTokens)
		t.lastPrefill = time.Time{}
	}
	if t.down || t.load.Weights != load.Weights {
		t.touch()
	}
	t.down = false
	t.load = load
}

// heardLately reports whether the engine answered anything within the time that
// a call may take. Such an engine is slow, and not down.
func (t *Tracker) heardLately() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.options.Clock.Since(t.heardAt) < callTimeout
}

// Doubt asks for a look at the engine now, because a request to it failed. One
// broken connection does not make an engine dead: if it did, a burst that
// overruns a few connections would turn everything away from a healthy engine,
// and send it to the next one.
func (t *Tracker) Doubt() { signal(t.doubt) }

// signal wakes whoever waits on a channel with room for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// failed records that the engine does not answer. No work is given to it until
// it does again.
func (t *Tracker) failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down {
		t.options.Logger.Warn("upstream does not answer")
		t.touch()
	}
	t.down = true
}

// SetLeaving announces that no new work is taken.
func (t *Tracker) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.touch()
}

// Down reports whether the engine does not answer.
func (t *Tracker) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// Weights returns the version that the engine serves, as far as known.
func (t *Tracker) Weights() comfreyworks.WeightsVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load.Weights
}

// touch asks for a report soon. The mutex must be held.
func (t *Tracker) touch() { signal(t.dirty) }

// followEvents keeps the index up to date.
func (t *Tracker) followEvents(ctx context.Context) error {
	for ctx.Err() == nil {
		index, after := t.position()
		if index == nil || !t.readEvents(ctx, index, after) {
			t.sleep(ctx, retryDelay)
			continue
		}
		t.resyncIfSuspect(ctx, index)
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
	t.heardAt = t.options.Clock.Now()
	if len(events.Events) > 0 {
		t.touch()
	}
	if index.LongestLostTokens() >= urgentTokens {
		signal(t.urgent)
	}
	return events.Incarnation == index.Incarnation()
}

func (t *Tracker) resyncIfSuspect(ctx context.Context, index *residency.Index) {
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
	t.touch()
}

func (t *Tracker) mayResync(index *residency.Index) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	if !index.Stale() || now.Sub(t.resync) < resyncPause {
		return false
	}
	t.resync = now
	return true
}
