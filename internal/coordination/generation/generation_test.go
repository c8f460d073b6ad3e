package generation

import (
	"context"
	"errors"
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

// fakeEngine emits the pieces it is given and then ends as it is told.
type fakeEngine struct {
	pieces chan comfreyworks.GeneratedToken
	err    error
	// loadErr is what the engine answers when it is asked for its load.
	loadErr error
	begun   chan struct{}
	gone    chan struct{}
}

func newEngine() *fakeEngine {
	return &fakeEngine{pieces: make(chan comfreyworks.GeneratedToken, 16), begun: make(chan struct{}, 16), gone: make(chan struct{}, 16)}
}

func (e *fakeEngine) Generate(ctx context.Context, _ comfreyworks.GenerateRequest, emit func(comfreyworks.GeneratedToken) error) (comfreyworks.Usage, error) {
	e.begun <- struct{}{}
	defer func() { e.gone <- struct{}{} }()
	for {
		select {
		case piece, open := <-e.pieces:
			if !open {
				return comfreyworks.Usage{CompletionTokens: 1}, e.err
			}
			if err := emit(piece); err != nil {
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

// newFixture has an engine that answers and room for one request.
func newFixture(t *testing.T) fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	engine := newEngine()
	follower := tracker.New(tracker.Options{
		Engine: engine, Clock: clock, Logger: zap.NewNop(),
		Ring:  func() *directory.Ring { return directory.NewRing("lm", 1, nil) },
		Shard: func(comfreyworks.Instance) comfreyworks.DirectoryShard { return nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	follower.Refresh(ctx)
	return fixture{engine: engine, clock: clock, tracker: follower, manager: New(Options{
		Engine:  engine,
		Clock:   clock,
		Tracker: follower,
		Queue:   admission.New(admission.Options{Clock: clock, Concurrency: 1}),
		Limits: func(class comfreyworks.Class) admission.Request {
			return admission.Request{Class: class, Bound: 1}
		},
	})}
}

func work(id comfreyworks.StreamID) comfreyworks.GenerateAttempt {
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
	refusal := f.manager.Start(work(id))
	assert.Assert(t, refusal == nil, "%v", refusal)
}

func expectRefused(t *testing.T, refusal *comfreyworks.Refusal, reason comfreyworks.RefusalReason) {
	t.Helper()
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, reason)
}

// expectStream reads a stream to its end.
func (f fixture) expectStream(t *testing.T, id comfreyworks.StreamID, text string, reason comfreyworks.EndReason) {
	t.Helper()
	var got strings.Builder
	for from := 0; ; {
		news, err := f.manager.Read(context.Background(), id, from)
		assert.NilError(t, err)
		assert.Assert(t, !news.Unknown)
		for _, frame := range news.Frames {
			got.WriteString(frame)
		}
		from += len(news.Frames)
		if news.End != nil {
			assert.Equal(t, got.String(), text)
			assert.Equal(t, news.End.Reason, reason, news.End.Detail)
			return
		}
	}
}

func TestStreams(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		f.start(t, "s1")
		f.engine.pieces <- comfreyworks.GeneratedToken{Index: 2, Text: "a"}
		f.engine.pieces <- comfreyworks.GeneratedToken{Index: 3, Text: "b"}
		close(f.engine.pieces)
		f.expectStream(t, "s1", "ab", comfreyworks.EndComplete)
		f.expectStream(t, "s1", "ab", comfreyworks.EndComplete)
	})
	t.Run("crash", func(t *testing.T) {
		f := newFixture(t)
		f.engine.err = errors.New("connection reset")
		f.start(t, "s1")
		f.engine.pieces <- comfreyworks.GeneratedToken{Index: 2, Text: "a"}
		close(f.engine.pieces)
		f.expectStream(t, "s1", "a", comfreyworks.EndIncomplete)
		f.engine.loadErr = errors.New("connection refused")
		f.tracker.Refresh(context.Background())
		expectRefused(t, f.manager.Start(work("s2")), comfreyworks.RefusedUpstreamDown)
	})
	t.Run("one broken connection does not turn work away", func(t *testing.T) {
		f := newFixture(t)
		f.engine.err = errors.New("connection reset")
		f.start(t, "s1")
		close(f.engine.pieces)
		f.expectStream(t, "s1", "", comfreyworks.EndIncomplete)
		f.start(t, "s2")
	})
	t.Run("a lost token is never hidden", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		f.engine.pieces <- comfreyworks.GeneratedToken{Index: 2, Text: "a"}
		f.engine.pieces <- comfreyworks.GeneratedToken{Index: 4, Text: "c"}
		f.expectStream(t, "s1", "a", comfreyworks.EndIncomplete)
	})
	t.Run("unknown", func(t *testing.T) {
		news, err := newFixture(t).manager.Read(context.Background(), "s9", 0)
		assert.NilError(t, err)
		assert.Assert(t, news.Unknown)
	})
}

func TestRefusals(t *testing.T) {
	t.Run("other weights", func(t *testing.T) {
		w := work("s1")
		w.Request.Weights = "v0"
		expectRefused(t, newFixture(t).manager.Start(w), comfreyworks.RefusedOtherWeights)
	})
	t.Run("full queue", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		f.start(t, "s2")
		refusal := f.manager.Start(work("s3"))
		expectRefused(t, refusal, comfreyworks.RefusedBusy)
		assert.Assert(t, refusal.RetryAfter > 0)
	})
	t.Run("leaving", func(t *testing.T) {
		f := newFixture(t)
		assert.NilError(t, f.manager.Drain(context.Background()))
		expectRefused(t, f.manager.Start(work("s1")), comfreyworks.RefusedLeaving)
	})
}

func TestAbandonedStreams(t *testing.T) {
	t.Run("cancel frees the engine", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		<-f.engine.begun
		f.manager.Cancel("s1")
		<-f.engine.gone
	})
	t.Run("a stream without a reader is cancelled", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		<-f.engine.begun
		f.clock.Advance(orphanTime + time.Second)
		f.manager.Sweep()
		<-f.engine.gone
		assert.Equal(t, f.manager.Open(), 0)
	})
	t.Run("a stream that was read is kept for a repeated read, then forgotten", func(t *testing.T) {
		f := newFixture(t)
		f.start(t, "s1")
		close(f.engine.pieces)
		f.expectStream(t, "s1", "", comfreyworks.EndComplete)
		f.manager.Sweep()
		f.expectStream(t, "s1", "", comfreyworks.EndComplete)
		f.clock.Advance(lingerTime + time.Second)
		f.manager.Sweep()
		assert.Equal(t, f.manager.Open(), 0)
	})
}
