package tracker

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/directory"
)

// fakeEngine returns the load, the snapshot and the error that a test sets.
type fakeEngine struct {
	load     comfreyworks.EngineLoad
	err      error
	snapshot comfreyworks.CacheSnapshot
}

func (e *fakeEngine) Generate(context.Context, comfreyworks.GenerateRequest, func(comfreyworks.GeneratedToken) error) (comfreyworks.Usage, error) {
	return comfreyworks.Usage{}, nil
}

func (e *fakeEngine) Events(context.Context, uint64, time.Duration) (comfreyworks.CacheEvents, error) {
	return comfreyworks.CacheEvents{}, e.err
}

func (e *fakeEngine) Snapshot(context.Context) (comfreyworks.CacheSnapshot, error) {
	return e.snapshot, e.err
}

func (e *fakeEngine) Load(context.Context) (comfreyworks.EngineLoad, error) { return e.load, e.err }

// fakeShard records the reports that it receives.
type fakeShard struct {
	reports  []comfreyworks.DirectoryReport
	needFull bool
	err      error
}

func (s *fakeShard) Report(_ context.Context, report comfreyworks.DirectoryReport) (bool, error) {
	s.reports = append(s.reports, report)
	return s.needFull, s.err
}

func (s *fakeShard) last() comfreyworks.DirectoryReport { return s.reports[len(s.reports)-1] }

type fixture struct {
	engine  *fakeEngine
	shard   *fakeShard
	clock   *clockwork.FakeClock
	tracker *Tracker
}

const prefillTime = time.Millisecond

func newFixture() fixture {
	f := fixture{
		engine: &fakeEngine{load: comfreyworks.EngineLoad{Incarnation: 1, BlockTokens: 16, Weights: "v1"}},
		shard:  new(fakeShard),
		clock:  clockwork.NewFakeClock(),
	}
	owners := directory.NewShardOwners("lm", 1, []comfreyworks.Instance{{ID: "lm/0"}})
	f.tracker = New(Options{
		Instance: "lm/0", Engine: f.engine, Clock: f.clock, Logger: zap.NewNop(), PrefillTime: prefillTime,
		ShardOwners: func() *directory.ShardOwners { return owners },
		Shard:       func(comfreyworks.Instance) comfreyworks.DirectoryShard { return f.shard },
	})
	f.tracker.Refresh(context.Background())
	return f
}

func (f fixture) report() comfreyworks.DirectoryReport {
	f.tracker.sendReports(context.Background())
	return f.shard.last()
}

func chain(tokens ...int) comfreyworks.PrefixChain {
	var c comfreyworks.PrefixChain
	for i, n := range tokens {
		c = append(c, comfreyworks.PrefixLevel{Hash: uint64(i + 1), Tokens: n})
	}
	return c
}

func TestReports(t *testing.T) {
	t.Run("the first report is full, later ones contain the changes", func(t *testing.T) {
		f := newFixture()
		assert.Assert(t, f.report().Full)
		f.tracker.Begin("r1", chain(64)).End(comfreyworks.Usage{PromptTokens: 64}, true)
		report := f.report()
		assert.Assert(t, !report.Full)
		assert.Equal(t, report.Sequence, uint64(2))
		assert.Equal(t, len(report.Changes), 1)
		assert.Equal(t, len(f.report().Changes), 0)
	})
	t.Run("the report after a failed one is full", func(t *testing.T) {
		f := newFixture()
		f.report()
		f.shard.err = errors.New("no answer")
		f.tracker.Begin("r1", chain(64)).End(comfreyworks.Usage{PromptTokens: 64}, true)
		f.report()
		f.shard.err = nil
		report := f.report()
		assert.Assert(t, report.Full)
		assert.Equal(t, len(report.Changes), 1)
	})
	t.Run("a crash is reported and a new incarnation starts with an empty cache", func(t *testing.T) {
		f := newFixture()
		f.tracker.Begin("r1", chain(64)).End(comfreyworks.Usage{PromptTokens: 64}, true)
		f.report()
		f.engine.err = errors.New("connection refused")
		f.tracker.Refresh(context.Background())
		assert.Assert(t, f.report().Down)
		f.engine.err = nil
		f.engine.load.Incarnation = 2
		f.tracker.Refresh(context.Background())
		report := f.report()
		assert.Assert(t, !report.Down)
		assert.Equal(t, report.Incarnation, comfreyworks.Incarnation(2))
		f.shard.needFull = true
		f.report()
		assert.Equal(t, len(f.report().Changes), 0)
	})
	t.Run("SetLeaving is reported", func(t *testing.T) {
		f := newFixture()
		f.tracker.SetLeaving()
		assert.Assert(t, f.report().Leaving)
	})
}

func TestQueuedTokens(t *testing.T) {
	t.Run("a prompt is counted until its first token", func(t *testing.T) {
		f := newFixture()
		request := f.tracker.Begin("r1", chain(3000))
		assert.Equal(t, f.report().QueuedTokens, 3000)
		request.TokenReceived()
		assert.Equal(t, f.report().QueuedTokens, 0)
	})
	t.Run("a prefix that another request is about to store is counted once", func(t *testing.T) {
		f := newFixture()
		f.tracker.Begin("r1", chain(2000, 3000))
		second := chain(2000, 3500)
		second[1].Hash = 9
		f.tracker.Begin("r2", second)
		assert.Equal(t, f.report().QueuedTokens, 3000+1500)
	})
	t.Run("the time spent on the oldest prompt is deducted", func(t *testing.T) {
		f := newFixture()
		f.tracker.Begin("r1", chain(3000))
		f.clock.Advance(time.Second)
		assert.Equal(t, f.report().QueuedTokens, 2000)
		f.clock.Advance(time.Minute)
		assert.Equal(t, f.report().QueuedTokens, 0)
	})
}

func TestPrefillEstimator(t *testing.T) {
	// An engine that completes two prompts in one step appears to spend all the
	// time on the first and none on the second. The mean of both is right.
	estimator := newPrefillEstimator(prefillTime)
	for range 2000 {
		estimator.add(1000, 4*time.Second)
		estimator.add(1000, 0)
	}
	got := estimator.timePerToken()
	assert.Assert(t, got > 1900*time.Microsecond && got < 2100*time.Microsecond, "got %s", got)
	t.Run("short prompts are ignored", func(t *testing.T) {
		before := estimator.timePerToken()
		estimator.add(10, time.Hour)
		assert.Equal(t, estimator.timePerToken(), before)
	})
}

// TestSlowEngineIsNotDown checks that an engine whose load reports time out is not
// marked as down as long as it answers other calls. Refusing all requests to an
// engine that is only slow would not help anyone.
func TestSlowEngineIsNotDown(t *testing.T) {
	timedOut := func() context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return ctx
	}
	t.Run("up while tokens arrive", func(t *testing.T) {
		f := newFixture()
		request := f.tracker.Begin("r1", chain(64))
		f.clock.Advance(callTimeout)
		request.TokenReceived()
		f.engine.err = context.DeadlineExceeded
		f.tracker.Refresh(timedOut())
		assert.Assert(t, !f.tracker.Down())
	})
	t.Run("down when nothing arrives", func(t *testing.T) {
		f := newFixture()
		f.clock.Advance(callTimeout)
		f.engine.err = context.DeadlineExceeded
		f.tracker.Refresh(timedOut())
		assert.Assert(t, f.tracker.Down())
	})
	t.Run("down when the engine refuses the connection", func(t *testing.T) {
		f := newFixture()
		f.engine.err = errors.New("connection refused")
		f.tracker.Refresh(context.Background())
		assert.Assert(t, f.tracker.Down())
	})
}
