package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// digestItems bounds the reports in one digest.
	digestItems = 10
	// hotSends is the number of digests that carry a target's change of state.
	hotSends = 12
	// hintLife is the time after which a hint that nobody repeats is dropped.
	hintLife = 10 * time.Second
	// relayLife is the age of a report that is no longer passed on.
	relayLife = 5 * time.Minute
	// lossLife is the time for which a loss is told again to entries that missed it as news: long against the
	// pauses of a process, short enough that the targets of a lost data centre do not crowd out others for long.
	lossLife = time.Minute
	// disputeInterval is the time between two denials of one target's loss; the ages of reports are exact to less.
	disputeInterval = time.Second
)

// Digest is what an entry tells another one about targets.
type Digest struct {
	// Entry is the sender.
	Entry string
	// Reports are the sender's knowledge of some targets, each with its age.
	Reports []Heartbeat
	// Hints are targets that the platform lists as leaving.
	Hints []Hint
}

// Hint is a target that the platform's list of instances shows as leaving.
type Hint struct {
	// Target is the name of the target.
	Target string
	// Age is the time since the list was read.
	Age time.Duration
}

// Gossip chooses what an entry tells others. It is not safe for concurrent use.
type Gossip struct {
	view *View
	// hot holds the number of digests that a changed target is still to go into.
	hot map[string]int
	// sent holds the time at which a target last went into a digest.
	sent map[string]time.Time
	// hints holds the time at which the list last showed a target as leaving.
	hints map[string]time.Time
	// denied holds the time of the latest loss that this entry denied, by target.
	denied map[string]time.Time
}

// NewGossip returns a Gossip about the targets of a view.
func NewGossip(v *View) *Gossip {
	return &Gossip{
		view: v, hot: map[string]int{}, sent: map[string]time.Time{}, hints: map[string]time.Time{}, denied: map[string]time.Time{},
	}
}

// Changed makes a target's state travel before all else.
func (g *Gossip) Changed(target string) {
	g.hot[target] = hotSends
}

// Refute tells others that a target lives which one of them does not hear. A loss is denied once, however often it is told.
func (g *Gossip) Refute(now time.Time, h Heartbeat) {
	noticed := h.noticed(now)
	if !g.view.Disputes(now, h) || noticed.Sub(g.denied[h.Target]) < disputeInterval {
		return
	}
	g.denied[h.Target] = noticed
	g.Changed(h.Target)
}

// Urgent reports whether a change waits to be told.
func (g *Gossip) Urgent() bool {
	return len(g.hot) > 0
}

// Make returns the next digest: changes first, then what was not told for longest.
// Without reports it holds hints only.
func (g *Gossip) Make(now time.Time, entry string, reports bool) Digest {
	d := Digest{Entry: entry}
	if reports {
		d.Reports = g.reports(now)
	}
	for _, target := range slices.Sorted(maps.Keys(g.hints)) {
		if age := now.Sub(g.hints[target]); age < hintLife {
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
			delete(g.hot, name)
			continue
		}
		h := m.Heartbeat
		h.Age = now.Sub(m.ReportedAt)
		h.Silent = 0
		if !m.noticed.IsZero() {
			h.Silent = max(now.Sub(m.noticed), time.Microsecond)
		}
		// Prefixes travel first-hand only; they would outweigh all else.
		h.Prefixes = nil
		reports = append(reports, h)
		g.told(now, name)
	}
	return reports
}

// told notes that a target went into a digest.
func (g *Gossip) told(now time.Time, target string) {
	g.sent[target] = now
	if g.hot[target] > 1 {
		g.hot[target]--
		return
	}
	delete(g.hot, target)
}

// topic is a target that may go into a digest.
type topic struct {
	name string
	hot  int
	sent time.Time
}

// compare orders changes first, then what was not told for longest.
func (t topic) compare(other topic) int {
	return cmp.Or(cmp.Compare(other.hot, t.hot), t.sent.Compare(other.sent), cmp.Compare(t.name, other.name))
}

// choose returns the names of the next digest. It keeps the first few of all instead of sorting them.
func (g *Gossip) choose(now time.Time) []string {
	var first []topic
	for name, m := range g.view.members {
		t := topic{name: name, hot: g.hot[name], sent: g.sent[name]}
		if t.hot == 0 && !m.due(now, t.sent) {
			continue
		}
		if len(first) == digestItems && t.compare(first[digestItems-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, t, topic.compare)
		first = slices.Insert(first, i, t)[:min(len(first)+1, digestItems)]
	}
	names := make([]string, len(first))
	for i, t := range first {
		names[i] = t.name
	}
	return names
}

// due reports whether a member that is no news goes into a digest again.
func (m *Member) due(now, sent time.Time) bool {
	if m.State == StateLost && now.Sub(m.noticed) < lossLife {
		return true
	}
	return now.Sub(m.ReportedAt) < relayLife && m.ReportedAt.After(sent)
}

// Hint takes in what the list of instances said at a time that is age ago.
func (g *Gossip) Hint(now time.Time, h Hint) {
	if at := now.Add(-h.Age); at.After(g.hints[h.Target]) {
		g.hints[h.Target] = at
	}
}

// Hinted reports whether the platform is known to list a target as leaving.
func (g *Gossip) Hinted(now time.Time, target string) bool {
	at, ok := g.hints[target]
	return ok && now.Sub(at) < hintLife
}

// Expire drops old hints and what is told about targets that are no longer known.
func (g *Gossip) Expire(now time.Time) {
	for target, at := range g.hints {
		if now.Sub(at) >= hintLife {
			delete(g.hints, target)
		}
	}
	for target := range g.sent {
		if g.view.members[target] == nil {
			delete(g.sent, target)
			delete(g.hot, target)
			delete(g.denied, target)
		}
	}
}
