// Package retry limits retries by a budget, and computes jittered retry-after times for callers.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// RetriesPerSuccess is the number of retries that each success adds to the budget.
	RetriesPerSuccess = 0.1
	// maxBudget is the largest number of retries in a budget.
	maxBudget = 50
	// initialBudget is the number of retries in a new budget.
	initialBudget = 10
)

// Budget limits retries to a fraction of the successes. It is not safe for concurrent use.
type Budget struct {
	// available is the number of retries that may be made; it is at most maxBudget.
	available float64
}

// NewBudget returns a Budget of initialBudget retries.
func NewBudget() *Budget {
	return &Budget{available: initialBudget}
}

// RecordSuccess adds RetriesPerSuccess to the budget.
func (b *Budget) RecordSuccess() {
	b.available = min(b.available+RetriesPerSuccess, maxBudget)
}

// Take takes a retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

const (
	// minRetryAfter is the shortest base time: callers read whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest base time.
	maxRetryAfter = 30 * time.Second
)

// After returns the time after which a caller may retry: the drain time of the queue, within minRetryAfter and
// maxRetryAfter, plus a jitter of up to twice that time, so that callers do not retry together.
func After(random *rand.Rand, drain time.Duration) time.Duration {
	base := min(max(drain, minRetryAfter), maxRetryAfter)
	return base + time.Duration(random.Int64N(int64(2*base)))
}
