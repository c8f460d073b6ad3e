package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

func newQueue() (*Queue, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Options{Clock: clock, Concurrency: 1}), clock
}

func join(t *testing.T, q *Queue, class comfreyworks.Class, priority int) *Ticket {
	t.Helper()
	ticket, err := q.Join(Request{Class: class, Priority: priority, MaxWaiting: 2})
	assert.NilError(t, err)
	return ticket
}

func expectReady(t *testing.T, ticket *Ticket, ready bool) {
	t.Helper()
	select {
	case <-ticket.ready:
		assert.Assert(t, ready, "the request runs too early")
	default:
		assert.Assert(t, !ready, "the request does not run")
	}
}

func TestQueue(t *testing.T) {
	t.Run("requests run by priority, then by arrival", func(t *testing.T) {
		q, _ := newQueue()
		running := join(t, q, "note", 1)
		low, first, second := join(t, q, "note", 1), join(t, q, "review", 5), join(t, q, "review", 5)
		running.Release()
		expectReady(t, first, true)
		first.Release()
		expectReady(t, second, true)
		expectReady(t, low, false)
		second.Release()
		expectReady(t, low, true)
	})
	t.Run("the priority of a request grows with its age", func(t *testing.T) {
		q, clock := newQueue()
		running := join(t, q, "review", 5)
		briefing := join(t, q, "briefing", 1)
		clock.Advance(5 * ageingInterval)
		review := join(t, q, "review", 5)
		running.Release()
		expectReady(t, briefing, true)
		expectReady(t, review, false)
	})
	t.Run("only a class with too many waiting requests is refused", func(t *testing.T) {
		q, _ := newQueue()
		for range 3 {
			join(t, q, "note", 1)
		}
		_, err := q.Join(Request{Class: "note", MaxWaiting: 2})
		var e *Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Kind, KindFull)
		join(t, q, "review", 5)
	})
	t.Run("a request whose context ends leaves the queue", func(t *testing.T) {
		q, _ := newQueue()
		running := join(t, q, "note", 1)
		waiting := join(t, q, "note", 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := waiting.Wait(ctx)
		assert.ErrorContains(t, err, string(KindGivenUp))
		assert.Equal(t, q.Waiting(), 0)
		running.Release()
		running.Release()
		expectReady(t, join(t, q, "note", 1), true)
		expectReady(t, join(t, q, "note", 1), false)
	})
	t.Run("Wait returns the waiting time", func(t *testing.T) {
		q, clock := newQueue()
		running := join(t, q, "note", 1)
		waiting := join(t, q, "note", 1)
		clock.Advance(3 * time.Second)
		running.Release()
		waited, err := waiting.Wait(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, waited, 3*time.Second)
	})
}
