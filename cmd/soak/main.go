// Program soak runs gateway processes, injects faults that it draws at random from
// a seed, and checks what callers and replicas observe against the guarantees of
// gateways.
//
// # Usage
//
//	soak --program target/gateway --seed 1 --seeds 50 --jobs 4
//	soak --program target/gateway --regressions cmd/soak/regressions.txt
//	soak --mutants --root .
//
// It exits with 1 if a guarantee was broken or, with --mutants, if a mutant was
// not detected, and with 2 if the command line is invalid or a seed cannot be
// run. The settings files and logs of each seed remain in --dir.
package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/mutant"
	"comfreyworks/cmd/soak/internal/series"
	"comfreyworks/internal/transport/program"
)

type options struct {
	Program     string        `long:"program" default:"target/gateway" description:"path of the gateway's binary" value-name:"PATH"`
	Dir         string        `long:"dir" description:"directory for settings files and logs (default: a new temporary directory)" value-name:"PATH"`
	Seed        uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds       uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Regressions string        `long:"regressions" description:"file with one seed per line, which replaces --seed and --seeds" value-name:"PATH"`
	Jobs        int           `long:"jobs" default:"1" description:"number of seeds that run at the same time"`
	Gateways    int           `long:"gateways" default:"3" description:"number of gateways in each run"`
	Callers     int           `long:"callers" default:"12" description:"number of callers in each run, besides three of long streams for each"`
	Length      time.Duration `long:"length" default:"12s" description:"time during which faults are started"`
	Calm        bool          `long:"calm" description:"pause sound replicas beside planned work, without faults"`
	Mutants     bool          `long:"mutants" description:"build gateways with deliberate bugs and run seeds until each bug is detected"`
	Every       bool          `long:"every" description:"with --mutants: require that every seed detects each bug"`
	Root        string        `long:"root" default:"." description:"source tree that --mutants builds from" value-name:"PATH"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return program.ExitOK
		}
		return program.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return reportError(err)
		}
		o.Dir = dir
	}
	if o.Mutants {
		return o.runMutants(ctx)
	}
	seeds, err := o.seedList()
	if err != nil {
		return reportError(err)
	}
	failed, err := o.runSeeds(ctx, o.Program, o.Dir, seeds)
	switch {
	case err != nil:
		return reportError(err)
	case failed > 0:
		fmt.Printf("%d of %d seeds broke a promise; logs in %s\n", failed, len(seeds), o.Dir)
		return program.ExitFailure
	}
	fmt.Printf("%d seeds, no promise broken\n", len(seeds))
	return program.ExitOK
}

// reportError prints an error and returns the exit code for it.
func reportError(err error) int {
	fmt.Fprintln(os.Stderr, "soak:", err)
	return program.ExitUsage
}

// seedList returns the seeds of the regression file or, without one, the range on
// the command line.
func (o *options) seedList() ([]uint64, error) {
	var seeds []uint64
	if o.Regressions == "" {
		for i := range o.Seeds {
			seeds = append(seeds, o.Seed+i)
		}
		return seeds, nil
	}
	source, err := os.ReadFile(o.Regressions)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(bytes.NewReader(source))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		seed, err := strconv.ParseUint(strings.Fields(line)[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", o.Regressions, n, err)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// runSeeds runs seeds and returns how many of them broke a guarantee.
func (o *options) runSeeds(ctx context.Context, binary, dir string, seeds []uint64) (failed int, err error) {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(o.Jobs, 1))
	for _, seed := range seeds {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			result, err := series.Run(ctx, series.Options{
				Program: binary, Dir: filepath.Join(dir, strconv.FormatUint(seed, 10)), Seed: seed,
				Gateways: o.Gateways, Callers: o.Callers, Length: o.Length, Calm: o.Calm,
			})
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			printResult(seed, result)
			if len(result.Violations) > 0 {
				calm := ""
				if o.Calm {
					calm = " --calm"
				}
				fmt.Printf("  played again by: soak%s --program %s --seed %d --gateways %d --callers %d --length %s\n", calm, binary, seed, o.Gateways, o.Callers, o.Length)
				failed++
			}
			return nil
		})
	}
	return failed, group.Wait()
}

// printResult prints one line for a seed. If guarantees were broken, it also
// prints the violations and the injected events.
func printResult(seed uint64, result *series.Result) {
	streams := &result.Streams
	fmt.Printf("seed %d: %d requests, %d served, %d troubles, %d of %d streams begun, %d of %d taken up went on, %d promises broken\n",
		seed, result.Requests, result.Served, len(result.Plan.Events), streams.Begun, streams.Started,
		streams.Continued, streams.TakenUp, len(result.Violations))
	if len(result.Violations) == 0 {
		return
	}
	for _, violation := range result.Violations {
		fmt.Printf("  %s: %s\n", violation.Rule, violation.Detail)
	}
	for i := range result.Plan.Events {
		fmt.Printf("  %s\n", &result.Plan.Events[i])
	}
}

// runMutants runs seeds on each mutant until it is detected, or all of them with --every.
func (o *options) runMutants(ctx context.Context) int {
	undetected := 0
	for i, m := range slices.Concat(mutant.All, mutant.Calm) {
		o := *o
		o.Calm = i >= len(mutant.All)
		run, detected, err := o.detect(ctx, &m, filepath.Join(o.Dir, fmt.Sprint("mutant-", i)))
		if err != nil {
			return reportError(errors.Join(errors.New(m.Name), err))
		}
		fmt.Printf("a gateway that %s: noticed by %d of %d seeds\n", m.Name, detected, run)
		if detected == 0 || o.Every && detected < run {
			undetected++
		}
	}
	if undetected > 0 {
		return program.ExitFailure
	}
	return program.ExitOK
}

// detect builds a mutant and returns how many seeds ran on it, and how many detected it.
func (o *options) detect(ctx context.Context, m *mutant.Mutant, dir string) (run, detected int, err error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return 0, 0, err
	}
	root, err := filepath.Abs(o.Root)
	if err != nil {
		return 0, 0, err
	}
	binary, err := m.Build(ctx, root, dir)
	if err != nil {
		return 0, 0, err
	}
	for first := o.Seed; first < o.Seed+o.Seeds; first += uint64(o.Jobs) {
		var seeds []uint64
		for seed := first; seed < min(first+uint64(o.Jobs), o.Seed+o.Seeds); seed++ {
			seeds = append(seeds, seed)
		}
		failed, err := o.runSeeds(ctx, binary, dir, seeds)
		run, detected = run+len(seeds), detected+failed
		if err != nil || failed > 0 && !o.Every {
			return run, detected, err
		}
	}
	return run, detected, nil
}
