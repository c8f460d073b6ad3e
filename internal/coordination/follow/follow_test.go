package follow

import (
	"context"
	"errors"
	"fmt"
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

// fakeSource counts reads and can be made to fail.
type fakeSource struct {
	mu    sync.Mutex
	down  bool
	reads int
	// after is the position of the last read of upstreams.
	after comfreyworks.Position
}

func (s *fakeSource) recordRead() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return errors.New("down")
	}
	return nil
}

func (s *fakeSource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeSource) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Upstreams implements comfreyworks.UpstreamSource.
func (s *fakeSource) Upstreams(_ context.Context, after comfreyworks.Position, _ time.Duration) (comfreyworks.UpstreamChanges, error) {
	s.mu.Lock()
	s.after = after
	s.mu.Unlock()
	return comfreyworks.UpstreamChanges{Next: 1}, s.recordRead()
}

// Declarations implements comfreyworks.DeclarationSource.
func (s *fakeSource) Declarations(context.Context, comfreyworks.Position, time.Duration) (comfreyworks.Declaration, error) {
	return comfreyworks.Declaration{Next: 1}, s.recordRead()
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
		Meter: meter.New(), IsReader: func() bool { return f.reader },
	})
	return f
}

// poll reads the list of upstreams repeatedly while the clock advances by interval
// the given number of times.
func (f *fixture) poll(t *testing.T, rounds int, interval time.Duration) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return f.follower.pollSource(ctx, poll{
			source: "upstreams", read: f.follower.readUpstreams, confirmedAt: f.catalog.UpstreamsConfirmedAt,
			doubtful: f.catalog.UpstreamsDoubtful, interval: upstreamInterval,
		})
	})
	for range rounds {
		assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
		f.clock.Advance(interval)
	}
	assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
	stop()
	assert.NilError(t, group.Wait())
}

func TestReader(t *testing.T) {
	t.Run("a reader reads repeatedly", func(t *testing.T) {
		f := newFixture()
		f.reader = true
		f.poll(t, 10, upstreamInterval)
		assert.Equal(t, f.source.readCount(), 11)
	})
	t.Run("a reader reads on from its own last read, whatever a peer has told it", func(t *testing.T) {
		f := newFixture()
		f.reader = true
		f.poll(t, 1, upstreamInterval)
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Next: 5}, f.clock.Now())
		f.poll(t, 1, upstreamInterval)
		assert.Equal(t, f.source.after, comfreyworks.Position(1))
	})
	// A fleet that starts at the same moment must not read the source from every
	// gateway.
	t.Run("another gateway relies on others from the start", func(t *testing.T) {
		f := newFixture()
		f.follower.options.StartDelay = func() time.Duration { return time.Second }
		f.poll(t, 9, standbyInterval)
		assert.Equal(t, f.source.readCount(), 0)
		f.poll(t, 1, standbyInterval)
		assert.Equal(t, f.source.readCount(), 1)
	})
	t.Run("another gateway reads again when its state grows old", func(t *testing.T) {
		f := newFixture()
		f.poll(t, 1, upstreamInterval)
		f.poll(t, 2, fallbackAge)
		assert.Equal(t, f.source.readCount(), 3)
	})
	t.Run("another gateway reads the whole list once if a peer has another one", func(t *testing.T) {
		f := newFixture()
		f.catalog.ApplyUpstreams(comfreyworks.UpstreamChanges{Next: 1, Present: []comfreyworks.Upstream{{ID: "a"}}, Checksum: 7}, f.clock.Now())
		assert.Assert(t, f.catalog.UpstreamsDoubtful())
		f.poll(t, 5, standbyInterval)
		assert.Equal(t, f.source.readCount(), 1)
		assert.Equal(t, f.source.after, comfreyworks.Position(0))
		assert.Assert(t, !f.catalog.UpstreamsDoubtful())
	})
	t.Run("a gateway that is further from the readers waits longer", func(t *testing.T) {
		f := newFixture()
		f.follower.options.FallbackDelay = func() time.Duration { return time.Second }
		f.poll(t, 0, upstreamInterval)
		assert.Equal(t, f.source.readCount(), 1)
		f.poll(t, 1, fallbackAge)
		assert.Equal(t, f.source.readCount(), 1)
		f.poll(t, 1, time.Second)
		assert.Equal(t, f.source.readCount(), 2)
	})
}

// TestReadersWithoutSource guards against a fleet that learns of a change seconds late
// because its readers reach their peers and not the source.
func TestReadersWithoutSource(t *testing.T) {
	const rounds = 60
	for name, c := range map[string]struct {
		peers           bool
		atLeast, atMost int
	}{
		"nothing arrives from readers": {false, rounds * int(standbyInterval/time.Millisecond) / 1200, rounds},
		"readers confirm the state":    {true, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return f.follower.pollSource(ctx, f.follower.declarations()) })
			for range rounds {
				assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
				f.clock.Advance(standbyInterval)
				if c.peers {
					f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 1}, f.clock.Now())
				}
			}
			assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
			stop()
			assert.NilError(t, group.Wait())
			reads := f.source.readCount()
			assert.Assert(t, reads >= c.atLeast && reads <= c.atMost, "%d reads", reads)
		})
	}
}

// TestSourceOutage guards against a fleet that reads a source which is down as fast
// as it can: its readers try often enough to notice at once that it is back, the
// other gateways seldom.
func TestSourceOutage(t *testing.T) {
	const outage = 8 * time.Second
	for _, c := range []struct {
		reader   bool
		atMost   int
		interval time.Duration
	}{
		{true, 16, maxReaderRetry},
		{false, 8, maxStandbyRetry},
	} {
		t.Run(fmt.Sprintf("reader %t", c.reader), func(t *testing.T) {
			f := newFixture()
			f.reader = c.reader
			f.source.setDown(true)
			const step = 50 * time.Millisecond
			f.poll(t, int(outage/step), step)
			assert.Assert(t, f.source.readCount() <= c.atMost, "%d reads", f.source.readCount())
			assert.Assert(t, f.source.readCount() >= int(outage/c.interval), "%d reads", f.source.readCount())
		})
	}
}

// TestSourceUnavailable checks that an outage is logged once, however often reads
// fail, and that failed reads do not count as a confirmation.
func TestSourceUnavailable(t *testing.T) {
	f := newFixture()
	f.reader = true
	f.source.setDown(true)
	f.poll(t, 5, maxReaderRetry)
	assert.Equal(t, f.logs.FilterMessage("source unavailable").Len(), 1)
	assert.Equal(t, f.source.readCount(), 6)
	assert.Assert(t, f.catalog.UpstreamsConfirmedAt().IsZero(), "a failed read confirms nothing")
	f.source.setDown(false)
	f.poll(t, 1, upstreamInterval)
	assert.Assert(t, !f.catalog.UpstreamsConfirmedAt().IsZero())
}

// waitingSource takes some time for each read of the declarations and claims to have waited
// for some of it.
type waitingSource struct {
	fakeSource
	clock         *clockwork.FakeClock
	takes, waited time.Duration
	// asked is how long the last read was to wait.
	asked time.Duration
}

// Declarations implements comfreyworks.DeclarationSource.
func (s *waitingSource) Declarations(_ context.Context, after comfreyworks.Position, wait time.Duration) (comfreyworks.Declaration, error) {
	s.clock.Advance(s.takes)
	s.asked = wait
	return comfreyworks.Declaration{Next: after, WaitedInVain: s.waited}, s.recordRead()
}

// TestWaitInVain guards against declarations that count as complete at a time at which newer
// ones may have been there: only the source knows how long it waited for changes, however
// long its answer takes.
func TestWaitInVain(t *testing.T) {
	for name, test := range map[string]struct{ takes, waited, wantComplete time.Duration }{
		"the source waited in vain":                          {declarationWait + 5*time.Millisecond, declarationWait, declarationWait},
		"it waited for less than it was asked to":            {declarationWait, minDeclarationWait, minDeclarationWait},
		"it did not wait, and its answer took long":          {declarationWait + 5*time.Millisecond, 0, 0},
		"it claims to have waited longer than the read took": {minDeclarationWait, declarationWait, minDeclarationWait},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 7}, f.clock.Now())
			f.follower.options.Declarations = &waitingSource{clock: f.clock, takes: test.takes, waited: test.waited}
			startedAt := f.clock.Now()
			assert.NilError(t, f.follower.readDeclarations(context.Background()))
			declared, _ := f.catalog.SourceStates()
			assert.Equal(t, declared.CompleteAt.Sub(startedAt), test.wantComplete)
			assert.Equal(t, declared.ConfirmedAt, startedAt)
		})
	}
}

// TestWaitAfterChange guards against declarations that are not known to be complete for as
// long as two reads, because the first one returned a change: the others would then read the
// source themselves.
func TestWaitAfterChange(t *testing.T) {
	const sinceComplete = 300 * time.Millisecond
	f := newFixture()
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 7}, f.clock.Now())
	source := &waitingSource{clock: f.clock}
	f.follower.options.Declarations = source
	for range 3 {
		f.clock.Advance(sinceComplete)
		assert.NilError(t, f.follower.readDeclarations(context.Background()))
		assert.Equal(t, source.asked, declarationWait-sinceComplete)
	}
	f.clock.Advance(time.Minute)
	assert.NilError(t, f.follower.readDeclarations(context.Background()))
	assert.Equal(t, source.asked, minDeclarationWait)
}

// TestReadersLoseSource guards against a change that a gateway which reaches the source and
// was never disturbed learns later than 2 s after it was made, because its readers lose the
// source at any moment between two confirmations.
func TestReadersLoseSource(t *testing.T) {
	const bound = 2 * time.Second
	for _, passedOnAfter := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		for phase := time.Duration(0); phase < declarationWait; phase += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("%s after the last confirmation, passed on after %s", phase, passedOnAfter), func(t *testing.T) {
				f := newFixture()
				f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: 1}, f.clock.Now().Add(-passedOnAfter))
				f.clock.Advance(phase)
				changedAt := f.clock.Now()
				ctx, stop := context.WithCancel(context.Background())
				var group errgroup.Group
				group.Go(func() error { return f.follower.pollSource(ctx, f.follower.declarations()) })
				for f.source.readCount() == 0 {
					assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
					assert.Assert(t, f.clock.Since(changedAt) < bound)
					f.clock.Advance(standbyInterval / 2)
				}
				assert.NilError(t, f.clock.BlockUntilContext(ctx, 1))
				stop()
				assert.NilError(t, group.Wait())
			})
		}
	}
}

// TestAnswerThatDoesNotWait guards against reads without a pause of a source that
// answers at once, without changes, although it was asked to wait for some.
func TestAnswerThatDoesNotWait(t *testing.T) {
	f := newFixture()
	f.reader = true
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.follower.pollSource(ctx, f.follower.declarations()) })
	blockCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := f.clock.BlockUntilContext(blockCtx, 1)
	stop()
	assert.NilError(t, group.Wait())
	assert.NilError(t, err)
	assert.Equal(t, f.source.readCount(), 2)
}
