// Package retrybudget bounds how much is sent again.
//
// When a pool is overloaded or gone, every request fails; if each were sent
// again several times, the repeats would be a multiple of the load that the
// pool could not carry. A budget lets repeats be a share of the requests within
// a sliding window, plus a fixed slack.
//
// # Usage
//
//	budget := retrybudget.New(clock, retrybudget.Limit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
//	budget.Earn()       // for each request
//	if budget.Spend() { // before each repeat
//	}
package retrybudget

import (
	"sync"
	"time"

	"comfreyworks"
)

// slices is the number of parts that the window is counted in.
const slices = 20

// Limit is the size of a budget.
type Limit struct {
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Slack is how many repeats are allowed without any request.
	Slack float64
	// Window is the span within which both are counted.
	Window time.Duration
}

// ratioShare is the part of the ratio that each of several processes spends. When
// traffic moves from one to another, their windows end at different times and
// together cover half as much again as one window.
const ratioShare = 0.7

// Share returns what one of a number of processes may spend of a limit, so that
// together they stay within it.
func (l Limit) Share(processes int) Limit {
	return Limit{Ratio: ratioShare * l.Ratio, Slack: l.Slack / float64(processes), Window: l.Window}
}

// Budget counts requests and repeats. It is safe for concurrent use.
type Budget struct {
	clock comfreyworks.Clock

	mu    sync.Mutex
	limit Limit
	// parts is a ring; a part is valid if its number fits its place.
	parts [slices + 1]part
}

type part struct {
	number            int64
	requests, repeats int
}

// New returns an empty budget.
func New(clock comfreyworks.Clock, limit Limit) *Budget {
	return &Budget{clock: clock, limit: limit}
}

// SetLimit changes the size of the budget.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// Spend counts a repeat, or returns false when none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current()
	requests, repeats := 0, 0
	for i := range b.parts {
		if current.number-b.parts[i].number <= slices {
			requests += b.parts[i].requests
			repeats += b.parts[i].repeats
		}
	}
	if float64(repeats+1) > b.limit.Ratio*float64(requests)+b.limit.Slack {
		return false
	}
	current.repeats++
	return true
}

func (b *Budget) current() *part {
	number := b.clock.Now().UnixNano() / max(int64(b.limit.Window)/slices, 1)
	p := &b.parts[number%int64(len(b.parts))]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}
