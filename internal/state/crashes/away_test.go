package crashes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// away is why engines of the model go away whatever they run.
type away struct {
	// turns engines go down and up by turns, for period each.
	turns  int
	period time.Duration
	// rack is the number of engines that end at once, zone the number of engines that
	// two thirds of the gateways don't reach for a while. They run on.
	rack, zone int
	// release means that one engine after the other leaves and is replaced.
	release bool
	// closes means that connections to engines that are gone are closed and not reset.
	closes bool
}

// String names what happens.
func (a away) String() string {
	var parts []string
	for _, part := range []struct {
		text string
		set  bool
	}{
		{fmt.Sprintf("%d engines by turns of %s", a.turns, a.period), a.turns > 0},
		{fmt.Sprintf("a rack of %d ends", a.rack), a.rack > 0},
		{fmt.Sprintf("a zone of %d is cut", a.zone), a.zone > 0},
		{"a release", a.release},
		{"connections are closed", a.closes},
	} {
		if part.set {
			parts = append(parts, part.text)
		}
	}
	return strings.Join(parts, " and ")
}

const (
	// maxKept is the number of idle connections of one gateway to one engine.
	maxKept = 3
	// drainTime is how long an engine that leaves goes on, releaseGap how long after one
	// engine the next one leaves, zoneCutTime how long a zone is cut off.
	drainTime   = 2 * time.Second
	releaseGap  = 250 * time.Millisecond
	zoneCutTime = 5 * time.Second
)

func (m *model) startAway() {
	for _, engine := range m.random.Perm(m.engines)[:m.away.turns] {
		var down func()
		down = func() {
			m.endFor(engine, m.away.period)
			m.after(2*m.away.period, down)
		}
		m.after(othersFrom+m.between(0, 2*m.away.period), down)
	}
	if m.away.rack > 0 {
		m.after(othersFrom, func() {
			for engine := range m.away.rack {
				m.end(engine)
			}
		})
	}
	if m.away.zone > 0 {
		m.after(othersFrom, m.cutZone)
		m.after(othersFrom+zoneCutTime, func() { m.zoneCut = false })
	}
	if m.away.release {
		for engine := range m.engines {
			leaves := othersFrom + time.Duration(engine)*releaseGap
			m.after(leaves, func() { m.leaving[engine] = true })
			m.after(leaves+drainTime, func() { m.replace(engine) })
		}
	}
}

// replace replaces an engine that has left.
func (m *model) replace(engine int) {
	m.end(engine)
	m.leaving[engine] = false
	for gateway := range m.kept {
		m.kept[gateway][engine] = 0
	}
}

// cutZone cuts engines off from the gateways outside of their zone.
func (m *model) cutZone() {
	m.zoneCut = true
	for engine := range m.away.zone {
		lost := make(map[*modelRequest]bool)
		for r := range m.running[engine] {
			if !m.isUp(r.gateway, engine) {
				lost[r] = true
				delete(m.running[engine], r)
			}
		}
		m.lose(lost)
	}
}

// isUp reports whether an engine runs and a gateway reaches it.
func (m *model) isUp(gateway, engine int) bool {
	return !m.back[engine].After(m.clock.now) && !(m.zoneCut && engine < m.away.zone && gateway%3 != 0)
}

// mayTry reports whether a gateway sends a request to an engine: it finds out that one is
// gone when it has no kept connection.
func (m *model) mayTry(r *modelRequest, gateway, engine int) bool {
	switch {
	case m.isUp(gateway, engine):
		return r.tried != engine+1 && !m.leaving[engine] || m.away == (away{})
	case m.away == (away{}) || r.tried == engine+1 || m.kept[gateway][engine] == 0:
		return false
	}
	m.kept[gateway][engine]--
	return true
}

// meetGone loses a request that was sent to an engine that is gone.
func (m *model) meetGone(r *modelRequest, engine int) {
	m.after(m.between(2*time.Millisecond, 20*time.Millisecond), func() {
		if m.isUp(r.gateway, engine) {
			m.kept[r.gateway][engine] = 0
		}
		m.loseAway(r, Evidence{Took: m.clock.now.Sub(r.sentAt), Reset: !m.away.closes, Reused: true})
	})
}

// loseAway breaks the connection of a request. It is sent to another engine, or repeated
// by its caller.
func (m *model) loseAway(r *modelRequest, evidence Evidence) {
	suspected := r.run.broke(evidence)
	if r.crashes == 0 {
		m.cut++
	}
	switch {
	case r.began:
	case !suspected && r.attempts == 1:
		m.attempt(r, r.gateway, 2*time.Second)
	case r.crashes == 0:
		if suspected {
			m.suspected++
		}
		m.repeat(r)
	}
}

// repeat lets the caller of a sound request send it again.
func (m *model) repeat(r *modelRequest) {
	if r.repeated {
		return
	}
	m.after(m.between(200*time.Millisecond, time.Second), func() { m.arrive(&modelRequest{keys: r.keys, repeated: true}) })
}

// grown is a pool one of whose four first parts begins a quarter of the prompts.
var grown = fleet{13, 44, 4, 900, 80}

// TestLoadOfEnginesDownAndUp guards against sound prompt parts and requests that are
// suspected because engines go away whatever they run, one after the other, and requests
// meet them when they are gone already.
func TestLoadOfEnginesDownAndUp(t *testing.T) {
	cases := []away{
		{rack: 8},
		{zone: 15},
		{release: true},
		{turns: 2, period: time.Second, rack: 8},
		{turns: 20, period: 3 * time.Second, zone: 15},
	}
	for _, engines := range []int{2, 7, 20} {
		for _, period := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second} {
			cases = append(cases, away{turns: engines, period: period})
		}
	}
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= max(3, *compared); seed++ {
				got := runModel(grown, pattern{away: c}, seed, chosenPolicy)
				t.Logf("seed %d | %+v", seed, got)
				assert.Check(t, got.suspected == 0, "seed %d: %d requests suspected, of them %d refused", seed, got.suspected, got.refused)
			}
		})
	}
}

// TestLoadOfCrashesWhileEnginesGo guards against a part that crashes engines and isn't
// found because other engines go away whatever they run.
func TestLoadOfCrashesWhileEnginesGo(t *testing.T) {
	for _, c := range []away{
		{turns: 2, period: time.Second},
		{turns: 7, period: 3 * time.Second},
		{turns: 7, period: time.Second},
		{turns: 20, period: 3 * time.Second},
		{rack: 8},
		{zone: 15},
		{release: true},
	} {
		for _, p := range patterns[:6] {
			p.away = c
			t.Run(p.name+", "+c.String(), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= max(1, *compared); seed++ {
					got := runModel(grown, p, seed, chosenPolicy)
					t.Logf("seed %d | %+v", seed, got)
					assert.Check(t, got.late <= 3, "seed %d: requests that reached engines late", seed)
					assert.Check(t, got.share >= 0.5, "seed %d: sound requests that began at the first attempt", seed)
				}
			})
		}
	}
}

var chosenPolicy = inRow(thresholds{blameAfter, certainAfter, answeredMargin}, 0)
