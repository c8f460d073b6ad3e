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

// traceCommand writes a generated trace.
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

// runOptions are shared by run and compare.
type runOptions struct {
	Config    string        `long:"config" description:"deployment file; without one an example is used" value-name:"FILE"`
	Check     bool          `long:"check-config" description:"check the deployment file and exit"`
	Trace     string        `long:"trace" description:"trace file; without one a trace is generated" value-name:"FILE"`
	WarmUp    time.Duration `long:"warm-up" default:"10s" description:"time at the start that does not count"`
	EventLoss float64       `long:"event-loss" default:"0" description:"share of cache events that are lost, 0 to 1"`
	Replicas  int           `long:"replicas" default:"0" description:"number of engines; 0 keeps the deployment's"`
	Kept      int           `long:"kept-blocks" default:"0" description:"size of the store of kept KV cache, in blocks of 16 tokens; 0 means none"`
	JSON      bool          `long:"json" description:"print JSON"`
}

// deployment reads the deployment file. It returns done when it was only to be
// checked.
func (o *runOptions) deployment() (source []byte, done bool, err error) {
	if o.Config == "" {
		return nil, o.Check, nil
	}
	source, err = os.ReadFile(o.Config)
	if err != nil {
		return nil, false, eris.Wrap(err, "--config")
	}
	if _, err := settings.ReadDeployment(o.Config, source); err != nil {
		return nil, false, err
	}
	return source, o.Check, nil
}

func readTrace(path string) (trace.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open trace")
	}
	defer func() { _ = file.Close() }()
	return trace.Read(path, file)
}

// runCommand runs one trace under one policy.
type runCommand struct {
	runOptions
	Policy string `long:"policy" default:"comfrey" description:"placement policy"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the stand-ins"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	deployment, done, err := c.deployment()
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
		WarmUp: c.WarmUp, EventLoss: c.EventLoss, Replicas: c.Replicas, Deployment: deployment, KeptBlocks: c.Kept,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(result)
	}
	report.WriteTable(os.Stdout, result.Summary)
	fmt.Printf("prefill busy %.1f %%\n", 100*result.PrefillBusy)
	if result.Summary.Bad() > 0 || result.Summary.DoubledCalls > 0 {
		return errBroken
	}
	return nil
}

// checkCommand runs generated or given traces with faults and checks the
// promises.
type checkCommand struct {
	runOptions
	traceCommand
	Runs int `long:"runs" default:"1" description:"number of runs, each with the next seed"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	deployment, done, err := c.deployment()
	if err != nil || done {
		return err
	}
	source, err := source(c.runOptions, c.traceCommand, trace.GenerateFaulty)
	if err != nil {
		return err
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Runs); seed++ {
		result, err := experiment.Run(c.ctx, experiment.Options{
			Trace: source(seed), Policy: experiment.Policy("comfrey"), Seed: seed,
			EventLoss: c.EventLoss, Replicas: c.Replicas, Deployment: deployment, KeptBlocks: c.Kept,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %v, %d violations\n", seed, result.Summary.Requests, result.Summary.Outcomes, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Println("  ", violation)
		}
		broken += len(result.Violations)
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

// compareCommand runs every policy on the same traces.
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
	deployment, done, err := c.deployment()
	if err != nil || done {
		return err
	}
	policies, err := parsePolicies(c.Policies)
	if err != nil {
		return err
	}
	source, err := source(c.runOptions, c.traceCommand, trace.Generate)
	if err != nil {
		return err
	}
	bar := newProgressBar(c.Seeds * len(policies))
	results, err := experiment.Compare(c.ctx, experiment.CompareOptions{
		Trace: source, Policies: policies, Seeds: c.Seeds, Parallel: c.Parallel,
		WarmUp: c.WarmUp, EventLoss: c.EventLoss, Replicas: c.Replicas, Deployment: deployment, KeptBlocks: c.Kept,
		Progress: func() { _ = bar.Add(1) },
	})
	if err != nil {
		return err
	}
	if c.Plots != "" {
		if err := os.MkdirAll(c.Plots, 0o755); err != nil {
			return eris.Wrap(err, "make directory")
		}
		if err := experiment.WritePlots(c.Plots, results, policies); err != nil {
			return err
		}
	}
	rows := experiment.Rows(results, policies)
	if c.JSON {
		return printJSON(rows)
	}
	printRows(rows)
	return nil
}

// source returns the trace of each seed: the file's, which is the same for
// all, or a generated one.
func source(run runOptions, generated traceCommand, generate func(trace.Profile, trace.GenerateOptions) trace.Trace) (func(uint64) trace.Trace, error) {
	if run.Trace == "" {
		return func(seed uint64) trace.Trace {
			return generate(generated.Profile, trace.GenerateOptions{Seed: seed, Length: generated.Length, Rate: generated.Rate})
		}, nil
	}
	t, err := readTrace(run.Trace)
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

func printRows(rows []experiment.Row) {
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.SetStyle(table.StyleLight)
	w.AppendHeader(table.Row{"policy", "hit rate", "waste", "busy", "TTFT p50", "p95", "p99", "bad"})
	for _, r := range rows {
		w.AppendRow(table.Row{
			r.Policy, shown(r.HitRate), shown(r.Waste), shown(r.Busy),
			shown(r.TTFT50), shown(r.TTFT95), shown(r.TTFT99), r.Bad,
		})
	}
	w.Render()
}

// shown formats a spread as its median and range.
func shown(s experiment.Spread) string {
	return fmt.Sprintf("%.3f (%.3f-%.3f)", s.Median, s.Min, s.Max)
}
