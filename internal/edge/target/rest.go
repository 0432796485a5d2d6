package target

import (
	"maps"
	"time"
)

// maxWishes is the number of incarnations whose wishes are kept though they are no longer listed.
const maxWishes = 1024

// wish is what a target has said about the requests that it wants of this entry. It holds for the incarnation, whatever the store lists.
type wish struct {
	// saidLeaving is set if it has said in an answer that it takes no new requests any more, and listedLeaving if its record has said so.
	saidLeaving, listedLeaving bool
	// restsUntil is the time until which it wants none.
	restsUntil time.Time
}

// SetLeaving records that a target said in an answer that it takes no new requests, and reports whether that is new.
func (r *Registry) SetLeaving(now time.Time, m *Member) (changed bool) {
	w := r.wishes[m.Hash]
	changed = !w.saidLeaving
	w.saidLeaving = true
	r.setWish(now, m, w)
	return changed
}

// Rest records that a target wants no requests of this entry until a time.
func (r *Registry) Rest(now time.Time, m *Member, until time.Time) {
	w := r.wishes[m.Hash]
	if until.After(w.restsUntil) {
		w.restsUntil = until
		r.setWish(now, m, w)
	}
}

// ListedLeaving reports whether the record of an incarnation has ever said that it leaves. A record that says later that it is ready is an
// old one: its write was done late, or the store has come back from an older copy.
func (r *Registry) ListedLeaving(hash uint32) bool {
	return r.wishes[hash].listedLeaving
}

// noteListedLeaving records that the record of an incarnation says that it leaves.
func (r *Registry) noteListedLeaving(now time.Time, m *Member) {
	w := r.wishes[m.Hash]
	if !w.listedLeaving {
		w.listedLeaving = true
		r.setWish(now, m, w)
	}
}

func (r *Registry) setWish(now time.Time, m *Member, w wish) {
	r.wishes[m.Hash] = w
	for _, known := range []*Member{m, r.hashes[m.Hash]} {
		if known != nil {
			known.wish, known.Leaving = w, known.Leaving || w.saidLeaving || w.listedLeaving
		}
	}
	if len(r.wishes) > maxWishes {
		maps.DeleteFunc(r.wishes, func(hash uint32, w wish) bool { return r.hashes[hash] == nil && !now.Before(w.restsUntil) })
	}
}

// NextRested returns the earliest time at which one of the targets that a choice leaves out for their rest takes requests again,
// or zero if there is none.
func (r *Registry) NextRested(now time.Time, c Choice) (at time.Time) {
	for _, m := range r.services[c.Service] {
		if m.Leaving || m.evacuated || !now.Before(m.restsUntil) {
			continue
		}
		if at.IsZero() || m.restsUntil.Before(at) {
			at = m.restsUntil
		}
	}
	return at
}
