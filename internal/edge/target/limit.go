package target

import "time"

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

// SetLimit records what the target said, unless something later is known. It reports whether the limit has changed.
func (m *Member) SetLimit(l Limit) (changed bool) {
	before := m.limit
	if !l.At.After(before.At) {
		return false
	}
	m.limit = l
	return l.Limited != before.Limited || l.Limited && l.Rate != before.Rate
}
