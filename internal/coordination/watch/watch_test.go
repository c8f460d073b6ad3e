package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/holdings"
)

// fakeEngine answers one poll for each value that a test sends.
type fakeEngine struct {
	answers   chan any
	mu        sync.Mutex
	requested []uint64
}

// CacheChanges implements comfreyworks.CacheSource.
func (e *fakeEngine) CacheChanges(ctx context.Context, _ comfreyworks.CacheHolder, after uint64, _ time.Duration) (comfreyworks.CacheChanges, error) {
	e.mu.Lock()
	e.requested = append(e.requested, after)
	e.mu.Unlock()
	select {
	case answer := <-e.answers:
		if err, ok := answer.(error); ok {
			return comfreyworks.CacheChanges{}, err
		}
		return answer.(comfreyworks.CacheChanges), nil
	case <-ctx.Done():
		return comfreyworks.CacheChanges{}, ctx.Err()
	}
}

func oneReader() int { return 1 }

func cacheChange(id string, tokens int) []comfreyworks.CacheChange {
	return []comfreyworks.CacheChange{{CacheSalt: "s", Model: "oak", PartID: id, Tokens: tokens}}
}

// pollAnswers polls one engine that gives the answers. It returns how many tokens
// of the parts "a" and "b" the index then contains, and the sequence number of
// each poll.
func pollAnswers(t *testing.T, answers ...any) (a, b int, requested []uint64) {
	t.Helper()
	engine := &fakeEngine{answers: make(chan any)}
	index := holdings.New()
	w := New(Options{Source: engine, Index: index, ReaderCount: oneReader, Clock: clockwork.NewRealClock(), Logger: zap.NewNop()})
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		w.poll(ctx, Target{ID: "e"})
		return nil
	})
	for _, answer := range answers {
		engine.answers <- answer
	}
	// One more poll means that the last answer has been applied.
	waitForRequests(engine, len(answers)+1)
	count := func(id string) int {
		return index.PrefixTokens("s", "oak", []comfreyworks.PromptPart{{ID: id, Tokens: 100}})["e"]
	}
	a, b = count("a"), count("b")
	stop()
	assert.NilError(t, group.Wait())
	assert.Equal(t, count("a")+count("b"), 0, "removed when polling stops")
	return a, b, engine.requested
}

func waitForRequests(engine *fakeEngine, n int) {
	for {
		engine.mu.Lock()
		requests := len(engine.requested)
		engine.mu.Unlock()
		if requests >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestPoll(t *testing.T) {
	t.Run("continues after the last answer", func(t *testing.T) {
		a, b, requested := pollAnswers(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: cacheChange("a", 100)},
			comfreyworks.CacheChanges{Incarnation: 1, Next: 9, Changes: cacheChange("b", 100)})
		assert.Equal(t, a, 100)
		assert.Equal(t, b, 100)
		assert.DeepEqual(t, requested, []uint64{0, 4, 9})
	})
	t.Run("a restart removes the earlier parts", func(t *testing.T) {
		a, b, _ := pollAnswers(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: cacheChange("a", 100)},
			comfreyworks.CacheChanges{Incarnation: 2, Next: 1, Changes: cacheChange("b", 100)})
		assert.Equal(t, a, 0)
		assert.Equal(t, b, 100)
	})
	t.Run("lost changes remove the earlier parts", func(t *testing.T) {
		a, b, _ := pollAnswers(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: cacheChange("a", 100)},
			comfreyworks.CacheChanges{Incarnation: 1, Next: 40, Lost: true, Changes: cacheChange("b", 100)})
		assert.Equal(t, a, 0)
		assert.Equal(t, b, 100)
	})
	t.Run("one failed poll changes nothing", func(t *testing.T) {
		a, _, requested := pollAnswers(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: cacheChange("a", 100)}, errors.New("no answer"))
		assert.Equal(t, a, 100)
		assert.DeepEqual(t, requested, []uint64{0, 4, 4})
	})

	t.Run("the parts of a target that is down are removed, and it is read from the start when it is back", func(t *testing.T) {
		a, b, requested := pollAnswers(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: cacheChange("a", 100)},
			errors.New("no answer"), errors.New("no answer"),
			comfreyworks.CacheChanges{Incarnation: 1, Next: 9, Changes: cacheChange("b", 100)})
		assert.Equal(t, a, 0)
		assert.Equal(t, b, 100)
		assert.DeepEqual(t, requested, []uint64{0, 4, 4, 0, 9})
	})
}

// TestSchedule guards against many gateways exceeding the number of concurrent
// polls that an engine allows.
func TestSchedule(t *testing.T) {
	tests := []struct{ maxReaders, readers int }{{12, 4}, {12, 9}, {12, 24}, {8, 24}, {8, 28}, {12, 340}, {1, 3}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d readers of a target that allows %d", test.readers, test.maxReaders), func(t *testing.T) {
			wait, pause := pollSchedule(test.maxReaders, test.readers)
			waiting := float64(test.readers) * float64(wait) / float64(wait+pause)
			assert.Assert(t, waiting <= float64(test.maxReaders), "%.1f concurrent polls", waiting)
			assert.Assert(t, wait >= minWait)
		})
	}
	t.Run("no limit", func(t *testing.T) {
		wait, pause := pollSchedule(0, 1000)
		assert.Equal(t, wait, defaultWait)
		assert.Equal(t, pause, time.Duration(0))
	})
}

// TestLongOutage guards against a pause that shrinks again during a long outage,
// for example because doubling it overflows.
func TestLongOutage(t *testing.T) {
	pause := time.Duration(0)
	for failures := range 200 {
		next := backoff(failures)
		assert.Assert(t, next >= pause && next <= maxBackoff, "%s after %d failures", next, failures)
		pause = next
	}
	assert.Equal(t, pause, maxBackoff)
}

func TestReconcile(t *testing.T) {
	engine := &fakeEngine{answers: make(chan any)}
	targets := []Target{{ID: "a"}, {ID: "b"}}
	w := New(Options{
		Source: engine, Index: holdings.New(), Clock: clockwork.NewRealClock(), Logger: zap.NewNop(),
		Targets: func() []Target { return targets }, ReaderCount: oneReader,
	})
	cancels := make(map[Target]context.CancelFunc)
	ctx, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	w.reconcile(ctx, group, cancels)
	assert.Equal(t, len(cancels), 2)
	targets = []Target{{ID: "b"}, {ID: "c"}}
	w.reconcile(ctx, group, cancels)
	assert.Assert(t, cancels[Target{ID: "a"}] == nil && cancels[Target{ID: "c"}] != nil)
	stop()
	assert.NilError(t, group.Wait())
}

// TestAnswersWithoutProgress guards against a target that keeps a gateway busy by
// answering polls at once without anything new.
func TestAnswersWithoutProgress(t *testing.T) {
	engine := &fakeEngine{answers: make(chan any)}
	clock := clockwork.NewFakeClock()
	w := New(Options{Source: engine, Index: holdings.New(), ReaderCount: oneReader, Clock: clock, Logger: zap.NewNop()})
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		w.poll(ctx, Target{ID: "e"})
		return nil
	})
	for range 2 {
		engine.answers <- comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: cacheChange("a", 100)}
	}
	blockCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	assert.NilError(t, clock.BlockUntilContext(blockCtx, 1))
	stop()
	assert.NilError(t, group.Wait())
}
