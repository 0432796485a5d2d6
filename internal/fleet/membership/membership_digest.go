package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReports bounds the reports in one digest.
	maxReports = 10
	// changeSends is the number of digests in which a target's change of state is sent.
	changeSends = 12
	// hintTTL is the time after which a hint that is not repeated is dropped.
	hintTTL = 10 * time.Second
	// relayTTL is the age from which a report is no longer relayed.
	relayTTL = 5 * time.Minute
	// lossResendTime is the time for which a loss is re-sent to entries that missed the change: longer than usual
	// pauses of a process, short enough that the targets of a lost data centre do not displace others for long.
	lossResendTime = time.Minute
	// refuteInterval is the time between two refutations of a target's loss; it exceeds the error of the reports' ages.
	refuteInterval = time.Second
)

// Digest is a message with which an entry reports to another one what it knows about targets.
type Digest struct {
	// Entry is the sender.
	Entry string
	// Reports is what the sender knows about some targets, each with its age.
	Reports []Heartbeat
	// Hints are the targets that the platform lists as leaving.
	Hints []Hint
}

// Hint names a target that the platform's list of instances shows as leaving.
type Hint struct {
	// Target is the name of the target.
	Target string
	// Age is the time since the list was read.
	Age time.Duration
}

// Gossip chooses the content of an entry's digests. It is not safe for concurrent use.
type Gossip struct {
	view *View
	// pending holds the number of digests in which a changed target is still to be sent.
	pending map[string]int
	// lastSent holds the time at which a target was last sent in a digest.
	lastSent map[string]time.Time
	// hints holds the time at which the list last showed a target as leaving.
	hints map[string]time.Time
	// refuted holds the time of the latest loss that this entry refuted, by target.
	refuted map[string]time.Time
}

// NewGossip returns a Gossip about the targets of a view.
func NewGossip(v *View) *Gossip {
	return &Gossip{
		view: v, pending: map[string]int{}, lastSent: map[string]time.Time{}, hints: map[string]time.Time{}, refuted: map[string]time.Time{},
	}
}

// Prioritize makes the next changeSends digests contain a target before unchanged ones.
func (g *Gossip) Prioritize(target string) {
	g.pending[target] = changeSends
}

// Refute prioritizes a target whose loss this entry disputes. A loss is refuted only once, even if it is reported again.
func (g *Gossip) Refute(now time.Time, h Heartbeat) {
	noticed := h.lossNoticedAt(now)
	if !g.view.Disputes(now, h) || noticed.Sub(g.refuted[h.Target]) < refuteInterval {
		return
	}
	g.refuted[h.Target] = noticed
	g.Prioritize(h.Target)
}

// Urgent reports whether a change is waiting to be sent.
func (g *Gossip) Urgent() bool {
	return len(g.pending) > 0
}

// Make returns the next digest: changes first, then the targets that were sent least recently.
// If reports is false, it contains only hints.
func (g *Gossip) Make(now time.Time, entry string, reports bool) Digest {
	d := Digest{Entry: entry}
	if reports {
		d.Reports = g.reports(now)
	}
	for _, target := range slices.Sorted(maps.Keys(g.hints)) {
		if age := now.Sub(g.hints[target]); age < hintTTL {
			d.Hints = append(d.Hints, Hint{Target: target, Age: age})
		}
	}
	return d
}

// reports returns the reports of the next digest.
func (g *Gossip) reports(now time.Time) (reports []Heartbeat) {
	for _, name := range g.choose(now) {
		m, ok := g.view.Member(now, name)
		if !ok {
			delete(g.pending, name)
			continue
		}
		h := m.Heartbeat
		h.Age = now.Sub(m.ReportedAt)
		h.LossAge = 0
		if !m.lossNoticed.IsZero() {
			h.LossAge = max(now.Sub(m.lossNoticed), time.Microsecond)
		}
		// Prefixes are sent first-hand only; they would take most of the digest.
		h.Prefixes = nil
		reports = append(reports, h)
		g.markSent(now, name)
	}
	return reports
}

// markSent records that a target was sent in a digest.
func (g *Gossip) markSent(now time.Time, target string) {
	g.lastSent[target] = now
	if g.pending[target] > 1 {
		g.pending[target]--
		return
	}
	delete(g.pending, target)
}

// candidate is a target that may be sent in a digest.
type candidate struct {
	name     string
	pending  int
	lastSent time.Time
}

// compare orders changes first, then the targets that were sent least recently.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.pending, c.pending), c.lastSent.Compare(other.lastSent), cmp.Compare(c.name, other.name))
}

// choose returns the names for the next digest. It keeps the first maxReports candidates instead of sorting all of them.
func (g *Gossip) choose(now time.Time) []string {
	var chosen []candidate
	for name, m := range g.view.members {
		t := candidate{name: name, pending: g.pending[name], lastSent: g.lastSent[name]}
		if t.pending == 0 && !m.due(now, t.lastSent) {
			continue
		}
		if len(chosen) == maxReports && t.compare(chosen[maxReports-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(chosen, t, candidate.compare)
		chosen = slices.Insert(chosen, i, t)[:min(len(chosen)+1, maxReports)]
	}
	names := make([]string, len(chosen))
	for i, t := range chosen {
		names[i] = t.name
	}
	return names
}

// due reports whether an unchanged member is to be sent again: while its loss is recent, or if its report is newer than
// the one last sent.
func (m *Member) due(now, sent time.Time) bool {
	if m.State == StateLost && now.Sub(m.lossNoticed) < lossResendTime {
		return true
	}
	return now.Sub(m.ReportedAt) < relayTTL && m.ReportedAt.After(sent)
}

// Hint records a hint, whose age says when the list of instances was read.
func (g *Gossip) Hint(now time.Time, h Hint) {
	if at := now.Add(-h.Age); at.After(g.hints[h.Target]) {
		g.hints[h.Target] = at
	}
}

// Hinted reports whether the platform's list of instances recently showed a target as leaving.
func (g *Gossip) Hinted(now time.Time, target string) bool {
	at, ok := g.hints[target]
	return ok && now.Sub(at) < hintTTL
}

// Expire removes expired hints and what was recorded of targets that are no longer known.
func (g *Gossip) Expire(now time.Time) {
	for target, at := range g.hints {
		if now.Sub(at) >= hintTTL {
			delete(g.hints, target)
		}
	}
	for target := range g.lastSent {
		if g.view.members[target] == nil {
			delete(g.lastSent, target)
			delete(g.pending, target)
			delete(g.refuted, target)
		}
	}
}
