// Package group tells entries which targets are ranks of the same group, how slow each is, and which groups have stalled.
//
// The load that it answers: a few engines become ten times slower for seconds, or a group pauses, while others of the service
// have room. Each slot knows its own engine; relays pass it on, so that what is sent grows with the changes.
package group

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

const (
	// paceStep is the ratio by which the pace of a slow target must change to be passed on again, since it varies with each report.
	paceStep = 1.2
	// paceLifetime is the time for which the last report of a slot counts for the pace.
	paceLifetime = 3 * time.Second
	// memberLifetime is the time for which a member that is no longer listed or heard is kept.
	memberLifetime = time.Minute
	// wholeInterval is the time in which all members of a data centre are sent to the others again, in case a change was lost.
	wholeInterval = 5 * time.Second
	// repeatTime is the time for which a change is sent with each datagram.
	repeatTime = 500 * time.Millisecond
	// maxMembers is the largest number of members in a datagram.
	maxMembers = 200
)

// Member is a target that is a rank of a group.
type Member struct {
	// Target is a hash of the target's incarnation, and Group one of the group's name.
	Target, Group uint32
	// Pace is the factor by which the target is slower than usual, or zero if it is not known.
	Pace float64
}

// Hash returns a hash of a group's name, which is never zero.
func Hash(name string) uint32 {
	return max(uint32(xxhash.Sum64String(name)), 1)
}

// ClampPace returns a pace that another process has told: zero if it is not known, and 1 if the target is not slow.
func ClampPace(pace float64) float64 {
	switch {
	case pace == 0 || math.IsNaN(pace):
		return 0
	case pace < hold.SlowPace:
		return 1
	}
	return hold.BoundPace(pace)
}

// SamePace reports whether a pace is so near to one that was told that it need not be told again.
func SamePace(told, pace float64) bool {
	told, pace = ClampPace(told), ClampPace(pace)
	if (told >= hold.SlowPace) != (pace >= hold.SlowPace) || (told >= hold.VerySlowPace) != (pace >= hold.VerySlowPace) || (told == 0) != (pace == 0) {
		return false
	}
	return pace < told*paceStep && told < pace*paceStep || told == pace
}

// Table holds the members that a relay knows: those of its own data centre, which their slots report, and those of the others. It
// is not safe for concurrent use.
type Table struct {
	members map[uint32]*entry
	// own lists the members of the own data centre in the order of their hashes; nil if it must be built anew.
	own []uint32
	// next is the index in own of the next member to send again. The turns up to sentAt were taken.
	next   int
	sentAt time.Time
	// version increases with each change.
	version uint64
}

type entry struct {
	Member
	own bool
	// heardAt is when the member was last reported, and changedAt when that was last different.
	heardAt, changedAt time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{members: map[uint32]*entry{}}
}

// Version returns a number that increases with each change of a member.
func (t *Table) Version() uint64 {
	return t.version
}

// Lookup returns the member of a target; it has no group if none is known.
func (t *Table) Lookup(target uint32) Member {
	if e := t.members[target]; e != nil {
		return e.Member
	}
	return Member{}
}

// Report records what a slot of the own data centre reports of its target.
func (t *Table) Report(now time.Time, m Member) {
	t.learn(now, m, true)
}

// Learn records what a relay of another data centre tells of a target there.
func (t *Table) Learn(now time.Time, m Member) {
	t.learn(now, m, false)
}

func (t *Table) learn(now time.Time, m Member, own bool) {
	if m.Target == 0 || m.Group == 0 {
		return
	}
	m.Pace = ClampPace(m.Pace)
	e := t.members[m.Target]
	if e == nil {
		e = &entry{}
		t.members[m.Target] = e
		t.own = nil
	}
	if e.own != own {
		e.own, t.own = own, nil
	}
	e.heardAt = now
	t.set(now, e, m)
}

func (t *Table) set(now time.Time, e *entry, m Member) {
	if e.Member == m {
		return
	}
	e.Member, e.changedAt = m, now
	t.version++
}

// Expire drops the paces of the own data centre's slots that are silent, and the members that are neither heard nor listed.
func (t *Table) Expire(now time.Time, listed func(target uint32) bool) {
	for hash, e := range t.members {
		age := now.Sub(e.heardAt)
		if e.own && age > paceLifetime && e.Pace != 0 {
			t.set(now, e, Member{Target: e.Target, Group: e.Group})
		}
		if age > memberLifetime && !listed(hash) {
			delete(t.members, hash)
			t.own = nil
			t.version++
		}
	}
}

// Next returns what to tell the relays of the other data centres now: the members of the own one that have changed of late, and
// a part of the others, so that all of them are sent in each wholeInterval. It reports whether these are all members.
func (t *Table) Next(now time.Time) (list []Member, whole bool) {
	if t.own == nil {
		t.own = t.sortedOwn()
	}
	for _, hash := range t.own {
		if e := t.members[hash]; now.Sub(e.changedAt) < repeatTime {
			list = append(list, e.Member)
		}
	}
	slices.SortStableFunc(list, func(a, b Member) int { return t.members[b.Target].changedAt.Compare(t.members[a.Target].changedAt) })
	list = list[:min(len(list), maxMembers)]
	for range t.due(now, maxMembers-len(list)) {
		t.next %= len(t.own)
		e := t.members[t.own[t.next]]
		t.next++
		if now.Sub(e.changedAt) >= repeatTime {
			list = append(list, e.Member)
		}
	}
	return list, len(list) == len(t.own)
}

// due returns the number of members to send again now, at most as many as there is room for.
func (t *Table) due(now time.Time, room int) int {
	if len(t.own) == 0 {
		return 0
	}
	if now.Sub(t.sentAt) > wholeInterval {
		t.sentAt = now.Add(-wholeInterval)
	}
	each := wholeInterval / time.Duration(len(t.own))
	due := min(int(now.Sub(t.sentAt)/each), room, len(t.own))
	t.sentAt = t.sentAt.Add(time.Duration(due) * each)
	return due
}

func (t *Table) sortedOwn() []uint32 {
	own := []uint32{}
	for hash, e := range t.members {
		if e.own {
			own = append(own, hash)
		}
	}
	slices.SortFunc(own, func(a, b uint32) int { return cmp.Compare(a, b) })
	return own
}
