// Package watch follows what engines and stores of kept KV cache hold.
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
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/state/holdings"
)

const (
	// eventWait is how long a question waits for news. Engines charge for
	// questions that wait less than 200 ms.
	eventWait = time.Second
	// answerTimeout bounds a question beyond its wait.
	answerTimeout = 500 * time.Millisecond
	// firstPause and maxPause are the pauses after questions without an answer.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// reconcileInterval is the pause between two looks at what there is to
	// follow.
	reconcileInterval = 250 * time.Millisecond
)

// Target is an engine or a store to follow.
type Target struct {
	ID      comfreyworks.InstanceID
	Address netip.AddrPort
}

// Options configures a Watcher.
type Options struct {
	Source comfreyworks.CacheSource
	Index  *holdings.Index
	// Targets returns what shall be followed now.
	Targets func() []Target
	Clock   comfreyworks.Clock
	Logger  *zap.Logger
}

// Watcher follows a changing set of targets.
type Watcher struct{ options Options }

// New returns a watcher.
func New(options Options) *Watcher { return &Watcher{options: options} }

// Run follows until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	following := make(map[Target]context.CancelFunc)
	group.Go(func() error {
		for {
			w.reconcile(ctx, group, following)
			if !comfreyworks.Pause(ctx, w.options.Clock, reconcileInterval) {
				return nil
			}
		}
	})
	return group.Wait()
}

// reconcile starts and stops followers until they fit the targets.
func (w *Watcher) reconcile(ctx context.Context, group *errgroup.Group, following map[Target]context.CancelFunc) {
	wanted := make(map[Target]bool)
	for _, target := range w.options.Targets() {
		wanted[target] = true
		if following[target] != nil {
			continue
		}
		follow, stop := context.WithCancel(ctx)
		following[target] = stop
		group.Go(func() error {
			w.follow(follow, target)
			return nil
		})
	}
	for target, stop := range following {
		if !wanted[target] {
			stop()
			delete(following, target)
		}
	}
}

// follow asks one target until ctx ends.
func (w *Watcher) follow(ctx context.Context, target Target) {
	defer w.options.Index.Forget(target.ID)
	var after, life uint64
	pause := firstPause
	for ctx.Err() == nil {
		question, cancel := context.WithTimeout(ctx, eventWait+answerTimeout)
		changes, err := w.options.Source.CacheChanges(question, target.Address, after, eventWait)
		cancel()
		if err != nil {
			w.options.Logger.Debug("cache events missed", zap.String("engine", string(target.ID)), zap.Error(err))
			comfreyworks.Pause(ctx, w.options.Clock, pause)
			pause = min(2*pause, maxPause)
			continue
		}
		pause = firstPause
		if changes.Lost || (life != 0 && changes.Life != life) {
			w.options.Logger.Info("cache unknown", zap.String("engine", string(target.ID)),
				zap.Bool("restarted", changes.Life != life), zap.Uint64("after", after))
			w.options.Index.Forget(target.ID)
		}
		life, after = changes.Life, changes.Next
		for _, change := range changes.Changes {
			w.options.Index.Add(target.ID, holdings.Part{Salt: change.Salt, Model: change.Model, ID: change.ID, Tokens: change.Tokens})
		}
	}
}
