package target

import (
	"time"
)

const (
	// unreachableTargets is the number of targets of a data centre, without a connection to any other of it in between, to which
	// connections must fail before the data centre counts as unreachable. A single engine that has ended looks the same.
	unreachableTargets = 3
	// unreachableWindow is the time within which these connections must fail.
	unreachableWindow = 3 * time.Second
)

// centreReach is what an entry knows of its connections to the targets of a data centre.
type centreReach struct {
	// failed holds the time of the latest failed connection to each target since a connection to the data centre was made.
	failed map[uint32]time.Time
	// avoidedUntil is the time until which its targets are chosen only if there are no others. It is zero while the data centre is
	// reachable; after that time one request tries a connection, and the others wait for its result.
	avoidedUntil time.Time
	// unreachableSince is when the data centre last became unreachable.
	unreachableSince time.Time
}

// MarkUnreachable records that a connection to a target failed, and reports whether its data centre counts as unreachable from
// now on.
//
// The load that it answers: a data centre that is cut off while callers still arrive. Each of its targets would otherwise cost a
// request the time of a failed connection.
func (r *Registry) MarkUnreachable(now time.Time, m *Member) (changed bool) {
	m.Block(now)
	c := r.reach[m.Centre]
	if c == nil {
		c = &centreReach{failed: map[uint32]time.Time{}}
		r.reach[m.Centre] = c
	}
	c.failed[m.Hash] = now
	for hash, at := range c.failed {
		if now.Sub(at) > unreachableWindow && c.avoidedUntil.IsZero() {
			delete(c.failed, hash)
		}
	}
	if len(c.failed) < unreachableTargets {
		return false
	}
	changed = c.avoidedUntil.IsZero()
	if changed {
		c.unreachableSince = now
	}
	c.avoidedUntil = now.Add(blockDuration)
	return changed
}

// MarkReached records that a connection to a target was made, and reports whether its data centre was unreachable until now.
func (r *Registry) MarkReached(m *Member) (changed bool) {
	c := r.reach[m.Centre]
	if c == nil {
		return false
	}
	delete(r.reach, m.Centre)
	return !c.avoidedUntil.IsZero()
}

// NoteAttempt records that a request is sent to a target. If its data centre is unreachable, the other requests avoid it until the
// result is known.
func (r *Registry) NoteAttempt(now time.Time, m *Member) {
	if c := r.reach[m.Centre]; c != nil && !c.avoidedUntil.IsZero() {
		c.avoidedUntil = now.Add(blockDuration)
	}
}

// Unreachable reports whether the data centre of a target is unreachable and no connection is to be tried now, and since when.
func (r *Registry) Unreachable(now time.Time, m *Member) (since time.Time, ok bool) {
	c := r.reach[m.Centre]
	if c == nil || !now.Before(c.avoidedUntil) {
		return time.Time{}, false
	}
	return c.unreachableSince, true
}

// avoided reports whether a target is chosen only if there are no others, since it or its data centre could not be reached.
func (r *Registry) avoided(now time.Time, m *Member) bool {
	if now.Before(m.blockedUntil) {
		return true
	}
	c := r.reach[m.Centre]
	return c != nil && now.Before(c.avoidedUntil)
}
