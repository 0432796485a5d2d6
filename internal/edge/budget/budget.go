// Package budget bounds the retries that all entries together send to a service.
package budget

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// windowBuckets is the number of buckets in a window. Retries are kept for one more, since the newest bucket is not full.
	windowBuckets = 20
	buckets       = windowBuckets + 1
	// unrecordedFraction is the part of the retries allowed in a window after which they are to be recorded at once. The next process does
	// not learn of those that were not.
	unrecordedFraction = 0.1
)

// parts are the parts of the bound that an entry may use.
type parts struct {
	// ratio and slack are those of the bound's Ratio and Slack.
	ratio, slack float64
	// burst is the part of these that may be used at once. The rest becomes usable evenly over a window.
	burst float64
	// youngRatio and youngSlack are those of a process that has run for less than a window and does not know what the one before it at
	// the same address has sent. That one, and several like it in a row, may have used their parts in the same window.
	youngRatio, youngSlack float64
}

// archivedParts apply while slots keep the counts for the next process, which thus rarely lacks them, and plainParts otherwise.
var (
	archivedParts = parts{ratio: 0.8, slack: 0.55, burst: 1, youngRatio: 0.2, youngSlack: 0.08}
	plainParts    = parts{ratio: 0.8, slack: 0.6, burst: 0.5, youngRatio: 0.6, youngSlack: 0.1}
)

// Budget counts the requests and retries of one service at one entry. It is not safe for concurrent use.
type Budget struct {
	site.RetryBound
	// Archived is set while slots keep the counts for the next process.
	Archived bool
	// startedAt is when the process started.
	startedAt time.Time
	// requests and retries are counts by bucket; current is the index of the current bucket.
	requests, retries [buckets]int
	current           int
	// bucketStart is the start of the current bucket.
	bucketStart time.Time
	// inherited is set if the counts contain those of the process before this one, and unrecorded counts the retries since the latest
	// call of Record.
	inherited  bool
	unrecorded int
}

// New returns the empty Budget of a process that started at a time.
func New(b site.RetryBound, startedAt time.Time) *Budget {
	return &Budget{RetryBound: b, startedAt: startedAt}
}

// advance starts the buckets that are due and drops those older than the window.
func (b *Budget) advance(now time.Time) {
	width := b.Window / windowBuckets
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

// Account is the state of a Budget at a time.
type Account struct {
	// Requests and Retries are the numbers of those in the window.
	Requests, Retries int
	// Allowed is the bound on Retries; it need not be whole.
	Allowed float64
}

// Account returns the state for a number of entries, among which the slack is divided evenly. If the number is not known, it is zero,
// and there is no slack.
func (b *Budget) Account(now time.Time, entries int) Account {
	b.advance(now)
	var a Account
	for i := range buckets {
		a.Requests += b.requests[i]
		a.Retries += b.retries[i]
	}
	a.Requests -= b.requests[(b.current+1)%buckets]
	slack := 0.0
	if entries > 0 {
		slack = b.Slack / float64(entries)
	}
	use := plainParts
	if b.Archived {
		use = archivedParts
	}
	if !b.inherited && now.Sub(b.startedAt) < b.Window {
		a.Allowed = use.youngRatio*b.Ratio*float64(a.Requests) + use.youngSlack*slack
		return a
	}
	a.Allowed = b.spread(use.ratio*b.Ratio*float64(a.Requests)+use.slack*slack, use.burst)
	return a
}

// spread returns how many of the retries that are allowed in a window may have been sent by now: in the latest buckets, however many
// these are, at most the part of a burst and their part of the rest.
func (b *Budget) spread(allowed, burst float64) float64 {
	total := 0
	for _, n := range b.retries {
		total += n
	}
	most, recent := allowed, 0
	for age := range buckets {
		recent += b.retries[(b.current+buckets-age)%buckets]
		part := burst + (1-burst)*min(float64(age)/windowBuckets, 1)
		most = min(most, part*allowed+float64(total-recent))
	}
	return most
}

// AllowRetry reports whether a retry may be sent and counts it if so. Entries is as in Account.
func (b *Budget) AllowRetry(now time.Time, entries int) bool {
	a := b.Account(now, entries)
	if float64(a.Retries+1) > a.Allowed {
		return false
	}
	b.retries[b.current]++
	b.unrecorded++
	return true
}

// Record returns what was counted in the latest window.
func (b *Budget) Record(now time.Time) Record {
	b.advance(now)
	b.unrecorded = 0
	r := Record{At: now}
	for age := range buckets {
		i := (b.current + buckets - age) % buckets
		r.Requests, r.Retries = append(r.Requests, b.requests[i]), append(r.Retries, b.retries[i])
	}
	return r
}

// Inherit adds what the processes before this one have counted. It has an effect only once.
func (b *Budget) Inherit(now time.Time, r Record) {
	if b.inherited {
		return
	}
	b.inherited = true
	b.advance(now)
	// The buckets of the record began at other times. Retries count for up to a bucket too long, and requests too short.
	skip := r.age(now, b.Window)
	for age := range buckets {
		i := (b.current + buckets - age) % buckets
		b.requests[i] += count(r.Requests, age-skip-1)
		b.retries[i] += count(r.Retries, age-skip)
	}
}

// Unrecorded reports whether retries were counted since the latest call of Record, and whether these are so many that it must be called
// at once.
func (b *Budget) Unrecorded(a Account) (some, many bool) {
	return b.unrecorded > 0, float64(b.unrecorded) >= max(unrecordedFraction*a.Allowed, 1)
}
