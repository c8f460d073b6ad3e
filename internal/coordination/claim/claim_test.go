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

// fakeService counts the runs of each key and returns the errors of nextError.
type fakeService struct {
	mu   sync.Mutex
	runs map[string]int
	// nextError returns the error of a call. With errNotSent the call does not
	// run; with any other error it runs first.
	nextError func() error
	// release, if set, blocks calls inside the service until it is closed.
	release chan struct{}
	entered chan struct{}
}

var (
	errNotSent = fmt.Errorf("dial: %w", comfreyworks.ErrNotSent)
	errBroken  = errors.New("connection reset")
)

func newFakeService() *fakeService {
	return &fakeService{runs: make(map[string]int), nextError: func() error { return nil }, entered: make(chan struct{}, 64)}
}

func (s *fakeService) Do(_ context.Context, call comfreyworks.ServiceCall) (comfreyworks.ServiceAnswer, error) {
	s.mu.Lock()
	err := s.nextError()
	if !errors.Is(err, comfreyworks.ErrNotSent) {
		s.runs[call.IdempotencyKey]++
	}
	s.mu.Unlock()
	s.entered <- struct{}{}
	if s.release != nil {
		<-s.release
	}
	return comfreyworks.ServiceAnswer{Status: 200, Body: []byte("done")}, err
}

func (s *fakeService) runCount(key string) int {
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

// clockStep is how far each step advances the fake clock.
const clockStep = 5 * time.Millisecond

// newFixture starts n executors and a goroutine that advances the fake clock.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClockAt(time.Now()), service: newFakeService()}
	f.log = logservice.NewLog(logservice.LogOptions{Clock: f.clock, AppendsPerSecond: 300})
	var group errgroup.Group
	var done atomic.Bool
	group.Go(func() error {
		for !done.Load() {
			f.clock.Advance(clockStep)
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
		// The clock must advance until every executor has returned.
		time.AfterFunc(50*time.Millisecond, func() { done.Store(true) })
		assert.NilError(t, group.Wait())
	})
	return f
}

func (f *fixture) newKey() string { return uuid.Must(uuid.NewV7()).String() }

func newAttempt(key, body string) comfreyworks.ServiceAttempt {
	return comfreyworks.ServiceAttempt{Workspace: "w", Call: comfreyworks.ServiceCall{
		Method: "POST", Path: "/bookings", Body: []byte(body), IdempotencyKey: key,
	}}
}

// expectRun makes a call, checks its run state and returns its outcome.
func (f *fixture) expectRun(t *testing.T, executor int, key string, run comfreyworks.RunState) comfreyworks.ServiceOutcome {
	t.Helper()
	outcome := f.executors[executor].Do(context.Background(), newAttempt(key, "crew 7"))
	assert.Equal(t, outcome.Run, run, outcome.Detail)
	return outcome
}

func TestDo(t *testing.T) {
	t.Run("a repeated call gets the recorded answer from every executor", func(t *testing.T) {
		f := newFixture(t, 2)
		key := f.newKey()
		first := f.expectRun(t, 0, key, comfreyworks.RunStateRan)
		assert.DeepEqual(t, f.expectRun(t, 0, key, comfreyworks.RunStateRan).Answer, first.Answer)
		assert.DeepEqual(t, f.expectRun(t, 1, key, comfreyworks.RunStateRan).Answer, first.Answer)
		assert.Equal(t, f.service.runCount(key), 1)
	})
	t.Run("concurrent calls with one key run once and get one answer", func(t *testing.T) {
		f := newFixture(t, 3)
		key := f.newKey()
		var group errgroup.Group
		for i := range 9 {
			group.Go(func() error {
				outcome := f.executors[i%3].Do(context.Background(), newAttempt(key, "crew 7"))
				if outcome.Run != comfreyworks.RunStateRan || string(outcome.Answer.Body) != "done" {
					return fmt.Errorf("got %+v", outcome)
				}
				return nil
			})
		}
		assert.NilError(t, group.Wait())
		assert.Equal(t, f.service.runCount(key), 1)
	})
	t.Run("a call runs once although the log's responses to appends are lost", func(t *testing.T) {
		f := newFixture(t, 1)
		f.log.LoseAnswers(3)
		key := f.newKey()
		f.expectRun(t, 0, key, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.runCount(key), 1)
	})
	t.Run("a used key with another body is a conflict", func(t *testing.T) {
		f := newFixture(t, 1)
		key := f.newKey()
		f.expectRun(t, 0, key, comfreyworks.RunStateRan)
		outcome := f.executors[0].Do(context.Background(), newAttempt(key, "crew 8"))
		assert.Assert(t, outcome.Conflict)
		assert.Equal(t, f.service.runCount(key), 1)
	})
	t.Run("the same key in another workspace is independent", func(t *testing.T) {
		f := newFixture(t, 1)
		key := f.newKey()
		f.expectRun(t, 0, key, comfreyworks.RunStateRan)
		other := newAttempt(key, "crew 7")
		other.Workspace = "v"
		assert.Equal(t, f.executors[0].Do(context.Background(), other).Run, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.runCount(key), 2)
	})
	t.Run("a key older than the window is unknown", func(t *testing.T) {
		f := newFixture(t, 1)
		key := f.newKey()
		f.clock.Advance(2 * time.Hour)
		f.expectRun(t, 0, key, comfreyworks.RunStateUnknown)
		assert.Equal(t, f.service.runCount(key), 0)
	})
}

func TestLogDown(t *testing.T) {
	f := newFixture(t, 2)
	key := f.newKey()
	f.expectRun(t, 0, f.newKey(), comfreyworks.RunStateRan)
	f.log.SetOutage(true)
	outcome := f.expectRun(t, 0, key, comfreyworks.RunStateNotRun)
	assert.Equal(t, outcome.Refusal.Reason, comfreyworks.RefusedLogDown)
	assert.Assert(t, outcome.Refusal.RetryAfter > 0)
	f.log.SetOutage(false)
	f.expectRun(t, 1, key, comfreyworks.RunStateRan)
	assert.Equal(t, f.service.runCount(key), 1)
}

func TestServiceFaults(t *testing.T) {
	t.Run("a call that was not sent can run on another executor", func(t *testing.T) {
		f := newFixture(t, 2)
		key := f.newKey()
		f.service.nextError = func() error { return errNotSent }
		f.expectRun(t, 0, key, comfreyworks.RunStateNotRun)
		f.service.mu.Lock()
		f.service.nextError = func() error { return nil }
		f.service.mu.Unlock()
		f.expectRun(t, 1, key, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.runCount(key), 1)
	})
	t.Run("a lost answer leaves the outcome unknown", func(t *testing.T) {
		f := newFixture(t, 2)
		key := f.newKey()
		f.service.nextError = func() error { return errBroken }
		f.expectRun(t, 0, key, comfreyworks.RunStateUnknown)
		f.expectRun(t, 1, key, comfreyworks.RunStateUnknown)
		assert.Equal(t, f.service.runCount(key), 1)
	})
	t.Run("no other executor runs the call of a paused holder", func(t *testing.T) {
		f := newFixture(t, 2)
		f.service.release = make(chan struct{})
		key := f.newKey()
		var group errgroup.Group
		group.Go(func() error {
			outcome := f.executors[0].Do(context.Background(), newAttempt(key, "crew 7"))
			if outcome.Run != comfreyworks.RunStateRan {
				return fmt.Errorf("got %+v", outcome)
			}
			return nil
		})
		<-f.service.entered
		f.expectRun(t, 1, key, comfreyworks.RunStateUnknown)
		close(f.service.release)
		assert.NilError(t, group.Wait())
		f.expectRun(t, 1, key, comfreyworks.RunStateRan)
		assert.Equal(t, f.service.runCount(key), 1)
	})
	t.Run("a stopped holder leaves the outcome unknown", func(t *testing.T) {
		f := newFixture(t, 2)
		f.service.release = make(chan struct{})
		key := f.newKey()
		var group errgroup.Group
		group.Go(func() error {
			f.executors[0].Do(context.Background(), newAttempt(key, "crew 7"))
			return nil
		})
		<-f.service.entered
		f.stop[0]()
		f.expectRun(t, 1, key, comfreyworks.RunStateUnknown)
		assert.Equal(t, f.service.runCount(key), 1)
		close(f.service.release)
		assert.NilError(t, group.Wait())
	})
}

func TestCheckKey(t *testing.T) {
	now := time.Now()
	_, err := CheckKey("b-1", now)
	assert.ErrorContains(t, err, string(KindInvalidKey))
	_, err = CheckKey(uuid.NewString(), now)
	assert.ErrorContains(t, err, "version 7")
	_, err = CheckKey(uuid.Must(uuid.NewV7()).String(), now.Add(-time.Hour))
	assert.ErrorContains(t, err, "future")
	issued, err := CheckKey(uuid.Must(uuid.NewV7()).String(), now)
	assert.NilError(t, err)
	assert.Assert(t, issued.Sub(now).Abs() < time.Minute)
}

// runWithFaults makes calls with three keys on three executors while the log and
// the service fail at random. It returns how often each key ran and the run
// states that its callers got.
func runWithFaults(t *testing.T, seed uint64, skipReadBack bool) (map[string]int, map[string][]comfreyworks.RunState) {
	f := newFixture(t, 3)
	for _, executor := range f.executors {
		executor.skipReadBack = skipReadBack
	}
	random := rand.New(rand.NewPCG(seed, 0))
	f.service.nextError = func() error {
		return []error{nil, nil, nil, errNotSent, errBroken}[random.IntN(5)]
	}
	reported := make(map[string][]comfreyworks.RunState)
	var mu sync.Mutex
	var group errgroup.Group
	keys := []string{f.newKey(), f.newKey(), f.newKey()}
	schedule := rand.New(rand.NewPCG(seed, 1))
	for i := range 12 {
		key := keys[schedule.IntN(len(keys))]
		executor := f.executors[schedule.IntN(len(f.executors))]
		group.Go(func() error {
			outcome := executor.Do(context.Background(), newAttempt(key, "crew 7"))
			mu.Lock()
			defer mu.Unlock()
			reported[key] = append(reported[key], outcome.Run)
			return nil
		})
		switch schedule.IntN(6) {
		case 0:
			f.log.LoseAnswers(1)
		case 1:
			f.log.SetOutage(i%2 == 0)
		case 2:
			f.log.SetDelay(time.Duration(schedule.IntN(40)) * time.Millisecond)
		}
		time.Sleep(time.Duration(schedule.IntN(300)) * time.Microsecond)
	}
	f.log.SetOutage(false)
	_ = group.Wait()
	return f.service.runs, reported
}

// violations compares how often each key ran with the reported run states and
// describes each contradiction.
func violations(runs map[string]int, reported map[string][]comfreyworks.RunState) []string {
	var found []string
	for key, states := range reported {
		if runs[key] > 1 {
			found = append(found, "ran twice")
		}
		for _, state := range states {
			if state == comfreyworks.RunStateRan && runs[key] == 0 {
				found = append(found, "reported as run, but did not run")
			}
		}
		if allNotRun(states) && runs[key] > 0 {
			found = append(found, "reported as not run, but ran")
		}
	}
	return found
}

func allNotRun(states []comfreyworks.RunState) bool {
	for _, state := range states {
		if state != comfreyworks.RunStateNotRun {
			return false
		}
	}
	return true
}

const faultSeeds = 40

func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runs, reported := runWithFaults(t, seed, false)
			assert.Equal(t, len(violations(runs, reported)), 0, "%v", violations(runs, reported))
		})
	}
}

// TestFaultChecksDetectMissingReadBack runs the checks of TestRandomFaults on
// executors that do not read their claims back. The checks must find violations.
func TestFaultChecksDetectMissingReadBack(t *testing.T) {
	detected := 0
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runs, reported := runWithFaults(t, seed, true)
			detected += len(violations(runs, reported))
		})
	}
	assert.Assert(t, detected > 0)
}
