// Package load replays a trace against a rig: it sends the requests as HTTP
// clients, injects the faults and verifies every answer.
//
// # Usage
//
//	samples := load.Run(ctx, load.Options{Rig: r, Trace: t, Texts: texts, Clock: clock})
//
// Run returns no error. The failure of a request is recorded in its sample.
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

// Outcome is the result of a request as its caller saw it.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete means that the answer was complete and correct.
	OutcomeComplete Outcome = "complete"
	// OutcomeRefused means that an error response said that the request did not
	// run.
	OutcomeRefused Outcome = "refused"
	// OutcomeIncomplete means that a stream contained an error event or an invalid
	// event, or that the run state of an error response was neither not-run nor
	// unknown.
	OutcomeIncomplete Outcome = "incomplete"
	// OutcomeWrong means that an answer looked complete but was not correct.
	OutcomeWrong Outcome = "wrong"
	// OutcomeFailed means that no response told what happened to the request.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that an error response said that the call may or may
	// not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Sample holds one request of a trace and its result.
type Sample struct {
	Line    trace.Line
	Outcome Outcome
	// Start is the time from the start of the run until the request was sent.
	Start time.Duration
	// TTFT is the time to the first token; for calls, the time to the answer.
	TTFT time.Duration
	// Total is the time to the end of the answer.
	Total time.Duration
	// Gaps are the times between the tokens of the answer.
	Gaps         []time.Duration
	PromptTokens int
	CachedTokens int
	// WastedTokens is the number of prompt tokens that were prefilled although
	// a live engine of the pool had them in its cache when the request was
	// sent.
	WastedTokens int
	// Key is the idempotency key of a call that has one.
	Key string
	// Reconnects is the number of connections that were lost.
	Reconnects int
	// Detail describes a failure; it may be empty.
	Detail string
}

// Options configures a run.
type Options struct {
	Rig   *rig.Rig
	Trace trace.Trace
	Texts *trace.TextCache
	Clock comfreyworks.Clock
	// Key returns the API key of a workspace.
	Key func(workspace string) string
	// Progress is called after each request; it may be nil.
	Progress func()
}

// runner holds the state of one run.
type runner struct {
	options Options
	client  *http.Client
	start   time.Time
	mu      sync.Mutex
	samples []Sample
	keys    map[string]string
	// prefixShifts is the number of hot-shift faults so far. Each of them replaces
	// the text of all prefixes.
	prefixShifts atomic.Int32
}

// maxIdleConns is the maximum number of idle connections to one entry.
const maxIdleConns = 2048

// Run replays the trace, waits until all requests and faults have ended, and
// returns the samples in the order in which the requests were sent.
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
				r.runFault(ctx, line)
				return nil
			}
			r.addSample(r.runRequest(ctx, i, line))
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(r.samples, func(a, b Sample) int { return int(a.Start - b.Start) })
	return r.samples
}

// waitUntil waits until the run has lasted for at. It returns false if ctx ends
// first.
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

func (r *runner) addSample(sample Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample)
	if r.options.Progress != nil {
		r.options.Progress()
	}
}

func (r *runner) runRequest(ctx context.Context, i int, line trace.Line) Sample {
	sample := Sample{Line: line, Start: r.options.Clock.Since(r.start)}
	began := r.options.Clock.Now()
	if line.Key != "" {
		sample.Key = r.idempotencyKey(line.Key)
	}
	if line.IsCall() {
		r.runCall(ctx, i, &sample)
	} else {
		r.runCompletion(ctx, i, &sample)
	}
	sample.Total = r.options.Clock.Since(began)
	return sample
}

// maxCachedTokens returns the largest number of tokens of a prompt that an engine
// of the pool has in its cache now.
func (r *runner) maxCachedTokens(line trace.Line, prompt string) int {
	blocks := engine.BlockHashes(string(line.Workspace), prompt)
	best := 0
	for _, e := range r.options.Rig.Engines(line.Pool) {
		best = max(best, e.CachedTokens(blocks))
	}
	return best
}

// runFault injects a fault and ends it after its duration.
func (r *runner) runFault(ctx context.Context, line trace.Line) {
	if line.Fault == trace.FaultHotShift {
		r.prefixShifts.Add(1)
		return
	}
	end := r.options.Rig.InjectFault(line)
	if end == nil {
		return
	}
	select {
	case <-r.options.Clock.After(time.Duration(line.For)):
	case <-ctx.Done():
	}
	end()
}
