package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The engines of the model: the time of a step, the time and the number of the prompt
// tokens in a step, the tokens in an event and the sessions in a cache. A long prompt
// has the tokens of longTokens, a short one those of shortTokens, shared and its own.
const (
	modelTick, modelStep     = time.Millisecond, 3740 * time.Microsecond
	modelTokenTime           = 12210 * time.Nanosecond
	modelChunk, modelEvent   = 1024, 6
	modelSessions            = 14
	longTokens, longShared   = 9190, 6300
	shortTokens, shortShared = 826, 198
)

// queueModel is a plain model of engines that many gateways choose by stale reports. In
// each step an engine prefills a chunk of prompt tokens in the order of arrival and
// generates one token for each prompt that is prefilled.
type queueModel struct {
	gateways int
	// speeds are those of the engines. Each is 2.5 times slower for slowShare of the time.
	speeds    []float64
	slowShare float64
	// stepAt raises the demand by a half, stopAt stops an engine; zero means never.
	stepAt, stopAt time.Duration
	choose         func(gateway int, r *modelRequest) int
	// reported is called when reports arrive, evicted when an engine drops a session.
	reported func()
	evicted  func(engine, session int)

	now      time.Duration
	random   *rand.Rand
	engines  []*modelEngine
	own, old [][]modelLoad
	total    []modelLoad

	waits                                           map[bool][]time.Duration
	late                                            map[bool]int
	cached, cacheable, unequal, observed, abandoned int
}

// modelLoad is the load on an engine: tokens to prefill and requests in progress.
type modelLoad struct{ tokens, count float64 }

type modelEngine struct {
	speed, slowdown         float64
	freeAt, flipAt, flushAt time.Duration
	queue, running          []*modelRequest
	sessions                []int
}

type modelRequest struct {
	long                               bool
	session, gateway, engine, output   int
	tokens, left                       float64
	sentAt, firstAt, measuredAt, limit time.Duration
	pick                               *Pick
}

func newQueueModel(seed uint64, gateways, engines int, speeds ...float64) *queueModel {
	m := &queueModel{
		gateways: gateways, random: rand.New(rand.NewPCG(seed, 1)), total: make([]modelLoad, engines),
		waits: make(map[bool][]time.Duration), late: make(map[bool]int), reported: func() {}, evicted: func(int, int) {},
	}
	for i := range engines {
		m.speeds = append(m.speeds, speeds[i/3%len(speeds)])
		m.engines = append(m.engines, &modelEngine{speed: m.speeds[i], slowdown: 1})
	}
	for range gateways {
		m.own, m.old = append(m.own, make([]modelLoad, engines)), append(m.old, make([]modelLoad, engines))
	}
	return m
}

// run runs the model for a time, of which the first quarter is not counted. Reports
// arrive every 300 ms, the demand is a wave of 11 s, and new weights empty each cache
// every 3 s.
func (m *queueModel) run(length time.Duration) {
	sessions := rand.NewZipf(m.random, 1.2, 8, uint64(10*len(m.engines)))
	for ; m.now < length; m.now += modelTick {
		if m.now%(300*time.Millisecond) == 0 {
			m.report()
			m.reported()
		}
		demand := 1 + 0.55*math.Sin(2*math.Pi*m.now.Seconds()/11)
		if m.stepAt > 0 && m.now >= m.stepAt {
			demand *= 1.5
		}
		m.arrive(&modelRequest{long: true, tokens: longTokens, output: 9 * modelEvent, limit: 500 * time.Millisecond}, 5.07*demand, sessions)
		m.arrive(&modelRequest{tokens: shortTokens, output: 49 * modelEvent, limit: 300 * time.Millisecond}, 2.95*demand, sessions)
		for i, e := range m.engines {
			m.step(i, e, length/4)
		}
	}
}

// report makes the loads known to all gateways.
func (m *queueModel) report() {
	clear(m.total)
	for g := range m.own {
		copy(m.old[g], m.own[g])
		for i, load := range m.own[g] {
			m.total[i].tokens, m.total[i].count = m.total[i].tokens+load.tokens, m.total[i].count+load.count
		}
	}
	mean := 0.0
	for i, e := range m.engines {
		mean += m.total[i].tokens / e.speed / float64(len(m.engines))
	}
	for i, e := range m.engines {
		m.observed++
		if m.total[i].tokens > modelChunk && m.total[i].tokens/e.speed > 2*mean {
			m.unequal++
		}
	}
}

// arrive sends requests like r at a rate per second and engine.
func (m *queueModel) arrive(like *modelRequest, rate float64, sessions *rand.Zipf) {
	for expected := rate * float64(len(m.engines)) * modelTick.Seconds(); m.random.Float64() < expected; expected-- {
		r := *like
		r.session, r.gateway, r.sentAt, r.left = int(sessions.Uint64()), m.random.IntN(m.gateways), m.now, r.tokens
		r.engine = m.choose(r.gateway, &r)
		e := m.engines[r.engine]
		if r.long {
			m.cacheable++
			if at := slices.Index(e.sessions, r.session); at >= 0 {
				m.cached++
				r.left -= longShared
				e.sessions = slices.Delete(e.sessions, at, at+1)
			}
			e.sessions = append(e.sessions, r.session)
			if len(e.sessions) > modelSessions {
				m.evicted(r.engine, e.sessions[0])
				e.sessions = e.sessions[1:]
			}
			// Gateways assume that the shared part is cached.
			r.tokens -= longShared
		}
		load := &m.own[r.gateway][r.engine]
		load.tokens, load.count = load.tokens+r.tokens, load.count+1
		e.queue = append(e.queue, &r)
	}
}

// step runs the steps of an engine that begin before the next tick.
func (m *queueModel) step(i int, e *modelEngine, countFrom time.Duration) {
	if m.now >= e.flushAt {
		e.flushAt = m.now + time.Duration((0.5+m.random.Float64())*float64(3*time.Second))
		for _, session := range e.sessions {
			m.evicted(i, session)
		}
		e.sessions = nil
	}
	if m.now >= e.flipAt {
		e.flipAt, e.slowdown = m.now+600*time.Millisecond, 1
		if m.random.Float64() < m.slowShare {
			e.slowdown = 2.5
		}
	}
	if m.stopAt > 0 && m.now >= m.stopAt && i == 0 {
		m.abandoned = len(e.queue)
		return
	}
	for e.freeAt = max(e.freeAt, m.now); e.freeAt < m.now+modelTick && len(e.queue)+len(e.running) > 0; {
		budget := float64(modelChunk)
		for _, r := range e.queue {
			read := min(budget, r.left)
			budget, r.left = budget-read, r.left-read
		}
		step := float64(modelStep) + (modelChunk-budget)*float64(modelTokenTime)
		e.freeAt += time.Duration(step * e.slowdown / e.speed)
		for len(e.queue) > 0 && e.queue[0].left <= 0 {
			e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
		}
		e.running = slices.DeleteFunc(e.running, func(r *modelRequest) bool { return m.generate(e, r, countFrom) })
	}
}

// generate generates a token and reports whether it was the last one.
func (m *queueModel) generate(e *modelEngine, r *modelRequest, countFrom time.Duration) bool {
	load := &m.own[r.gateway][r.engine]
	r.output--
	switch {
	case r.firstAt == 0 && r.output%modelEvent == 0:
		load.tokens -= r.tokens
		r.firstAt, r.measuredAt = e.freeAt, e.freeAt
		if wait := r.firstAt - r.sentAt; r.sentAt > countFrom {
			m.waits[r.long] = append(m.waits[r.long], wait)
			if wait > r.limit {
				m.late[r.long]++
			}
		}
		if r.pick != nil {
			r.pick.FirstEvent()
			r.pick.AnswerStarted()
		}
	case r.pick != nil && r.output > 0 && r.output%(3*modelEvent) == 0:
		r.pick.Events(3, e.freeAt-r.measuredAt)
		r.measuredAt = e.freeAt
	}
	if r.output > 0 {
		return false
	}
	load.count--
	if r.pick != nil {
		r.pick.Done(Result{Outcome: Answered, Elapsed: e.freeAt - r.sentAt})
	}
	return true
}

// lateShare returns the share of late requests.
func (m *queueModel) lateShare(long bool) float64 {
	return float64(m.late[long]) / float64(max(len(m.waits[long]), 1))
}

// String returns the figures: requests that were late, in 100, waits, the share of
// reports with an engine of twice the mean load, and that of sessions found cached.
func (m *queueModel) String() string {
	quantile := func(long bool, q float64) time.Duration {
		slices.Sort(m.waits[long])
		return m.waits[long][int(q*float64(len(m.waits[long])))].Round(time.Millisecond)
	}
	return fmt.Sprintf("| %.1f | %.1f | %s, %s | %s, %s | %.3f | %.2f |", 100*m.lateShare(false), 100*m.lateShare(true),
		quantile(false, 0.5), quantile(false, 0.99), quantile(true, 0.5), quantile(true, 0.99),
		float64(m.unequal)/float64(m.observed), float64(m.cached)/float64(m.cacheable))
}

// known returns what a gateway knows of the load of an engine: the reported load of the
// others, and its own.
func (m *queueModel) known(g, i int) modelLoad {
	own, old, total := m.own[g][i], m.old[g][i], m.total[i]
	return modelLoad{total.tokens - old.tokens + own.tokens, total.count - old.count + own.count}
}
