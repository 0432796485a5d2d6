// Package budget bounds the retries that all entries together send to a service.
package budget

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// buckets is the number of buckets in a window.
	buckets = 20
	// ratioFraction and slackFraction are the parts of the bound's Ratio and Slack that are used. They leave a margin,
	// since the entries' windows and numbers of known peers differ.
	ratioFraction = 0.8
	slackFraction = 0.6
	// minEntriesAtStart is the least number of entries that a starting entry assumes until it knows its peers.
	minEntriesAtStart = 16
)

// Budget counts the requests and retries of one service at one entry. It is not safe for concurrent use.
type Budget struct {
	site.RetryBound
	// requests and retries are counts by bucket; current is the index of the current bucket.
	requests, retries [buckets]int
	current           int
	// bucketStart is the start of the current bucket.
	bucketStart time.Time
}

// New returns an empty Budget.
func New(b site.RetryBound) *Budget {
	return &Budget{RetryBound: b}
}

// advance starts the buckets that are due and drops those older than the window.
func (b *Budget) advance(now time.Time) {
	width := b.Window / buckets
	if now.Sub(b.bucketStart) >= 2*b.Window {
		b.requests, b.retries, b.bucketStart = [buckets]int{}, [buckets]int{}, now
		return
	}
	for now.Sub(b.bucketStart) >= width {
		b.bucketStart = b.bucketStart.Add(width)
		b.current = (b.current + 1) % buckets
		b.requests[b.current], b.retries[b.current] = 0, 0
	}
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.current]++
}

// AllowRetry reports whether a retry may be sent and counts it if so.
// The slack is divided evenly among the given number of entries.
func (b *Budget) AllowRetry(now time.Time, entries int) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := ratioFraction*b.Ratio*float64(requests) + slackFraction*b.Slack/float64(max(entries, 1))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.current]++
	return true
}

// Entries returns the number of entries among which AllowRetry divides the slack. Until the settling time after the
// start has passed, peers may be unknown, so it is at least minEntriesAtStart.
func Entries(known int, sinceStart, settling time.Duration) int {
	if sinceStart < settling {
		return max(known, minEntriesAtStart)
	}
	return known
}
