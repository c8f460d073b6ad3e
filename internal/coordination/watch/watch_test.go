package watch

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
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

// fakeEngine answers one question for each entry that a test sends.
type fakeEngine struct {
	answers chan any
	mu      sync.Mutex
	asked   []uint64
}

// CacheChanges implements comfreyworks.CacheSource.
func (e *fakeEngine) CacheChanges(ctx context.Context, _ netip.AddrPort, after uint64, _ time.Duration) (comfreyworks.CacheChanges, error) {
	e.mu.Lock()
	e.asked = append(e.asked, after)
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

func alone() int { return 1 }

func held(id string, tokens int) []comfreyworks.CacheChange {
	return []comfreyworks.CacheChange{{CacheSalt: "s", Model: "oak", PartID: id, Tokens: tokens}}
}

// follow feeds answers to a follower of one engine and returns what is known of
// the part "a" and "b" afterwards, and the numbers asked from.
func follow(t *testing.T, answers ...any) (a, b int, asked []uint64) {
	t.Helper()
	engine := &fakeEngine{answers: make(chan any)}
	index := holdings.New()
	w := New(Options{Source: engine, Index: index, Followers: alone, Clock: clockwork.NewRealClock(), Logger: zap.NewNop()})
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		w.follow(ctx, Target{ID: "e"})
		return nil
	})
	for _, answer := range answers {
		engine.answers <- answer
	}
	// One more question means that the last answer has been taken in.
	waitForQuestions(engine, len(answers)+1)
	count := func(id string) int {
		return index.Prefix("s", "oak", []comfreyworks.PromptPart{{ID: id, Tokens: 100}})["e"]
	}
	a, b = count("a"), count("b")
	stop()
	assert.NilError(t, group.Wait())
	assert.Equal(t, count("a")+count("b"), 0, "forgotten when nobody follows any more")
	return a, b, engine.asked
}

func waitForQuestions(engine *fakeEngine, n int) {
	for {
		engine.mu.Lock()
		asked := len(engine.asked)
		engine.mu.Unlock()
		if asked >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestFollow(t *testing.T) {
	t.Run("goes on behind the last answer", func(t *testing.T) {
		a, b, asked := follow(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: held("a", 100)},
			comfreyworks.CacheChanges{Incarnation: 1, Next: 9, Changes: held("b", 100)})
		assert.Equal(t, a, 100)
		assert.Equal(t, b, 100)
		assert.DeepEqual(t, asked, []uint64{0, 4, 9})
	})
	t.Run("a restart empties the engine", func(t *testing.T) {
		a, b, _ := follow(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: held("a", 100)},
			comfreyworks.CacheChanges{Incarnation: 2, Next: 1, Changes: held("b", 100)})
		assert.Equal(t, a, 0)
		assert.Equal(t, b, 100)
	})
	t.Run("what is missing makes everything unknown", func(t *testing.T) {
		a, b, _ := follow(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: held("a", 100)},
			comfreyworks.CacheChanges{Incarnation: 1, Next: 40, Lost: true, Changes: held("b", 100)})
		assert.Equal(t, a, 0)
		assert.Equal(t, b, 100)
	})
	t.Run("no answer changes nothing", func(t *testing.T) {
		a, _, asked := follow(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: held("a", 100)}, errors.New("no answer"))
		assert.Equal(t, a, 100)
		assert.DeepEqual(t, asked, []uint64{0, 4, 4})
	})

	t.Run("a target that is down holds nothing and tells all when it is back", func(t *testing.T) {
		a, b, asked := follow(t,
			comfreyworks.CacheChanges{Incarnation: 1, Next: 4, Changes: held("a", 100)},
			errors.New("no answer"), errors.New("no answer"),
			comfreyworks.CacheChanges{Incarnation: 1, Next: 9, Changes: held("b", 100)})
		assert.Equal(t, a, 0)
		assert.Equal(t, b, 100)
		assert.DeepEqual(t, asked, []uint64{0, 4, 4, 0, 9})
	})
}

// TestSchedule is the load of many gateways on few engines.
func TestSchedule(t *testing.T) {
	tests := []struct{ readers, followers int }{{12, 4}, {12, 9}, {12, 24}, {8, 24}, {8, 28}, {12, 340}, {1, 3}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d followers of a target that bears %d", test.followers, test.readers), func(t *testing.T) {
			wait, pause := schedule(test.readers, test.followers)
			waiting := float64(test.followers) * float64(wait) / float64(wait+pause)
			assert.Assert(t, waiting <= float64(test.readers), "%.1f wait at once", waiting)
			assert.Assert(t, wait >= sharedWait)
		})
	}
	t.Run("no bound", func(t *testing.T) {
		wait, pause := schedule(0, 1000)
		assert.Equal(t, wait, eventWait)
		assert.Equal(t, pause, time.Duration(0))
	})
}

// TestLongOutage is a target that stays down: the pause must not shrink again.
func TestLongOutage(t *testing.T) {
	pause := time.Duration(0)
	for failures := range 200 {
		next := pauseAfter(failures)
		assert.Assert(t, next >= pause && next <= maxPause, "%s after %d failures", next, failures)
		pause = next
	}
	assert.Equal(t, pause, maxPause)
}

func TestReconcile(t *testing.T) {
	engine := &fakeEngine{answers: make(chan any)}
	targets := []Target{{ID: "a"}, {ID: "b"}}
	w := New(Options{
		Source: engine, Index: holdings.New(), Clock: clockwork.NewRealClock(), Logger: zap.NewNop(),
		Targets: func() []Target { return targets }, Followers: alone,
	})
	following := make(map[Target]context.CancelFunc)
	ctx, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	w.reconcile(ctx, group, following)
	assert.Equal(t, len(following), 2)
	targets = []Target{{ID: "b"}, {ID: "c"}}
	w.reconcile(ctx, group, following)
	assert.Assert(t, following[Target{ID: "a"}] == nil && following[Target{ID: "c"}] != nil)
	stop()
	assert.NilError(t, group.Wait())
}
