// Package limit decides what is admitted: shares of organisations, the queue
// in front of the upstreams, and the budget of retries. It does no I/O.
package limit

import "sync"

// RetryBudget allows retries in proportion to successes, so that retries
// cannot multiply the load of upstreams that are already failing.
type RetryBudget struct {
	// burst bounds the retries saved up.
	burst float64

	mu    sync.Mutex
	available float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(burst float64) *RetryBudget {
	return &RetryBudget{burst: burst, available: burst}
}

// Success earns a part of a retry.
func (b *RetryBudget) Success(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+ratio, b.burst)
}

// Take spends one retry, or reports that there is none.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
