package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/standin/logservice"
)

// fakeService counts what it runs and fails as it is told.
type fakeService struct {
	mu   sync.Mutex
	runs map[string]int
	// fault decides on the error of a call: errNotSent comes before the call
	// has run, any other one after.
	fault func() error
	// hold keeps calls inside the service until it is closed.
	hold    chan struct{}
	entered chan struct{}
}

var (
	errNotSent = fmt.Errorf("dial: %w", comfreyworks.ErrNotSent)
	errBroken  = errors.New("connection reset")
)

func newService() *fakeService {
	return &fakeService{runs: make(map[string]int), fault: func() error { return nil }, entered: make(chan struct{}, 64)}
}

func (s *fakeService) Do(_ context.Context, call comfreyworks.ServiceCall) (comfreyworks.ServiceAnswer, error) {
	s.mu.Lock()
	err := s.fault()
	if !errors.Is(err, comfreyworks.ErrNotSent) {
		s.runs[call.IdempotencyKey]++
	}
	s.mu.Unlock()
	s.entered <- struct{}{}
	if s.hold != nil {
		<-s.hold
	}
	return comfreyworks.ServiceAnswer{Status: 200, Body: []byte("done")}, err
}

func (s *fakeService) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// fixture is a pool of executors in front of one service.
type fixture struct {
	clock     *clockwork.FakeClock
	log       *logservice.Log
	service   *fakeService
	executors []*Executor
	stop      []context.CancelFunc
}

// tick is the step of the clock.
const tick = 5 * time.Millisecond

// newFixture runs executors on a clock that a goroutine moves on.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClockAt(time.Now()), service: newService()}
	f.log = logservice.NewLog(logservice.LogOptions{Clock: f.clock, AppendsPerSecond: 300})
	var group errgroup.Group
	var done atomic.Bool
	group.Go(func() error {
		for !done.Load() {
			f.clock.Advance(tick)
			time.Sleep(20 * time.Microsecond)
		}
		return nil
	})
	for range n {
		ctx, cancel := context.WithCancel(context.Background())
		e := New(Options{
			Log: f.log, Service: f.service, Clock: f.clock, Logger: zap.NewNop(),
			Stream: "claims/x", Window: time.Hour,
		})
		f.executors = append(f.executors, e)
		f.stop = append(f.stop, cancel)
		group.Go(func() error { return e.Run(ctx) })
	}
	t.Cleanup(func() {
		for _, cancel := range f.stop {
			cancel()
		}
		// The clock goes on until every executor has ended.
		time.AfterFunc(50*time.Millisecond, func() { done.Store(true) })
		assert.NilError(t, group.Wait())
	})
	return f
}

func (f *fixture) newKey() string { return uuid.Must(uuid.NewV7()).String() }

func work(key, body string) comfreyworks.ServiceAttempt {
	return comfreyworks.ServiceAttempt{Workspace: "w", Call: comfreyworks.ServiceCall{
		Method: "POST", Path: "/bookings", Body: []byte(body), IdempotencyKey: key,
	}}
}

// expect makes a call and checks what it says.
func (f *fixture) expect(t *testing.T, executor int, key string, run comfreyworks.RunState) comfreyworks.ServiceOutcome {
	t.Helper()
	outcome := f.executors[executor].Do(context.Background(), work(key, "crew 7"))
	assert.Equal(t, outcome.Run, run, outcome.Detail)
	return outcome
}

func TestDo(t *testing.T) {
	t.Run("runs, and is replayed from everywhere", func(t *testing.T) {
		f := newFixture(t, 2)
		key := f.newKey()
		first := f.expect(t, 0, key, comfreyworks.RunStateRan)
		assert.DeepEqual(t, f.expect(t, 0, key, comfreyworks.RunStateRan).Answer, first.Answer)
		assert.DeepEqual(t, f.expect(t, 1, key, comfreyworks.RunStateRan).Answer, first.Answer)
		assert.Equal(t, f.service.count(key), 1)
	})
	t.Run("a race has one winner and one answer", func(t *testing.T) {
		f := newFixture(t, 3)
		key := f.newKey()
		var group errgroup.Group
		for i := range 9 {
			group.Go(func() error {
				outcome := f.executors[i%3].Do(context.Background(), work(key, "crew 7"))
				if outcome.Run != comfreyworks.RunStateRan || string(outcome.Answer.Body) != "done" {
					return fmt.Errorf("got %+v", outcome)
				}
				return nil
			})
		}
		assert.NilError(t, group.Wait())
		assert.Equal(t, f.service.count(key), 1)
	})
	t.Run("lost answers of the log", func(t *testing.T) {
		f := newFixture(t, 1)
		f.log.LoseAnswers(3)
		key := f.newKey()
		f.expect(t, 0, key, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.count(key), 1)
	})
	t.Run("another body under a used key", func(t *testing.T) {
		f := newFixture(t, 1)
		key := f.newKey()
		f.expect(t, 0, key, comfreyworks.RunStateRan)
		outcome := f.executors[0].Do(context.Background(), work(key, "crew 8"))
		assert.Assert(t, outcome.Conflict)
		assert.Equal(t, f.service.count(key), 1)
	})
	t.Run("the same key of another workspace is another key", func(t *testing.T) {
		f := newFixture(t, 1)
		key := f.newKey()
		f.expect(t, 0, key, comfreyworks.RunStateRan)
		other := work(key, "crew 7")
		other.Workspace = "v"
		assert.Equal(t, f.executors[0].Do(context.Background(), other).Run, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.count(key), 2)
	})
	t.Run("a key older than the window", func(t *testing.T) {
		f := newFixture(t, 1)
		key := f.newKey()
		f.clock.Advance(2 * time.Hour)
		f.expect(t, 0, key, comfreyworks.RunStateUnknown)
		assert.Equal(t, f.service.count(key), 0)
	})
}

func TestLogDown(t *testing.T) {
	f := newFixture(t, 2)
	key := f.newKey()
	f.expect(t, 0, f.newKey(), comfreyworks.RunStateRan)
	f.log.SetOutage(true)
	outcome := f.expect(t, 0, key, comfreyworks.RunStateNotRun)
	assert.Equal(t, outcome.Refusal.Reason, comfreyworks.RefusedLogDown)
	assert.Assert(t, outcome.Refusal.RetryAfter > 0)
	f.log.SetOutage(false)
	f.expect(t, 1, key, comfreyworks.RunStateRan)
	assert.Equal(t, f.service.count(key), 1)
}

func TestServiceFaults(t *testing.T) {
	t.Run("not reached, then elsewhere", func(t *testing.T) {
		f := newFixture(t, 2)
		key := f.newKey()
		f.service.fault = func() error { return errNotSent }
		f.expect(t, 0, key, comfreyworks.RunStateNotRun)
		f.service.mu.Lock()
		f.service.fault = func() error { return nil }
		f.service.mu.Unlock()
		f.expect(t, 1, key, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.count(key), 1)
	})
	t.Run("answer lost after it took effect", func(t *testing.T) {
		f := newFixture(t, 2)
		key := f.newKey()
		f.service.fault = func() error { return errBroken }
		f.expect(t, 0, key, comfreyworks.RunStateUnknown)
		f.expect(t, 1, key, comfreyworks.RunStateUnknown)
		assert.Equal(t, f.service.count(key), 1)
	})
	t.Run("a holder that is paused has no successor", func(t *testing.T) {
		f := newFixture(t, 2)
		f.service.hold = make(chan struct{})
		key := f.newKey()
		var group errgroup.Group
		group.Go(func() error {
			outcome := f.executors[0].Do(context.Background(), work(key, "crew 7"))
			if outcome.Run != comfreyworks.RunStateRan {
				return fmt.Errorf("got %+v", outcome)
			}
			return nil
		})
		<-f.service.entered
		f.expect(t, 1, key, comfreyworks.RunStateUnknown)
		close(f.service.hold)
		assert.NilError(t, group.Wait())
		f.expect(t, 1, key, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.count(key), 1)
	})
	t.Run("a holder that is killed leaves the outcome unknown", func(t *testing.T) {
		f := newFixture(t, 2)
		f.service.hold = make(chan struct{})
		key := f.newKey()
		var group errgroup.Group
		group.Go(func() error {
			f.executors[0].Do(context.Background(), work(key, "crew 7"))
			return nil
		})
		<-f.service.entered
		f.stop[0]()
		f.expect(t, 1, key, comfreyworks.RunStateUnknown)
		assert.Equal(t, f.service.count(key), 1)
		close(f.service.hold)
		assert.NilError(t, group.Wait())
	})
}

func TestCheckKey(t *testing.T) {
	now := time.Now()
	_, err := CheckKey("b-1", now)
	assert.ErrorContains(t, err, string(KindKey))
	_, err = CheckKey(uuid.NewString(), now)
	assert.ErrorContains(t, err, "version 7")
	_, err = CheckKey(uuid.Must(uuid.NewV7()).String(), now.Add(-time.Hour))
	assert.ErrorContains(t, err, "future")
	issued, err := CheckKey(uuid.Must(uuid.NewV7()).String(), now)
	assert.NilError(t, err)
	assert.Assert(t, issued.Sub(now).Abs() < time.Minute)
}

// runFaulty lets several executors work on a few keys while the log and the
// service fail at random, and returns how often each key ran and what its
// callers were told.
func runFaulty(t *testing.T, seed uint64, skipReadBack bool) (map[string]int, map[string][]comfreyworks.RunState) {
	f := newFixture(t, 3)
	for _, executor := range f.executors {
		executor.skipReadBack = skipReadBack
	}
	random := rand.New(rand.NewPCG(seed, 0))
	f.service.fault = func() error {
		return []error{nil, nil, nil, errNotSent, errBroken}[random.IntN(5)]
	}
	told := make(map[string][]comfreyworks.RunState)
	var mu sync.Mutex
	var group errgroup.Group
	keys := []string{f.newKey(), f.newKey(), f.newKey()}
	plan := rand.New(rand.NewPCG(seed, 1))
	for i := range 12 {
		key := keys[plan.IntN(len(keys))]
		executor := f.executors[plan.IntN(len(f.executors))]
		group.Go(func() error {
			outcome := executor.Do(context.Background(), work(key, "crew 7"))
			mu.Lock()
			defer mu.Unlock()
			told[key] = append(told[key], outcome.Run)
			return nil
		})
		switch plan.IntN(6) {
		case 0:
			f.log.LoseAnswers(1)
		case 1:
			f.log.SetOutage(i%2 == 0)
		case 2:
			f.log.SetSlow(time.Duration(plan.IntN(40)) * time.Millisecond)
		}
		time.Sleep(time.Duration(plan.IntN(300)) * time.Microsecond)
	}
	f.log.SetOutage(false)
	_ = group.Wait()
	return f.service.runs, told
}

// violations lists the promises that a run broke.
func violations(runs map[string]int, told map[string][]comfreyworks.RunState) []string {
	var broken []string
	for key, answers := range told {
		if runs[key] > 1 {
			broken = append(broken, "ran twice")
		}
		for _, answer := range answers {
			if answer == comfreyworks.RunStateRan && runs[key] == 0 {
				broken = append(broken, "told that it ran, and it did not")
			}
		}
		if allNotRun(answers) && runs[key] > 0 {
			broken = append(broken, "told that it did not run, and it did")
		}
	}
	return broken
}

func allNotRun(answers []comfreyworks.RunState) bool {
	for _, answer := range answers {
		if answer != comfreyworks.RunStateNotRun {
			return false
		}
	}
	return true
}

const faultySeeds = 40

func TestFaultyRuns(t *testing.T) {
	for seed := range uint64(faultySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runs, told := runFaulty(t, seed, false)
			assert.Equal(t, len(violations(runs, told)), 0, "%v", violations(runs, told))
		})
	}
}

// TestBrokenBuildIsCaught runs the same check on an executor that does not
// read its claim back. The check must notice.
func TestBrokenBuildIsCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(faultySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runs, told := runFaulty(t, seed, true)
			caught += len(violations(runs, told))
		})
	}
	assert.Assert(t, caught > 0)
}
