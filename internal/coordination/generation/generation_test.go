package generation

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/admission"
	"comfreyworks/internal/coordination/tracker"
	"comfreyworks/internal/state/directory"
)

// fakeEngine emits the tokens that a test sends and returns err once the
// channel is closed.
type fakeEngine struct {
	tokens chan comfreyworks.GeneratedToken
	err    error
	// loadErr is the error that Load returns.
	loadErr error
	started chan struct{}
	stopped chan struct{}
}

func newEngine() *fakeEngine {
	return &fakeEngine{tokens: make(chan comfreyworks.GeneratedToken, 16), started: make(chan struct{}, 16), stopped: make(chan struct{}, 16)}
}

func (e *fakeEngine) Generate(ctx context.Context, _ comfreyworks.GenerateRequest, emit func(comfreyworks.GeneratedToken) error) (comfreyworks.Usage, error) {
	e.started <- struct{}{}
	defer func() { e.stopped <- struct{}{} }()
	for {
		select {
		case token, open := <-e.tokens:
			if !open {
				return comfreyworks.Usage{CompletionTokens: 1}, e.err
			}
			if err := emit(token); err != nil {
				return comfreyworks.Usage{}, err
			}
		case <-ctx.Done():
			return comfreyworks.Usage{}, ctx.Err()
		}
	}
}

func (e *fakeEngine) Events(ctx context.Context, _ uint64, _ time.Duration) (comfreyworks.CacheEvents, error) {
	<-ctx.Done()
	return comfreyworks.CacheEvents{}, ctx.Err()
}

func (e *fakeEngine) Snapshot(context.Context) (comfreyworks.CacheSnapshot, error) {
	return comfreyworks.CacheSnapshot{}, errors.New("none")
}

func (e *fakeEngine) Load(context.Context) (comfreyworks.EngineLoad, error) {
	return comfreyworks.EngineLoad{Incarnation: 1, BlockTokens: 16, Weights: "v1"}, e.loadErr
}

type fixture struct {
	engine  *fakeEngine
	manager *Manager
	tracker *tracker.Tracker
	clock   *clockwork.FakeClock
}

// newFixture returns a manager whose engine is up and runs one request at a
// time.
func newFixture(t *testing.T) fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	engine := newEngine()
	engineTracker := tracker.New(tracker.Options{
		Engine: engine, Clock: clock, Logger: zap.NewNop(),
		ShardOwners: func() *directory.ShardOwners { return directory.NewShardOwners("lm", 1, nil) },
		Shard:       func(comfreyworks.Instance) comfreyworks.DirectoryShard { return nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	engineTracker.Refresh(ctx)
	return fixture{engine: engine, clock: clock, tracker: engineTracker, manager: New(Options{
		Engine:  engine,
		Clock:   clock,
		Tracker: engineTracker,
		Queue:   admission.New(admission.Options{Clock: clock, Concurrency: 1}),
		Limits: func(class comfreyworks.Class) admission.Request {
			return admission.Request{Class: class, MaxWaiting: 1}
		},
	})}
}

func newAttempt(id comfreyworks.StreamID) comfreyworks.GenerateAttempt {
	return comfreyworks.GenerateAttempt{
		Stream:    id,
		Class:     "note",
		Request:   comfreyworks.GenerateRequest{ID: comfreyworks.RequestID(id), Weights: "v1", ResumeFrom: 2},
		Chain:     comfreyworks.PrefixChain{{Hash: 1, Tokens: 64}},
		Remaining: time.Minute,
	}
}

func (f fixture) start(t *testing.T, id comfreyworks.StreamID) {
	t.Helper()
	refusal := f.manager.Start(newAttempt(id))
	assert.Assert(t, refusal == nil, "%v", refusal)
}

func expectRefused(t *testing.T, refusal *comfreyworks.Refusal, reason comfreyworks.RefusalReason) {
	t.Helper()
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, reason)
}

// expectStream reads a stream to its end and checks its text and the reason for
// its end.
func (f fixture) expectStream(t *testing.T, id comfreyworks.StreamID, text string, reason comfreyworks.EndReason) {
	t.Helper()
	var got strings.Builder
	for from := 0; ; {
		update, err := f.manager.Read(context.Background(), id, from)
		assert.NilError(t, err)
		assert.Assert(t, !update.Unknown)
		for _, frame := range update.Frames {
			got.WriteString(frame)
		}
		from += len(update.Frames)
		if update.End != nil {
			assert.Equal(t, got.String(), text)
			assert.Equal(t, update.End.Reason, reason, update.End.Detail)
			return
		}
	}
}

func TestStreams(t *testing.T) {
	t.Run("a complete stream may be started and read twice", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		f.start(t, "s1")
		f.engine.tokens <- comfreyworks.GeneratedToken{Index: 2, Text: "a"}
		f.engine.tokens <- comfreyworks.GeneratedToken{Index: 3, Text: "b"}
		close(f.engine.tokens)
		f.expectStream(t, "s1", "ab", comfreyworks.EndComplete)
		f.expectStream(t, "s1", "ab", comfreyworks.EndComplete)
	})
	t.Run("an engine crash ends the stream and refuses new ones", func(t *testing.T) {
		f := newFixture(t)
		f.engine.err = errors.New("connection reset")
		f.start(t, "s1")
		f.engine.tokens <- comfreyworks.GeneratedToken{Index: 2, Text: "a"}
		close(f.engine.tokens)
		f.expectStream(t, "s1", "a", comfreyworks.EndIncomplete)
		f.engine.loadErr = errors.New("connection refused")
		f.tracker.Refresh(context.Background())
		expectRefused(t, f.manager.Start(newAttempt("s2")), comfreyworks.RefusedUpstreamDown)
	})
	t.Run("one broken connection does not cause refusals", func(t *testing.T) {
		f := newFixture(t)
		f.engine.err = errors.New("connection reset")
		f.start(t, "s1")
		close(f.engine.tokens)
		f.expectStream(t, "s1", "", comfreyworks.EndIncomplete)
		f.start(t, "s2")
	})
	t.Run("the end tells whether the request was sent", func(t *testing.T) {
		for _, err := range []error{errors.New("connection reset"), fmt.Errorf("dial: %w", comfreyworks.ErrNotSent)} {
			f := newFixture(t)
			f.engine.err = err
			f.start(t, "s1")
			close(f.engine.tokens)
			f.expectStream(t, "s1", "", comfreyworks.EndIncomplete)
			update, readErr := f.manager.Read(t.Context(), "s1", 0)
			assert.NilError(t, readErr)
			assert.Equal(t, update.End.NotSent, errors.Is(err, comfreyworks.ErrNotSent))
		}
	})
	t.Run("a missing token ends the stream as incomplete", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		f.engine.tokens <- comfreyworks.GeneratedToken{Index: 2, Text: "a"}
		f.engine.tokens <- comfreyworks.GeneratedToken{Index: 4, Text: "c"}
		f.expectStream(t, "s1", "a", comfreyworks.EndIncomplete)
	})
	t.Run("unknown stream", func(t *testing.T) {
		update, err := newFixture(t).manager.Read(context.Background(), "s9", 0)
		assert.NilError(t, err)
		assert.Assert(t, update.Unknown)
	})
}

func TestRefusals(t *testing.T) {
	t.Run("other weights", func(t *testing.T) {
		attempt := newAttempt("s1")
		attempt.Request.Weights = "v0"
		expectRefused(t, newFixture(t).manager.Start(attempt), comfreyworks.RefusedOtherWeights)
	})
	t.Run("full queue", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		f.start(t, "s2")
		refusal := f.manager.Start(newAttempt("s3"))
		expectRefused(t, refusal, comfreyworks.RefusedBusy)
		assert.Assert(t, refusal.RetryAfter > 0)
	})
	t.Run("leaving", func(t *testing.T) {
		f := newFixture(t)
		assert.NilError(t, f.manager.Drain(context.Background()))
		expectRefused(t, f.manager.Start(newAttempt("s1")), comfreyworks.RefusedLeaving)
	})
}

func TestAbandonedStreams(t *testing.T) {
	t.Run("Cancel frees the engine", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		<-f.engine.started
		f.manager.Cancel("s1")
		<-f.engine.stopped
	})
	t.Run("a stream without a reader is cancelled", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		<-f.engine.started
		f.clock.Advance(orphanTimeout + time.Second)
		f.manager.Sweep()
		<-f.engine.stopped
		assert.Equal(t, f.manager.StreamCount(), 0)
	})
	t.Run("a stream whose start is repeated is kept and runs once", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		<-f.engine.started
		for range 3 {
			f.clock.Advance(orphanTimeout)
			f.start(t, "s1")
			f.manager.Sweep()
			assert.Equal(t, f.manager.StreamCount(), 1)
		}
		assert.Equal(t, len(f.engine.started)+len(f.engine.stopped), 0)
	})
	t.Run("a stream whose end was read is kept for repeated reads, then removed", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		close(f.engine.tokens)
		f.expectStream(t, "s1", "", comfreyworks.EndComplete)
		f.manager.Sweep()
		f.expectStream(t, "s1", "", comfreyworks.EndComplete)
		f.clock.Advance(endRetention + time.Second)
		f.manager.Sweep()
		assert.Equal(t, f.manager.StreamCount(), 0)
	})
}
