package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/coordination/partition"
)

// declareStreams declares a route whose streams permit a gap between two events.
func (f *fixture) declareStreams(gap time.Duration) {
	f.position++
	f.catalog.ApplyDeclaration(comfreyworks.Declaration{Next: f.position, Routing: &comfreyworks.Routing{
		Version: 9, Pools: []comfreyworks.UpstreamPool{{Name: engines, CacheTokens: 93_000}},
		Routes: []comfreyworks.Route{{Kind: comfreyworks.RouteStream, MaxEventGap: gap, Pools: []comfreyworks.PoolWeight{{Pool: engines}}}},
	}}, f.clock.Now())
}

// adviceQuery returns a query for a stream with a short prompt.
func adviceQuery(session string) Query {
	return Query{
		Pool: engines, Model: model, CacheScope: "shared", AffinityKey: xxhash.Sum64String(session), Tokens: 826, OutputTokens: 294,
		Parts: []comfreyworks.PromptPart{{ID: session, Tokens: 198}, {ID: "own", Tokens: 628}},
	}
}

// reportPressure reports that streams miss their times beside long prompts.
func (f *fixture) reportPressure(missed int) {
	f.SetPeerDemands("relay", []comfreyworks.PoolDemand{{
		Pool: engines, LongTime: 12_000_000, LongPriority: 24_000_000, OtherTime: 6_000_000, Streams: 200_000, Missed: missed,
		// With two steps of priority, that many more missed long prompts keep the share.
		LongStreams: 100_000, LongMissed: missed * 9 / 8,
	}}, f.clock.Now().Add(time.Hour))
	for range 20 {
		f.clock.Advance(partition.UpdateInterval)
		f.serveOnce(adviceQuery("any"))
	}
}

func (f *fixture) serveOnce(query Query) comfreyworks.InstanceID {
	pick := f.Pick(query)
	pick.AnswerStarted()
	pick.Done(Result{Outcome: Answered, Elapsed: time.Millisecond})
	return pick.Upstream.ID
}

// engineSets returns the engines that serve long prompts and those that serve streams.
func (f *fixture) engineSets() (long, other map[comfreyworks.InstanceID]bool) {
	long, other = make(map[comfreyworks.InstanceID]bool), make(map[comfreyworks.InstanceID]bool)
	for i := range 150 {
		session := fmt.Sprint("site-", i)
		long[f.serveOnce(promptQuery("guide", session))] = true
		other[f.serveOnce(adviceQuery(session))] = true
	}
	return long, other
}

func common(a, b map[comfreyworks.InstanceID]bool) int {
	n := 0
	for id := range a {
		if b[id] {
			n++
		}
	}
	return n
}

// TestLongPromptsApart guards against streams that are slowed down by long prompts at the
// same engines, and against a separation without need.
func TestLongPromptsApart(t *testing.T) {
	for name, c := range map[string]struct {
		newFleet func(int) *fixture
		// minCommon and minLong are lower for small fleets, which concentrate sessions on
		// engines that have parts of their prompts cached.
		minCommon, minLong int
	}{"large fleet": {newLargeFleet, 12, 14}, "small fleet": {newFixture, 1, 1}} {
		t.Run(name, func(t *testing.T) {
			f := c.newFleet(24)
			f.declareStreams(800 * time.Millisecond)
			f.reportPressure(2000)
			long, other := f.engineSets()
			assert.Assert(t, common(long, other) >= c.minCommon, "separated although streams are in time")
			f.reportPressure(60_000)
			long, other = f.engineSets()
			assert.Equal(t, common(long, other), 0)
			assert.Assert(t, len(long) >= c.minLong && len(long) <= 18, "%d", len(long))
			assert.Assert(t, len(other) >= min(c.minLong, 6) && len(other) <= 10, "%d", len(other))
		})
	}
	t.Run("routes that permit any gap", func(t *testing.T) {
		f := newLargeFleet(24)
		f.reportPressure(60_000)
		long, other := f.engineSets()
		assert.Assert(t, common(long, other) > 12)
	})
}

// TestSpill guards against requests that are refused or wait although engines of the other
// group could serve them: a group that is unreachable as a whole, and streams that wait
// while engines for long prompts are idle.
func TestSpill(t *testing.T) {
	newSeparated := func() (f *fixture, long, other map[comfreyworks.InstanceID]bool) {
		f = newLargeFleet(24)
		f.declareStreams(800 * time.Millisecond)
		f.reportPressure(60_000)
		long, other = f.engineSets()
		return f, long, other
	}
	disable := func(f *fixture, ids map[comfreyworks.InstanceID]bool) {
		for id := range ids {
			f.endpoints[id].unreachable, f.endpoints[id].avoidUntil = true, f.clock.Now().Add(time.Second)
		}
	}
	t.Run("streams", func(t *testing.T) {
		f, long, other := newSeparated()
		disable(f, other)
		assert.Assert(t, long[f.serveOnce(adviceQuery("site"))])
	})
	t.Run("long prompts", func(t *testing.T) {
		f, long, other := newSeparated()
		disable(f, long)
		assert.Assert(t, other[f.serveOnce(promptQuery("guide", "site"))])
	})
	fill := func(f *fixture, ids map[comfreyworks.InstanceID]bool) {
		var loads []comfreyworks.UpstreamLoad
		for id := range ids {
			loads = append(loads, comfreyworks.UpstreamLoad{ID: id, Requests: 20, Unread: comfreyworks.PrefillBacklog{40_000}})
		}
		f.SetPeerLoads("relay", loads, f.clock.Now().Add(time.Second))
	}
	t.Run("streams that would wait use an idle engine", func(t *testing.T) {
		f, long, other := newSeparated()
		fill(f, other)
		assert.Assert(t, long[f.serveOnce(adviceQuery("site"))])
	})
	t.Run("long prompts that would wait do not use engines of streams", func(t *testing.T) {
		f, long, _ := newSeparated()
		fill(f, long)
		assert.Assert(t, long[f.serveOnce(promptQuery("guide", "site"))])
	})
}

// TestDemand checks what is counted as demand, and that absurd reports count as bounded
// ones.
func TestDemand(t *testing.T) {
	f := newLargeFleet(24)
	f.declareStreams(800 * time.Millisecond)
	for range 300 {
		f.serveOnce(adviceQuery("site"))
		f.clock.Advance(10 * time.Millisecond)
	}
	retry := adviceQuery("site")
	retry.Exclude = []comfreyworks.InstanceID{"lm/0"}
	f.serveOnce(retry)
	local := f.LocalDemands()
	assert.Equal(t, len(local), 1)
	// 100 a second with 628 tokens to prefill and 294 to generate beside 15 others.
	want := 100 * (628*prefillTime.Microseconds() + 294*stepTime.Microseconds()/defaultSlots)
	assert.Assert(t, float64(local[0].OtherTime) > 0.8*float64(want) && float64(local[0].OtherTime) < 1.1*float64(want), "%d of %d", local[0].OtherTime, want)
	assert.Equal(t, local[0].LongTime, 0)
	t.Run("peers", func(t *testing.T) {
		until := f.clock.Now().Add(time.Second)
		f.SetPeerDemands("a", []comfreyworks.PoolDemand{{Pool: engines, LongTime: 5, Missed: 9}}, until)
		f.SetPeerDemands("b", []comfreyworks.PoolDemand{{Pool: engines, LongTime: 1 << 62, OtherTime: -3}}, until)
		assert.Equal(t, f.SumDemands(map[comfreyworks.InstanceID]bool{"a": true})[0].LongTime, 5)
		assert.Equal(t, f.AllDemandsExcept("b")[0].LongTime, 5)
		assert.Equal(t, f.AllDemandsExcept("a")[0].LongTime, 1<<30)
		assert.Equal(t, f.AllDemandsExcept("")[0].Missed, 0)
		f.RemovePeer("b")
		assert.Equal(t, f.AllDemandsExcept("")[0].LongTime, 5)
		f.clock.Advance(time.Second)
		assert.Equal(t, f.AllDemandsExcept("")[0].LongTime, 0)
	})
}
