package target

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

const (
	// liftedNewsTime is the time for which entries tell each other that a target no longer has a limit.
	liftedNewsTime = 10 * time.Second
	// maxLimits is the largest number of limits that are sent at once.
	maxLimits = 64
)

// Limit is what a target said last about the requests a second that it takes from all entries together.
type Limit struct {
	// Rate is in requests a second and at least zero; it is valid only if Limited is set.
	Rate    float64
	Limited bool
	// At is zero if nothing is known. A limit holds at the time at which it was received; that there is none holds at the time
	// at which the request was sent, since an answer without a limit may be made before one with a limit and arrive later.
	At time.Time
}

// Limit returns what the target said last about its limit.
func (m *Member) Limit() Limit {
	return m.limit
}

// SetLimit records what the target said, unless something later is known. It reports whether the limit has changed; permits
// and denials of the limit before are dropped then.
func (m *Member) SetLimit(l Limit) (changed bool) {
	before := m.limit
	if !l.At.After(before.At) || !l.Limited && !before.Limited {
		return false
	}
	m.limit = l
	if l.Limited == before.Limited && l.Rate == before.Rate {
		return false
	}
	m.Holder = limit.Holder{}
	return true
}

// Limits returns the members whose limits or failures the other entries should know, the latest first.
func (r *Registry) Limits(now time.Time) (members []*Member) {
	for _, m := range r.members {
		_, failed := m.FailedAt(now)
		if failed || m.limit.Limited || !m.limit.At.IsZero() && now.Sub(m.limit.At) < liftedNewsTime {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(x, y *Member) int {
		return cmp.Or(y.newsAt(now).Compare(x.newsAt(now)), cmp.Compare(x.Hash, y.Hash))
	})
	return members[:min(len(members), maxLimits)]
}

// newsAt returns the time of the latest limit or failure of which the other entries should know.
func (m *Member) newsAt(now time.Time) time.Time {
	if at, failed := m.FailedAt(now); failed && at.After(m.limit.At) {
		return at
	}
	return m.limit.At
}

// NextPermit returns the earliest time at which a request may get a permit again for one of the targets that a choice leaves
// out for their limits, and the sum of these limits in requests a second. The time is zero if there is no such target.
func (r *Registry) NextPermit(now time.Time, c Choice) (at time.Time, rate float64) {
	for _, m := range r.services[c.Service] {
		if m.Leaving || m.evacuated || !m.Limited(now) {
			continue
		}
		own, _ := m.Rate(now)
		rate += own
		until := m.DeniedUntil(now, c.Priority)
		if until.IsZero() {
			until = now
		}
		if at.IsZero() || until.Before(at) {
			at = until
		}
	}
	return at, rate
}
