// Package watch keeps the index of cached prompt parts up to date. It reads the
// cache changes of engines and cache stores by long polling.
//
// Each target allows a limited number of concurrent polls. If more gateways read
// it, each pauses between its polls, longer the more gateways there are.
// Together they stay within the limit, and each still receives every change,
// only later.
//
// # Usage
//
//	w := watch.New(watch.Options{Source: source, Index: index, Targets: targets, Clock: clock, Logger: logger})
//	group.Go(func() error { return w.Run(ctx) })
//
// Run returns when ctx ends.
package watch

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/holdings"
)

const (
	// defaultWait is how long a poll waits for changes. Engines charge for polls
	// that wait less than 200 ms.
	defaultWait = time.Second
	// minWait is the wait of a poll if more gateways read a target than may
	// poll it at the same time.
	minWait = 200 * time.Millisecond
	// usableReaderShare is the share of a target's concurrent polls that is
	// planned for. The rest is reserved for polls that coincide by chance and for
	// gateways that restart.
	usableReaderShare = 0.75
	// maxFailures is the number of consecutive failed polls after which the
	// target counts as down.
	maxFailures = 2
	// responseTimeout is the time that a poll may take in addition to its wait.
	responseTimeout = 600 * time.Millisecond
	// initialBackoff is the pause after the first failed poll. It doubles with
	// each further failure up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// reconcileInterval is the interval at which the list of targets is read.
	reconcileInterval = 250 * time.Millisecond
)

// Target is an engine or cache store whose changes are read.
type Target struct {
	ID      comfreyworks.InstanceID
	Address netip.AddrPort
	// IsStore means that the target is a cache store.
	IsStore bool
	// MaxReaders is the maximum number of concurrent polls of the target; zero
	// means no limit.
	MaxReaders int
}

func (t *Target) holder() comfreyworks.CacheHolder {
	holder := comfreyworks.CacheHolder{ID: t.ID, Address: t.Address}
	if t.IsStore {
		holder.ID = ""
	}
	return holder
}

// Options configures a Watcher.
type Options struct {
	Source comfreyworks.CacheSource
	Index  *holdings.Index
	// Targets returns the current targets.
	Targets func() []Target
	// ReaderCount returns the number of gateways that read the same targets,
	// including this one.
	ReaderCount func() int
	// Advise returns the receiver of advice from a target, or nil. It is called
	// before each poll; nil means that advice is ignored.
	Advise func(Target) func(comfreyworks.UpstreamAdvice)
	// ClosedFor returns how much longer a target wants no requests from this gateway,
	// as far as other calls have shown. Nil means that there are no other calls.
	ClosedFor func(Target) time.Duration
	Clock     comfreyworks.Clock
	Logger    *zap.Logger
	// Faults records panics, after which the target is read from the start.
	Faults *faults.Recorder
}

// Watcher reads the cache changes of a changing set of targets.
type Watcher struct {
	options Options
	// readers is the latest result of Options.ReaderCount.
	readers atomic.Int64
}

// New returns a watcher.
func New(options Options) *Watcher { return &Watcher{options: options} }

// Run reads cache changes until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	cancels := make(map[Target]context.CancelFunc)
	group.Go(func() error {
		for {
			w.options.Faults.Run("watch", func() { w.reconcile(ctx, group, cancels) })
			if !comfreyworks.Sleep(ctx, w.options.Clock, reconcileInterval) {
				return nil
			}
		}
	})
	return group.Wait()
}

// reconcile starts polling new targets and stops polling removed ones.
func (w *Watcher) reconcile(ctx context.Context, group *errgroup.Group, cancels map[Target]context.CancelFunc) {
	w.readers.Store(int64(w.options.ReaderCount()))
	wanted := make(map[Target]bool)
	for _, target := range w.options.Targets() {
		wanted[target] = true
		if cancels[target] != nil {
			continue
		}
		targetCtx, cancel := context.WithCancel(ctx)
		cancels[target] = cancel
		group.Go(func() error {
			w.options.Faults.Keep(targetCtx, "watch-poll", func() { w.poll(targetCtx, target) })
			return nil
		})
	}
	for target, cancel := range cancels {
		if !wanted[target] {
			cancel()
			delete(cancels, target)
		}
	}
}

// poll reads the cache changes of one target until ctx ends.
func (w *Watcher) poll(ctx context.Context, target Target) {
	defer w.options.Index.RemoveEngine(target.ID)
	state := pollState{target: target.ID}
	for ctx.Err() == nil {
		if closed := w.closedFor(target, &state); closed > 0 {
			comfreyworks.Sleep(ctx, w.options.Clock, closed)
			continue
		}
		wait, pause := pollSchedule(target.MaxReaders, int(w.readers.Load()))
		pollCtx, cancel := context.WithTimeout(w.withAdvice(ctx, target, &state), wait+responseTimeout)
		polledAt, after := w.options.Clock.Now(), state.after
		changes, err := w.options.Source.CacheChanges(pollCtx, target.holder(), after, wait)
		cancel()
		switch {
		case err != nil && w.closedFor(target, &state) > 0:
			continue
		case err != nil:
			w.options.Logger.Debug("failed to read cache changes", zap.String("engine", string(target.ID)), zap.Error(err))
			pause = backoff(state.failures)
			w.recordFailure(&state)
		default:
			w.apply(&state, &changes)
			if changes.Next <= after {
				// The target need not wait as long as it was asked to.
				pause = max(pause, minWait-w.options.Clock.Since(polledAt))
			}
		}
		comfreyworks.Sleep(ctx, w.options.Clock, pause)
	}
}

// pollSchedule returns how long a poll waits for changes and the pause before the
// next poll, so that the polls of all gateways together stay within the usable
// share of the target's limit.
func pollSchedule(maxReaders, readers int) (wait, pause time.Duration) {
	share := max(usableReaderShare*float64(maxReaders), 1)
	if maxReaders == 0 || float64(readers) <= share {
		return defaultWait, 0
	}
	return minWait, time.Duration((float64(readers)/share - 1) * float64(minWait))
}

// backoff returns the pause after a failed poll that follows the given number of
// consecutive failures.
func backoff(failures int) time.Duration {
	for pause := initialBackoff; ; pause *= 2 {
		if failures == 0 || pause >= maxBackoff {
			return min(pause, maxBackoff)
		}
		failures--
	}
}

// pollState tells up to where the changes of a target have been read, and how
// many consecutive polls have failed since.
type pollState struct {
	target             comfreyworks.InstanceID
	after, incarnation uint64
	failures           int
	// closedUntil is the time until which the target wants no polls.
	closedUntil time.Time
}

// recordFailure counts a failed poll. The cache of a target that is down cannot be
// imported, so its entries are removed from the index. When the target is back,
// its changes are read from the start.
func (w *Watcher) recordFailure(state *pollState) {
	state.failures++
	if state.failures == maxFailures {
		w.options.Logger.Info("removed cache entries of an unreachable target", zap.String("engine", string(state.target)))
		w.options.Index.RemoveEngine(state.target)
		state.after, state.incarnation = 0, 0
	}
}

// apply adds the changes to the index. If earlier changes are missing or if the
// target has restarted, it first removes the target's previous entries.
func (w *Watcher) apply(state *pollState, changes *comfreyworks.CacheChanges) {
	state.failures = 0
	if changes.Lost || (state.incarnation != 0 && changes.Incarnation != state.incarnation) {
		w.options.Logger.Info("removed cache entries after a restart or lost changes", zap.String("engine", string(state.target)),
			zap.Bool("restarted", changes.Incarnation != state.incarnation), zap.Uint64("after", state.after))
		w.options.Index.RemoveEngine(state.target)
	}
	state.incarnation, state.after = changes.Incarnation, changes.Next
	for _, change := range changes.Changes {
		w.options.Index.Add(state.target, holdings.Part{Salt: change.CacheSalt, Model: change.Model, ID: change.PartID, Tokens: change.Tokens})
	}
}
