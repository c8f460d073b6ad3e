// Package retrybudget limits the number of retries.
//
// While a pool is overloaded or unreachable, every request fails. If each were
// retried several times, the retries would multiply a load that the pool already
// cannot carry. A budget limits the retries within a sliding window to a share of
// the requests in that window plus a constant.
//
// # Usage
//
//	budget := retrybudget.New(clock, retrybudget.Limit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
//	budget.AddRequest()    // for each request
//	if budget.TryRetry() { // before each retry
//	}
//	if budget.TryRetryAndReserve() { // before a retry that may need another one
//		defer budget.ReturnReserved() // or UseReserved, once
//	}
package retrybudget

import (
	"sync"
	"time"

	"comfreyworks"
)

// bucketsPerWindow is the number of buckets that the window is divided into.
const bucketsPerWindow = 20

// Limit defines the size of a budget.
type Limit struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition to the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// sharedRatioFactor reduces the ratio if several processes share a limit. When
// traffic moves from one process to another, their windows end at different
// times and together cover 1.5 times the length of one window.
const sharedRatioFactor = 0.7

// Share returns the limit for each of the given number of processes, such that
// all of them together stay within l.
func (l Limit) Share(processes int) Limit {
	return Limit{Ratio: sharedRatioFactor * l.Ratio, Slack: l.Slack / float64(processes), Window: l.Window}
}

// Budget counts requests and retries in a sliding window. It is safe for
// concurrent use.
type Budget struct {
	clock comfreyworks.Clock

	mu    sync.Mutex
	limit Limit
	// reserved is the number of retries that are reserved.
	reserved int
	// buckets is a ring buffer indexed by bucket.index modulo its length.
	buckets [bucketsPerWindow + 1]bucket
}

// bucket counts the requests and retries in one part of the window. Its index is
// the number of parts since the Unix epoch.
type bucket struct {
	index             int64
	requests, retries int
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

// AddRequest counts a request.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// TryRetry counts a retry and returns true, or returns false if the budget is
// spent.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryRetry()
}

// TryRetryAndReserve counts a retry, reserves another one and returns true, or returns
// false if the budget does not hold both. Either UseReserved or ReturnReserved must
// be called once.
func (b *Budget) TryRetryAndReserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved++
	if !b.tryRetry() {
		b.reserved--
		return false
	}
	return true
}

// UseReserved counts the retry that was reserved and returns true, or returns false if
// the budget has shrunk below that since. The reservation has ended in both cases.
func (b *Budget) UseReserved() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
	return b.tryRetry()
}

// ReturnReserved gives back the retry that was reserved.
func (b *Budget) ReturnReserved() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// tryRetry counts a retry unless the budget is spent. The mutex must be held.
func (b *Budget) tryRetry() bool {
	current := b.current()
	requests, retries := 0, b.reserved
	for i := range b.buckets {
		if current.index-b.buckets[i].index <= bucketsPerWindow {
			requests += b.buckets[i].requests
			retries += b.buckets[i].retries
		}
	}
	if float64(retries+1) > b.limit.Ratio*float64(requests)+b.limit.Slack {
		return false
	}
	current.retries++
	return true
}

// current returns the bucket of the current time. It resets the bucket if it was
// last used in an earlier window.
func (b *Budget) current() *bucket {
	index := b.clock.Now().UnixNano() / max(int64(b.limit.Window)/bucketsPerWindow, 1)
	p := &b.buckets[index%int64(len(b.buckets))]
	if p.index != index {
		*p = bucket{index: index}
	}
	return p
}
