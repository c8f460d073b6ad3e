package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

// number returns the number at the end of an engine's ID.
func number(t *testing.T, id comfreyworks.InstanceID) (n int) {
	t.Helper()
	_, err := fmt.Sscanf(string(id), "lm/%d", &n)
	assert.NilError(t, err)
	return n
}

// measure lets the engines answer events for some seconds, engine i at
// speeds[i % len(speeds)].
func (f *fixture) measure(t *testing.T, speeds ...float64) {
	t.Helper()
	for range 24 {
		f.clock.Advance(250 * time.Millisecond)
		for _, engine := range f.catalog.Upstreams(engines) {
			elapsed := time.Duration(float64(72*time.Millisecond) / speeds[number(t, engine.ID)%len(speeds)])
			f.options.Pace.ObserveDecode(&engine, 3, elapsed, false)
		}
		f.options.Pace.Differs()
	}
}

// TestHomesOfFastEngines guards against engines of different speed that get equal
// shares of the sessions, against a change of homes where engines are equally fast, and
// against gateways that disagree about homes because their measurements differ a little.
func TestHomesOfFastEngines(t *testing.T) {
	const sessions = 600
	homes := func(speeds ...float64) (count [3]int, first []comfreyworks.InstanceID) {
		f := newLargeFleet(42)
		if len(speeds) > 0 {
			f.measure(t, speeds...)
		}
		for i := range sessions {
			pick := f.serve(t, promptQuery("guide", fmt.Sprint("site-", i)))
			count[number(t, pick.Upstream.ID)%3]++
			first = append(first, pick.Upstream.ID)
		}
		return count, first
	}
	_, unmeasured := homes()
	_, alike := homes(0.95, 1, 1.1)
	assert.DeepEqual(t, unmeasured, alike)
	count, differ := homes(0.6, 1, 1.6)
	assert.Assert(t, 2*count[0] < count[1] && 3*count[1] < 2*count[2], "%v", count)
	_, other := homes(0.58, 1, 1.64)
	moved := 0
	for i := range differ {
		if differ[i] != other[i] {
			moved++
		}
	}
	assert.Assert(t, moved <= sessions/10, "%d of %d sessions have another home", moved, sessions)
}

// TestWaitFollowsPace guards against a slow engine whose queue counts as short as that
// of a fast one.
func TestWaitFollowsPace(t *testing.T) {
	f := newFixture(6)
	f.measure(t, 0.5, 1, 1)
	loads := []comfreyworks.UpstreamLoad{}
	for _, engine := range f.catalog.Upstreams(engines) {
		loads = append(loads, comfreyworks.UpstreamLoad{ID: engine.ID, Unread: comfreyworks.PrefillBacklog{8000}})
	}
	f.SetPeerLoads("other", loads, f.clock.Now().Add(time.Second))
	for _, engine := range f.catalog.Upstreams(engines) {
		c, ok := f.newCandidate(&engine, &Query{Pool: engines, Model: model}, f.catalog.Weights(model), f.clock.Now())
		assert.Assert(t, ok)
		want := 200 * time.Millisecond
		if engine.ID == "lm/0" || engine.ID == "lm/3" {
			want *= 2
		}
		assert.Assert(t, (c.wait()-want).Abs() < want/20, "%s: %s", engine.ID, c.wait())
	}
}

// TestBusyEngineIsNotSlow guards against events that prompts delay, of which only a
// peer knows, being taken for a slowdown.
func TestBusyEngineIsNotSlow(t *testing.T) {
	f := newFixture(6)
	f.measure(t, 0.6, 1, 1.6)
	pick := f.Pick(promptQuery("guide", "site"))
	before := f.options.Pace.Pace(&pick.Upstream)
	f.SetPeerLoads("other", []comfreyworks.UpstreamLoad{{ID: pick.Upstream.ID, Unread: comfreyworks.PrefillBacklog{8000}}}, f.clock.Now().Add(time.Second))
	for range 3 {
		pick.Events(3, time.Second)
	}
	assert.Equal(t, f.options.Pace.Pace(&pick.Upstream), before)
	f.RemovePeer("other")
	pick.AnswerStarted()
	for range 3 {
		pick.Events(3, time.Second)
	}
	assert.Assert(t, f.options.Pace.Pace(&pick.Upstream).Decode < before.Decode)
}
