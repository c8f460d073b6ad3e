package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// TestPressure guards against work that is wasted under overload: an engine that is sent
// what it cannot end before the deadline, what makes its running streams late, or more than
// its memory holds, so that it preempts requests. Without missed times nothing is refused.
func TestPressure(t *testing.T) {
	// One engine without separation: four would be divided.
	newPressed := func(missed int) *fixture {
		f := newLargeFleet(1)
		f.declareStreams(800 * time.Millisecond)
		f.SetPeerDemands("relay", []comfreyworks.PoolDemand{{Pool: engines, Streams: 200_000, Missed: missed}}, f.clock.Now().Add(time.Hour))
		return f
	}
	stream := func(f *fixture, left time.Duration, priority int) Query {
		query := adviceQuery("site")
		query.Events, query.Deadline, query.Priority = 49, f.clock.Now().Add(left), priority
		return query
	}
	// slowStream begins a stream with a time left and lets its events arrive slowly.
	slowStream := func(f *fixture, left, gap time.Duration, rest float64) *Pick {
		pick := f.Pick(stream(f, left, 0))
		pick.AnswerStarted()
		for range 8 {
			pick.StreamEvent(gap, rest)
		}
		return pick
	}
	for name, c := range map[string]struct {
		missed int
		load   func(f *fixture)
		query  func(f *fixture) Query
		want   PressureReason
	}{
		"engine that always prefills: a stream of 49 events would take 32 s": {
			60_000, func(f *fixture) { slowStream(f, time.Minute, 666*time.Millisecond, 40) },
			func(f *fixture) Query { return stream(f, 15*time.Second, 0) }, PressureLate,
		},
		"the same while streams are in time": {
			1000, func(f *fixture) { slowStream(f, time.Minute, 666*time.Millisecond, 40) },
			func(f *fixture) Query { return stream(f, 15*time.Second, 0) }, "",
		},
		"pace of a second ago": {
			60_000, func(f *fixture) {
				slowStream(f, time.Minute, 666*time.Millisecond, 40)
				f.clock.Advance(2 * eventTimeExpiry)
			},
			func(f *fixture) Query { return stream(f, 15*time.Second, 0) }, "",
		},
		"a long prompt beside a stream that just ends in time": {
			60_000, func(f *fixture) { slowStream(f, 4050*time.Millisecond, 100*time.Millisecond, 40) },
			func(*fixture) Query { return promptQuery("guide", "site") }, PressureStreams,
		},
		"a stream beside one with enough time": {
			60_000, func(f *fixture) { slowStream(f, 9*time.Second, 100*time.Millisecond, 40) },
			func(*fixture) Query { return promptQuery("guide", "site") }, "",
		},
		"beside a stream that is late anyway": {
			60_000, func(f *fixture) { slowStream(f, 900*time.Millisecond, 100*time.Millisecond, 40) },
			func(*fixture) Query { return promptQuery("guide", "site") }, "",
		},
		"more urgent than the stream": {
			60_000, func(f *fixture) {
				slow := f.Pick(stream(f, 4010*time.Millisecond, 5))
				slow.StreamEvent(100*time.Millisecond, 40)
			},
			func(f *fixture) Query { return stream(f, time.Minute, 0) }, "",
		},
		"memory taken by requests of all gateways": {
			60_000, func(f *fixture) {
				f.SetPeerLoads("relay", []comfreyworks.UpstreamLoad{{ID: "lm/0", Requests: 9, Memory: 85}}, f.clock.Now().Add(time.Second))
			},
			func(*fixture) Query { return promptQuery("guide", "site") }, PressureMemory,
		},
		"memory for a short prompt": {
			60_000, func(f *fixture) {
				f.SetPeerLoads("relay", []comfreyworks.UpstreamLoad{{ID: "lm/0", Requests: 9, Memory: 85}}, f.clock.Now().Add(time.Second))
			},
			func(f *fixture) Query { return stream(f, time.Minute, 0) }, "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPressed(c.missed)
			c.load(f)
			assert.Equal(t, f.Pick(c.query(f)).Pressure, c.want)
		})
	}
	t.Run("an engine without pressure is used first", func(t *testing.T) {
		f := newLargeFleet(3)
		f.declareStreams(800 * time.Millisecond)
		f.SetPeerDemands("relay", []comfreyworks.PoolDemand{{Pool: engines, LongStreams: 50_000, LongMissed: 9_000}}, f.clock.Now().Add(time.Hour))
		f.Pick(promptQuery("guide", "site"))
		home := f.Pick(promptQuery("guide", "site")).Upstream.ID
		f.SetPeerLoads("relay", []comfreyworks.UpstreamLoad{{ID: home, Requests: 9, Memory: 90}}, f.clock.Now().Add(time.Second))
		pick := f.Pick(promptQuery("guide", "site"))
		assert.Assert(t, pick.Upstream.ID != home)
		assert.Equal(t, pick.Pressure, PressureReason(""))
	})
	t.Run("an engine whose streams are all silent", func(t *testing.T) {
		f := newPressed(0)
		first := slowStream(f, time.Minute, 30*time.Millisecond, 40)
		f.clock.Advance(time.Second)
		assert.Equal(t, f.LocalLoads()[0].Unreachable, 0, "one stream may be stuck by itself")
		slowStream(f, time.Minute, 30*time.Millisecond, 40)
		f.clock.Advance(700 * time.Millisecond)
		assert.Equal(t, f.LocalLoads()[0].Unreachable, 0, "the permitted gap has not passed")
		f.clock.Advance(200 * time.Millisecond)
		assert.Equal(t, f.LocalLoads()[0].Unreachable, 1)
		c, ok := f.newCandidate(&first.Upstream, &Query{Pool: engines, Model: model}, f.catalog.Weights(model), f.clock.Now())
		assert.Assert(t, ok && c.avoided)
		f.ApplyLoadNotice(comfreyworks.WeightsLoadNotice{Engine: first.Upstream.ID, Model: model, Sequence: 1, For: time.Second})
		assert.Equal(t, f.LocalLoads()[0].Unreachable, 0, "it loads weights")
		f.clock.Advance(2 * time.Second)
		assert.Equal(t, f.LocalLoads()[0].Unreachable, 1)
		first.StreamEvent(time.Second, 39)
		assert.Equal(t, f.LocalLoads()[0].Unreachable, 0, "it has gone on")
	})
	t.Run("memory is given back", func(t *testing.T) {
		f := newPressed(0)
		pick := f.Pick(promptQuery("guide", "site"))
		assert.Assert(t, f.LocalLoads()[0].Memory >= 2)
		pick.StreamEvent(time.Millisecond, 40)
		pick.Done(Result{Outcome: Withdrawn})
		assert.Equal(t, len(f.LocalLoads()), 0)
		assert.Equal(t, len(f.endpoints["lm/0"].running.streams), 0)
	})
}
