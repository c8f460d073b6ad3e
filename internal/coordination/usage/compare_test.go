package usage

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"comfreyworks"
)

// bucket is a token bucket that requests may overdraw.
type bucket struct{ level, at float64 }

func (b *bucket) admit(now, rate, burst, amount float64) bool {
	b.level, b.at = min(b.level+rate*(now-b.at), burst), now
	if b.level <= 0 {
		return false
	}
	b.level -= amount
	return true
}

// approach is a way to share a limit among gateways.
type approach struct {
	name string
	// install makes a fleet decide that way.
	install func(f *fleet)
	// callsPerRequest and storeCalls are the calls to another gateway for each request
	// and the store calls per second of each gateway and workspace.
	callsPerRequest, storeCalls float64
	// counts means that gateways exchange counts.
	counts bool
}

// leaseTime is how long the allowance that a gateway takes from the store lasts.
const leaseTime = 1.0

// approaches lists what was compared. Those that exchange counts use the same reports.
var approaches = []approach{
	{name: "equal shares", install: func(f *fleet) {
		own := make([]bucket, len(f.gateways))
		f.admit = func(i, amount int) bool {
			n := float64(len(own))
			return own[i].admit(f.now().Seconds(), f.rate()/n, f.rate()/n, float64(amount))
		}
	}},
	{name: "shares by demand", counts: true, install: func(f *fleet) {
		own := make([]bucket, len(f.gateways))
		f.admit = func(i, amount int) bool {
			return f.decideBy(i, amount, func(s *state, _ *account) bool {
				return own[i].admit(f.now().Seconds(), s.share*f.rate(), s.share*f.rate(), float64(amount))
			})
		}
	}},
	{name: "shared level alone", counts: true, install: func(f *fleet) {
		f.admit = func(i, amount int) bool {
			return f.decideBy(i, amount, func(s *state, a *account) bool { return a.level > 0 })
		}
	}},
	{name: "loans", counts: true, install: func(f *fleet) {
		// A gateway whose equal share is used up borrows from the next one that has
		// something left, in calls that take part in the same exchange.
		own := make([]bucket, len(f.gateways))
		borrowedAt := make([]time.Duration, len(f.gateways))
		f.admit = func(i, amount int) bool {
			n := float64(len(own))
			if f.now()-borrowedAt[i] >= leafCalls {
				borrowedAt[i] = f.now()
				for j := range own {
					if j != i && !f.gateways[j].down && own[i].level < f.rate()/n {
						loan := max(own[j].level, 0) / 2
						own[j].level, own[i].level = own[j].level-loan, own[i].level+loan
					}
				}
			}
			return own[i].admit(f.now().Seconds(), f.rate()/n, f.rate(), float64(amount))
		}
	}},
	{name: "leases from the store", storeCalls: 1 / leaseTime, install: func(f *fleet) {
		var store bucket
		own, leasedAt, asked := make([]float64, len(f.gateways)), make([]float64, len(f.gateways)), make([]float64, len(f.gateways))
		f.admit = func(i, amount int) bool {
			now := f.now().Seconds()
			if now-leasedAt[i] >= leaseTime {
				store.level, store.at = min(store.level+f.rate()*(now-store.at), f.rate()), now
				lease := min(max(asked[i], f.rate()/float64(len(own))), max(store.level, 0))
				store.level -= lease
				own[i], leasedAt[i], asked[i] = lease, now, 0
			}
			asked[i] += float64(amount)
			if own[i] <= 0 {
				return false
			}
			own[i] -= float64(amount)
			return true
		}
	}},
	{name: "home gateway", callsPerRequest: 1, install: func(f *fleet) {
		var home bucket
		f.admit = func(_, amount int) bool {
			return home.admit(f.now().Seconds(), f.rate(), f.rate(), float64(amount))
		}
	}},
	{name: "shared level, shares below half", counts: true, install: func(*fleet) {}},
}

// decideBy counts a request as decide does, but admits it by another rule.
func (f *fleet) decideBy(i, amount int, rule func(s *state, a *account) bool) bool {
	l := f.gateways[i].limiter
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readLimits()
	a := l.accounts[Key(workspace)]
	a.demand.add(now, float64(amount))
	s := l.state(a, now)
	admitted := rule(&s, a)
	if admitted {
		a.take(now, float64(amount))
		a.near.taken += int64(amount)
	} else {
		a.near.refused += int64(amount)
	}
	l.touch(a, true)
	return admitted
}

// BenchmarkApproaches prints the comparison in docs/design/usage.md: a calm workspace
// whose callers move every 3 s, then all move to one gateway, then send 7.5 times as much.
func BenchmarkApproaches(b *testing.B) {
	for _, n := range []int{4, 13, 27, 103, 340} {
		for _, approach := range approaches {
			b.Run(fmt.Sprintf("%s/%d", approach.name, n), func(b *testing.B) {
				for b.Loop() {
					f := newFleet(n, min(max(4, n/30), n/2), tokens(300_000), 1)
					approach.install(f)
					warm(f, f.uneven())
					for range 4 {
						f.run(3*time.Second, load{rate: usual * f.rate(), weights: f.uneven()}, nil)
					}
					b.ReportMetric(100*float64(f.denied)/float64(f.requests), "%refused")
					b.ReportMetric(f.follow(), "s-to-follow")
					f.run(9*time.Second, load{rate: surge * f.rate(), weights: f.uneven()}, nil)
					b.ReportMetric(f.worst()/(9*f.rate()), "worst/aim")
					f.reportCosts(b, approach)
				}
			})
		}
	}
}

// follow moves all callers to one gateway and returns how long requests are refused.
func (f *fleet) follow() float64 {
	only := make([]float64, len(f.gateways))
	only[len(only)-1] = 1
	start, last, denied := f.now(), time.Duration(0), f.denied
	f.run(3*time.Second, load{rate: usual * f.rate(), weights: only}, func() {
		if f.denied > denied {
			denied, last = f.denied, f.now()-start
		}
	})
	return last.Seconds()
}

// reportCosts reports what 16 workspaces cost a relay in bytes and all gateways in store
// calls per second.
func (f *fleet) reportCosts(b *testing.B, approach approach) {
	const workspaces, requests = 16, 450
	perSecond := 0.0
	if approach.counts {
		counts := make([]comfreyworks.UsageCount, workspaces)
		for i := range counts {
			counts[i] = comfreyworks.UsageCount{Workspace: 1 << 31, Taken: 1 << 30}
		}
		relays := float64(2 * f.zones())
		leaves := float64(len(f.gateways))/relays - 1
		perSecond = 2 * encodedBytes(b, counts) * ((relays-1)/f.gateways[0].relayPause().Seconds() + max(leaves, 0)/leafCalls.Seconds())
	}
	b.ReportMetric(perSecond+approach.callsPerRequest*requests*80/float64(len(f.gateways)), "B/s-relay")
	b.ReportMetric(approach.storeCalls*workspaces*float64(len(f.gateways)), "store-calls/s")
}

// encodedBytes returns the length of counts within a message, without the types, which
// are sent once for each connection.
func encodedBytes(b *testing.B, counts []comfreyworks.UsageCount) float64 {
	b.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for range 2 {
		buffer.Reset()
		if err := encoder.Encode(counts); err != nil {
			b.Fatal(err)
		}
	}
	return float64(buffer.Len())
}

// BenchmarkAdmit measures a decision with 1,600 workspaces and 30 peers that report all.
func BenchmarkAdmit(b *testing.B) {
	routing := &comfreyworks.Routing{}
	var counts []comfreyworks.UsageCount
	for i := range 1600 {
		name := comfreyworks.Workspace(fmt.Sprint("w", i))
		routing.Workspaces = append(routing.Workspaces, comfreyworks.WorkspaceKeys{Name: name, Limit: tokens(1e12)})
		counts = append(counts, comfreyworks.UsageCount{Workspace: Key(name), Taken: 1})
	}
	f := newFleet(1, 1, tokens(1), 1)
	f.routing = routing
	l := f.gateways[0].limiter
	for i := range 30 {
		l.Record(News{From: comfreyworks.InstanceID(fmt.Sprint("g", i)), Whole: true, List: comfreyworks.ListVersion{Process: 1}, Gateways: 1, Counts: counts})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Admit("w7", 100, 1)
	}
}
