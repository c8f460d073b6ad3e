package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/catalog"
	"comfreyworks/internal/state/meter"
)

// fakeSource counts questions and can be down.
type fakeSource struct {
	mu    sync.Mutex
	down  bool
	asked int
}

func (s *fakeSource) answer() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.down {
		return errors.New("down")
	}
	return nil
}

func (s *fakeSource) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Upstreams implements comfreyworks.UpstreamSource.
func (s *fakeSource) Upstreams(context.Context, comfreyworks.Position, time.Duration) (comfreyworks.UpstreamChanges, error) {
	return comfreyworks.UpstreamChanges{Next: 1}, s.answer()
}

// Declarations implements comfreyworks.DeclarationSource.
func (s *fakeSource) Declarations(context.Context, comfreyworks.Position, time.Duration) (comfreyworks.Declaration, error) {
	return comfreyworks.Declaration{Next: 1}, s.answer()
}

type fixture struct {
	clock    *clockwork.FakeClock
	source   *fakeSource
	catalog  *catalog.Catalog
	logs     *observer.ObservedLogs
	reader   bool
	follower *Follower
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), source: &fakeSource{}}
	f.catalog = catalog.New(f.clock)
	core, logs := observer.New(zap.InfoLevel)
	f.logs = logs
	f.follower = New(Options{
		Declarations: f.source, Upstreams: f.source, Catalog: f.catalog, Clock: f.clock, Logger: zap.New(core),
		Meter: meter.New(), Reader: func() bool { return f.reader },
	})
	return f
}

// run asks for the list of upstreams again and again, for a number of pauses of
// a length.
func (f *fixture) run(t *testing.T, pauses int, pause time.Duration) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return f.follower.repeat(ctx, question{
			source: "upstreams", ask: f.follower.askUpstreams, provenAt: f.catalog.UpstreamsProven, pause: upstreamInterval,
		})
	})
	for range pauses {
		assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
		f.clock.Advance(pause)
	}
	assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
	stop()
	assert.NilError(t, group.Wait())
}

func TestReader(t *testing.T) {
	t.Run("a reader asks again and again", func(t *testing.T) {
		f := newFixture()
		f.reader = true
		f.run(t, 10, upstreamInterval)
		assert.Equal(t, f.source.count(), 11)
	})
	t.Run("another one asks when it knows nothing, then leaves it to others", func(t *testing.T) {
		f := newFixture()
		f.run(t, 10, idleInterval)
		assert.Equal(t, f.source.count(), 1)
	})
	t.Run("and asks when what it knows grows old", func(t *testing.T) {
		f := newFixture()
		f.run(t, 1, upstreamInterval)
		f.run(t, 2, fallbackAge)
		assert.Equal(t, f.source.count(), 3)
	})
}

// TestLostAndRegained expects one line for each, however often a source fails.
func TestLostAndRegained(t *testing.T) {
	f := newFixture()
	f.reader = true
	f.source.set(true)
	f.run(t, 5, retryInterval)
	assert.Equal(t, f.logs.FilterMessage("source lost").Len(), 1)
	assert.Equal(t, f.source.count(), 6)
	assert.Assert(t, f.catalog.UpstreamsProven().IsZero(), "a failure proves nothing")
	f.source.set(false)
	f.run(t, 1, upstreamInterval)
	assert.Assert(t, !f.catalog.UpstreamsProven().IsZero())
}
