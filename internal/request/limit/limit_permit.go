package limit

import (
	"maps"
	"time"
)

const (
	// MinRate is the rate in requests a second for targets that name a lower one, so that the limit is noticed when it is taken
	// back.
	MinRate = 0.2
	// maxPermitRate is the highest rate in requests a second that makes a difference.
	maxPermitRate = 1e6
	// permitBurstTime is the time for which unused permits accumulate at the owner.
	permitBurstTime = 250 * time.Millisecond
	// permitLifetime is how long an entry may use a permit.
	permitLifetime = 300 * time.Millisecond
	// minDenial and maxDenial bound the time in which an entry does not ask again after it got no permit.
	minDenial, maxDenial = 50 * time.Millisecond, 5 * time.Second
	// maxPermits is the largest number of permits that are issued at once.
	maxPermits = 32
	// recentDemand is the decaying number of requests for permits above which the next one is expected.
	recentDemand = 0.1
	// accountLifetime is the time after the latest request for permits after which an account is dropped.
	accountLifetime = 30 * time.Second
	// spreadRequests is the number of requests at the limit over whose time refused callers return.
	spreadRequests = 4
	// maxRetryAfter is the longest Retry-After of a refused caller.
	maxRetryAfter = 10 * time.Second
	// lowestPriority is the largest priority value that is told apart.
	lowestPriority = 9
)

// PermitRequest asks for permits to send requests to a target.
type PermitRequest struct {
	// Target identifies the incarnation of the target.
	Target uint32
	// Rate is the target's limit in requests a second, as far as the sender knows.
	Rate float64
	// Count is the number of requests that wait for a permit, at least one.
	Count int
	// Priority is that of the requests; zero is the most urgent.
	Priority int
	// Cold is set if the sender counts the target as cold.
	Cold bool
}

// Permits is the answer to a PermitRequest.
type Permits struct {
	// Count is the number of requests that may be sent.
	Count int
	// Wait is the time after which it is worth asking again, if Count is zero.
	Wait time.Duration
}

// account is the state of a target's rate at its owner.
type account struct {
	bucket
	// demands are the exponentially decaying numbers of requests for permits, by priority.
	demands [lowestPriority + 1]float64
	// askers holds the entries that have asked this one as the deputy of the owner, with the time; nil if none has.
	askers map[string]time.Time
}

// Issuer issues permits for the targets whose rates an entry owns. It is not safe for concurrent use.
type Issuer struct {
	// accounts holds the targets with a request for permits within accountLifetime.
	accounts map[uint32]*account
}

// NewIssuer returns an Issuer without any target.
func NewIssuer() *Issuer {
	return &Issuer{accounts: map[uint32]*account{}}
}

// Issue returns the permits for a request of one of the given number of entries. While more urgent requests ask for permits,
// others leave one for them, and get none if those ask for the whole rate.
func (i *Issuer) Issue(now time.Time, r PermitRequest, entries int) Permits {
	rate := min(max(r.Rate, MinRate), maxPermitRate)
	a := i.account(now, r.Target, 1)
	return a.issue(now, r, terms{rate: rate, capacity: 2 + rate*permitBurstTime.Seconds(), entries: entries})
}

// issue returns the permits for a request on some terms.
func (a *account) issue(now time.Time, r PermitRequest, t terms) Permits {
	rate := t.rate
	passed := a.fill(now, rate, t.capacity)
	// The rate may have been higher before.
	a.tokens = min(a.tokens, t.capacity)
	priority := min(max(r.Priority, 0), lowestPriority)
	urgent := 0.0
	for p := range a.demands {
		a.demands[p] *= decay(passed)
		if p < priority {
			urgent += a.demands[p]
		}
	}
	a.demands[priority]++
	available := a.tokens
	if urgent > recentDemand {
		available--
	}
	switch {
	case urgent/demandDecay.Seconds() >= rate:
		return Permits{Wait: perRequest(1, rate)}
	case available < 1:
		return Permits{Wait: perRequest(1-available, rate)}
	}
	// An entry gets more permits than it needs now only if there are enough for all.
	spare := int(available) / (2 * max(t.entries, 1))
	count := min(max(r.Count, 1), int(available))
	count = min(max(count, spare), maxPermits)
	a.tokens -= float64(count)
	return Permits{Count: count}
}

// account returns the account of a target, which has some permits if it is new. The idle ones are dropped then.
func (i *Issuer) account(now time.Time, target uint32, permits float64) *account {
	a := i.accounts[target]
	if a == nil {
		maps.DeleteFunc(i.accounts, func(_ uint32, a *account) bool { return now.Sub(a.updated) > accountLifetime })
		a = &account{bucket: bucket{tokens: permits, updated: now}}
		i.accounts[target] = a
	}
	return a
}

// perRequest returns the time in which a rate allows some requests.
func perRequest(requests, rate float64) time.Duration {
	return time.Duration(requests / rate * float64(time.Second))
}

// Holder holds the permits of an entry for one target. The zero value has none.
type Holder struct {
	// permits is the number of permits left, which may be used until expiry.
	permits int
	expiry  time.Time
	// deniedUntil is the time until which requests of deniedPriority, or less urgent ones, get no permit.
	deniedUntil    time.Time
	deniedPriority int
}

// HasPermit reports whether a permit is left.
func (h *Holder) HasPermit(now time.Time) bool {
	return h.permits > 0 && now.Before(h.expiry)
}

// TakePermit uses a permit and reports whether one was left.
func (h *Holder) TakePermit(now time.Time) bool {
	if !h.HasPermit(now) {
		return false
	}
	h.permits--
	return true
}

// DeniedUntil returns the time until which a request gets no permit, or zero if it may get one.
func (h *Holder) DeniedUntil(now time.Time, priority int) time.Time {
	if priority < h.deniedPriority || !now.Before(h.deniedUntil) {
		return time.Time{}
	}
	return h.deniedUntil
}

// ApplyPermits records the answer to a request for permits that was sent for a request with a priority.
func (h *Holder) ApplyPermits(now time.Time, p Permits, priority int) {
	if p.Count == 0 {
		h.deniedUntil, h.deniedPriority = now.Add(min(max(p.Wait, minDenial), maxDenial)), priority
		return
	}
	if !now.Before(h.expiry) {
		h.permits = 0
	}
	h.permits += min(p.Count, maxPermits)
	h.expiry = now.Add(permitLifetime)
}

// RetryAfter returns when a refused caller may retry, whose targets take some requests a second together, and the first of
// them after a wait. The random value, in [0,1), spreads the callers.
func RetryAfter(wait time.Duration, rate, randomValue float64) time.Duration {
	return min(max(wait, minDenial)+perRequest(spreadRequests*randomValue, max(rate, MinRate)), maxRetryAfter)
}
