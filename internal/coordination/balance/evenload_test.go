package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/internal/state/enginepace"
	"comfreyworks/internal/state/holdings"
	"comfreyworks/internal/state/rendezvous"
)

// approach chooses an engine for a request of a gateway.
type approach func(m *queueModel, g int, r *modelRequest) int

// least returns the index from 0 to n-1, or the candidate, of the lowest cost.
func least(candidates []int, n int, cost func(i int) float64) int {
	best, lowest := 0, math.Inf(1)
	for at := range max(n, len(candidates)) {
		i := at
		if candidates != nil {
			i = candidates[at]
		}
		if c := cost(i); c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

// finish is the time until an engine has prefilled a prompt by what is known, in ns.
func (m *queueModel) finish(i int, load modelLoad, tokens float64) float64 {
	return ((load.tokens+tokens)*float64(modelTokenTime) + 3e5*load.count) / m.speeds[i]
}

func leastLoaded(load func(m *queueModel, g, i int) modelLoad) approach {
	return func(m *queueModel, g int, r *modelRequest) int {
		return least(nil, len(m.engines), func(i int) float64 { return m.finish(i, load(m, g, i), r.tokens) })
	}
}

// sessionHomes returns the n homes of a session, weighted by speed.
func (m *queueModel) sessionHomes(r *modelRequest, n int) []int {
	return highest(len(m.engines), n, func(i int) uint64 {
		return rendezvous.Weighted(rendezvous.Score(rendezvous.Seed(fmt.Sprint(i)), uint64(r.session)), m.speeds[i])
	})
}

// approaches are the alternatives. All but the last two know the speeds of engines.
var approaches = []struct {
	name   string
	choose approach
}{
	{"omniscient", func(m *queueModel, _ int, r *modelRequest) int {
		return least(nil, len(m.engines), func(i int) float64 {
			e, load := m.engines[i], modelLoad{}
			for _, q := range e.queue {
				load.tokens += q.left
			}
			for _, session := range e.sessions {
				if r.long && session == r.session {
					load.tokens -= longShared
				}
			}
			return m.finish(i, load, r.tokens) * e.slowdown
		})
	}},
	{"least loaded as reported", leastLoaded(func(m *queueModel, _, i int) modelLoad { return m.total[i] })},
	{"own sends added", leastLoaded((*queueModel).known)},
	{"and those of others expected alike", leastLoaded(func(m *queueModel, g, i int) modelLoad {
		load := m.known(g, i)
		load.tokens += max(m.own[g][i].tokens-m.old[g][i].tokens, 0) * float64(m.gateways-1)
		return load
	})},
	{"two random choices", func(m *queueModel, g int, r *modelRequest) int {
		two := []int{m.random.IntN(len(m.engines)), m.random.IntN(len(m.engines))}
		return least(two, 0, func(i int) float64 { return m.finish(i, m.known(g, i), r.tokens) })
	}},
	{"probability by free capacity", func(m *queueModel, g int, r *modelRequest) int {
		return least(nil, len(m.engines), func(i int) float64 {
			return m.random.ExpFloat64() * (3e7 + m.finish(i, m.known(g, i), r.tokens)) / m.speeds[i]
		})
	}},
	{"three engines of each gateway", func(m *queueModel, g int, r *modelRequest) int {
		of := modelRequest{session: -g - 1}
		return least(m.sessionHomes(&of, 3), 0, func(i int) float64 { return m.finish(i, m.known(g, i), r.tokens) })
	}},
	{"first home with a wait up to 100 ms", func(m *queueModel, g int, r *modelRequest) int {
		homes := m.sessionHomes(r, 8)
		for _, i := range homes {
			if m.finish(i, m.known(g, i), 0) < 1e8 {
				return i
			}
		}
		return least(homes, 0, func(i int) float64 { return m.finish(i, m.known(g, i), r.tokens) })
	}},
	{"three homes, least cost", func(m *queueModel, g int, r *modelRequest) int {
		homes := m.sessionHomes(r, 3)
		return least(homes, 0, func(i int) float64 {
			missing := 0.0
			if r.long && i != homes[0] {
				missing = recomputeWeight * longShared
			}
			return m.finish(i, m.known(g, i), r.tokens+missing)
		})
	}},
	{"Balancer without measurements", func(m *queueModel, _ int, _ *modelRequest) int { return 0 }},
	{"Balancer", nil},
}

// useBalancers lets a Balancer for each gateway choose. Without measurements none knows
// the speed of engines or whether requests are late, as before those were measured.
func (m *queueModel) useBalancers(measured bool) {
	f := newFixture(len(m.engines))
	epoch := f.clock.Now()
	hub := enginepace.New(enginepace.Options{Clock: f.clock})
	ids, index := make([]comfreyworks.InstanceID, len(m.engines)), make(map[comfreyworks.InstanceID]int)
	for i := range m.engines {
		ids[i] = comfreyworks.InstanceID(fmt.Sprintf("lm/%d", i))
		index[ids[i]] = i
	}
	var balancers []*Balancer
	for g := range m.gateways {
		options := f.options
		options.Zone = comfreyworks.Zone(fmt.Sprint("z", g%3))
		options.Pace = enginepace.New(enginepace.Options{Clock: f.clock})
		balancers = append(balancers, New(options))
		balancers[g].SetGateways(m.gateways)
	}
	m.reported = func() {
		f.clock.Advance(epoch.Add(m.now).Sub(f.clock.Now()))
		sum := newPeerLoads()
		for g, b := range balancers {
			sum.set(ids[0]+comfreyworks.InstanceID(fmt.Sprint(g)), loadReport{loads: b.LocalLoads()})
			hub.SetReport(comfreyworks.InstanceID(fmt.Sprint(g)), b.options.Pace.Local(), f.clock.Now().Add(time.Second))
		}
		for g, b := range balancers {
			own := sum.reports[ids[0]+comfreyworks.InstanceID(fmt.Sprint(g))]
			sum.remove(ids[0] + comfreyworks.InstanceID(fmt.Sprint(g)))
			b.SetPeerLoads("relay", sum.list(0, 0), f.clock.Now().Add(time.Second))
			sum.set(ids[0]+comfreyworks.InstanceID(fmt.Sprint(g)), own)
			b.options.Pace.SetReport("relay", hub.AllExcept(comfreyworks.InstanceID(fmt.Sprint(g))), f.clock.Now().Add(time.Second))
		}
	}
	part := func(session int) comfreyworks.PromptPart {
		return comfreyworks.PromptPart{ID: fmt.Sprint("session", session), Tokens: longShared}
	}
	m.evicted = func(engine, session int) {
		f.holdings.Add(ids[engine], holdings.Part{Salt: holdings.Salt("shared", 1), Model: model, ID: part(session).ID})
	}
	m.choose = func(g int, r *modelRequest) int {
		f.clock.Advance(epoch.Add(m.now).Sub(f.clock.Now()))
		key := rendezvous.Seed(fmt.Sprint(r.session))
		query := Query{Pool: engines, Model: model, CacheScope: "shared", AffinityKey: key, StoreKey: key, Tokens: int(r.tokens), Objective: r.limit}
		shared := comfreyworks.PromptPart{ID: fmt.Sprint("guide", r.session), Tokens: shortShared}
		if r.long {
			query.Priority, shared = 1, part(r.session)
		}
		query.Parts = []comfreyworks.PromptPart{shared, {ID: fmt.Sprint(m.random.Uint64()), Tokens: int(r.tokens) - shared.Tokens}}
		if !measured {
			clear(balancers[g].late)
			balancers[g].options.Pace = enginepace.New(enginepace.Options{Clock: f.clock})
		}
		r.pick = balancers[g].Pick(query)
		return index[r.pick.Upstream.ID]
	}
}

// use makes the model choose by an approach.
func (m *queueModel) use(a int) *queueModel {
	switch name := approaches[a].name; name {
	case "Balancer", "Balancer without measurements":
		m.useBalancers(name == "Balancer")
	default:
		m.choose = func(g int, r *modelRequest) int { return approaches[a].choose(m, g, r) }
	}
	return m
}

// TestEvenLoad guards against gateways that choose by stale reports and overload some
// engines while others idle: with three speeds of engines and a wave of demand, and
// with equal engines beside which short prompts wait behind long ones.
func TestEvenLoad(t *testing.T) {
	const short, long = false, true
	for name, test := range map[string]struct {
		speeds []float64
		// less is the share of the late requests that the Balancer has at most, of those
		// without measurements.
		lessShort, lessLong float64
		prepare             func(m *queueModel)
	}{
		"three speeds":     {[]float64{0.6, 1, 1.6}, 0.65, 0.9, func(m *queueModel) { m.slowShare = 0.15 }},
		"equal engines":    {[]float64{1}, 0.85, 1.15, func(*queueModel) {}},
		"a step of demand": {[]float64{0.6, 1, 1.6}, 0.75, 0.9, func(m *queueModel) { m.stepAt = 4 * time.Second }},
	} {
		t.Run(name, func(t *testing.T) {
			var shares [2][2]float64
			for _, seed := range []uint64{1, 2, 3} {
				for i, a := range []int{len(approaches) - 2, len(approaches) - 1} {
					m := newQueueModel(seed, 22, 41, test.speeds...)
					test.prepare(m)
					m.use(a).run(10 * time.Second)
					shares[i][0] += m.lateShare(short) / 3
					shares[i][1] += m.lateShare(long) / 3
				}
			}
			t.Logf("late short and long: %.3f before, %.3f", shares[0], shares[1])
			assert.Assert(t, shares[1][0] <= test.lessShort*shares[0][0] && shares[1][1] <= test.lessLong*shares[0][1])
		})
	}
}

// BenchmarkEvenLoad prints the figures of docs/design/even-load.md.
func BenchmarkEvenLoad(b *testing.B) {
	for _, size := range [][2]int{{4, 9}, {13, 24}, {22, 41}, {103, 160}, {340, 1100}} {
		for a, approach := range approaches {
			b.Run(fmt.Sprintf("%d/%s", size[0], approach.name), func(b *testing.B) {
				for range b.N {
					m := newQueueModel(1, size[0], size[1], 0.6, 1, 1.6)
					m.slowShare = 0.15
					m.use(a).run(10 * time.Second)
					b.Logf("| %d | %s %s", size[0], approach.name, m)
				}
			})
		}
	}
}
