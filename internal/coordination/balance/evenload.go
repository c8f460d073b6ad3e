package balance

import (
	"math"
	"time"

	"comfreyworks"
)

const (
	// shortPromptTokens is the length up to which a prompt is short: it takes about
	// one step of an engine, so that its answer depends on what is ahead of it.
	shortPromptTokens = 2048
	// shortPromptHomes is the number of homes among which a short prompt chooses. With 5
	// to 12 of them a third fewer short prompts were late in the queue model than with 3,
	// with all engines none: gateways then choose the same ones.
	shortPromptHomes = 8
	// maxBlockingTokens limits how many prompt tokens of less urgent requests count as
	// ahead of a request. An engine does not interrupt the prompts that it has begun to
	// read; beyond some prompts more make no difference.
	maxBlockingTokens = 30_000
	// Short prompts count as late while more than maxLateShare of their first events,
	// but at least minLateEvents, came after the objective, by counts with the half-life
	// lateHalfLife. Below it a choice by fresher figures has nothing to gain.
	maxLateShare  = 0.05
	minLateEvents = 2
	lateHalfLife  = 5 * time.Second
)

// lateness counts the short prompts of a pool and those whose first event came after
// the objective, in decaying sums.
type lateness struct {
	count, late float64
	at          time.Time
}

func (l *lateness) add(late bool, now time.Time) {
	decay := math.Exp2(-float64(now.Sub(l.at)) / float64(lateHalfLife))
	l.count, l.late, l.at = l.count*decay+1, l.late*decay, now
	if late {
		l.late++
	}
}

// queued reports whether short prompts wait too long.
func (l *lateness) queued() bool {
	return l != nil && l.late >= max(maxLateShare*l.count, minLateEvents)
}

// weighsPromptsBehind reports whether less urgent prompts count as ahead of a request:
// while engines differ in speed, or while short prompts are late.
func (b *Balancer) weighsPromptsBehind(pool comfreyworks.Pool) bool {
	return b.late[pool].queued() || b.options.Pace.Differs()
}

// tokensBehind returns the number of prompt tokens of less urgent requests at an engine.
func tokensBehind(e *endpoint, peers *comfreyworks.UpstreamLoad, priority int) int {
	const last = comfreyworks.NumPriorities - 1
	behind := e.backlog.Ahead(last) - e.backlog.Ahead(priority) + peers.Unread.Ahead(last) - peers.Unread.Ahead(priority)
	return min(behind, maxBlockingTokens)
}

// blockedTime is the time that an engine may spend on less urgent prompts first.
func (c *candidate) blockedTime() time.Duration {
	return scaled(time.Duration(c.tokensBehind)*prefillTime, c.pace.Prefill)
}

// minHomes returns the number of homes among which a request chooses at least.
func (b *Balancer) minHomes(query *Query) int {
	if query.Tokens <= shortPromptTokens && query.weighsBehind {
		return shortPromptHomes
	}
	return minHomes
}

// recordFirstEvent counts a short prompt. The mutex must be held.
func (b *Balancer) recordFirstEvent(query *Query, elapsed time.Duration, now time.Time) {
	if query.Objective == 0 || query.Tokens > shortPromptTokens {
		return
	}
	if b.late[query.Pool] == nil {
		b.late[query.Pool] = new(lateness)
	}
	b.late[query.Pool].add(elapsed > query.Objective, now)
}
