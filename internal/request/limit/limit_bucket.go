package limit

import (
	"math"
	"time"
)

// bucket is a token bucket.
type bucket struct {
	// tokens is the number of requests that may be admitted now.
	tokens float64
	// updated is the time of the latest change of tokens.
	updated time.Time
}

// fill adds the tokens of a rate since the latest change, up to a capacity. It returns the time that has passed.
func (b *bucket) fill(now time.Time, rate, capacity float64) (passed time.Duration) {
	passed = max(now.Sub(b.updated), 0)
	b.tokens = min(b.tokens+rate*passed.Seconds(), max(capacity, b.tokens))
	b.updated = now
	return passed
}

// decay returns the part of an exponentially decaying count that is left after some time.
func decay(passed time.Duration) float64 {
	return math.Exp(-max(passed, 0).Seconds() / demandDecay.Seconds())
}
