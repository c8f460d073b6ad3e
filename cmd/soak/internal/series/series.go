// Package series runs the soak of one seed: it starts a fleet and callers, injects
// the faults that the seed determines, and checks the observations.
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
	// startTimeout and recoverTimeout bound how long all gateways may take until
	// they serve, at the start and after all faults. They are generous because
	// the machine may be busy.
	startTimeout   = 30 * time.Second
	recoverTimeout = 30 * time.Second
	// probeInterval is the pause after a failed probe of a gateway. A gateway
	// counts as serving after requiredSuccesses successful probes in a row.
	probeInterval     = 50 * time.Millisecond
	requiredSuccesses = 5
	// quietPeriod is the time without faults before a gateway is killed or told to
	// stop while nothing else is disturbed, so that only this can cut off requests.
	quietPeriod = 4 * time.Second
	// recordTime is the time until a request has crashed several replicas and gateways have
	// recorded that.
	recordTime = 8 * time.Second
	// endsAfterCrashes is how often all gateways are killed then, forgetTime the time in which
	// gateways that have forgotten it let the request crash replicas again.
	endsAfterCrashes, forgetTime = 2, 6 * time.Second
	// harmCallers is the number of callers of each source of harmful requests.
	harmCallers = 3
	// streamCallers is the number of callers of long streams for each other caller.
	// They outnumber the others so that a gateway that is killed breaks many streams.
	streamCallers = 3
	// brokenGateways is the number of gateways that are killed while nothing else is
	// disturbed.
	brokenGateways = 2
	// calmEngineDelay is how long engines read a prompt in runs without faults: less than
	// replicas may be silent, more than two of them may work on one request.
	calmEngineDelay = 320 * time.Millisecond
)

// calmRetrySlacks are the retries that runs without faults allow for, by seeds in turn: one for
// each request whose replica pauses, or fewer than that.
var calmRetrySlacks = []int{600, 100}

// Options configures a soak.
type Options struct {
	// Program is the path of the gateway's binary, Dir the directory for settings
	// files and logs.
	Program, Dir      string
	Seed              uint64
	Gateways, Callers int
	// Length is the time during which faults are started.
	Length time.Duration
	// Calm replaces faults by pauses of sound replicas beside planned work.
	Calm bool
}

func (o *Options) calmRetrySlack() int { return calmRetrySlacks[o.Seed%uint64(len(calmRetrySlacks))] }

// Result is the result of a soak.
type Result struct {
	Plan       *trouble.Plan
	Violations []check.Violation
	Requests   int
	// Served is the number of requests with a complete response of status 200.
	Served  int
	Streams check.StreamCounts
}

// Run runs a soak. It returns an error if the soak could not be carried out;
// broken guarantees are part of the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := os.MkdirAll(options.Dir, 0o750); err != nil {
		return nil, err
	}
	fleetOptions := fleet.Options{Program: options.Program, Dir: options.Dir, Gateways: options.Gateways, Seed: options.Seed}
	if options.Calm {
		fleetOptions.EngineDelay, fleetOptions.RetrySlack = calmEngineDelay, options.calmRetrySlack()
	}
	f, err := fleet.Start(fleetOptions)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	s := &soak{options: options, fleet: f}
	var started []func()
	for _, g := range f.Gateways {
		s.addresses = append(s.addresses, g.Address())
		started = append(started, g.Disturb())
	}
	if notServing := s.awaitServing(ctx, "start", startTimeout); notServing != "" {
		return nil, fmt.Errorf("start fleet: %s", notServing)
	}
	for _, end := range started {
		end()
	}
	return s.run(ctx)
}

// soak is a running soak. Each of its probes is a caller that sends requests to only
// one gateway; those that awaitServing creates in one call are in the order of the
// gateways.
type soak struct {
	options   Options
	fleet     *fleet.Fleet
	addresses []netip.AddrPort
	callers   []*caller.Caller
	probes    []*caller.Caller
}

func (s *soak) run(ctx context.Context) (*Result, error) {
	callerContext, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	ordinary := s.options.Callers * (1 + streamCallers)
	callers := ordinary + fleet.HarmSources*harmCallers
	if s.options.Calm {
		callers = ordinary
	}
	for i := range callers {
		options := caller.Options{
			Name: fmt.Sprintf("caller-%d", i), Gateways: s.addresses, Seed: s.options.Seed + uint64(i),
			Keys: []string{"key-office", "key-lab", "key-crew", "key-guest"},
		}
		switch {
		case i >= ordinary:
			source := (i - ordinary) / harmCallers
			options.Keys, options.Harmful = options.Keys[:1], func() *fleet.Harmful { return s.fleet.Harmful(source) }
		case i >= s.options.Callers:
			options.Keys, options.LongStreams = options.Keys[:2], true
		}
		c := caller.New(options)
		s.callers = append(s.callers, c)
		group.Go(func() error {
			c.Run(callerContext)
			return nil
		})
	}
	if s.options.Calm {
		return s.runCalm(ctx, func() {
			stop()
			_ = group.Wait()
		})
	}
	plan := trouble.NewPlan(s.options.Seed, s.options.Length, len(s.fleet.Gateways), fleet.Slots)
	startedAt := time.Now()
	revokedAt, err := plan.Execute(s.fleet)
	if err != nil {
		return nil, err
	}
	if err := s.fleet.Restore(); err != nil {
		return nil, err
	}
	notServing := s.awaitServing(ctx, "recover", recoverTimeout)
	// From now on gateways reach the store, so that isolation is checked for all of them.
	s.fleet.SetIsolated(true)
	if err := s.startAlone(); err != nil {
		return nil, err
	}
	if err := s.breakStreams(); err != nil {
		return nil, err
	}
	if err := s.removeWorkspaces(); err != nil {
		return nil, err
	}
	if err := s.endAllAfterCrashes(); err != nil {
		return nil, err
	}
	time.Sleep(quietPeriod)
	if err := trouble.EndAllInRelease(s.fleet, s.options.Seed, fleet.Releases[0]); err != nil {
		return nil, err
	}
	stopWindow := s.stopOneGateway()
	stop()
	_ = group.Wait()
	return s.evaluate(plan, startedAt, revokedAt, notServing, stopWindow), nil
}

// runCalm carries out a plan without faults. endCallers ends the callers and waits for them.
func (s *soak) runCalm(ctx context.Context, endCallers func()) (*Result, error) {
	plan, startedAt := trouble.NewCalmPlan(s.options.Seed, s.options.Length, len(s.fleet.Gateways)), time.Now()
	if _, err := plan.Execute(s.fleet); err != nil {
		return nil, err
	}
	notServing := s.awaitServing(ctx, "recover", recoverTimeout)
	endCallers()
	return s.evaluate(plan, startedAt, time.Time{}, notServing), nil
}

// startAlone lets a service leave at the moment at which a gateway starts while the others
// are paused and nothing else is disturbed. One of those is not killed afterwards, so that
// callers see whether it has learned of that.
func (s *soak) startAlone() error {
	event := trouble.Event{
		Gateway: (int(s.options.Seed) + 1) % len(s.fleet.Gateways), Replica: fleet.EngineSlots + int(s.options.Seed)%(fleet.Slots-fleet.EngineSlots),
		Seed: s.options.Seed, Alone: true,
	}
	return event.StartAtLeaving(s.fleet)
}

// breakStreams lets engines of two releases serve in each availability zone and kills
// two gateways, one after the other, while nothing else is disturbed.
func (s *soak) breakStreams() error {
	var leaving errgroup.Group
	for slot := range fleet.EngineSlots {
		release := fleet.Releases[1+slot/2%2]
		if s.fleet.Replica(slot).Release == release {
			continue
		}
		replaced, err := s.fleet.StartReplica(slot, release)
		if err != nil {
			return err
		}
		leaving.Go(func() error {
			s.fleet.Leave(replaced)
			return nil
		})
	}
	_ = leaving.Wait()
	for i := range brokenGateways {
		time.Sleep(quietPeriod)
		g := s.fleet.Gateways[(int(s.options.Seed)+1+i)%len(s.fleet.Gateways)]
		end := g.Disturb()
		g.Kill()
		err := g.Start()
		end()
		if err != nil {
			return err
		}
	}
	return nil
}

// removeWorkspaces revokes all keys for a time, with the workspaces that they belong to. Odd
// seeds do this, even ones endAllAfterCrashes.
func (s *soak) removeWorkspaces() error {
	if s.options.Seed%2 == 0 {
		return nil
	}
	restore := s.fleet.RemoveWorkspaces()
	time.Sleep(fleet.KeyRevocationBound + quietPeriod)
	restore()
	return nil
}

// endAllAfterCrashes kills all gateways, more than once, while callers send a request that has
// crashed several replicas, and nothing else is disturbed.
func (s *soak) endAllAfterCrashes() error {
	if s.options.Seed%2 == 1 {
		return nil
	}
	time.Sleep(quietPeriod)
	var group errgroup.Group
	group.Go(func() error {
		return s.fleet.Harm(fleet.HarmSources-1, trouble.HarmfulRequest(s.options.Seed), recordTime+endsAfterCrashes*forgetTime)
	})
	time.Sleep(recordTime)
	for range endsAfterCrashes {
		if err := s.restartAll(); err != nil {
			return err
		}
		time.Sleep(forgetTime)
	}
	return group.Wait()
}

// restartAll kills all gateways at once and starts them again.
func (s *soak) restartAll() error {
	var ends []func()
	for _, g := range s.fleet.Gateways {
		ends = append(ends, g.Disturb())
		g.Kill()
	}
	for i, g := range s.fleet.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
		ends[i]()
	}
	return nil
}

// stopOneGateway tells one gateway to stop while no faults are injected and the
// callers continue to send requests.
func (s *soak) stopOneGateway() check.StopWindow {
	time.Sleep(quietPeriod)
	window := check.StopWindow{Gateway: int(s.options.Seed) % len(s.fleet.Gateways), From: time.Now()}
	s.fleet.Gateways[window.Gateway].Disturb()
	s.fleet.Gateways[window.Gateway].Terminate()
	window.To = time.Now()
	return window
}

// awaitServing waits until every gateway has answered requiredSuccesses random
// requests in a row with status 200. If that takes longer than timeout, it
// returns which gateway doesn't serve.
func (s *soak) awaitServing(ctx context.Context, name string, timeout time.Duration) (notServing string) {
	deadline := time.Now().Add(timeout)
	for i, address := range s.addresses {
		probe := caller.New(caller.Options{
			Name: fmt.Sprintf("%s-%d", name, i), Gateways: []netip.AddrPort{address}, Keys: []string{"key-office"},
		})
		s.probes = append(s.probes, probe)
		for successes, n := 0, 0; successes < requiredSuccesses; n++ {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Sprintf("gateway %d does not serve after %s", i, timeout)
			}
			successes++
			if record := probe.Send(n); record.Status != http.StatusOK {
				successes = 0
				time.Sleep(probeInterval)
			}
		}
	}
	return ""
}

func (s *soak) evaluate(plan *trouble.Plan, startedAt, revokedAt time.Time, notServing string, stopWindows ...check.StopWindow) *Result {
	observed := &check.Observations{
		RevokedAt: revokedAt, Isolated: s.fleet.Isolation.Disturbed(), NoWorkspaces: s.fleet.NoWorkspaces.Disturbed(), StopWindows: stopWindows, Disturbances: plan.Disturbances(startedAt),
		Calm: s.options.Calm, Orders: make(map[string][]standin.Order), Arrivals: make(map[string][]time.Time),
	}
	if s.options.Calm {
		observed.RetrySlack = float64(s.options.calmRetrySlack())
	}
	for _, c := range s.callers {
		observed.Records = append(observed.Records, c.Records()...)
	}
	for i, probe := range s.probes {
		for _, record := range probe.Records() {
			record.Gateway = i % len(s.addresses)
			observed.Records = append(observed.Records, record)
		}
	}
	for _, g := range s.fleet.Gateways {
		observed.Gateways = append(observed.Gateways, g.Disturbed())
		observed.Stops = append(observed.Stops, g.Stops.Disturbed())
		observed.Stores = append(observed.Stores, append(g.StoreFaults.Disturbed(), s.fleet.StoreFaults.Disturbed()...))
	}
	for i, r := range s.fleet.Replicas() {
		for _, span := range r.LinkFaults.Disturbed() {
			observed.Disturbances = append(observed.Disturbances, check.Disturbance{Gateway: -1, Replica: i, From: span.From, To: span.To})
		}
		if r.Pool == fleet.EnginePool {
			observed.Engines = append(observed.Engines, check.Engine{Release: r.Release, Started: r.Started, Disturbed: append(r.Disturbed(), r.LinkFaults.Disturbed()...)})
		}
		for _, run := range r.Runs() {
			observed.Runs = append(observed.Runs, check.Run{Run: run, Replica: string(r.ID), Pool: r.Pool})
		}
		observed.Replicas = append(observed.Replicas, check.Replica{ID: string(r.ID), Arrivals: r.Arrivals(), TurnedAway: r.TurnedAway(), Starts: r.Starts(), Left: r.DepartedAt(), Disturbed: r.Disturbed()})
		for _, arrival := range r.Arrivals() {
			observed.Arrivals[string(arrival.ID)] = append(observed.Arrivals[string(arrival.ID)], arrival.At)
		}
		if r.Engine != nil {
			observed.Orders[string(r.ID)] = r.Engine.Orders()
		}
	}
	result := &Result{Plan: plan, Violations: check.Violations(observed), Requests: len(observed.Records), Streams: check.CountStreams(observed)}
	for i := range observed.Records {
		if record := &observed.Records[i]; record.Status == http.StatusOK && record.Complete {
			result.Served++
		}
	}
	if notServing != "" {
		result.Violations = append(result.Violations, check.Violation{Rule: check.Recovery, Detail: notServing})
	}
	for _, g := range s.fleet.Gateways {
		for _, failure := range g.Failures() {
			result.Violations = append(result.Violations, check.Violation{Rule: check.ProcessHealth, Detail: failure})
		}
	}
	return result
}
