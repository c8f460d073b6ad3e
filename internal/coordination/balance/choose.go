package balance

import (
	"time"

	"comfreyworks"
)

const (
	// loadBound is how far over the mean an engine's load may be for a session
	// to stay with it.
	loadBound = 1.3
	// farLatency is the way to another availability zone and back.
	farLatency = 2 * time.Millisecond
	// firstLatency is assumed of an upstream that has not answered yet.
	firstLatency = 50 * time.Millisecond
)

// candidate is an upstream that may take a request.
type candidate struct {
	upstream *comfreyworks.Upstream
	endpoint *endpoint
	// score ranks the candidates for a session.
	score    uint64
	requests int
	tokens   int
	latency  time.Duration
	weights  comfreyworks.WeightsRevision
	near     bool
	// avoided candidates have failed, full ones have no room, stale ones serve
	// weights that lose the answer's worth.
	avoided, full, stale bool
}

// tier ranks what a candidate's state says; lower is better.
func (c *candidate) tier() int {
	tier := 0
	if c.stale {
		tier++
	}
	if c.full {
		tier += 2
	}
	if c.avoided {
		tier += 4
	}
	return tier
}

// choose returns the index of the best candidate, or -1 when there is none.
func choose(candidates []candidate, affinity bool, tokens int) int {
	best := -1
	lowest := 0
	for i := range candidates {
		if t := candidates[i].tier(); best < 0 || t < lowest {
			best, lowest = i, t
		}
	}
	if best < 0 {
		return -1
	}
	if affinity {
		return chooseHome(candidates, lowest, tokens)
	}
	return chooseIdle(candidates, lowest)
}

// chooseHome returns the highest score whose load stays within the bound, or
// the least loaded candidate.
func chooseHome(candidates []candidate, tier, tokens int) int {
	total, n := 0, 0
	for i := range candidates {
		if candidates[i].tier() == tier {
			total += candidates[i].tokens
			n++
		}
	}
	bound := loadBound*float64(total+tokens)/float64(n) + float64(tokens)
	best, least := -1, -1
	for i := range candidates {
		c := &candidates[i]
		if c.tier() != tier {
			continue
		}
		if least < 0 || c.tokens < candidates[least].tokens {
			least = i
		}
		if float64(c.tokens+tokens) <= bound && (best < 0 || c.score > candidates[best].score) {
			best = i
		}
	}
	if best < 0 {
		return least
	}
	return best
}

// chooseIdle returns the candidate with the shortest expected time.
func chooseIdle(candidates []candidate, tier int) int {
	best := -1
	var shortest time.Duration
	for i := range candidates {
		c := &candidates[i]
		if c.tier() != tier {
			continue
		}
		if cost := c.expected(); best < 0 || cost < shortest {
			best, shortest = i, cost
		}
	}
	return best
}

// expected is the time that the candidate will take, for comparison.
func (c *candidate) expected() time.Duration {
	latency := c.latency
	if latency == 0 {
		latency = firstLatency
	}
	expected := latency * time.Duration(c.requests+1)
	if !c.near {
		expected += farLatency
	}
	return expected
}
