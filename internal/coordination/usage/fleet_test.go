package usage

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyworks"
)

const (
	step = 10 * time.Millisecond
	// relayCalls and leafCalls are the pauses between calls, as in package peering.
	relayCalls = 150 * time.Millisecond
	leafCalls  = 250 * time.Millisecond
	// detection is how long it takes until a gateway that does not answer is replaced as
	// a relay.
	detection = 900 * time.Millisecond
	workspace = comfreyworks.Workspace("w")
)

// fleet plays gateways that exchange counts through relays, as package peering does.
type fleet struct {
	clock     *clockwork.FakeClock
	startedAt time.Time
	random    *rand.Rand
	options   Options
	routing   *comfreyworks.Routing
	gateways  []*gateway
	// sent are the requests that were admitted; offered and refused count amounts.
	sent             []sent
	offered, refused float64
	requests, denied int
	// unaware makes every gateway decide without what others report.
	unaware bool
}

type sent struct {
	at     time.Duration
	amount float64
}

// gateway is one gateway of a fleet. Gateways reach each other if their sides are equal.
type gateway struct {
	id       comfreyworks.InstanceID
	zone     int
	limiter  *Limiter
	downAt   time.Duration
	down     bool
	frozen   bool
	side     int
	sideAt   time.Duration
	next     map[int]time.Duration
	listSent map[int]uint64
	known    map[int]comfreyworks.ListVersion
	role     bool
}

func newFleet(n, zones int, limit comfreyworks.UsageLimit, seed uint64) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1))}
	f.startedAt = f.clock.Now()
	f.setLimit(limit)
	f.options = Options{
		Clock: f.clock, Window: defaultWindow, Overage: 0.1, Slack: 110_000,
		Routing: func() *comfreyworks.Routing { return f.routing },
	}
	for i := range n {
		f.gateways = append(f.gateways, &gateway{id: comfreyworks.InstanceID(fmt.Sprint("g", i)), zone: i % zones})
		f.start(i)
	}
	return f
}

func (f *fleet) setLimit(limit comfreyworks.UsageLimit) {
	f.routing = &comfreyworks.Routing{Workspaces: []comfreyworks.WorkspaceKeys{{Name: workspace, Limit: limit}}}
}

// start starts the process of a gateway anew.
func (f *fleet) start(i int) {
	g := f.gateways[i]
	g.limiter = New(f.options)
	g.limiter.SetGateways(startGateways)
	g.down, g.frozen = false, false
	g.forget()
}

func (g *gateway) forget() {
	g.next, g.listSent, g.known = make(map[int]time.Duration), make(map[int]uint64), make(map[int]comfreyworks.ListVersion)
}

func (f *fleet) kill(i int) {
	if g := f.gateways[i]; !g.down {
		g.down, g.downAt = true, f.now()
	}
}

func (f *fleet) setSide(i, side int) {
	f.gateways[i].side, f.gateways[i].sideAt = side, f.now()
}

func (f *fleet) now() time.Duration { return f.clock.Since(f.startedAt) }

// reaches reports whether a call from one gateway to another is answered.
func (f *fleet) reaches(a, b *gateway) bool { return !b.down && !b.frozen && a.side == b.side }

// suspects reports whether a gateway has noticed that it does not reach another one.
func (f *fleet) suspects(a, b *gateway) bool {
	return !f.reaches(a, b) && f.now()-max(b.downAt, a.sideAt, b.sideAt) > detection
}

// relaysOf returns the relays of a zone from the point of view of a gateway.
func (f *fleet) relaysOf(g *gateway, zone int) []int {
	var relays []int
	for i, other := range f.gateways {
		if other.zone == zone && len(relays) < 2 && (other == g || !f.suspects(g, other)) {
			relays = append(relays, i)
		}
	}
	return relays
}

// exchange lets all gateways make the calls that are due.
func (f *fleet) exchange() {
	for i, g := range f.gateways {
		if g.down || g.frozen {
			continue
		}
		own := f.relaysOf(g, g.zone)
		relay := false
		for _, r := range own {
			relay = relay || r == i
		}
		if relay != g.role {
			g.role = relay
			g.forget()
		}
		partners := own
		if relay {
			partners = nil
			for zone := range f.zones() {
				partners = append(partners, f.relaysOf(g, zone)...)
			}
		} else if len(own) > 0 {
			partners = own[i%len(own) : i%len(own)+1]
		}
		g.limiter.SetGateways(len(f.gateways))
		for _, to := range partners {
			if to != i && f.now() >= g.next[to] {
				f.call(i, to)
			}
		}
	}
}

func (f *fleet) zones() int {
	zones := 0
	for _, g := range f.gateways {
		zones = max(zones, g.zone+1)
	}
	return zones
}

// call makes one call, as package peering does.
func (f *fleet) call(from, to int) {
	a, b := f.gateways[from], f.gateways[to]
	pause := leafCalls
	if a.role {
		pause = relayCalls
	}
	// Calls take a few milliseconds more or less.
	a.next[to] = f.now() + pause + time.Duration(f.random.IntN(40))*time.Millisecond
	if !f.reaches(a, b) {
		a.next[to] = f.now() + 500*time.Millisecond
		return
	}
	if f.unaware {
		return
	}
	news := News{From: a.id, Near: !a.role, Relays: a.role, Whole: a.listSent[to] == 0}
	news.Counts, news.List, news.Gateways = a.limiter.Near(a.listSent[to])
	if b.role || !a.role {
		b.limiter.Record(news)
	}
	reply, known := News{From: b.id, Relays: a.role}, a.known[to]
	if !a.role {
		reply.Counts, reply.List, reply.Whole, reply.Gateways = b.limiter.All(a.id, known)
	} else {
		reply.Whole = known.Process != b.limiter.Process()
		if reply.Whole {
			known.Version = 0
		}
		reply.Counts, reply.List, reply.Gateways = b.limiter.Near(known.Version)
	}
	a.listSent[to] = news.List.Version
	a.limiter.Confirm()
	if a.known[to].Process != reply.List.Process {
		a.listSent[to] = 0
	}
	a.known[to] = reply.List
	if !a.role || b.role {
		a.limiter.Record(reply)
	}
}

// load describes what callers of the workspace send.
type load struct {
	// rate is in units per second; weights are the shares of the gateways.
	rate    float64
	weights []float64
	// small means that all requests cost about 1,120; otherwise a quarter costs 9,200 on
	// average and up to 50,000.
	small bool
}

// run plays the load for a duration. It calls each, which may be nil, before each step.
func (f *fleet) run(d time.Duration, l load, each func()) {
	for end := f.now() + d; f.now() < end; f.clock.Advance(step) {
		if each != nil {
			each()
		}
		f.exchange()
		for expected := l.rate * step.Seconds(); expected > 0; {
			amount := f.amount(l.small)
			// The last request of a step arrives with the probability of its part.
			if float64(amount) > expected && f.random.Float64()*float64(amount) > expected {
				break
			}
			expected -= float64(amount)
			f.send(f.pick(l.weights), amount)
		}
	}
}

func (f *fleet) amount(small bool) int {
	if small || f.random.Float64() < 0.73 {
		return 900 + f.random.IntN(440)
	}
	return int(min(2500+f.random.ExpFloat64()*6700, 50_000))
}

// pick returns a running gateway by weight.
func (f *fleet) pick(weights []float64) int {
	total := 0.0
	for i, w := range weights {
		if !f.gateways[i].down {
			total += w
		}
	}
	left := f.random.Float64() * total
	for i, w := range weights {
		if !f.gateways[i].down {
			if left -= w; left < 0 {
				return i
			}
		}
	}
	return 0
}

// send offers a request to a gateway.
func (f *fleet) send(i, amount int) {
	g := f.gateways[i]
	if g.down || g.frozen {
		return
	}
	f.offered += float64(amount)
	f.requests++
	if !g.limiter.Admit(workspace, amount, f.random.IntN(2)).Admitted {
		f.refused += float64(amount)
		f.denied++
		return
	}
	f.sent = append(f.sent, sent{f.now(), float64(amount)})
}

// worst returns the highest sum of a window.
func (f *fleet) worst() float64 {
	sum, worst, first := 0.0, 0.0, 0
	for _, s := range f.sent {
		sum += s.amount
		for s.at-f.sent[first].at > defaultWindow {
			sum -= f.sent[first].amount
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// uneven returns weights of which a few are large.
func (f *fleet) uneven() []float64 {
	weights := make([]float64, len(f.gateways))
	for i := range weights {
		weights[i] = f.random.ExpFloat64() * f.random.ExpFloat64()
	}
	return weights
}
