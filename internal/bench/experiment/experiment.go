// Package experiment replays traces with different placement policies and
// compares the results.
//
// # Usage
//
//	result, err := experiment.Run(ctx, experiment.Options{Trace: t, Policy: "comfrey", Seed: 1})
//	results, err := experiment.Compare(ctx, experiment.CompareOptions{Trace: traceOf, Policies: policies, Seeds: 5, Parallel: 2})
//
// An error means that the deployment, the trace or the policy is not valid, or
// that the rig could not be started or a plot not be written. Failures of single
// requests are in the result.
package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyworks"
	"comfreyworks/examples"
	"comfreyworks/internal/bench/check"
	"comfreyworks/internal/bench/load"
	"comfreyworks/internal/bench/report"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/bench/trace"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/state/settings"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindSetUp   Kind = "set up"
	KindUnknown Kind = "unknown policy"
)

// Error is the error type of this package.
type Error = comfreyworks.OpError[Kind]

// Policy names the placement policy of a run: one that settings can name, or one
// that only the bench has.
type Policy string

// Policies that only the bench has. They place requests by the actual cache and
// queue of every engine, and differ in the weight that they give to recomputation.
const (
	PolicyOmniscient      Policy = "omniscient"
	PolicyOmniscientHeavy Policy = "omniscient-heavy"
)

// recomputeWeights maps each policy that only the bench has to its cost of
// recomputing a token, relative to the time to prefill it.
var recomputeWeights = map[Policy]float64{
	PolicyOmniscient:      1,
	PolicyOmniscientHeavy: 2.5,
}

// Policies returns all policies that a run can use.
func Policies() []Policy {
	var policies []Policy
	for _, name := range comfreyworks.PolicyNames() {
		policies = append(policies, Policy(name))
	}
	return append(policies, PolicyOmniscient, PolicyOmniscientHeavy)
}

// The delays of the test doubles in every run.
const (
	eventLag = 200 * time.Millisecond
	loadLag  = 200 * time.Millisecond
	listLag  = time.Second
)

// numEntries is the number of entries in every run.
const numEntries = 3

// Options configures a run.
type Options struct {
	Trace  trace.Trace
	Policy Policy
	Seed   uint64
	// WarmUp is the time from the start during which requests are not counted.
	WarmUp time.Duration
	// EventLoss is the fraction of cache events that are lost.
	EventLoss float64
	// OffloadBlocks is the capacity of the cache store, in blocks; zero means that
	// there is no cache store.
	OffloadBlocks int
	// Deployment is the content of a deployment file; nil selects the example
	// that declares the trace's pools.
	Deployment []byte
	// Replicas overrides the number of engines in each pool; zero keeps the
	// deployment's.
	Replicas int
	// Progress is called after each request; it may be nil.
	Progress func()
}

// Result holds the results of one run.
type Result struct {
	Policy  Policy         `json:"policy"`
	Seed    uint64         `json:"seed"`
	Summary report.Summary `json:"summary"`
	// PrefillBusy is the fraction of the engines' time that was spent on
	// prefill, estimated from the number of prompt tokens that were not cached.
	PrefillBusy float64 `json:"prefill-busy"`
	HitRate     float64 `json:"hit-rate"`
	Waste       float64 `json:"waste"`
	// Samples are the requests after the warm-up.
	Samples []load.Sample `json:"-"`
	// Violations are the violated guarantees of the whole run, including the
	// warm-up.
	Violations []check.Violation `json:"violations"`
}

// Run replays one trace with one policy.
func Run(ctx context.Context, options Options) (Result, error) {
	deployment, err := selectDeployment(options)
	if err != nil {
		return Result{}, err
	}
	if err := options.Trace.Check(deployment); err != nil {
		return Result{}, err
	}
	rigOptions := rig.Options{
		Deployment:    deployment,
		Entries:       numEntries,
		Clock:         clockwork.NewRealClock(),
		Seed:          options.Seed,
		EventLag:      eventLag,
		EventLoss:     options.EventLoss,
		LoadLag:       loadLag,
		ListLag:       listLag,
		OffloadBlocks: options.OffloadBlocks,
	}
	if weight, ok := recomputeWeights[options.Policy]; ok {
		rigOptions.Chooser = rig.NewOmniscientChooser(weight)
	}
	r, err := rig.Start(ctx, rigOptions)
	if err != nil {
		return Result{}, &Error{Op: "run", Kind: KindSetUp, Err: err}
	}
	defer r.Stop()
	samples := load.Run(ctx, load.Options{
		Rig: r, Trace: options.Trace, Texts: trace.NewTextCache(), Clock: clockwork.NewRealClock(),
		Key: examples.Key, Progress: options.Progress,
	})
	return summarize(options, deployment, r, samples), nil
}

// selectDeployment reads options.Deployment, or selects the example that declares
// all pools of the trace, and applies the options to it.
func selectDeployment(options Options) (*settings.Deployment, error) {
	files := map[string][]byte{"piedmont.jsonc": examples.Piedmont, "ramdeen.jsonc": examples.Ramdeen}
	if options.Deployment != nil {
		files = map[string][]byte{"deployment": options.Deployment}
	}
	for file, source := range files {
		deployment, err := settings.ReadDeployment(file, source)
		if err != nil {
			return nil, &Error{Op: "read " + file, Kind: KindSetUp, Err: err}
		}
		if !declaresPools(deployment, options.Trace) {
			continue
		}
		return deployment, overrideSettings(deployment, options)
	}
	return nil, &Error{Op: "select deployment", Kind: KindSetUp, Err: fmt.Errorf("no deployment declares all pools of the trace")}
}

func declaresPools(deployment *settings.Deployment, t trace.Trace) bool {
	for _, line := range t {
		if !line.IsFault() && deployment.Pool(line.Pool) == nil {
			return false
		}
	}
	return true
}

func overrideSettings(deployment *settings.Deployment, options Options) error {
	_, benchOnly := recomputeWeights[options.Policy]
	for i := range deployment.Pools {
		pool := &deployment.Pools[i]
		if pool.Kind != settings.PoolEngine {
			continue
		}
		if options.OffloadBlocks == 0 {
			pool.CacheStore = ""
		}
		if options.Replicas > 0 {
			pool.Replicas = options.Replicas
		}
		if !benchOnly {
			pool.Placement = comfreyworks.PolicyName(options.Policy)
		}
	}
	for i := range deployment.Classes {
		// The bounds are so large that no request is rejected. Otherwise a policy
		// that rejects requests would give its engines less work than the others.
		deployment.Classes[i].QueueBound = 1 << 20
		deployment.Classes[i].Deadline = 5 * time.Minute
	}
	return nil
}

func summarize(options Options, deployment *settings.Deployment, r *rig.Rig, samples []load.Sample) Result {
	var counted []load.Sample
	computed := 0
	pool := comfreyworks.Pool("")
	for _, sample := range samples {
		if sample.Start < options.WarmUp {
			continue
		}
		counted = append(counted, sample)
		computed += sample.PromptTokens - sample.CachedTokens
		if !sample.Line.IsCall() {
			pool = sample.Line.Pool
		}
	}
	summary := report.Summarize(counted, report.CountSideEffects(r, deployment))
	measuredTime := options.Trace.Length() - options.WarmUp
	engines := len(r.Engines(pool))
	busy := 0.0
	if engines > 0 && measuredTime > 0 {
		busy = float64(computed) * float64(engine.DefaultRates().PrefillTime) / float64(measuredTime) / float64(engines)
	}
	return Result{
		Policy: options.Policy, Seed: options.Seed, Summary: summary, PrefillBusy: busy,
		HitRate: summary.HitRate(), Waste: summary.Waste(), Samples: counted,
		Violations: check.FindViolations(samples, r.Runs, deployment),
	}
}
