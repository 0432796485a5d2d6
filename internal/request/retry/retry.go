// Package retry bounds the attempts that follow a request's first one, and spreads callers' returns.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// Ratio is the number of retries that each success pays for.
	Ratio = 0.1
	// budgetSize is the largest number of retries that can be saved up.
	budgetSize = 50
	// budgetStart is the number of retries before any success.
	budgetStart = 10
)

// Budget is a store of retries that successes fill. It is not safe for concurrent use.
type Budget struct {
	// saved is the number of retries that may be made; it is at most budgetSize.
	saved float64
}

// NewBudget returns a Budget with a few retries in it.
func NewBudget() *Budget {
	return &Budget{saved: budgetStart}
}

// Succeed pays for a part of a retry.
func (b *Budget) Succeed() {
	b.saved = min(b.saved+Ratio, budgetSize)
}

// Take reports whether a retry may be made, and counts it.
func (b *Budget) Take() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

const (
	// minAdvice is the shortest advice: callers read whole seconds.
	minAdvice = time.Second
	// maxAdvice is the longest advice.
	maxAdvice = 30 * time.Second
)

// Advice returns when a caller may come back: after the drain of what waits,
// and spread over as long again so that callers do not return together.
func Advice(random *rand.Rand, drain time.Duration) time.Duration {
	base := min(max(drain, minAdvice), maxAdvice)
	return base + time.Duration(random.Int64N(int64(2*base)))
}
