package balance

import (
	"time"

	"comfreyworks"
)

// PressureReason tells why an engine must not receive a request while streams miss times
// that their routes declare.
type PressureReason string

// Reasons of pressure.
const (
	// PressureLate means that the request would not end before its deadline at the pace of
	// the engine.
	PressureLate PressureReason = "cannot end before its deadline"
	// PressureStreams means that streams that run at the engine would miss their deadlines.
	PressureStreams PressureReason = "would make running streams late"
	// PressureMemory means that the requests at the engine would need more memory than it
	// has.
	PressureMemory PressureReason = "no memory left"
)

const (
	// memoryUnit is the unit of comfreyworks.UpstreamLoad.Memory in tokens.
	memoryUnit = 1024
	// eventTimeWeight is the weight of the latest event in the moving average of the time
	// between two events of one stream.
	eventTimeWeight = 0.3
	// eventTimeExpiry is how long that average is used after the last event. The pace of an
	// engine changes within the time of a few prefills.
	eventTimeExpiry = time.Second
	// minSilentStreams is the number of running streams from which an engine counts as
	// silent when none of them brings an event. A single one may be stuck by itself.
	minSilentStreams = 2
	// minSilence is the time without an event from which that applies, if the permitted gap
	// is not longer. Sound engines pause for less while they prefill.
	minSilence = 500 * time.Millisecond
)

// runningStream is a stream that this gateway receives from an engine.
type runningStream struct {
	// rest is the expected number of further events, usualTime the time for each of them at
	// an engine that prefills nothing.
	rest      float64
	usualTime time.Duration
	deadline  time.Time
	priority  int
}

// runningLoad is what the requests of this gateway take of an engine, and at which pace
// their streams arrive. The zero value is ready for use.
type runningLoad struct {
	// memory is the number of tokens of the requests in progress.
	memory int
	// eventTime is a moving average of the time between two events of a stream, as of
	// eventAt.
	eventTime time.Duration
	eventAt   time.Time
	// heardAt is when any answer of the engine last got on.
	heardAt time.Time
	streams map[*Pick]runningStream
	// waiting holds the requests whose answers have not begun.
	waiting map[*Pick]struct{}
}

// startWait adds a request whose answer has not begun.
func (l *runningLoad) startWait(p *Pick) {
	if l.waiting == nil {
		l.waiting = make(map[*Pick]struct{})
	}
	l.waiting[p] = struct{}{}
}

// longestWait returns for how long a request has waited for the begin of its answer. A new
// one may have to wait as long, whatever the prompts ahead of it: the engine may have no free
// slot or memory, or be slower than its last answers were.
func (l *runningLoad) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for p := range l.waiting {
		longest = max(longest, now.Sub(p.sentAt))
	}
	return longest
}

// begin adds a request and returns the memory that it takes. Cached parts of the prompt are
// shared with other requests.
func (l *runningLoad) begin(query *Query, prefillTokens int) int {
	memory := prefillTokens + query.OutputTokens
	l.memory += memory
	return memory
}

// end removes a request.
func (l *runningLoad) end(p *Pick) {
	l.memory -= p.memory
	delete(l.streams, p)
	delete(l.waiting, p)
}

// reportedMemory returns the memory in the unit of reports.
func (l *runningLoad) reportedMemory() int { return (l.memory + memoryUnit/2) / memoryUnit }

// addEvent records an event that arrived some time after the one before.
func (l *runningLoad) addEvent(p *Pick, gap time.Duration, rest float64, now time.Time) {
	if now.Sub(l.eventAt) > eventTimeExpiry {
		l.eventTime = gap
	}
	l.eventTime += time.Duration(eventTimeWeight * float64(gap-l.eventTime))
	l.eventAt, l.heardAt = now, now
	if rest <= 0 || p.query.Events <= 0 {
		delete(l.streams, p)
		return
	}
	if l.streams == nil {
		l.streams = make(map[*Pick]runningStream)
	}
	l.streams[p] = runningStream{
		rest: rest, deadline: p.query.Deadline, priority: p.query.Priority,
		usualTime: comfreyworks.Duration(float64(p.query.OutputTokens)/p.query.Events, stepTime),
	}
}

// pace returns the time between two events of a stream at present; zero if unknown.
func (l *runningLoad) pace(now time.Time) time.Duration {
	if now.Sub(l.eventAt) > eventTimeExpiry {
		return 0
	}
	return l.eventTime
}

// silent reports whether the engine has brought no event of any of several running streams
// for longer than the permitted gap. It then is probably unreachable, and new requests need
// not find that out one by one.
func (l *runningLoad) silent(permittedGap time.Duration, now time.Time) bool {
	return permittedGap > 0 && len(l.streams) >= minSilentStreams && now.Sub(l.heardAt) > max(permittedGap, minSilence)
}

// delays reports whether a further prefill would make a stream late that is at least as
// urgent as the request and could end in time without.
func (l *runningLoad) delays(prefill time.Duration, priority int, now time.Time) bool {
	pace := l.pace(now)
	for _, s := range l.streams {
		left := s.deadline.Sub(now)
		if s.priority <= priority && pace > s.usualTime && times(s.rest, s.usualTime) < left && times(s.rest, pace)+prefill > left {
			return true
		}
	}
	return false
}

// times returns a multiple of a duration.
func times(n float64, d time.Duration) time.Duration { return comfreyworks.Duration(n, d) }

// isSilent reports whether the engine is silent although it is not known to load weights.
func (e *endpoint) isSilent(permittedGap time.Duration, now time.Time) bool {
	return !now.Before(e.loadingUntil) && e.running.silent(permittedGap, now)
}

// StreamEvent records an event of the stream that arrived some time after the one before,
// and the expected number of further ones.
func (p *Pick) StreamEvent(gap time.Duration, rest float64) {
	now := p.balancer.options.Clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if p.memory > 0 {
		p.endpoint.running.addEvent(p, gap, rest, now)
	}
}

// pressureOn returns why the candidate must not receive the request, as long as streams of
// the pool miss their times. peerMemory is the memory that requests of peers take.
func (b *Balancer) pressureOn(c *candidate, peerMemory int, query *Query, now time.Time) PressureReason {
	d := b.division(query.Pool, now)
	if c.endpoint.isSilent(d.gap, now) {
		c.avoided = true
	}
	if !d.Missing() {
		return ""
	}
	shared := 0
	for _, part := range query.sharedParts() {
		shared += part.Tokens
	}
	prefill := time.Duration(max(query.Tokens-shared, 0)) * prefillTime
	running := &c.endpoint.running
	pace := running.pace(now)
	switch {
	case !query.Deadline.IsZero() && pace > 0 && now.Add(c.wait()+prefill+times(query.Events, pace)).After(query.Deadline):
		return PressureLate
	case running.delays(prefill, query.Priority, now):
		return PressureStreams
	case d.cacheTokens > 0 && running.memory+peerMemory*memoryUnit+query.Tokens+query.OutputTokens > d.cacheTokens && c.requests > 0:
		return PressureMemory
	default:
		return ""
	}
}
