// Package watch follows what engines and stores of kept KV cache hold.
//
// Each of them bears a number of waiting questions only. Where there are more
// followers, each asks with a pause that grows with their number: together they
// stay within the bound, and all of them know everything, if a little later.
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
	"comfreyworks/internal/state/holdings"
)

const (
	// eventWait is how long a question waits for news. Engines charge for
	// questions that wait less than 200 ms.
	eventWait = time.Second
	// sharedWait is the wait where there are more followers than may wait.
	sharedWait = 200 * time.Millisecond
	// followerShare is the part of the questions that may wait at a target that
	// followers make up; the rest is for chance and for followers that restart.
	followerShare = 0.75
	// forgetAfter is how many questions in a row may go without an answer before
	// the target counts as down.
	forgetAfter = 2
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
	// Readers is how many questions may wait at the target at once; zero means
	// any number.
	Readers int
}

// Options configures a Watcher.
type Options struct {
	Source comfreyworks.CacheSource
	Index  *holdings.Index
	// Targets returns what shall be followed now.
	Targets func() []Target
	// Followers returns how many processes follow the same targets, this one
	// included.
	Followers func() int
	Clock     comfreyworks.Clock
	Logger    *zap.Logger
}

// Watcher follows a changing set of targets.
type Watcher struct {
	options Options
	// followers is what Followers said at the last look.
	followers atomic.Int64
}

// New returns a watcher.
func New(options Options) *Watcher { return &Watcher{options: options} }

// Run follows until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	following := make(map[Target]context.CancelFunc)
	group.Go(func() error {
		for {
			w.reconcile(ctx, group, following)
			if !comfreyworks.Sleep(ctx, w.options.Clock, reconcileInterval) {
				return nil
			}
		}
	})
	return group.Wait()
}

// reconcile starts and stops followers until they fit the targets.
func (w *Watcher) reconcile(ctx context.Context, group *errgroup.Group, following map[Target]context.CancelFunc) {
	w.followers.Store(int64(w.options.Followers()))
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

// follow asks one target again and again.
func (w *Watcher) follow(ctx context.Context, target Target) {
	defer w.options.Index.Forget(target.ID)
	known := knowledge{target: target.ID}
	for ctx.Err() == nil {
		wait, pause := schedule(target.Readers, int(w.followers.Load()))
		question, cancel := context.WithTimeout(ctx, wait+answerTimeout)
		changes, err := w.options.Source.CacheChanges(question, target.Address, known.after, wait)
		cancel()
		if err != nil {
			w.options.Logger.Debug("cache events missed", zap.String("engine", string(target.ID)), zap.Error(err))
			pause = pauseAfter(known.failures)
			w.missed(&known)
		} else {
			w.learn(&known, &changes)
		}
		comfreyworks.Sleep(ctx, w.options.Clock, pause)
	}
}

// schedule returns how long a question waits for news and the pause before the
// next one, so that all followers together have no more questions waiting than
// their share.
func schedule(readers, followers int) (wait, pause time.Duration) {
	share := max(followerShare*float64(readers), 1)
	if readers == 0 || float64(followers) <= share {
		return eventWait, 0
	}
	return sharedWait, time.Duration((float64(followers)/share - 1) * float64(sharedWait))
}

// pauseAfter returns the pause after a number of further questions without an
// answer.
func pauseAfter(failures int) time.Duration {
	for pause := firstPause; ; pause *= 2 {
		if failures == 0 || pause >= maxPause {
			return min(pause, maxPause)
		}
		failures--
	}
}

// knowledge is up to where a target's changes are known.
type knowledge struct {
	target      comfreyworks.InstanceID
	after, life uint64
	failures    int
}

// missed counts a question without an answer. What a target that is down held
// cannot be imported; if it comes back with it, it tells it again.
func (w *Watcher) missed(known *knowledge) {
	known.failures++
	if known.failures == forgetAfter {
		w.options.Logger.Info("cache out of reach", zap.String("engine", string(known.target)))
		w.options.Index.Forget(known.target)
		known.after, known.life = 0, 0
	}
}

func (w *Watcher) learn(known *knowledge, changes *comfreyworks.CacheChanges) {
	known.failures = 0
	if changes.Lost || (known.life != 0 && changes.Incarnation != known.life) {
		w.options.Logger.Info("cache unknown", zap.String("engine", string(known.target)),
			zap.Bool("restarted", changes.Incarnation != known.life), zap.Uint64("after", known.after))
		w.options.Index.Forget(known.target)
	}
	known.life, known.after = changes.Incarnation, changes.Next
	for _, change := range changes.Changes {
		w.options.Index.Add(known.target, holdings.Part{Salt: change.CacheSalt, Model: change.Model, ID: change.PartID, Tokens: change.Tokens})
	}
}
