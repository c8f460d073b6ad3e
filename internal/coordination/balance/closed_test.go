package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

func closedFor(d time.Duration) comfreyworks.UpstreamAdvice {
	return comfreyworks.UpstreamAdvice{ClosedFor: d}
}

// close lets the upstream with an ID answer that it wants no requests.
func (f *fixture) close(t *testing.T, id comfreyworks.InstanceID, d time.Duration) {
	t.Helper()
	upstream, ok := f.catalog.Upstream(id)
	assert.Assert(t, ok)
	f.Advise(&upstream, closedFor(d))
}

// pickAll picks until there is no suitable upstream.
func (f *fixture) pickAll(query Query) []*Pick {
	var picks []*Pick
	for len(picks) < 100 {
		pick := f.Pick(query)
		if pick == nil {
			break
		}
		picks = append(picks, pick)
	}
	return picks
}

// TestClosed guards against requests to an upstream that wants none for some time.
func TestClosed(t *testing.T) {
	prompt := promptQuery("guide", "site")
	t.Run("other upstreams get the requests until the time ends", func(t *testing.T) {
		f := newFixture(3)
		engine := f.serve(t, prompt).Upstream.ID
		f.close(t, engine, 2*time.Second)
		f.expectNever(t, engine, prompt)
		f.clock.Advance(2*time.Second - time.Millisecond)
		f.expectNever(t, engine, prompt)
		f.expectNever(t, engine, Query{Pool: services})
	})
	t.Run("a home of a session is closed", func(t *testing.T) {
		f := newFixture(9)
		f.SetGateways(maxGatewaysWithCacheNews + 1)
		engine := f.serve(t, prompt).Upstream.ID
		f.close(t, engine, 2*time.Second)
		f.expectNever(t, engine, prompt)
	})
	t.Run("nothing is imported from it", func(t *testing.T) {
		f := newFixture(3)
		f.giveAddresses()
		engine := f.serve(t, prompt).Upstream.ID
		elsewhere := prompt
		elsewhere.Exclude = []comfreyworks.InstanceID{engine}
		assert.Assert(t, f.Pick(elsewhere).ImportFrom.IsValid())
		f.close(t, engine, 2*time.Second)
		assert.Assert(t, !f.Pick(elsewhere).ImportFrom.IsValid())
	})
	t.Run("the longest of several times counts", func(t *testing.T) {
		for _, times := range [][]time.Duration{{3 * time.Second, time.Second}, {time.Second, 3 * time.Second}} {
			f := newFixture(1)
			for _, d := range times {
				f.close(t, "lm/0", d)
			}
			f.clock.Advance(3*time.Second - time.Millisecond)
			f.expectNoUpstream(t, prompt)
			f.clock.Advance(time.Millisecond)
			f.serve(t, prompt)
		}
	})
	t.Run("it counts as closed and not as failed", func(t *testing.T) {
		for _, outcome := range []Outcome{Failed, Full} {
			f := newFixture(1)
			for range 2 * minFailuresToAvoid {
				pick := f.Pick(prompt)
				assert.Assert(t, pick != nil)
				pick.Advise(closedFor(time.Second))
				pick.Done(Result{Outcome: outcome})
				f.clock.Advance(time.Second)
			}
			e := f.endpoints["lm/0"]
			assert.Equal(t, e.failures, 0)
			assert.Assert(t, e.avoidUntil.IsZero() && e.fullUntil.IsZero() && e.loadingUntil.IsZero())
			assert.Equal(t, len(f.LocalLoads()), 0, "nothing is passed on to peers")
		}
	})
	t.Run("a later incarnation is not bound", func(t *testing.T) {
		f := newFixture(1)
		f.close(t, "lm/0", time.Minute)
		earlier := f.catalog.Upstreams(engines)[0]
		f.changeListed(2, func(u *comfreyworks.Upstream) { u.Started = f.clock.Now() })
		f.serve(t, prompt)
		f.Advise(&earlier, closedFor(time.Minute))
		f.serve(t, prompt)
	})
}

// TestClosedEnds guards against the requests of a whole pool returning at once to an
// upstream that wanted none.
func TestClosedEnds(t *testing.T) {
	query := promptQuery("guide", "site")
	newClosed := func(t *testing.T) *fixture {
		t.Helper()
		f := newFixture(1)
		f.close(t, "lm/0", time.Second)
		f.expectNoUpstream(t, query)
		f.clock.Advance(time.Second)
		return f
	}
	answer := func(picks []*Pick) {
		for _, pick := range picks {
			pick.AnswerStarted()
			pick.Done(Result{Outcome: Answered})
		}
	}
	t.Run("each answer doubles the number of requests", func(t *testing.T) {
		f := newClosed(t)
		assert.Equal(t, len(f.pickAll(query)), 1)
		f = newClosed(t)
		first := f.pickAll(query)
		answer(first)
		second := f.pickAll(query)
		assert.Equal(t, len(second), 2)
		answer(second[:1])
		assert.Equal(t, len(f.pickAll(query)), 3, "four at a time, one of them still without an answer")
		answer(second[1:])
		answer(f.pickAll(query))
		assert.Equal(t, len(f.pickAll(query)), 100)
	})
	t.Run("the start of a stream is an answer", func(t *testing.T) {
		f := newClosed(t)
		f.pickAll(query)[0].AnswerStarted()
		assert.Equal(t, len(f.pickAll(query)), 2)
	})
	t.Run("a request that is not answered lets the next one pass", func(t *testing.T) {
		for _, outcome := range []Outcome{Failed, Withdrawn, OtherWeights} {
			f := newClosed(t)
			for range 2 {
				picks := f.pickAll(query)
				assert.Equal(t, len(picks), 1)
				picks[0].Done(Result{Outcome: outcome})
			}
		}
	})
	t.Run("slow answers hold up few requests", func(t *testing.T) {
		f := newClosed(t)
		assert.Equal(t, len(f.pickAll(query)), 1)
		for _, more := range []int{1, 2, 4, 8} {
			f.clock.Advance(returnInterval)
			assert.Equal(t, len(f.pickAll(query)), more)
		}
		f.clock.Advance(returnInterval)
		assert.Equal(t, len(f.pickAll(query)), 100)
	})
	t.Run("it closes again", func(t *testing.T) {
		f := newClosed(t)
		answer(f.pickAll(query))
		for _, pick := range f.pickAll(query) {
			pick.Advise(closedFor(time.Second))
			pick.Done(Result{Outcome: Full})
		}
		f.expectNoUpstream(t, query)
		f.clock.Advance(time.Second)
		assert.Equal(t, len(f.pickAll(query)), 1)
	})
}

// TestOpensIn checks the time that callers are told when all upstreams are closed.
func TestOpensIn(t *testing.T) {
	f := newFixture(3)
	expect := func(t *testing.T, want time.Duration, closed bool) {
		t.Helper()
		got, ok := f.OpensIn(engines)
		assert.Equal(t, ok, closed)
		assert.Equal(t, got, want)
	}
	f.close(t, "lm/0", 3*time.Second)
	f.close(t, "lm/1", 2*time.Second)
	t.Run("one is open", func(t *testing.T) { expect(t, 0, false) })
	f.close(t, "lm/2", 2500*time.Millisecond+time.Microsecond)
	t.Run("the earliest end", func(t *testing.T) { expect(t, 2*time.Second, true) })
	f.leave(t, "lm/1")
	t.Run("without upstreams that leave, and rounded up", func(t *testing.T) { expect(t, 2501*time.Millisecond, true) })
	f.clock.Advance(2501 * time.Millisecond)
	t.Run("one is open again", func(t *testing.T) { expect(t, 0, false) })
	t.Run("an empty pool", func(t *testing.T) {
		_, ok := f.OpensIn("none")
		assert.Assert(t, !ok)
	})
}
