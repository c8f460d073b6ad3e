package experiment

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/internal/bench/trace"
)

// CompareOptions configures a comparison.
type CompareOptions struct {
	// Trace returns the trace of a seed.
	Trace    func(seed uint64) trace.Trace
	Policies []Policy
	// Seeds is the number of seeds; they start at 1.
	Seeds int
	// Parallel is the maximum number of concurrent runs.
	Parallel int
	// WarmUp, EventLoss, Replicas, OffloadBlocks and Deployment are described at
	// Options.
	WarmUp        time.Duration
	EventLoss     float64
	Replicas      int
	OffloadBlocks int
	Deployment    []byte
	// Progress is called after each run; it may be nil.
	Progress func()
}

// Compare runs every policy on the same traces. The runs of one seed are adjacent,
// so that a temporary slowdown of the machine affects all policies alike.
func Compare(ctx context.Context, options CompareOptions) ([]Result, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(options.Parallel)
	results := make([]Result, options.Seeds*len(options.Policies))
	for i := range results {
		seed := uint64(i/len(options.Policies)) + 1
		policy := options.Policies[i%len(options.Policies)]
		group.Go(func() error {
			result, err := Run(ctx, Options{
				Trace: options.Trace(seed), Policy: policy, Seed: seed,
				WarmUp: options.WarmUp, EventLoss: options.EventLoss, Replicas: options.Replicas, Deployment: options.Deployment,
				OffloadBlocks: options.OffloadBlocks,
			})
			results[i] = result
			if options.Progress != nil {
				options.Progress()
			}
			return err
		})
	}
	return results, group.Wait()
}

// Spread is the median and the range of a metric over all seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// PolicySummary summarizes the results of one policy over all seeds.
type PolicySummary struct {
	Policy  Policy `json:"policy"`
	HitRate Spread `json:"hit-rate"`
	Waste   Spread `json:"waste"`
	Busy    Spread `json:"prefill-busy"`
	// TTFT50, TTFT95 and TTFT99 are in seconds.
	TTFT50 Spread `json:"ttft-p50-seconds"`
	TTFT95 Spread `json:"ttft-p95-seconds"`
	TTFT99 Spread `json:"ttft-p99-seconds"`
	// BadAnswers is the number of bad requests and doubled calls in all runs.
	BadAnswers int `json:"bad"`
}

// SummarizeByPolicy summarizes the results by policy, in the order of policies.
func SummarizeByPolicy(results []Result, policies []Policy) []PolicySummary {
	var summaries []PolicySummary
	for _, policy := range policies {
		var policyResults []Result
		for _, result := range results {
			if result.Policy == policy {
				policyResults = append(policyResults, result)
			}
		}
		summaries = append(summaries, newPolicySummary(policy, policyResults))
	}
	return summaries
}

func newPolicySummary(policy Policy, results []Result) PolicySummary {
	r := PolicySummary{
		Policy:  policy,
		HitRate: newSpread(results, func(r Result) float64 { return r.HitRate }),
		Waste:   newSpread(results, func(r Result) float64 { return r.Waste }),
		Busy:    newSpread(results, func(r Result) float64 { return r.PrefillBusy }),
		TTFT50:  newSpread(results, func(r Result) float64 { return r.Summary.TTFT50.Seconds() }),
		TTFT95:  newSpread(results, func(r Result) float64 { return r.Summary.TTFT95.Seconds() }),
		TTFT99:  newSpread(results, func(r Result) float64 { return r.Summary.TTFT99.Seconds() }),
	}
	for _, result := range results {
		r.BadAnswers += result.Summary.BadAnswers() + result.Summary.DoubledCalls
	}
	return r
}

func newSpread(results []Result, metric func(Result) float64) Spread {
	values := make([]float64, len(results))
	for i, result := range results {
		values[i] = metric(result)
	}
	slices.SortFunc(values, cmp.Compare[float64])
	if len(values) == 0 {
		return Spread{}
	}
	return Spread{Median: values[len(values)/2], Min: values[0], Max: values[len(values)-1]}
}
