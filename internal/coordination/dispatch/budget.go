package dispatch

import (
	"sync"

	"comfreyworks"
)

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.2
	// retryBurst is the initial and the maximum balance of a budget. It covers
	// the loss of an engine with all requests that are queued there.
	retryBurst = 50
)

// retryBudgetKey identifies a retry budget. The retries of one workspace to one
// pool must not use up the budget of another.
type retryBudgetKey struct {
	workspace comfreyworks.Workspace
	pool      comfreyworks.Pool
}

// retryBudgets limits retries to a share of the requests. When a pool is
// overloaded or failing, every request fails. With six attempts each, the pool
// would receive six times the load that it already could not handle. The budget
// limits the additional load to a fifth. Attempts that reached no engine are not
// limited by it, because they were no load.
type retryBudgets struct {
	mu       sync.Mutex
	balances map[retryBudgetKey]float64
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{balances: make(map[retryBudgetKey]float64)}
}

// deposit adds the share of one new request to the budget.
func (b *retryBudgets) deposit(key retryBudgetKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, ok := b.balances[key]
	if !ok {
		balance = retryBurst
	}
	b.balances[key] = min(balance+retryRatio, retryBurst)
}

// withdraw takes one retry from the budget. It returns false if none is left.
func (b *retryBudgets) withdraw(key retryBudgetKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balances[key] < 1 {
		return false
	}
	b.balances[key]--
	return true
}
