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

// fakeGate is a sidecar that follows a script.
type fakeGate struct {
	refusal  *comfreyworks.Refusal
	startErr error
	// silences is how many starts get no answer before one does.
	silences int
	// reads are the answers to reads, in order; the last one is repeated.
	reads   []readAnswer
	outcome comfreyworks.ServiceOutcome
	callErr error

	started   []comfreyworks.GenerateAttempt
	read      int
	cancelled int
	called    int
}

type readAnswer struct {
	news comfreyworks.StreamUpdate
	err  error
}

func (g *fakeGate) Start(_ context.Context, work comfreyworks.GenerateAttempt) (*comfreyworks.Refusal, error) {
	g.started = append(g.started, work)
	if len(g.started) <= g.silences {
		return nil, errLost
	}
	return g.refusal, g.startErr
}

func (g *fakeGate) Read(_ context.Context, _ comfreyworks.StreamID, _ int, _ time.Duration) (comfreyworks.StreamUpdate, error) {
	answer := g.reads[min(g.read, len(g.reads)-1)]
	g.read++
	return answer.news, answer.err
}

func (g *fakeGate) Cancel(context.Context, comfreyworks.StreamID) error {
	g.cancelled++
	return nil
}

func (g *fakeGate) Call(context.Context, comfreyworks.ServiceAttempt) (comfreyworks.ServiceOutcome, error) {
	g.called++
	return g.outcome, g.callErr
}

func (g *fakeGate) Place(context.Context, comfreyworks.PlaceRequest, time.Duration) (comfreyworks.Placement, error) {
	return comfreyworks.Placement{}, errors.New("no directory")
}

type fakeGates []*fakeGate

func (g fakeGates) Sidecar(instance comfreyworks.Instance) comfreyworks.Sidecar {
	return g[instance.Address.Port()]
}

func frames(text string) []string { return strings.Split(text, "") }

func news(text string) readAnswer {
	return readAnswer{news: comfreyworks.StreamUpdate{Frames: frames(text)}}
}

func ends(text string, reason comfreyworks.EndReason) readAnswer {
	var all []string
	if text != "" {
		all = frames(text)
	}
	return readAnswer{news: comfreyworks.StreamUpdate{Frames: all, End: &comfreyworks.StreamEnd{Reason: reason}}}
}

var (
	errLost    = errors.New("no answer")
	errNotSent = fmt.Errorf("dial: %w", comfreyworks.ErrNotSent)
	unknown    = readAnswer{news: comfreyworks.StreamUpdate{Unknown: true}}
	lost       = readAnswer{err: errLost}
)

// hastyClock never lets a pause last.
type hastyClock struct{ clockwork.Clock }

func (hastyClock) After(time.Duration) <-chan time.Time {
	passed := make(chan time.Time, 1)
	passed <- time.Time{}
	return passed
}

func newDispatcher(gates fakeGates) *Dispatcher {
	clock := hastyClock{clockwork.NewRealClock()}
	list := logservice.NewList(clock, 0)
	var instances []comfreyworks.Instance
	for i := range gates {
		instance := comfreyworks.Instance{
			ID: comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i)), Role: comfreyworks.RoleSidecar, Pool: "lm",
			State: comfreyworks.InstanceLive, Address: address(i),
		}
		instances = append(instances, instance)
	}
	list.Set(instances)
	view := membership.New(membership.Options{List: list, Clock: clock, Logger: zap.NewNop()})
	view.Refresh(context.Background())
	return New(Options{View: view, Gates: gates, Clock: clock, Logger: zap.NewNop()})
}

func newJob() Job {
	return Job{
		Pool:     &settings.Pool{Name: "lm", DirectoryShards: 1},
		Chain:    comfreyworks.PrefixChain{{Hash: 1, Tokens: 2000}},
		Request:  comfreyworks.GenerateRequest{ID: "r1"},
		Deadline: time.Now().Add(time.Minute),
	}
}

// inOrder returns the gates in the order in which the fallback tries them.
func inOrder(scripts ...*fakeGate) fakeGates {
	probe := make(fakeGates, len(scripts))
	for i := range probe {
		probe[i] = &fakeGate{startErr: errNotSent}
	}
	d := newDispatcher(probe)
	gates := make(fakeGates, len(scripts))
	state := &attemptState{job: newJob()}
	for _, script := range scripts {
		instance, _ := d.choose(context.Background(), state)
		state.excluded = append(state.excluded, instance.ID)
		gates[instance.Address.Port()] = script
	}
	return gates
}

// expectText runs a job and checks the text that the caller gets.
func expectText(t *testing.T, gates fakeGates, text string) Result {
	t.Helper()
	var got []string
	result, err := newDispatcher(gates).Generate(context.Background(), newJob(), func(delivery Delivery) error {
		got = append(got, delivery.Frames...)
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(got, ""), text)
	return result
}

func expectFailure(t *testing.T, gates fakeGates, kind Kind) error {
	t.Helper()
	_, err := newDispatcher(gates).Generate(context.Background(), newJob(), func(Delivery) error { return nil })
	var e *Error
	assert.Assert(t, errors.As(err, &e), "got %v", err)
	assert.Equal(t, e.Kind, kind, "%v", err)
	return err
}

func TestGenerate(t *testing.T) {
	rest := func() *fakeGate { return &fakeGate{reads: []readAnswer{ends("de", comfreyworks.EndComplete)}} }
	t.Run("one upstream", func(t *testing.T) {
		expectText(t, fakeGates{{reads: []readAnswer{news("ab"), news("c"), ends("", comfreyworks.EndComplete)}}}, "abc")
	})
	t.Run("a lost answer is read again from the same frame", func(t *testing.T) {
		gate := &fakeGate{reads: []readAnswer{news("ab"), lost, news("c"), ends("", comfreyworks.EndComplete)}}
		result := expectText(t, fakeGates{gate}, "abc")
		assert.Equal(t, result.Attempts, 1)
	})
	tests := []struct {
		name  string
		first *fakeGate
	}{
		{"engine crash", &fakeGate{reads: []readAnswer{news("abc"), ends("", comfreyworks.EndIncomplete)}}},
		{"sidecar restart", &fakeGate{reads: []readAnswer{news("abc"), unknown}}},
		{"stream given up by somebody else", &fakeGate{reads: []readAnswer{news("abc"), ends("", comfreyworks.EndCancelled)}}},
		{"silent sidecar", &fakeGate{reads: []readAnswer{news("abc"), lost, lost}}},
	}
	for _, test := range tests {
		t.Run(test.name+" goes on elsewhere behind the last token", func(t *testing.T) {
			second := rest()
			result := expectText(t, inOrder(test.first, second), "abcde")
			assert.Equal(t, result.Attempts, 2)
			assert.Equal(t, second.started[0].Request.ResumeFrom, 3)
			assert.Assert(t, second.started[0].Stream != test.first.started[0].Stream)
		})
	}
	t.Run("nothing sent, then elsewhere", func(t *testing.T) {
		first := &fakeGate{startErr: errNotSent}
		expectText(t, inOrder(first, rest()), "de")
		assert.Equal(t, first.cancelled, 0)
	})
	t.Run("perhaps started is cancelled, then elsewhere", func(t *testing.T) {
		first := &fakeGate{startErr: errLost}
		expectText(t, inOrder(first, rest()), "de")
		assert.Equal(t, first.cancelled, 1)
	})
	t.Run("silence of all does not use up the attempts", func(t *testing.T) {
		gate := &fakeGate{silences: 2 * maxAttempts, reads: []readAnswer{ends("de", comfreyworks.EndComplete)}}
		expectText(t, fakeGates{gate}, "de")
	})
	t.Run("leaving, then elsewhere", func(t *testing.T) {
		first := &fakeGate{refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving}}
		expectText(t, inOrder(first, rest()), "de")
	})
}

func TestGenerateFails(t *testing.T) {
	busy := func() *fakeGate {
		return &fakeGate{refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy, RetryAfter: 3 * time.Second}}
	}
	t.Run("all busy is a refusal that says when to come back", func(t *testing.T) {
		err := expectFailure(t, fakeGates{busy(), busy()}, KindRefused)
		var refused *RefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Refusal, comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy, RetryAfter: 3 * time.Second})
	})
	given := []struct {
		name string
		gate *fakeGate
	}{
		{"a stream that broke before its first token", &fakeGate{reads: []readAnswer{ends("", comfreyworks.EndIncomplete)}}},
		{"a start whose answer was lost", &fakeGate{startErr: errLost}},
	}
	for _, test := range given {
		t.Run(test.name+" is never called not run", func(t *testing.T) {
			expectFailure(t, fakeGates{test.gate}, KindIncomplete)
		})
	}
	t.Run("nothing sent is not run", func(t *testing.T) {
		expectFailure(t, fakeGates{{startErr: errNotSent}}, KindRefused)
	})
	t.Run("nobody left part of the way is incomplete, never complete", func(t *testing.T) {
		crashing := &fakeGate{reads: []readAnswer{news("a"), ends("", comfreyworks.EndIncomplete)}}
		expectFailure(t, fakeGates{crashing}, KindIncomplete)
	})
	t.Run("the deadline at the sidecar", func(t *testing.T) {
		job := newJob()
		job.Deadline = time.Now()
		gates := fakeGates{{reads: []readAnswer{ends("", comfreyworks.EndCancelled)}}}
		_, err := newDispatcher(gates).Generate(context.Background(), job, func(Delivery) error { return nil })
		assert.ErrorContains(t, err, string(KindGivenUp))
	})
	t.Run("a caller that left frees the work", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		gate := &fakeGate{reads: []readAnswer{news("a")}}
		_, err := newDispatcher(fakeGates{gate}).Generate(ctx, newJob(), func(Delivery) error {
			cancel()
			return nil
		})
		assert.ErrorContains(t, err, string(KindGivenUp))
		assert.Equal(t, gate.cancelled, 1)
	})
	t.Run("a caller that cannot be written to frees the work", func(t *testing.T) {
		gate := &fakeGate{reads: []readAnswer{news("a")}}
		_, err := newDispatcher(fakeGates{gate}).Generate(context.Background(), newJob(), func(Delivery) error { return errLost })
		assert.ErrorContains(t, err, string(KindStopped))
		assert.Equal(t, gate.cancelled, 1)
	})
}

func TestRetryBudget(t *testing.T) {
	// A pool that refuses everything: retries add a bounded share to the load.
	const requests = 1000
	gates := fakeGates{}
	for range 4 {
		gates = append(gates, &fakeGate{refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedBusy}})
	}
	d := newDispatcher(gates)
	for range requests {
		_, err := d.Generate(context.Background(), newJob(), func(Delivery) error { return nil })
		assert.ErrorContains(t, err, string(KindRefused))
	}
	attempts := 0
	for _, gate := range gates {
		attempts += len(gate.started)
	}
	assert.Assert(t, attempts >= requests)
	assert.Assert(t, attempts <= requests+budgetBurst+requests*budgetShare, "%d attempts", attempts)
	t.Run("another workspace has its own", func(t *testing.T) {
		assert.Assert(t, !d.budgets.spend(budgetKey{pool: "lm"}))
		other := budgetKey{workspace: "other", pool: "lm"}
		d.budgets.earn(other)
		assert.Assert(t, d.budgets.spend(other))
	})
	t.Run("an answer that has begun goes on", func(t *testing.T) {
		state := &attemptState{delivered: 1}
		state.result.Attempts = 1
		assert.Assert(t, d.mayTry(state, budgetKey{pool: "lm"}))
	})
}

func TestCall(t *testing.T) {
	ran := func() *fakeGate {
		return &fakeGate{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateRan}}
	}
	tests := []struct {
		name       string
		first      *fakeGate
		repeatable bool
		run        comfreyworks.RunState
		calls      int
	}{
		{"ran", ran(), false, comfreyworks.RunStateRan, 1},
		{"not sent, then elsewhere", &fakeGate{callErr: errNotSent}, false, comfreyworks.RunStateRan, 2},
		{"lost answer of a call that may not be repeated", &fakeGate{callErr: errLost}, false, comfreyworks.RunStateUnknown, 1},
		{"lost answer of a call that may", &fakeGate{callErr: errLost}, true, comfreyworks.RunStateRan, 2},
		{"lost answer of a call with a key", &fakeGate{callErr: errLost}, false, comfreyworks.RunStateRan, 2},
		{"key used with another body", &fakeGate{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateNotRun, Conflict: true}}, false, comfreyworks.RunStateNotRun, 1},
		{"unknown at the sidecar", &fakeGate{outcome: comfreyworks.ServiceOutcome{Run: comfreyworks.RunStateUnknown}}, false, comfreyworks.RunStateUnknown, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// The choice among equals is random, so a doubt about the second
			// makes the first one the choice.
			second := ran()
			gates := fakeGates{test.first, second}
			d := newDispatcher(gates)
			d.options.View.Failed("lm/1")
			work := comfreyworks.ServiceAttempt{Repeatable: test.repeatable}
			if strings.HasSuffix(test.name, "with a key") {
				work.Call.IdempotencyKey = "k"
			}
			outcome := d.Call(context.Background(), &settings.Pool{Name: "lm"}, work)
			assert.Equal(t, outcome.Run, test.run)
			assert.Equal(t, test.first.called+second.called, test.calls)
			assert.Equal(t, test.first.called, 1)
		})
	}
}

func TestCallNeverForgetsThatItMayHaveRun(t *testing.T) {
	refusing := &fakeGate{outcome: comfreyworks.ServiceOutcome{
		Run: comfreyworks.RunStateNotRun, Refusal: &comfreyworks.Refusal{Reason: comfreyworks.RefusedLeaving},
	}}
	d := newDispatcher(fakeGates{{callErr: errLost}, refusing})
	d.options.View.Failed("lm/1")
	outcome := d.Call(context.Background(), &settings.Pool{Name: "lm"}, comfreyworks.ServiceAttempt{Repeatable: true})
	assert.Equal(t, outcome.Run, comfreyworks.RunStateUnknown)
}
