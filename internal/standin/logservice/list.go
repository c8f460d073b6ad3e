package logservice

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"comfreyworks"
)

// listVersion is the content of a List since setAt.
type listVersion struct {
	setAt     time.Time
	instances []comfreyworks.Instance
}

// List is an instance list whose changes become visible after a lag.
type List struct {
	clock comfreyworks.Clock
	mu    sync.Mutex
	lag   time.Duration
	// history is ordered by time. An index is the version number of its entry.
	history []listVersion
}

var _ comfreyworks.InstanceList = (*List)(nil)

// NewList returns an empty list whose changes become visible after lag.
func NewList(clock comfreyworks.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag}
}

// Set replaces the list. Readers see the first list at once and every later one
// after the lag.
func (l *List) Set(instances []comfreyworks.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, listVersion{setAt: l.clock.Now(), instances: slices.Clone(instances)})
}

// SetLag changes the lag. This also applies to changes already made.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Instances implements comfreyworks.InstanceList.
func (l *List) Instances(context.Context) ([]comfreyworks.Instance, error) {
	_, instances := l.current()
	return instances, nil
}

// current returns the list that readers see now and its version number.
func (l *List) current() (int, []comfreyworks.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return 0, nil
	}
	cutoff := l.clock.Now().Add(-l.lag)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].setAt.After(cutoff) {
			return i, l.history[i].instances
		}
	}
	return 0, l.history[0].instances
}

// WeightsStore is a weights store that serves a limited number of loads at a
// time.
type WeightsStore struct {
	clock    comfreyworks.Clock
	loadTime time.Duration
	permits  *semaphore.Weighted
}

var _ comfreyworks.WeightsStore = (*WeightsStore)(nil)

// NewWeightsStore returns a store that serves up to maxConcurrent loads at a
// time, each of which takes loadTime. Further loads wait.
func NewWeightsStore(clock comfreyworks.Clock, loadTime time.Duration, maxConcurrent int) *WeightsStore {
	return &WeightsStore{clock: clock, loadTime: loadTime, permits: semaphore.NewWeighted(int64(maxConcurrent))}
}

// Fetch implements comfreyworks.WeightsStore.
func (s *WeightsStore) Fetch(ctx context.Context, _ comfreyworks.Model, _ comfreyworks.WeightsVersion) error {
	if err := s.permits.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.permits.Release(1)
	select {
	case <-s.clock.After(s.loadTime):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
