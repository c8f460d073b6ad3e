// Program soak runs gateways as processes of their own, disturbs them by a seed
// and checks what callers and replicas see against what gateways promise.
//
// # Usage
//
//	soak --program target/gateway --seed 1 --seeds 50 --jobs 4
//	soak --program target/gateway --regressions cmd/soak/regressions.txt
//	soak --mutants --root .
//
// It ends with 1 when a promise was broken, and leaves the settings and logs of
// that seed in --dir.
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
	Program     string        `long:"program" default:"target/gateway" description:"the gateway's binary" value-name:"PATH"`
	Dir         string        `long:"dir" description:"where settings and logs go; a new directory without" value-name:"PATH"`
	Seed        uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds       uint64        `long:"seeds" default:"1" description:"how many seeds to run"`
	Regressions string        `long:"regressions" description:"file with one seed a line to run instead" value-name:"PATH"`
	Jobs        int           `long:"jobs" default:"1" description:"how many seeds to run at once"`
	Gateways    int           `long:"gateways" default:"3" description:"processes of each run"`
	Callers     int           `long:"callers" default:"12" description:"callers of each run"`
	Length      time.Duration `long:"length" default:"12s" description:"how long troubles begin"`
	Mutants     bool          `long:"mutants" description:"build gateways that are broken on purpose and run seeds until each is noticed"`
	Root        string        `long:"root" default:"." description:"the source tree, for --mutants" value-name:"PATH"`
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
			return fail(err)
		}
		o.Dir = dir
	}
	if o.Mutants {
		return o.mutants(ctx)
	}
	seeds, err := o.seeds()
	if err != nil {
		return fail(err)
	}
	broken, err := o.series(ctx, o.Program, o.Dir, seeds)
	switch {
	case err != nil:
		return fail(err)
	case broken > 0:
		fmt.Printf("%d of %d seeds broke a promise; logs in %s\n", broken, len(seeds), o.Dir)
		return program.ExitFailure
	}
	fmt.Printf("%d seeds, no promise broken\n", len(seeds))
	return program.ExitOK
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "soak:", err)
	return program.ExitUsage
}

// seeds are those of the regression file, or those of the command line.
func (o *options) seeds() ([]uint64, error) {
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

// series runs seeds and returns how many broke a promise.
func (o *options) series(ctx context.Context, binary, dir string, seeds []uint64) (broken int, err error) {
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
				Gateways: o.Gateways, Callers: o.Callers, Length: o.Length,
			})
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			show(seed, result)
			if len(result.Violations) > 0 {
				broken++
			}
			return nil
		})
	}
	return broken, group.Wait()
}

func show(seed uint64, result *series.Result) {
	fmt.Printf("seed %d: %d requests, %d served, %d troubles, %d promises broken\n",
		seed, result.Requests, result.Served, len(result.Plan.Events), len(result.Violations))
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

// mutants runs seeds on each mutant until it is noticed.
func (o *options) mutants(ctx context.Context) int {
	unnoticed := 0
	for i := range mutant.All {
		m := &mutant.All[i]
		noticed, err := o.notice(ctx, m, filepath.Join(o.Dir, fmt.Sprint("mutant-", i)))
		if err != nil {
			return fail(errors.Join(errors.New(m.Name), err))
		}
		fmt.Printf("a gateway that %s: noticed %t\n", m.Name, noticed)
		if !noticed {
			unnoticed++
		}
	}
	if unnoticed > 0 {
		return program.ExitFailure
	}
	return program.ExitOK
}

func (o *options) notice(ctx context.Context, m *mutant.Mutant, dir string) (bool, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return false, err
	}
	root, err := filepath.Abs(o.Root)
	if err != nil {
		return false, err
	}
	binary, err := m.Build(ctx, root, dir)
	if err != nil {
		return false, err
	}
	for first := o.Seed; first < o.Seed+o.Seeds; first += uint64(o.Jobs) {
		var seeds []uint64
		for seed := first; seed < min(first+uint64(o.Jobs), o.Seed+o.Seeds); seed++ {
			seeds = append(seeds, seed)
		}
		broken, err := o.series(ctx, binary, dir, seeds)
		if err != nil || broken > 0 {
			return broken > 0, err
		}
	}
	return false, nil
}
