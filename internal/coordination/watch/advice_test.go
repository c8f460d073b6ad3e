package watch

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/holdings"
)

// advisingEngine answers each poll with advice and an error or no changes.
type advisingEngine struct {
	advice comfreyworks.UpstreamAdvice
	err    error
	polled chan struct{}
}

// CacheChanges implements comfreyworks.CacheSource.
func (e *advisingEngine) CacheChanges(ctx context.Context, _ comfreyworks.CacheHolder, _ uint64, _ time.Duration) (comfreyworks.CacheChanges, error) {
	comfreyworks.ReportAdvice(ctx, e.advice)
	select {
	case e.polled <- struct{}{}:
	case <-ctx.Done():
	}
	return comfreyworks.CacheChanges{}, e.err
}

// TestAdvice checks that the advice of a target is passed on with each answer, also
// if the poll fails.
func TestAdvice(t *testing.T) {
	for name, err := range map[string]error{"success": nil, "failure": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			engine := &advisingEngine{advice: comfreyworks.UpstreamAdvice{Leaving: true}, err: err, polled: make(chan struct{})}
			var received comfreyworks.UpstreamAdvice
			w := New(Options{
				Source: engine, Index: holdings.New(), ReaderCount: oneReader, Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(),
				Advise: func(target Target) func(comfreyworks.UpstreamAdvice) {
					assert.Equal(t, target.ID, comfreyworks.InstanceID("e0"))
					return func(advice comfreyworks.UpstreamAdvice) { received = advice }
				},
			})
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				w.poll(ctx, Target{ID: "e0"})
				return nil
			})
			<-engine.polled
			stop()
			assert.NilError(t, group.Wait())
			assert.Equal(t, received, engine.advice)
		})
	}
}

// TestClosedTarget guards against polls of an engine or a cache store that wants no
// requests for some time, and against taking it for one that is down.
func TestClosedTarget(t *testing.T) {
	const closedFor = 4 * time.Second
	clock := clockwork.NewFakeClock()
	engine := &advisingEngine{
		advice: comfreyworks.UpstreamAdvice{ClosedFor: closedFor}, err: context.DeadlineExceeded, polled: make(chan struct{}),
	}
	index := holdings.New()
	index.Add("store/keep", holdings.Part{Salt: "s", Model: "oak", ID: "a", Tokens: 800})
	otherClosed := time.Duration(0)
	w := New(Options{
		Source: engine, Index: index, ReaderCount: oneReader, Clock: clock, Logger: zap.NewNop(),
		ClosedFor: func(Target) time.Duration { return otherClosed },
	})
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		w.poll(ctx, Target{ID: "store/keep"})
		return nil
	})
	for range 2 * maxFailures {
		<-engine.polled
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(closedFor - time.Millisecond)
		select {
		case <-engine.polled:
			t.Fatal("polled while it was closed")
		case <-time.After(20 * time.Millisecond):
		}
		assert.Equal(t, index.PrefixTokens("s", "oak", []comfreyworks.PromptPart{{ID: "a", Tokens: 800}})["store/keep"], 800)
		clock.Advance(time.Millisecond)
	}
	<-engine.polled
	stop()
	assert.NilError(t, group.Wait())
	t.Run("closed because of another call", func(t *testing.T) {
		otherClosed = time.Second
		assert.Equal(t, w.closedFor(Target{ID: "e0"}, &pollState{}), otherClosed)
	})
}
