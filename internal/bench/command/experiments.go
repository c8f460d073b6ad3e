package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"

	"comfreyworks/internal/bench/experiment"
	"comfreyworks/internal/bench/report"
	"comfreyworks/internal/bench/trace"
	"comfreyworks/internal/state/settings"
)

// traceCommand generates a trace and writes it to standard output.
type traceCommand struct {
	Profile trace.Profile `long:"profile" choice:"piedmont" choice:"ramdeen" choice:"hot-shift" choice:"herd" default:"piedmont" description:"kind of trace"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	Length  time.Duration `long:"length" default:"30s" description:"how long requests arrive"`
	Rate    float64       `long:"rate" default:"60" description:"requests a second"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	return trace.Write(os.Stdout, trace.Generate(c.Profile, trace.GenerateOptions{Seed: c.Seed, Length: c.Length, Rate: c.Rate}))
}

// runOptions holds the options that run, check and compare share.
type runOptions struct {
	Config        string        `long:"config" description:"deployment file; without one an example is used" value-name:"FILE"`
	CheckConfig   bool          `long:"check-config" description:"check the deployment file and exit"`
	Trace         string        `long:"trace" description:"trace file; without one a trace is generated" value-name:"FILE"`
	WarmUp        time.Duration `long:"warm-up" default:"10s" description:"time at the start that does not count"`
	EventLoss     float64       `long:"event-loss" default:"0" description:"share of cache events that are lost, 0 to 1"`
	Replicas      int           `long:"replicas" default:"0" description:"number of engines; 0 keeps the deployment's"`
	OffloadBlocks int           `long:"kept-blocks" default:"0" description:"size of the store of kept KV cache, in blocks of 16 tokens; 0 means none"`
	JSON          bool          `long:"json" description:"print JSON"`
}

// readDeployment reads and validates the deployment file. It returns nil content
// if --config is not set, and done if the program was only asked to check the
// file.
func (o *runOptions) readDeployment() (content []byte, done bool, err error) {
	if o.Config == "" {
		return nil, o.CheckConfig, nil
	}
	content, err = os.ReadFile(o.Config)
	if err != nil {
		return nil, false, eris.Wrap(err, "read the file of --config")
	}
	if _, err := settings.ReadDeployment(o.Config, content); err != nil {
		return nil, false, err
	}
	return content, o.CheckConfig, nil
}

func readTrace(path string) (trace.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open the file of --trace")
	}
	defer func() { _ = file.Close() }()
	return trace.Read(path, file)
}

// runCommand runs one trace under one placement policy and prints a summary.
type runCommand struct {
	runOptions
	Policy string `long:"policy" default:"comfrey" description:"placement policy"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the stand-ins"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	deployment, done, err := c.readDeployment()
	if err != nil || done {
		return err
	}
	policies, err := parsePolicies([]string{c.Policy})
	if err != nil {
		return err
	}
	t, err := readTrace(c.Trace)
	if err != nil {
		return err
	}
	result, err := experiment.Run(c.ctx, experiment.Options{
		Trace: t, Policy: policies[0], Seed: c.Seed,
		WarmUp: c.WarmUp, EventLoss: c.EventLoss, Replicas: c.Replicas, Deployment: deployment, OffloadBlocks: c.OffloadBlocks,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(result)
	}
	report.WriteTable(os.Stdout, result.Summary)
	fmt.Printf("prefill busy %.1f %%\n", 100*result.PrefillBusy)
	if result.Summary.BadAnswers() > 0 || result.Summary.DoubledCalls > 0 {
		return errViolations
	}
	return nil
}

// checkCommand runs generated traces with faults, or a trace file, and prints
// each violation of the system's guarantees.
type checkCommand struct {
	runOptions
	traceCommand
	Runs int `long:"runs" default:"1" description:"number of runs, each with the next seed"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	deployment, done, err := c.readDeployment()
	if err != nil || done {
		return err
	}
	traceFor, err := traceSource(c.runOptions, c.traceCommand, trace.GenerateFaulty)
	if err != nil {
		return err
	}
	violations := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Runs); seed++ {
		result, err := experiment.Run(c.ctx, experiment.Options{
			Trace: traceFor(seed), Policy: experiment.Policy("comfrey"), Seed: seed,
			EventLoss: c.EventLoss, Replicas: c.Replicas, Deployment: deployment, OffloadBlocks: c.OffloadBlocks,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %v, %d violations\n", seed, result.Summary.Requests, result.Summary.Outcomes, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Println("  ", violation)
		}
		violations += len(result.Violations)
	}
	if violations > 0 {
		return errViolations
	}
	return nil
}

// compareCommand runs the selected policies on the same traces and prints a table
// with one row per policy.
type compareCommand struct {
	runOptions
	traceCommand
	Policies []string `long:"policy" description:"policy to compare, once for each; all without one"`
	Seeds    int      `long:"seeds" default:"5" description:"number of seeds"`
	Parallel int      `long:"parallel" default:"2" description:"runs at once"`
	Plots    string   `long:"plots" description:"directory for plots" value-name:"DIR"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	deployment, done, err := c.readDeployment()
	if err != nil || done {
		return err
	}
	policies, err := parsePolicies(c.Policies)
	if err != nil {
		return err
	}
	traceFor, err := traceSource(c.runOptions, c.traceCommand, trace.Generate)
	if err != nil {
		return err
	}
	bar := newProgressBar(c.Seeds * len(policies))
	results, err := experiment.Compare(c.ctx, experiment.CompareOptions{
		Trace: traceFor, Policies: policies, Seeds: c.Seeds, Parallel: c.Parallel,
		WarmUp: c.WarmUp, EventLoss: c.EventLoss, Replicas: c.Replicas, Deployment: deployment, OffloadBlocks: c.OffloadBlocks,
		Progress: func() { _ = bar.Add(1) },
	})
	if err != nil {
		return err
	}
	if c.Plots != "" {
		if err := os.MkdirAll(c.Plots, 0o755); err != nil {
			return eris.Wrap(err, "create the directory of --plots")
		}
		if err := experiment.WritePlots(c.Plots, results, policies); err != nil {
			return err
		}
	}
	summaries := experiment.SummarizeByPolicy(results, policies)
	if c.JSON {
		return printJSON(summaries)
	}
	printSummaries(summaries)
	return nil
}

// traceSource returns a function that returns the trace for a seed: the trace
// file if --trace is set, which is the same for every seed, or else a generated
// trace.
func traceSource(options runOptions, generator traceCommand, generate func(trace.Profile, trace.GenerateOptions) trace.Trace) (func(uint64) trace.Trace, error) {
	if options.Trace == "" {
		return func(seed uint64) trace.Trace {
			return generate(generator.Profile, trace.GenerateOptions{Seed: seed, Length: generator.Length, Rate: generator.Rate})
		}, nil
	}
	t, err := readTrace(options.Trace)
	return func(uint64) trace.Trace { return t }, err
}

func parsePolicies(names []string) ([]experiment.Policy, error) {
	if len(names) == 0 {
		return experiment.Policies(), nil
	}
	var policies []experiment.Policy
	for _, name := range names {
		policy := experiment.Policy(name)
		if !slices.Contains(experiment.Policies(), policy) {
			return nil, eris.Errorf("--policy: found %q, expected one of %v", name, experiment.Policies())
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func printSummaries(summaries []experiment.PolicySummary) {
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(table.Row{"policy", "hit rate", "waste", "busy", "TTFT p50", "p95", "p99", "bad"})
	for _, r := range summaries {
		w.AppendRow(table.Row{
			r.Policy, formatSpread(r.HitRate), formatSpread(r.Waste), formatSpread(r.Busy),
			formatSpread(r.TTFT50), formatSpread(r.TTFT95), formatSpread(r.TTFT99), r.BadAnswers,
		})
	}
	w.Render()
}

// formatSpread returns the median and the range of a spread.
func formatSpread(s experiment.Spread) string {
	return fmt.Sprintf("%.3f (%.3f-%.3f)", s.Median, s.Min, s.Max)
}
