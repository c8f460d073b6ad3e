// Package experiment runs traces under policies and compares the results.
//
// # Usage
//
//	result, err := experiment.Run(ctx, experiment.Options{Trace: t, Policy: "comfrey", Seed: 1})
//	results, err := experiment.Compare(ctx, options, policies, seeds)
//
// Errors come from starting the rig; what went wrong with single requests is
// in the result.
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

// Policy names what places requests in a run: a policy of the product, or one
// that only the bench has.
type Policy string

// Policies that only the bench has: they see every engine's true cache and
// queue, and differ in the weight of recomputation.
const (
	PolicyOmniscient      Policy = "omniscient"
	PolicyOmniscientHeavy Policy = "omniscient-heavy"
)

// omniscientWeights are the weights of recomputation of the bench's policies.
var omniscientWeights = map[Policy]float64{
	PolicyOmniscient:      1,
	PolicyOmniscientHeavy: 2.5,
}

// Policies lists every policy that a run may have.
func Policies() []Policy {
	var policies []Policy
	for _, name := range comfreyworks.PolicyNames() {
		policies = append(policies, Policy(name))
	}
	return append(policies, PolicyOmniscient, PolicyOmniscientHeavy)
}

// The lateness of the stand-ins in every run.
const (
	eventLag = 200 * time.Millisecond
	loadLag  = 200 * time.Millisecond
	listLag  = time.Second
)

// entries is the number of entries in every run.
const entries = 3

// Options describes a run.
type Options struct {
	Trace  trace.Trace
	Policy Policy
	Seed   uint64
	// WarmUp is the time at the start that does not count.
	WarmUp time.Duration
	// EventLoss is the share of cache events that are lost.
	EventLoss float64
	// KeptBlocks is the size of the store of kept cache; zero means none.
	KeptBlocks int
	// Deployment is a deployment file to run; nil means the example that
	// declares the trace's pools.
	Deployment []byte
	// Replicas replaces the number of engines; zero keeps the deployment's.
	Replicas int
	Progress func()
}

// Result is one run.
type Result struct {
	Policy  Policy         `json:"policy"`
	Seed    uint64         `json:"seed"`
	Summary report.Summary `json:"summary"`
	// PrefillBusy is the share of the engines' time that went into prompts.
	PrefillBusy float64 `json:"prefill-busy"`
	HitRate     float64 `json:"hit-rate"`
	Waste       float64 `json:"waste"`
	// Samples are the requests that counted.
	Samples []load.Sample `json:"-"`
	// Violations are the promises that the whole run broke, warm-up included.
	Violations []check.Violation `json:"violations"`
}

// Run runs one trace under one policy.
func Run(ctx context.Context, options Options) (Result, error) {
	deployment, err := deploymentFor(options)
	if err != nil {
		return Result{}, err
	}
	if err := options.Trace.Check(deployment); err != nil {
		return Result{}, err
	}
	rigOptions := rig.Options{
		Deployment: deployment,
		Entries:    entries,
		Clock:      clockwork.NewRealClock(),
		Seed:       options.Seed,
		EventLag:   eventLag,
		EventLoss:  options.EventLoss,
		LoadLag:    loadLag,
		ListLag:    listLag,
		KeptBlocks: options.KeptBlocks,
	}
	if weight, ok := omniscientWeights[options.Policy]; ok {
		rigOptions.Chooser = rig.NewOmniscientChooser(weight)
	}
	r, err := rig.Start(ctx, rigOptions)
	if err != nil {
		return Result{}, &Error{Op: "run", Kind: KindSetUp, Err: err}
	}
	defer r.Stop()
	samples := load.Run(ctx, load.Options{
		Rig: r, Trace: options.Trace, Texts: trace.NewTexts(), Clock: clockwork.NewRealClock(),
		Key: examples.Key, Progress: options.Progress,
	})
	return summarize(options, deployment, r, samples), nil
}

// deploymentFor finds the user's deployment that declares the trace's pools.
func deploymentFor(options Options) (*settings.Deployment, error) {
	files := map[string][]byte{"piedmont.jsonc": examples.Piedmont, "ramdeen.jsonc": examples.Ramdeen}
	if options.Deployment != nil {
		files = map[string][]byte{"deployment": options.Deployment}
	}
	for file, source := range files {
		deployment, err := settings.ReadDeployment(file, source)
		if err != nil {
			return nil, &Error{Op: "read " + file, Kind: KindSetUp, Err: err}
		}
		if !declares(deployment, options.Trace) {
			continue
		}
		return deployment, prepare(deployment, options)
	}
	return nil, &Error{Op: "find a deployment", Kind: KindSetUp, Err: fmt.Errorf("the deployment does not declare all pools of the trace")}
}

func declares(deployment *settings.Deployment, t trace.Trace) bool {
	for _, line := range t {
		if !line.IsFault() && deployment.Pool(line.Pool) == nil {
			return false
		}
	}
	return true
}

func prepare(deployment *settings.Deployment, options Options) error {
	_, benchOnly := omniscientWeights[options.Policy]
	for i := range deployment.Pools {
		pool := &deployment.Pools[i]
		if pool.Kind != settings.PoolEngine {
			continue
		}
		if options.KeptBlocks == 0 {
			pool.KeptCache = ""
		}
		if options.Replicas > 0 {
			pool.Replicas = options.Replicas
		}
		if !benchOnly {
			pool.Placement = comfreyworks.PolicyName(options.Policy)
		}
	}
	for i := range deployment.Classes {
		// A refusal would take work off the engines that other policies do.
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
	summary := report.Summarize(counted, report.EffectsOf(r, deployment))
	span := options.Trace.Length() - options.WarmUp
	engines := len(r.Engines(pool))
	busy := 0.0
	if engines > 0 && span > 0 {
		busy = float64(computed) * float64(engine.DefaultRates().PrefillTime) / float64(span) / float64(engines)
	}
	return Result{
		Policy: options.Policy, Seed: options.Seed, Summary: summary, PrefillBusy: busy,
		HitRate: summary.HitRate(), Waste: summary.Waste(), Samples: counted,
		Violations: check.FindViolations(samples, r.Runs, deployment),
	}
}
