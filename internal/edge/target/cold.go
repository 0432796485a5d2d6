package target

import (
	"maps"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

const (
	// sameFailureTime is the time within which two failures of a target count as one: what peers tell of a failure seems later by
	// the time that it took at each hop, and must not be passed on for ever.
	sameFailureTime = 500 * time.Millisecond
	// coldSeatTime is the time for which a cold target counts with the requests that it takes.
	coldSeatTime = time.Second
)

// The reasons why a target counts as cold.
const (
	coldByRecord  = "record"
	coldAsNew     = "new"
	coldByFailure = "failure"
	coldByPeer    = "peer"
	coldByPause   = "pause"
	coldByCentre  = "centre"
)

// coldness is what is known of an incarnation of a target that sustains less while it is cold. It counts as cold until the latest
// of its times.
type coldness struct {
	site.Cold
	// recordUntil is what its record says. firstUntil counts from when it was first listed, and markedUntil from MarkCold.
	recordUntil, firstUntil, markedUntil time.Time
	// failedAt is the time of the latest failure after which it may have restarted under the same ID, and toldAt that of the latest
	// of which the other entries are told.
	failedAt, toldAt time.Time
	// unknownAt is the time from which a restart may have been missed, or zero.
	unknownAt time.Time
	// until is the latest of these, and reason the one that made the target cold last.
	until  time.Time
	reason string
	// cold is set from when the target became cold until ColdChanges has returned its end; told is set once it has returned its begin.
	cold, told bool
}

// ColdChange is a target that has become cold, or no longer is.
type ColdChange struct {
	*Member
	// Cold is set if the target has become cold, for Left from now on.
	Cold   bool
	Left   time.Duration
	Reason string
}

// IsCold reports whether the target counts as cold.
func (m *Member) IsCold(now time.Time) bool {
	return m.cold != nil && now.Before(m.cold.until)
}

// Limited reports whether each request to the target needs a permit: the target has named a limit, or it is cold.
func (m *Member) Limited(now time.Time) bool {
	return m.limit.Limited || m.IsCold(now)
}

// Rate returns the requests a second that the target takes while it is Limited, and whether it is cold. The lower of its own limit
// and of what it sustains while cold applies.
func (m *Member) Rate(now time.Time) (rate float64, cold bool) {
	if !m.IsCold(now) {
		return m.limit.Rate, false
	}
	if m.limit.Limited {
		return min(m.limit.Rate, m.cold.Rate), true
	}
	return m.cold.Rate, true
}

// FailedAt returns the time of the latest failure of which the other entries should know, and whether there is one.
func (m *Member) FailedAt(now time.Time) (at time.Time, ok bool) {
	if m.cold == nil || m.cold.toldAt.IsZero() || now.Sub(m.cold.toldAt) >= m.cold.Time {
		return time.Time{}, false
	}
	return m.cold.toldAt, true
}

// SetCold sets what the cold targets of services sustain; those of others are never cold. Targets that are known already count as
// cold only by their records.
func (r *Registry) SetCold(now time.Time, services map[string]site.Cold) {
	r.coldServices = services
	for hash, c := range r.colds {
		if m := r.hashes[hash]; m != nil {
			c.Cold = services[m.Service]
		}
	}
	for _, m := range r.members {
		m.cold = nil
		if services[m.Service].Limits() {
			r.learnCold(now, &m.Target, false)
		}
	}
}

// learnCold records what a listed target says of itself. One that is new counts as cold from now on: it may have started since its
// record was written.
func (r *Registry) learnCold(now time.Time, t *site.Target, isNew bool) {
	cold := r.coldServices[t.Service]
	if !cold.Limits() {
		return
	}
	m := r.members[t.ID]
	c := r.colds[m.Hash]
	if c == nil {
		c = &coldness{Cold: cold}
		r.colds[m.Hash] = c
		if isNew {
			c.firstUntil = now.Add(cold.Time)
			r.updateCold(now, m, c, coldAsNew)
		}
	}
	m.cold, m.ColdUntil, c.recordUntil = c, t.ColdUntil, t.ColdUntil
	r.updateCold(now, m, c, coldByRecord)
}

// forgetColds drops targets that are no longer listed if there are many.
func (r *Registry) forgetColds(now time.Time) {
	if len(r.colds) <= maxWishes {
		return
	}
	maps.DeleteFunc(r.colds, func(hash uint32, c *coldness) bool { return r.hashes[hash] == nil && !now.Before(c.until) })
}

// updateCold computes until when a target is cold. When it becomes cold, its permits lapse: they were issued at another rate.
func (r *Registry) updateCold(now time.Time, m *Member, c *coldness, reason string) {
	c.until = c.recordUntil
	for _, at := range []time.Time{c.firstUntil, c.markedUntil, c.failedAt.Add(c.Time), c.unknownAt.Add(c.Time)} {
		if at.After(c.until) {
			c.until = at
		}
	}
	if !c.cold && now.Before(c.until) {
		c.cold, c.told, c.reason = true, false, reason
		r.coldCount++
		m.Holder = limit.Holder{}
	}
}

// NoteFailure records that a connection to a target failed or that it lost a run without an answer, so that it may have restarted
// under the same ID. The other entries are told if the target itself has ended the connection or refused it. It reports whether they
// have something to learn.
func (r *Registry) NoteFailure(now time.Time, m *Member, tell bool) (isNew bool) {
	c := r.colds[m.Hash]
	if c == nil {
		return false
	}
	c.failedAt = now
	if tell && now.Sub(c.toldAt) > sameFailureTime {
		c.toldAt, isNew = now, true
	}
	r.updateCold(now, m, c, coldByFailure)
	return isNew
}

// LearnFailure records a failure of a target that a peer has told, and reports whether it is new.
func (r *Registry) LearnFailure(now time.Time, m *Member, at time.Time) (isNew bool) {
	c := r.colds[m.Hash]
	if c == nil || now.Sub(at) >= c.Time || at.Sub(c.toldAt) <= sameFailureTime {
		return false
	}
	c.toldAt = at
	if at.After(c.failedAt) {
		c.failedAt = at
	}
	r.updateCold(now, m, c, coldByPeer)
	return true
}

// MarkUnknown records that this entry may have missed restarts of targets, as in a pause. They count as cold until NoteRead tells of a
// later read of the store, or for the time of a start. It reports whether there are any.
func (r *Registry) MarkUnknown(now time.Time) (found bool) {
	for hash, c := range r.colds {
		if m := r.hashes[hash]; m != nil {
			c.unknownAt = now
			r.updateCold(now, m, c, coldByPause)
			found = true
		}
	}
	return found
}

// NoteRead records that the known targets are at least as recent as a time, and reports whether restarts may still have been missed.
func (r *Registry) NoteRead(now, readAt time.Time) (unknown bool) {
	for hash, c := range r.colds {
		m := r.hashes[hash]
		if m == nil || c.unknownAt.IsZero() {
			continue
		}
		if readAt.Before(c.unknownAt) {
			unknown = true
			continue
		}
		c.unknownAt = time.Time{}
		r.updateCold(now, m, c, coldByRecord)
	}
	return unknown
}

// MarkCold makes all targets of a data centre count as cold for the time of a start, and returns their number.
func (r *Registry) MarkCold(now time.Time, centre string) (n int) {
	for hash, c := range r.colds {
		if m := r.hashes[hash]; m != nil && m.Centre == centre {
			c.markedUntil = now.Add(c.Time)
			r.updateCold(now, m, c, coldByCentre)
			n++
		}
	}
	return n
}

// ColdChanges returns the listed targets that have become cold, or no longer are, since the previous call.
func (r *Registry) ColdChanges(now time.Time) (changes []ColdChange) {
	if r.coldCount == 0 {
		return nil
	}
	r.coldCount = 0
	for hash, c := range r.colds {
		if !c.cold {
			continue
		}
		m := r.hashes[hash]
		isCold := now.Before(c.until)
		if m != nil && (!isCold || !c.told) {
			changes = append(changes, ColdChange{Member: m, Cold: isCold, Left: max(c.until.Sub(now), 0), Reason: c.reason})
		}
		c.cold, c.told = isCold, m != nil
		if isCold {
			r.coldCount++
		}
	}
	return changes
}

// Cold returns the number of targets of a service that are cold.
func (r *Registry) Cold(now time.Time, service string) (n int) {
	for _, m := range r.services[service] {
		if m.IsCold(now) {
			n++
		}
	}
	return n
}

// LimitSeats returns the number of seats of a group, of which a cold rank has no more than the requests that run there and those that
// it takes in coldSeatTime.
func (r *Registry) LimitSeats(now time.Time, service string, seats, ranks int) int {
	if !r.coldServices[service].Limits() {
		return seats
	}
	each, excess := float64(seats)/float64(max(ranks, 1)), 0.0
	for _, m := range r.services[service] {
		if m.Leaving || !m.IsCold(now) {
			continue
		}
		rate, _ := m.Rate(now)
		excess += max(each-float64(m.Running())-rate*coldSeatTime.Seconds(), 0)
	}
	return seats - int(excess)
}
