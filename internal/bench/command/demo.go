package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"comfreyworks/examples"
	"comfreyworks/internal/bench/load"
	"comfreyworks/internal/bench/report"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/bench/trace"
	"comfreyworks/internal/state/settings"
)

// Size and faults of the demo.
const (
	demoEntries         = 2
	demoEnginesPerPool  = 6
	demoServicesPerPool = 2
	demoDuration        = 8 * time.Second
	demoRequestRate     = 25 // per second
	demoSeed            = 1
	// demoCrashAt is the time from the start until an engine crashes,
	// demoCrashDuration the time until it runs again.
	demoCrashAt       = 4 * time.Second
	demoCrashDuration = time.Second
	// demoOffloadBlocks is the capacity of the cache store, in blocks.
	demoOffloadBlocks = 1 << 17
	// demoEventLag is the delay of cache events.
	demoEventLag = 100 * time.Millisecond
)

// demoCommand runs the whole system in one process. With --serve it leaves the
// system running for manual requests, otherwise it sends a generated trace.
type demoCommand struct {
	Serve bool `long:"serve" description:"leave everything up and print lines to try"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	r, deployment, err := startDemo(c.ctx, false)
	if err != nil {
		return err
	}
	defer r.Stop()
	if c.Serve {
		c.serve(r)
		return nil
	}
	return runDemo(c.ctx, r, deployment)
}

// startDemo starts the rig of the demo. If external is true, the rig runs only the
// stand-ins, and its roles are started as separate processes.
func startDemo(ctx context.Context, external bool) (*rig.Rig, *settings.Deployment, error) {
	deployment, err := demoDeployment()
	if err != nil {
		return nil, nil, err
	}
	r, err := rig.Start(ctx, rig.Options{
		Deployment:    deployment,
		Entries:       demoEntries,
		Clock:         clockwork.NewRealClock(),
		Seed:          demoSeed,
		EventLag:      demoEventLag,
		OffloadBlocks: demoOffloadBlocks,
		ExternalRoles: external,
	})
	if err != nil {
		return nil, nil, eris.Wrap(err, "start the demo")
	}
	return r, deployment, nil
}

// demoDeployment returns the example deployment Piedmont with fewer replicas.
func demoDeployment() (*settings.Deployment, error) {
	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
	if err != nil {
		return nil, err
	}
	for i := range deployment.Pools {
		pool := &deployment.Pools[i]
		pool.Replicas = demoEnginesPerPool
		if pool.Kind == settings.PoolService {
			pool.Replicas = demoServicesPerPool
		}
	}
	return deployment, nil
}

// runDemo sends the requests of a generated trace while one engine crashes, prints
// a summary and each request that did not complete, and returns errViolations if
// the results violate a guarantee.
func runDemo(ctx context.Context, r *rig.Rig, deployment *settings.Deployment) error {
	t := trace.Generate(trace.ProfilePiedmont, trace.GenerateOptions{Seed: demoSeed, Length: demoDuration, Rate: demoRequestRate})
	bar := newProgressBar(len(t))
	t = append(t, trace.Line{
		At:     trace.Duration(demoCrashAt),
		Fault:  trace.FaultEngineCrash,
		Target: "lm-pool/2",
		For:    trace.Duration(demoCrashDuration),
	})
	t.Sort()
	samples := load.Run(ctx, load.Options{
		Rig:      r,
		Trace:    t,
		Texts:    trace.NewTextCache(),
		Clock:    clockwork.NewRealClock(),
		Key:      examples.Key,
		Progress: func() { _ = bar.Add(1) },
	})
	_ = bar.Finish()
	summary := report.Summarize(samples, report.CountSideEffects(r, deployment))
	report.WriteTable(os.Stdout, summary)
	for _, sample := range samples {
		if sample.Outcome != load.OutcomeComplete {
			fmt.Printf("%s at %s: %s: %s\n", sample.Line.Class, sample.Start.Round(time.Millisecond), sample.Outcome, sample.Detail)
		}
	}
	if summary.BadAnswers() > 0 || summary.DoubledCalls > 0 {
		return errViolations
	}
	return nil
}

// newProgressBar returns a progress bar on standard error. It is invisible if
// standard error is not a terminal.
func newProgressBar(total int) *progressbar.ProgressBar {
	return progressbar.NewOptions(total,
		progressbar.OptionSetDescription("requests"),
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetVisibility(term.IsTerminal(int(os.Stderr.Fd()))),
		progressbar.OptionClearOnFinish(),
	)
}

// serve prints example requests and waits until the program is interrupted.
func (c *demoCommand) serve(r *rig.Rig) {
	url := r.EntryURL(0)
	fmt.Printf(`Two entries are up, at %s and %s. Try:

curl -sN %s/v1/chat/completions -H 'Authorization: Bearer key-office' -H 'Comfrey-Class: note' -d '{"model":"oak-12b","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Subfloor reads 14 percent. Can we lay oak?"}]}'
curl -s %s/v1/models -H 'Authorization: Bearer key-office'
curl -si %s/services/dispatch/bookings -H 'Authorization: Bearer key-office' -H 'Comfrey-Class: booking' -H 'Idempotency-Key: %s' -d '{"crew":7}'
curl -s %s/metrics

Ctrl-C stops everything.
`, url, r.EntryURL(1), url, url, url, uuid.Must(uuid.NewV7()), url)
	<-c.ctx.Done()
}
