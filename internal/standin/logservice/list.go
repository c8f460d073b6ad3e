package logservice

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"comfreyworks"
)

// listed is the list from a moment on.
type listed struct {
	at        time.Time
	instances []comfreyworks.Instance
}

// List is the lagging list of instances.
type List struct {
	clock   comfreyworks.Clock
	mu      sync.Mutex
	lag     time.Duration
	history []listed
}

var _ comfreyworks.InstanceList = (*List)(nil)

// NewList returns an empty list that lags.
func NewList(clock comfreyworks.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag}
}

// Set replaces the list; readers see it after the lag.
func (l *List) Set(instances []comfreyworks.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, listed{at: l.clock.Now(), instances: slices.Clone(instances)})
}

// SetLag changes the lag.
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

// current returns the list that readers see now, and its version. Before the
// first list is old enough it is returned all the same.
func (l *List) current() (int, []comfreyworks.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return 0, nil
	}
	limit := l.clock.Now().Add(-l.lag)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].at.After(limit) {
			return i, l.history[i].instances
		}
	}
	return 0, l.history[0].instances
}

// Weights is the weight store: loads take longer when too many run at once.
type Weights struct {
	clock   comfreyworks.Clock
	time    time.Duration
	permits *semaphore.Weighted
}

var _ comfreyworks.WeightsStore = (*Weights)(nil)

// NewWeights returns a store that serves a number of loads at once, each in a
// given time; further loads wait.
func NewWeights(clock comfreyworks.Clock, loadTime time.Duration, atOnce int) *Weights {
	return &Weights{clock: clock, time: loadTime, permits: semaphore.NewWeighted(int64(atOnce))}
}

// Fetch implements comfreyworks.WeightsStore.
func (s *Weights) Fetch(ctx context.Context, _ comfreyworks.Model, _ comfreyworks.WeightsVersion) error {
	if err := s.permits.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.permits.Release(1)
	select {
	case <-s.clock.After(s.time):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
