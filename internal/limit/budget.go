// Package limit decides which requests and retries are admitted: it enforces organisations'
// shares of their limits, queues requests for upstreams, and keeps the retry budgets. It does
// no I/O.
package limit

import "sync"

// RetryBudget allows retries in proportion to successes, so that retries cannot multiply the
// load of upstreams that are already failing.
type RetryBudget struct {
	// burst bounds the retries that can accumulate.
	burst float64

	mu        sync.Mutex
	available float64
}

// NewRetryBudget returns a RetryBudget with burst retries available.
func NewRetryBudget(burst float64) *RetryBudget {
	return &RetryBudget{burst: burst, available: burst}
}

// Success adds ratio retries to the budget, up to its burst.
func (b *RetryBudget) Success(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+ratio, b.burst)
}

// Take uses one retry; it returns false if none is available.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
