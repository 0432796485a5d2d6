// Package inventory passes the targets that a relay has read from the store on to the other entries of its data centre.
package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// maxPage is the largest number of records in a Page, and maxPageBytes that of bytes, so that it fits into a datagram. A record takes
	// its names and at most recordBytes.
	maxPage, maxPageBytes = 200, 28 << 10
	recordBytes           = 64
	// maxRemoved is the number of removed records from which old ones are dropped.
	maxRemoved = 1024
	// recentTime is the time for which a removal is told also to those that learn the whole feed: they may have known the target before,
	// and tell a removal from a record that lapsed.
	recentTime = 10 * time.Second
)

// Page is a run of changes of a Feed.
type Page struct {
	// Reset is set if the changes are all of the feed, so that what was known before is dropped. The removed records among them are those
	// removed of late.
	Reset bool
	// Records are the changed records; that of a removed one has no Target.
	Records []site.TargetRecord
	// Through is the sequence number up to which the changes are complete.
	Through uint64
}

// Feed numbers the changes of a relay's targets. It is not safe for concurrent use.
type Feed struct {
	records map[string]record
	// sequence is the number of the latest change.
	sequence uint64
	// droppedAt is the number of the latest removal that was dropped: changes up to it are incomplete.
	droppedAt uint64
	removed   int
}

// record is the latest state of a target.
type record struct {
	// target is nil if the record was removed.
	target   *site.Target
	sequence uint64
	// changedAt is the time of the change.
	changedAt time.Time
}

// NewFeed returns an empty Feed.
func NewFeed() *Feed {
	return &Feed{records: map[string]record{}}
}

// Sequence returns the number of the latest change.
func (f *Feed) Sequence() uint64 {
	return f.sequence
}

// Update replaces the targets by a complete list and reports whether it differs.
func (f *Feed) Update(now time.Time, targets map[string]site.Target) (changed bool) {
	before := f.sequence
	for id, t := range targets {
		if r, ok := f.records[id]; !ok || r.target == nil || *r.target != t {
			f.put(now, id, &t)
		}
	}
	for id, r := range f.records {
		if _, ok := targets[id]; !ok && r.target != nil {
			f.put(now, id, nil)
		}
	}
	if f.removed > maxRemoved {
		f.dropRemoved(now)
	}
	return f.sequence != before
}

// Withdraw records that targets were removed, also those that the feed has not had.
func (f *Feed) Withdraw(now time.Time, ids ...string) {
	for _, id := range ids {
		if r, ok := f.records[id]; !ok || r.target != nil {
			f.put(now, id, nil)
		}
	}
}

func (f *Feed) put(now time.Time, id string, t *site.Target) {
	if r, ok := f.records[id]; ok && r.target == nil {
		f.removed--
	}
	if t == nil {
		f.removed++
	}
	f.sequence++
	f.records[id] = record{target: t, sequence: f.sequence, changedAt: now}
}

// dropRemoved drops the removed records but those removed of late.
func (f *Feed) dropRemoved(now time.Time) {
	for id, r := range f.records {
		if r.target == nil && !r.recent(now) {
			delete(f.records, id)
			f.removed--
			f.droppedAt = max(f.droppedAt, r.sequence)
		}
	}
}

func (r *record) recent(now time.Time) bool {
	return now.Sub(r.changedAt) < recentTime
}

// After returns the changes after a sequence number, or the first part of them.
func (f *Feed) After(now time.Time, sequence uint64) (page Page) {
	if sequence > f.sequence || sequence < f.droppedAt {
		sequence = 0
	}
	page.Reset = sequence == 0
	type change struct {
		site.TargetRecord
		sequence uint64
	}
	var changes []change
	for id, r := range f.records {
		if r.sequence > sequence && (r.target != nil || sequence > 0 || r.recent(now)) {
			changes = append(changes, change{site.TargetRecord{ID: id, Target: r.target}, r.sequence})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.sequence, b.sequence) })
	page.Through = f.sequence
	size := 0
	for i, c := range changes {
		size += recordSize(c.TargetRecord)
		if i == maxPage || i > 0 && size > maxPageBytes {
			page.Through = changes[i-1].sequence
			break
		}
		page.Records = append(page.Records, c.TargetRecord)
	}
	return page
}

// recordSize returns the largest number of bytes that a record takes in a datagram.
func recordSize(r site.TargetRecord) int {
	size := recordBytes + len(r.ID)
	if r.Target != nil {
		size += len(r.Target.Service) + len(r.Target.Centre)
	}
	return size
}

// Mirror is a copy of the Feed of a relay. The zero value is empty. It is not safe for concurrent use.
type Mirror struct {
	// Sequence is the number of the latest change that is known.
	Sequence uint64
	targets  map[string]site.Target
}

// Apply applies changes after a sequence number at or before that of the mirror.
func (m *Mirror) Apply(page Page) {
	if page.Reset || m.targets == nil {
		m.targets = map[string]site.Target{}
	}
	for _, r := range page.Records {
		delete(m.targets, r.ID)
		if r.Target != nil {
			m.targets[r.ID] = *r.Target
		}
	}
	m.Sequence = page.Through
}

// Targets returns the targets in no particular order.
func (m *Mirror) Targets() []site.Target {
	list := make([]site.Target, 0, len(m.targets))
	for _, t := range m.targets {
		list = append(list, t)
	}
	return list
}
