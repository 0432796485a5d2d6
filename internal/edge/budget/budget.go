// Package budget bounds the repeats that all entries together send to a service.
package budget

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// buckets is the number of parts of a window.
	buckets = 20
	// ratioShare and slackShare keep a part of the bound back, since entries' windows and numbers of peers differ.
	ratioShare = 0.8
	slackShare = 0.6
	// fewestEntries is the number of entries that a new entry takes for granted before it has heard its peers.
	fewestEntries = 16
)

// Budget counts the requests and repeats of one service at one entry. It is not safe for concurrent use.
type Budget struct {
	site.RetryBound
	// requests and repeats hold counts by bucket, the newest at head.
	requests, repeats [buckets]int
	head              int
	// turned is when the newest bucket began.
	turned time.Time
}

// New returns an empty Budget.
func New(b site.RetryBound) *Budget {
	return &Budget{RetryBound: b}
}

// turn drops what is older than the window.
func (b *Budget) turn(now time.Time) {
	width := b.Window / buckets
	if now.Sub(b.turned) >= 2*b.Window {
		b.requests, b.repeats, b.turned = [buckets]int{}, [buckets]int{}, now
		return
	}
	for now.Sub(b.turned) >= width {
		b.turned = b.turned.Add(width)
		b.head = (b.head + 1) % buckets
		b.requests[b.head], b.repeats[b.head] = 0, 0
	}
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now time.Time) {
	b.turn(now)
	b.requests[b.head]++
}

// AllowRetry reports whether a request may be sent once more, and counts it.
// Entries is the number of entries that are known, which share the slack evenly.
func (b *Budget) AllowRetry(now time.Time, entries int) bool {
	b.turn(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := ratioShare*b.Ratio*float64(requests) + slackShare*b.Slack/float64(max(entries, 1))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[b.head]++
	return true
}

// Entries returns the number of entries to share the slack with, from those known and the time since the start.
func Entries(known int, sinceStart, settling time.Duration) int {
	if sinceStart < settling {
		return max(known, fewestEntries)
	}
	return known
}
