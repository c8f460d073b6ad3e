// Package load sends the requests of a trace to a rig, as ordinary clients
// would, brings its faults about and checks every answer.
//
// # Usage
//
//	samples := load.Run(ctx, load.Options{Rig: r, Trace: t, Texts: texts, Clock: clock})
//
// Run does not fail: what went wrong with a request is in its sample.
package load

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/bench/trace"
	"comfreyworks/internal/standin/engine"
)

// Outcome tells how a request ended, as its caller saw it.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete means a whole and correct answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeRefused means a typed refusal: nothing was run.
	OutcomeRefused Outcome = "refused"
	// OutcomeIncomplete means that the answer broke off and said so.
	OutcomeIncomplete Outcome = "incomplete"
	// OutcomeWrong means an answer that looks complete and is not correct.
	OutcomeWrong Outcome = "wrong"
	// OutcomeFailed means that there was no answer that says what happened.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a call may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Sample is one request and what became of it.
type Sample struct {
	Line    trace.Line
	Outcome Outcome
	// Start is when the request was sent, from the start of the run.
	Start time.Duration
	TTFT  time.Duration
	Total time.Duration
	// Gaps are the times between the tokens of the answer.
	Gaps         []time.Duration
	PromptTokens int
	CachedTokens int
	// WastedTokens were computed although a live upstream of the pool held
	// them when the request was sent.
	WastedTokens int
	// Key is the idempotency key of a call that has one.
	Key string
	// Reconnects counts the connections that were lost.
	Reconnects int
	Detail     string
}

// Options configures a run.
type Options struct {
	Rig   *rig.Rig
	Trace trace.Trace
	Texts *trace.TextCache
	Clock comfreyworks.Clock
	// Key returns the key of a workspace.
	Key func(workspace string) string
	// Progress is called after each request; it may be nil.
	Progress func()
}

// runner is one run.
type runner struct {
	options Options
	client  *http.Client
	start   time.Time
	mu      sync.Mutex
	samples []Sample
	keys    map[string]string
	// shifts counts the times that all prefixes have become new ones.
	shifts atomic.Int32
}

// maxIdleConns bounds the idle connections to one entry.
const maxIdleConns = 2048

// Run sends everything and waits for every answer.
func Run(ctx context.Context, options Options) []Sample {
	r := &runner{
		options: options,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
		start:   options.Clock.Now(),
		keys:    make(map[string]string),
	}
	defer r.client.CloseIdleConnections()
	var group errgroup.Group
	for i, line := range options.Trace {
		if !r.waitUntil(ctx, time.Duration(line.At)) {
			break
		}
		group.Go(func() error {
			if line.IsFault() {
				r.fault(ctx, line)
				return nil
			}
			r.record(r.send(ctx, i, line))
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(r.samples, func(a, b Sample) int { return int(a.Start - b.Start) })
	return r.samples
}

func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := at - r.options.Clock.Since(r.start)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.options.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) record(sample Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample)
	if r.options.Progress != nil {
		r.options.Progress()
	}
}

func (r *runner) send(ctx context.Context, i int, line trace.Line) Sample {
	sample := Sample{Line: line, Start: r.options.Clock.Since(r.start)}
	began := r.options.Clock.Now()
	if line.Key != "" {
		sample.Key = r.idempotencyKey(line.Key)
	}
	if line.IsCall() {
		r.call(ctx, i, &sample)
	} else {
		r.complete(ctx, i, &sample)
	}
	sample.Total = r.options.Clock.Since(began)
	return sample
}

// bestHeld returns the most tokens of a prompt that any engine of the pool
// holds now.
func (r *runner) bestHeld(line trace.Line, prompt string) int {
	blocks := engine.BlockHashes(string(line.Workspace), prompt)
	best := 0
	for _, e := range r.options.Rig.Engines(line.Pool) {
		best = max(best, e.HeldTokens(blocks))
	}
	return best
}

// fault brings a fault about and ends it after its time.
func (r *runner) fault(ctx context.Context, line trace.Line) {
	if line.Fault == trace.FaultHotShift {
		r.shifts.Add(1)
		return
	}
	undo := r.options.Rig.InjectFault(line)
	if undo == nil {
		return
	}
	select {
	case <-r.options.Clock.After(time.Duration(line.For)):
	case <-ctx.Done():
	}
	undo()
}
