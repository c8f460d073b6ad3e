package dispatch

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
	"comfreyworks/internal/coordination/membership"
	"comfreyworks/internal/standin/logservice"
	"comfreyworks/internal/state/settings"
)

// fakeSidecar returns scripted results and records the calls that it receives.
type fakeSidecar struct {
	refusal  *comfreyworks.Refusal
	startErr error
	// unansweredStarts is the number of starts without an answer before the
	// first with one.
	unansweredStarts int
	// reads holds the results of Read in order; the last one is repeated.
	reads   []readResult
	outcome comfreyworks.ServiceOutcome
	callErr error

	started   []comfreyworks.GenerateAttempt
	read      int
	cancelled int
	called    int
}

type readResult struct {
	update comfreyworks.StreamUpdate
	err    error
}

func (s *fakeSidecar) Start(_ context.Context, attempt comfreyworks.GenerateAttempt) (*comfreyworks.Refusal, error) {
	s.started = append(s.started, attempt)
	if len(s.started) <= s.unansweredStarts {
		return nil, errNoAnswer
	}
	return s.refusal, s.startErr
}

func (s *fakeSidecar) Read(_ context.Context, _ comfreyworks.StreamID, _ int, _ time.Duration) (comfreyworks.StreamUpdate, error) {
	result := s.reads[min(s.read, len(s.reads)-1)]
	s.read++
	return result.update, result.err
}

func (s *fakeSidecar) Cancel(context.Context, comfreyworks.StreamID) error {
	s.cancelled++
	return nil
}

func (s *fakeSidecar) Call(context.Context, comfreyworks.ServiceAttempt) (comfreyworks.ServiceOutcome, error) {
	s.called++
	return s.outcome, s.callErr
}

func (s *fakeSidecar) Place(context.Context, comfreyworks.PlaceRequest, time.Duration) (comfreyworks.Placement, error) {
	return comfreyworks.Placement{}, errors.New("no directory")
}

type fakeSidecars []*fakeSidecar

func (s fakeSidecars) Sidecar(instance comfreyworks.Instance) comfreyworks.Sidecar {
	return s[instance.Address.Port()]
}

func frames(text string) []string { return strings.Split(text, "") }

func partial(text string) readResult {
	return readResult{update: comfreyworks.StreamUpdate{Frames: frames(text)}}
}

func last(text string, reason comfreyworks.EndReason) readResult {
	var all []string
	if text != "" {
		all = frames(text)
	}
	return readResult{update: comfreyworks.StreamUpdate{Frames: all, End: &comfreyworks.StreamEnd{Reason: reason}}}
}

var (
	errNoAnswer   = fmt.Errorf("start: %w", comfreyworks.ErrNoAnswer)
	errNotSent    = fmt.Errorf("dial: %w", comfreyworks.ErrNotSent)
	unknownStream = readResult{update: comfreyworks.StreamUpdate{Unknown: true}}
	noAnswer      = readResult{err: errNoAnswer}
)

// instantClock is a clock whose After fires at once.
type instantClock struct{ clockwork.Clock }

func (instantClock) After(time.Duration) <-chan time.Time {
	passed := make(chan time.Time, 1)
	passed <- time.Time{}
	return passed
}

func newDispatcher(sidecars fakeSidecars) *Dispatcher {
	return newDispatcherFor(len(sidecars), sidecars, instantClock{clockwork.NewRealClock()})
}

// newDispatcherFor returns a dispatcher whose pool has n sidecars.
func newDispatcherFor(n int, sidecars comfreyworks.SidecarClients, clock comfreyworks.Clock) *Dispatcher {
	list := logservice.NewList(clock, 0)
	var instances []comfreyworks.Instance
	for i := range n {
		instance := comfreyworks.Instance{
			ID: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i)), Role: comfreyworks.RoleSidecar, Pool: "lm",
			State: comfreyworks.InstanceLive, Address: address(i),
		}
		instances = append(instances, instance)
	}
	list.Set(instances)
	view := membership.New(membership.Options{List: list, Clock: clock, Logger: zap.NewNop()})
	view.Refresh(context.Background())
	return New(Options{View: view, Sidecars: sidecars, Clock: clock, Logger: zap.NewNop()})
}

func newJob() Job {
	return Job{
		Pool:     &settings.Pool{Name: "lm", DirectoryShards: 1},
		Chain:    comfreyworks.PrefixChain{{Hash: 1, Tokens: 2000}},
		Request:  comfreyworks.GenerateRequest{ID: "r1"},
		Deadline: time.Now().Add(time.Minute),
	}
}

// inFallbackOrder arranges sidecars so that the placement without a directory
// tries them in the given order.
func inFallbackOrder(scripts ...*fakeSidecar) fakeSidecars {
	probe := make(fakeSidecars, len(scripts))
	for i := range probe {
		probe[i] = &fakeSidecar{startErr: errNotSent}
	}
	d := newDispatcher(probe)
	sidecars := make(fakeSidecars, len(scripts))
	state := &requestState{job: newJob()}
	for _, script := range scripts {
		instance, _ := d.chooseInstance(context.Background(), state)
		state.excluded = append(state.excluded, instance.ID)
		sidecars[instance.Address.Port()] = script
	}
	return sidecars
}

// expectText generates an answer and checks the text that is emitted.
func expectText(t *testing.T, sidecars fakeSidecars, text string) Result {
	t.Helper()
	var got []string
	result, err := newDispatcher(sidecars).Generate(context.Background(), newJob(), func(batch TokenBatch) error {
		got = append(got, batch.Frames...)
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(got, ""), text)
	return result
}

func expectFailure(t *testing.T, sidecars fakeSidecars, kind Kind) error {
	t.Helper()
	_, err := newDispatcher(sidecars).Generate(context.Background(), newJob(), func(TokenBatch) error { return nil })
	var e *Error
	assert.Assert(t, errors.As(err, &e), "got %v", err)
	assert.Equal(t, e.Kind, kind, "%v", err)
	return err
}

func TestGenerate(t *testing.T) {
	rest := func() *fakeSidecar { return &fakeSidecar{reads: []readResult{last("de", comfreyworks.EndComplete)}} }
	t.Run("one upstream sends the whole answer", func(t *testing.T) {
		expectText(t, fakeSidecars{{reads: []readResult{partial("ab"), partial("c"), last("", comfreyworks.EndComplete)}}}, "abc")
	})
	t.Run("a failed read is repeated from the same frame", func(t *testing.T) {
		sidecar := &fakeSidecar{reads: []readResult{partial("ab"), noAnswer, partial("c"), last("", comfreyworks.EndComplete)}}
		result := expectText(t, fakeSidecars{sidecar}, "abc")
		assert.Equal(t, result.Attempts, 1)
	})
	tests := []struct {
		name  string
		first *fakeSidecar
	}{
		{"engine crash", &fakeSidecar{reads: []readResult{partial("abc"), last("", comfreyworks.EndIncomplete)}}},
		{"sidecar restart", &fakeSidecar{reads: []readResult{partial("abc"), unknownStream}}},
		{"stream cancelled by another entry", &fakeSidecar{reads: []readResult{partial("abc"), last("", comfreyworks.EndCancelled)}}},
		{"unresponsive sidecar", &fakeSidecar{reads: []readResult{partial("abc"), noAnswer, noAnswer}}},
	}
	for _, test := range tests {
		t.Run(test.name+": another upstream continues after the last token", func(t *testing.T) {
			second := rest()
			result := expectText(t, inFallbackOrder(test.first, second), "abcde")
			assert.Equal(t, result.Attempts, 2)
			assert.Equal(t, second.started[0].Request.ResumeFrom, 3)
			assert.Assert(t, second.started[0].Stream != test.first.started[0].Stream)
		})
	}
	t.Run("a start that was not sent is retried elsewhere", func(t *testing.T) {
		first := &fakeSidecar{startErr: errNotSent}
		expectText(t, inFallbackOrder(first, rest()), "de")
		assert.Equal(t, first.cancelled, 0)
	})
	t.Run("a start without an answer is cancelled and retried elsewhere", func(t *testing.T) {
		first := &fakeSidecar{startErr: errNoAnswer}
		expectText(t, inFallbackOrder(first, rest()), "de")
		assert.Equal(t, first.cancelled, 1)
	})
	t.Run("starts without an answer do not count as attempts", func(t *testing.T) {
		sidecar := &fakeSidecar{unansweredStarts: 2 * maxAttempts, reads: []readResult{last("de", comfreyworks.EndComplete)}}
		expectText(t, fakeSidecars{sidecar}, "de")
	})
	t.Run("a request refused by a leaving sidecar is retried elsewhere", func(t *testing.T) {
		first := &fakeSidecar{refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving}}
		expectText(t, inFallbackOrder(first, rest()), "de")
	})
}

func TestGenerateFails(t *testing.T) {
	busy := func() *fakeSidecar {
		return &fakeSidecar{refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy, RetryAfter: 3 * time.Second}}
	}
	t.Run("the refusal of busy upstreams sets RetryAfter", func(t *testing.T) {
		err := expectFailure(t, fakeSidecars{busy(), busy()}, KindRefused)
		var refused *RefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Refusal, comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy, RetryAfter: 3 * time.Second})
	})
	maybeStarted := []struct {
		name    string
		sidecar *fakeSidecar
	}{
		{"a stream that fails before its first token", &fakeSidecar{reads: []readResult{last("", comfreyworks.EndIncomplete)}}},
		{"a start without an answer", &fakeSidecar{unansweredStarts: 1, refusal: busy().refusal}},
		{"a start without an answer at a sidecar that is gone", &fakeSidecar{unansweredStarts: 1, startErr: errNotSent}},
	}
	for _, test := range maybeStarted {
		t.Run(test.name+" is never reported as not run", func(t *testing.T) {
			expectFailure(t, fakeSidecars{test.sidecar}, KindIncomplete)
		})
	}
	t.Run("a refusal after a start without an answer counts as an attempt", func(t *testing.T) {
		sidecar := &fakeSidecar{unansweredStarts: 1, refusal: busy().refusal}
		expectFailure(t, fakeSidecars{sidecar}, KindIncomplete)
		assert.Equal(t, len(sidecar.started), 1+maxAttempts/2)
		assert.Equal(t, sidecar.started[0].Stream, sidecar.started[1].Stream)
		assert.Assert(t, sidecar.started[0].Remaining > sidecar.started[1].Remaining)
	})
	for _, err := range []error{errNotSent, errDialTimeout} {
		t.Run("a start that was not sent is reported as refused: "+err.Error(), func(t *testing.T) {
			sidecar := &fakeSidecar{startErr: err}
			expectFailure(t, fakeSidecars{sidecar}, KindRefused)
			assert.Assert(t, len(sidecar.started) <= maxAttempts)
		})
	}
	t.Run("an answer that no upstream can continue is incomplete", func(t *testing.T) {
		crashing := &fakeSidecar{reads: []readResult{partial("a"), last("", comfreyworks.EndIncomplete)}}
		expectFailure(t, fakeSidecars{crashing}, KindIncomplete)
	})
	t.Run("the deadline passes at the sidecar", func(t *testing.T) {
		job := newJob()
		job.Deadline = time.Now()
		sidecars := fakeSidecars{{reads: []readResult{last("", comfreyworks.EndCancelled)}}}
		_, err := newDispatcher(sidecars).Generate(context.Background(), job, func(TokenBatch) error { return nil })
		assert.ErrorContains(t, err, string(KindGivenUp))
	})
	t.Run("the stream is cancelled when the caller disconnects", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sidecar := &fakeSidecar{reads: []readResult{partial("a")}}
		_, err := newDispatcher(fakeSidecars{sidecar}).Generate(ctx, newJob(), func(TokenBatch) error {
			cancel()
			return nil
		})
		assert.ErrorContains(t, err, string(KindGivenUp))
		assert.Equal(t, sidecar.cancelled, 1)
	})
	t.Run("the stream is cancelled when emit fails", func(t *testing.T) {
		sidecar := &fakeSidecar{reads: []readResult{partial("a")}}
		_, err := newDispatcher(fakeSidecars{sidecar}).Generate(context.Background(), newJob(), func(TokenBatch) error { return errNoAnswer })
		assert.ErrorContains(t, err, string(KindStopped))
		assert.Equal(t, sidecar.cancelled, 1)
	})
}

func TestRetryBudget(t *testing.T) {
	// Every upstream refuses every request. The retries must stay within the
	// budget, because they add to the load of an overloaded pool.
	const requests = 1000
	sidecars := fakeSidecars{}
	for range 4 {
		sidecars = append(sidecars, &fakeSidecar{refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy}})
	}
	d := newDispatcher(sidecars)
	for range requests {
		_, err := d.Generate(context.Background(), newJob(), func(TokenBatch) error { return nil })
		assert.ErrorContains(t, err, string(KindRefused))
	}
	attempts := 0
	for _, sidecar := range sidecars {
		attempts += len(sidecar.started)
	}
	assert.Assert(t, attempts >= requests)
	assert.Assert(t, attempts <= requests+retryBurst+requests*retryRatio, "%d attempts", attempts)
	t.Run("another workspace has its own budget", func(t *testing.T) {
		assert.Assert(t, !d.budgets.withdraw(retryBudgetKey{pool: "lm"}))
		other := retryBudgetKey{workspace: "other", pool: "lm"}
		d.budgets.deposit(other)
		assert.Assert(t, d.budgets.withdraw(other))
	})
	t.Run("continuing a partial answer needs no budget", func(t *testing.T) {
		state := &requestState{delivered: 1, budgetKey: retryBudgetKey{pool: "lm"}}
		state.result.Attempts = 1
		assert.Assert(t, d.mayAttempt(state))
	})
}

// TestEngineNotReached guards against requests that are given up because sidecars could
// not reach their engines for a moment and the retry budget was spent.
func TestEngineNotReached(t *testing.T) {
	broken, notSent := last("", comfreyworks.EndIncomplete), last("", comfreyworks.EndIncomplete)
	notSent.update.End.NotSent = true
	refusing := func(reason comfreyworks.RefusalReason) *fakeSidecar {
		return &fakeSidecar{refusal: &comfreyworks.Refusal{Reason: reason}}
	}
	tests := []struct {
		name        string
		first       *fakeSidecar
		needsBudget bool
	}{
		{"the engine could not be dialled", &fakeSidecar{reads: []readResult{notSent}}, false},
		{"the engine broke off", &fakeSidecar{reads: []readResult{broken}}, true},
		{"the engine does not answer its sidecar", refusing(comfreyworks.RefusedUpstreamDown), false},
		{"the sidecar is starting", refusing(comfreyworks.RefusedStarting), false},
		{"the engine is busy", refusing(comfreyworks.RefusedBusy), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rest := &fakeSidecar{reads: []readResult{last("de", comfreyworks.EndComplete)}}
			d := newDispatcher(inFallbackOrder(test.first, rest))
			d.budgets.balances[retryBudgetKey{pool: "lm"}] = 0
			_, err := d.Generate(t.Context(), newJob(), func(TokenBatch) error { return nil })
			assert.Equal(t, err != nil, test.needsBudget, "%v", err)
		})
	}
	t.Run("the attempts are limited", func(t *testing.T) {
		sidecars := fakeSidecars{refusing(comfreyworks.RefusedUpstreamDown), refusing(comfreyworks.RefusedUpstreamDown)}
		expectFailure(t, sidecars, KindRefused)
		assert.Assert(t, len(sidecars[0].started)+len(sidecars[1].started) <= maxAttempts)
	})
}

func TestCall(t *testing.T) {
	ran := func() *fakeSidecar {
		return &fakeSidecar{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan}}
	}
	tests := []struct {
		name       string
		first      *fakeSidecar
		repeatable bool
		run        comfreyworks.RunState
		calls      int
	}{
		{"ran", ran(), false, comfreyworks.RunStateRan, 1},
		{"not sent, then retried elsewhere", &fakeSidecar{callErr: errNotSent}, false, comfreyworks.RunStateRan, 2},
		{"no answer to a call that is not repeatable", &fakeSidecar{callErr: errNoAnswer}, false, comfreyworks.RunStateUnknown, 1},
		{"no answer to a repeatable call", &fakeSidecar{callErr: errNoAnswer}, true, comfreyworks.RunStateRan, 2},
		{"no answer to a call with a key", &fakeSidecar{callErr: errNoAnswer}, false, comfreyworks.RunStateRan, 2},
		{"key used with another body", &fakeSidecar{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateNotRun, Conflict: true}}, false, comfreyworks.RunStateNotRun, 1},
		{"run state unknown to the sidecar", &fakeSidecar{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown}}, false, comfreyworks.RunStateUnknown, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Instances are chosen at random. The second one is marked as failed
			// so that the first one is chosen.
			second := ran()
			sidecars := fakeSidecars{test.first, second}
			d := newDispatcher(sidecars)
			d.options.View.RecordFailure("lm/1")
			attempt := comfreyworks.ServiceAttempt{Repeatable: test.repeatable}
			if strings.HasSuffix(test.name, "with a key") {
				attempt.Call.IdempotencyKey = "k"
			}
			outcome := d.Call(context.Background(), &settings.Pool{Name: "lm"}, attempt)
			assert.Equal(t, outcome.Run, test.run)
			assert.Equal(t, test.first.called+second.called, test.calls)
			assert.Equal(t, test.first.called, 1)
		})
	}
}

func TestCallThatWasNotSentNeedsNoBudget(t *testing.T) {
	tests := []struct {
		name  string
		first *fakeSidecar
		run   comfreyworks.RunState
	}{
		{"not sent", &fakeSidecar{callErr: errNotSent}, comfreyworks.RunStateRan},
		{"no answer", &fakeSidecar{callErr: errNoAnswer}, comfreyworks.RunStateUnknown},
		{"refused", &fakeSidecar{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateNotRun}}, comfreyworks.RunStateNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			second := &fakeSidecar{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan}}
			d := newDispatcher(fakeSidecars{test.first, second})
			d.options.View.RecordFailure("lm/1")
			d.budgets.balances[retryBudgetKey{pool: "lm"}] = 0
			outcome := d.Call(context.Background(), &settings.Pool{Name: "lm"}, comfreyworks.ServiceAttempt{Repeatable: true})
			assert.Equal(t, outcome.Run, test.run)
		})
	}
}

func TestCallThatMayHaveRunIsNeverReportedAsNotRun(t *testing.T) {
	refusing := &fakeSidecar{outcome: comfreyworks.ServiceOutcome{
		Run: comfreyworks.RunStateNotRun, Refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving},
	}}
	d := newDispatcher(fakeSidecars{{callErr: errNoAnswer}, refusing})
	d.options.View.RecordFailure("lm/1")
	outcome := d.Call(context.Background(), &settings.Pool{Name: "lm"}, comfreyworks.ServiceAttempt{Repeatable: true})
	assert.Equal(t, outcome.Run, comfreyworks.RunStateUnknown)
}
