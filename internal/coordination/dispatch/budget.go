package dispatch

import (
	"sync"

	"comfreyworks"
)

const (
	// budgetShare is how many retries each request earns.
	budgetShare = 0.2
	// budgetBurst is the most retries that can be saved up: enough for the
	// loss of an engine with everything that waits there.
	budgetBurst = 50
)

// budgetKey tells budgets apart: one workspace's retries against one pool must
// not use up another's.
type budgetKey struct {
	workspace comfreyworks.Workspace
	pool      comfreyworks.Pool
}

// budgets bounds retries by a share of requests. When a pool is overloaded or
// gone, every request fails; if each were tried six times, the retries would be
// six times the load that the pool could not carry. With the budget they add a
// fifth.
type budgets struct {
	mu   sync.Mutex
	left map[budgetKey]float64
}

func newBudgets() *budgets {
	return &budgets{left: make(map[budgetKey]float64)}
}

// earn records a new request.
func (b *budgets) earn(key budgetKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.left[key]
	if !ok {
		left = budgetBurst
	}
	b.left[key] = min(left+budgetShare, budgetBurst)
}

// spend takes one retry, or returns false when none is left.
func (b *budgets) spend(key budgetKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[key] < 1 {
		return false
	}
	b.left[key]--
	return true
}
