package forward

import (
	"strconv"
	"sync"
	"time"

	"comfreyworks"
	"comfreyworks/internal/coordination/balance"
)

const (
	// minPaceEvents is the number of events from which their pace tells when a stream will
	// end. The first gap also contains the rest of other prompts' prefill.
	minPaceEvents = 4
	// eventLengthWeight is the weight of the latest stream in the mean number of tokens in
	// an event.
	eventLengthWeight = 0.1
)

// streamPace measures at which pace the events of a stream arrive. The zero value is ready
// for use.
type streamPace struct {
	// events is the number of events, running the time that the upstream took for all but
	// the first one.
	events  int
	running time.Duration
	// since is when the upstream could go on after the last event. unread is the total time
	// in which the caller did not read, which does not count.
	since  time.Time
	unread time.Duration
	// missed means that the stream misses a limit, complete that it has ended.
	missed, complete bool
}

// paceLimits holds what a stream is to keep.
type paceLimits struct {
	// objective is when the first event must have arrived, deadline when the last one must.
	// A zero objective is not checked.
	objective, deadline time.Time
	// gap is the permitted time between two events; zero means any.
	gap time.Duration
	// events is the expected number of events; zero if unknown.
	events float64
}

// add records an event and reports whether the stream now misses a limit, or will.
func (p *streamPace) add(now time.Time, limits *paceLimits) bool {
	p.events++
	if p.events == 1 {
		p.since = now
		p.missed = !limits.objective.IsZero() && now.After(limits.objective)
		return p.missed
	}
	gap := now.Sub(p.since)
	p.running += gap
	p.since = now
	p.missed = p.missed || (limits.gap > 0 && gap > limits.gap)
	if p.events >= minPaceEvents && float64(p.events) < limits.events {
		rest := (limits.events - float64(p.events)) * float64(p.running) / float64(p.events-1)
		p.missed = p.missed || now.Add(time.Duration(rest)-p.unread).After(limits.deadline)
	}
	return p.missed
}

// resume records that the caller has read the last event.
func (p *streamPace) resume(now time.Time) {
	if p.events > 0 {
		p.unread += now.Sub(p.since)
		p.since = now
	}
}

// eventLength is the mean number of declared output tokens for each event of a pool's
// streams. It is safe for concurrent use.
type eventLength struct {
	mu     sync.Mutex
	tokens float64
}

// add records a complete stream.
func (l *eventLength) add(outputTokens, events int) {
	if outputTokens <= 0 || events <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := float64(outputTokens) / float64(events)
	if l.tokens == 0 {
		l.tokens = tokens
	}
	l.tokens += eventLengthWeight * (tokens - l.tokens)
}

// events returns the expected number of events of an answer; zero if unknown.
func (l *eventLength) events(outputTokens int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens == 0 {
		return 0
	}
	return float64(outputTokens) / l.tokens
}

// isPaced reports whether the attempt generates a stream whose pace is judged.
func (a *attempt) isPaced() bool {
	return a.request.Route.Kind == comfreyworks.RouteStream && a.request.Prompt.Model != ""
}

// observePace records an event, and judges the stream as soon as it misses a limit.
func (a *attempt) observePace(now time.Time) {
	if !a.isPaced() {
		return
	}
	route := a.request.Route
	limits := paceLimits{deadline: a.request.Deadline, gap: route.MaxEventGap}
	if a.resumesAfter == "" {
		limits.events = a.events.events(a.request.Prompt.OutputTokens)
		if route.Objective > 0 {
			limits.objective = a.request.Received.Add(route.Objective)
		}
	}
	gap := now.Sub(a.pace.since)
	if a.pace.add(now, &limits) {
		a.pick.JudgeStream(true)
	}
	if a.pace.events > 1 {
		a.pick.StreamEvent(gap, limits.events-float64(a.pace.events))
	}
}

// judgePace judges the stream at the end of the attempt, unless its end says nothing about
// the pace. Streams that did not end before their deadline miss it.
func (a *attempt) judgePace() {
	if !a.isPaced() {
		return
	}
	switch {
	case a.pace.complete:
		a.pick.JudgeStream(a.pace.missed)
		if a.resumesAfter == "" {
			a.events.add(a.request.Prompt.OutputTokens, a.pace.events)
		}
	case a.result.Outcome == balance.Failed && !a.options.Clock.Now().Before(a.request.Deadline):
		a.pick.JudgeStream(true)
	}
}

// expectedEvents returns the expected number of events of the answer; zero if it is
// unknown or not a whole stream.
func (r *activeRequest) expectedEvents() float64 {
	if r.request.Route.Kind != comfreyworks.RouteStream || r.lastEventID != "" {
		return 0
	}
	return r.events.events(r.request.Prompt.OutputTokens)
}

// minTokenTime is the time in which a fast engine without load generates one token. Usual
// ones take about twice as long.
const minTokenTime = 2 * time.Millisecond

// minRemainingTime returns the time that the rest of a stream takes at a fast engine
// without load; zero if it is unknown. With less time left, a retry would be wasted.
func (r *activeRequest) minRemainingTime() time.Duration {
	tokens := r.request.Prompt.OutputTokens
	expected := r.events.events(tokens)
	if r.request.Route.Kind != comfreyworks.RouteStream || expected <= 0 {
		return 0
	}
	rest := 1.0
	if r.lastEventID != "" {
		delivered, err := strconv.ParseFloat(r.lastEventID, 64)
		if err != nil {
			return 0
		}
		rest = min(max(1-delivered/expected, 0), 1)
	}
	return comfreyworks.Duration(rest*float64(tokens), minTokenTime)
}
