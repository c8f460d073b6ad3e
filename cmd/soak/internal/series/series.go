// Package series runs one soak after the other: a fleet, callers, troubles drawn
// from a seed, and the check of what was seen.
//
// # Usage
//
//	result, err := series.Run(ctx, series.Options{Program: "target/gateway", Dir: dir, Seed: 7})
//	for _, violation := range result.Violations { ... }
package series

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/caller"
	"comfreyworks/cmd/soak/internal/check"
	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/cmd/soak/internal/trouble"
	"comfreyworks/platform/standin"
)

const (
	// startTimeout and recoverTimeout bound how long all gateways take to serve,
	// at first and after all troubles: ample, as the machine may be busy.
	startTimeout   = 30 * time.Second
	recoverTimeout = 30 * time.Second
	// probePause is the pause between two looks at whether a gateway serves, and
	// probesInARow how many must succeed.
	probePause   = 50 * time.Millisecond
	probesInARow = 5
	// calm is how long nothing happens before a process is told to stop, so that
	// only the stop can be to blame.
	calm = 4 * time.Second
)

// Options configures one soak.
type Options struct {
	// Program is the gateway's binary, Dir where settings and logs go.
	Program, Dir      string
	Seed              uint64
	Gateways, Callers int
	// Length is how long troubles begin.
	Length time.Duration
}

// Result is what one soak has shown.
type Result struct {
	Plan       *trouble.Plan
	Violations []check.Violation
	Requests   int
	// Served is how many were answered with a whole success.
	Served int
}

// Run runs one soak.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := os.MkdirAll(options.Dir, 0o750); err != nil {
		return nil, err
	}
	f, err := fleet.Start(fleet.Options{Program: options.Program, Dir: options.Dir, Gateways: options.Gateways, Seed: options.Seed})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	s := &soak{options: options, fleet: f}
	for _, g := range f.Gateways {
		s.addresses = append(s.addresses, g.Address())
	}
	if late := s.awaitServing(ctx, "start", startTimeout); late != "" {
		return nil, fmt.Errorf("gateways do not serve: %s", late)
	}
	return s.run(ctx)
}

type soak struct {
	options   Options
	fleet     *fleet.Fleet
	addresses []netip.AddrPort
	callers   []*caller.Caller
	probes    []*caller.Caller
}

func (s *soak) run(ctx context.Context) (*Result, error) {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	for i := range s.options.Callers {
		c := caller.New(caller.Options{
			Name: fmt.Sprintf("caller-%d", i), Gateways: s.addresses, Seed: s.options.Seed + uint64(i),
			Keys: []string{"key-office", "key-lab", "key-guest"},
		})
		s.callers = append(s.callers, c)
		group.Go(func() error {
			c.Run(calling)
			return nil
		})
	}
	plan := trouble.NewPlan(s.options.Seed, s.options.Length, len(s.fleet.Gateways), len(s.fleet.Replicas))
	revokedAt := plan.Execute(s.fleet)
	if err := s.fleet.Restore(); err != nil {
		return nil, err
	}
	late := s.awaitServing(ctx, "recover", recoverTimeout)
	span := s.stopOne()
	stop()
	_ = group.Wait()
	return s.judge(plan, revokedAt, late, span), nil
}

// stopOne tells one gateway to stop while nothing else happens.
func (s *soak) stopOne() check.StopWindow {
	time.Sleep(calm)
	span := check.StopWindow{Gateway: int(s.options.Seed) % len(s.fleet.Gateways), From: time.Now()}
	s.fleet.Gateways[span.Gateway].Terminate()
	span.To = time.Now()
	return span
}

// awaitServing waits until every gateway serves every kind of request some times
// in a row. It returns what does not within a time.
func (s *soak) awaitServing(ctx context.Context, name string, timeout time.Duration) (late string) {
	until := time.Now().Add(timeout)
	for i, address := range s.addresses {
		probe := caller.New(caller.Options{
			Name: fmt.Sprintf("%s-%d", name, i), Gateways: []netip.AddrPort{address}, Keys: []string{"key-office"},
		})
		s.probes = append(s.probes, probe)
		for row, n := 0, 0; row < probesInARow; n++ {
			if ctx.Err() != nil || time.Now().After(until) {
				return fmt.Sprintf("gateway %d after %s", i, timeout)
			}
			row++
			if record := probe.Send(n); record.Status != http.StatusOK {
				row = 0
				time.Sleep(probePause)
			}
		}
	}
	return ""
}

func (s *soak) judge(plan *trouble.Plan, revokedAt time.Time, late string, span check.StopWindow) *Result {
	facts := &check.Observations{RevokedAt: revokedAt, StopWindows: []check.StopWindow{span}, Orders: make(map[string][]standin.Order), Arrivals: make(map[string][]time.Time)}
	for _, c := range append(s.callers, s.probes...) {
		facts.Records = append(facts.Records, c.Records()...)
	}
	for _, r := range s.fleet.Replicas {
		for _, run := range r.Runs() {
			facts.Runs = append(facts.Runs, check.Run{Run: run, Replica: string(r.ID), Pool: r.Pool})
		}
		for _, arrival := range r.Arrivals() {
			facts.Arrivals[string(arrival.ID)] = append(facts.Arrivals[string(arrival.ID)], arrival.At)
		}
		if r.Engine != nil {
			facts.Orders[string(r.ID)] = r.Engine.Orders()
		}
	}
	result := &Result{Plan: plan, Violations: check.Violations(facts), Requests: len(facts.Records)}
	for i := range facts.Records {
		if record := &facts.Records[i]; record.Status == http.StatusOK && record.Complete {
			result.Served++
		}
	}
	if late != "" {
		result.Violations = append(result.Violations, check.Violation{Rule: check.Recovery, Detail: late})
	}
	for _, g := range s.fleet.Gateways {
		for _, fault := range g.Failures() {
			result.Violations = append(result.Violations, check.Violation{Rule: check.ProcessHealth, Detail: fault})
		}
	}
	return result
}
