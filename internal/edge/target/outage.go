package target

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// outageGrace is the time after an outage of the store in which missing targets are kept (PROTOCOL: about two seconds).
const outageGrace = 2 * time.Second

// outage tells outages of the store, in which the records of targets that run may lapse, from single calls that fail.
type outage struct {
	// MinOutage is the least time for which the store fails when a record lapses.
	MinOutage time.Duration
	// answeredAt is the time of the latest read, and failing is set if a call has failed since.
	answeredAt time.Time
	failing    bool
	// unreadSince is the start of the first full read that has failed since answeredAt, or zero.
	unreadSince time.Time
	// readable is the time for which the store could be read so far, and missing its value at the first list without a target, by ID.
	readable time.Duration
	missing  map[string]time.Duration
	// endedAt is the end of the latest outage.
	endedAt time.Time
	// withdrawn holds when records were last removed while the store could be read, by target ID.
	withdrawn map[string]time.Time
}

func newOutage() outage {
	return outage{missing: map[string]time.Duration{}, withdrawn: map[string]time.Time{}}
}

// MarkWatchLost records that a watch has failed. Whether the store can be read shows the next read.
func (o *outage) MarkWatchLost() {
	o.failing = true
}

// MarkStoreLost records that a full read of the store that began at a time has failed; the known targets stay in use.
func (o *outage) MarkStoreLost(began time.Time) {
	o.failing = true
	if o.unreadSince.IsZero() {
		o.unreadSince = began
	}
}

// NoteOutage records that the store could be read again at a time after an outage, which another process has noticed.
func (o *outage) NoteOutage(endedAt time.Time) {
	if endedAt.After(o.endedAt) {
		o.endedAt = endedAt
	}
}

// OutageEndedAt returns the end of the latest outage of the store, or zero.
func (o *outage) OutageEndedAt() time.Time {
	return o.endedAt
}

// Withdraw records that the records of targets were removed while the store could be read, so that they have not lapsed in an outage.
func (o *outage) Withdraw(now time.Time, ids ...string) {
	for _, id := range ids {
		o.withdrawn[id] = now
	}
}

// Withdrawn returns the IDs of the targets that were withdrawn of late.
func (o *outage) Withdrawn() []string {
	return slices.Collect(maps.Keys(o.withdrawn))
}

// noteRead records that the store was read. There was an outage if it has not answered for MinOutage, whichever calls failed.
func (o *outage) noteRead(now time.Time) {
	before := cmp.Or(o.answeredAt, o.unreadSince, now)
	if o.failing && now.Sub(before) >= o.MinOutage {
		o.endedAt = now
	}
	o.readable += max(cmp.Or(o.unreadSince, now).Sub(before), 0)
	o.answeredAt, o.failing, o.unreadSince = now, false, time.Time{}
	for id, at := range o.withdrawn {
		if now.Sub(at) >= outageGrace {
			delete(o.withdrawn, id)
		}
	}
}

// keeps reports whether a target stays although it is missing from a list. Outages that follow one another keep it for no more than
// outageGrace of the time in which the store could be read, within which a target that runs writes its record.
func (o *outage) keeps(now time.Time, id string) bool {
	at, ok := o.missing[id]
	return now.Sub(o.endedAt) < outageGrace && o.withdrawn[id].IsZero() && (!ok || o.readable-at < outageGrace)
}

// noteMissing records which members are missing from the latest list.
func (o *outage) noteMissing(members map[string]*Member, listed map[string]bool) {
	for id := range o.missing {
		if members[id] == nil || listed[id] {
			delete(o.missing, id)
		}
	}
	for id := range members {
		if _, ok := o.missing[id]; !ok && !listed[id] {
			o.missing[id] = o.readable
		}
	}
}

// Kept returns the targets that stay after an outage although a list lacks them.
func (r *Registry) Kept(now time.Time, listed map[string]site.Target) (kept []site.Target) {
	for id, m := range r.members {
		if _, ok := listed[id]; !ok && r.keeps(now, id) {
			kept = append(kept, m.Target)
		}
	}
	return kept
}
