// Package membership keeps what an entry knows about the targets, from their slots' heartbeats and from other entries.
package membership

import (
	_ "embed"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

//go:embed target.chart
var targetChart []byte

// Chart is the state chart of a target.
var Chart = chart.MustParse(targetChart)

// The states of a target.
const (
	StateStarting chart.State = "starting"
	StateServing  chart.State = "serving"
	StateLeaving  chart.State = "leaving"
	StateLost     chart.State = "lost"
	StateGone     chart.State = "gone"
)

// Heartbeat is a slot's report on its target.
type Heartbeat struct {
	// Target is the name of the target.
	Target string
	// Incarnation is chosen at random when the slot process starts.
	Incarnation uint64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	State    chart.State
	// Running is the number of requests at the engine.
	Running int
	// Queued is the number of admitted requests that wait for the engine.
	Queued int
	// Width is the number of requests that the engine may currently run at once.
	Width int
	// Revision is the configuration revision in force at the slot.
	Revision int64
	// Prefixes are digests of prompt prefixes in the engine's cache.
	Prefixes []uint64
	// Suspects are fingerprints of requests that may have crashed an engine.
	Suspects []uint64
	// Cleared are fingerprints of suspects that later completed.
	Cleared []uint64
	// Convicted are fingerprints of requests that crashed an engine while no other request ran.
	Convicted []uint64
	// Runs are crashes of the engine under prompts with a part, and parts that are known to be sound.
	Runs []suspect.PartRun
	// Successor is the target that takes over this target's records when it leaves.
	Successor string
	// Age is the time since the report was made, as far as the receiver knows.
	Age time.Duration
	// LossAge is the time since a watcher found that the target timed out; it is zero unless State is lost.
	LossAge time.Duration
}

// Member is what an entry knows about one target.
type Member struct {
	// Heartbeat is the latest accepted heartbeat.
	Heartbeat
	// ReportedAt is the latest time at which the heartbeat can have been made.
	ReportedAt time.Time
	// lossNoticed is the latest time at which a watcher found that the target timed out; it is zero unless it is lost.
	lossNoticed time.Time
}

// View is what an entry knows about all targets.
type View struct {
	// members holds the members by target name.
	members map[string]*Member
	// heartbeatTimeout is the age of the latest first-hand heartbeat above which a target counts as lost.
	heartbeatTimeout time.Duration
	// relayedTimeout is the same for reports relayed in digests.
	relayedTimeout time.Duration
	// resumedAt is the end of the latest pause of this process; heartbeats missing before it do not count.
	resumedAt time.Time
	// firstHand reports whether this entry receives a target's heartbeats first-hand.
	firstHand func(target string) bool
}

// Options configure NewView.
type Options struct {
	// HeartbeatTimeout is the age of the latest heartbeat above which a target counts as lost.
	HeartbeatTimeout time.Duration
	// RelayedTimeout is the same for reports relayed in digests; a lower value than HeartbeatTimeout is raised to it.
	RelayedTimeout time.Duration
}

// NewView returns an empty View.
func NewView(o Options) *View {
	return &View{
		members: map[string]*Member{}, heartbeatTimeout: o.HeartbeatTimeout, relayedTimeout: max(o.RelayedTimeout, o.HeartbeatTimeout),
		firstHand: func(string) bool { return true },
	}
}

// Watch sets the targets whose heartbeats this entry receives first-hand, and their heartbeat timeout.
func (v *View) Watch(firstHand func(target string) bool, heartbeatTimeout time.Duration) {
	v.firstHand = firstHand
	v.heartbeatTimeout = heartbeatTimeout
}

// Resume records that this process was paused until now and could not receive heartbeats.
func (v *View) Resume(now time.Time) {
	v.resumedAt = now
}

// timeoutStart returns the time from which a member's timeout runs: its latest report, or the end of a later pause of
// this process.
func (v *View) timeoutStart(m *Member) time.Time {
	if v.resumedAt.After(m.ReportedAt) {
		return v.resumedAt
	}
	return m.ReportedAt
}

// FirstHand reports whether this entry receives a target's heartbeats first-hand.
func (v *View) FirstHand(target string) bool {
	return v.firstHand(target)
}

// timeout returns the age of the latest report above which a target counts as lost.
func (v *View) timeout(target string) time.Duration {
	if v.firstHand(target) {
		return v.heartbeatTimeout
	}
	return v.relayedTimeout
}

// Accept stores a heartbeat and reports whether it changed what is known. A duplicated or reordered heartbeat of the
// same incarnation does so only if it reports the loss of the target, and one of another incarnation only if it was not
// made earlier than the known one.
func (v *View) Accept(now time.Time, h Heartbeat) bool {
	update := Member{Heartbeat: h, ReportedAt: now.Add(-h.Age), lossNoticed: h.lossNoticedAt(now)}
	m := v.members[h.Target]
	if m == nil {
		v.members[h.Target] = &update
		return true
	}
	if m.Incarnation == h.Incarnation && h.Sequence <= m.Sequence {
		return v.applyLoss(m, &update)
	}
	if m.Incarnation != h.Incarnation && update.ReportedAt.Before(m.ReportedAt) {
		return false
	}
	*m = update
	return true
}

// lossNoticedAt returns the time at which a watcher found that the target timed out, or zero.
func (h *Heartbeat) lossNoticedAt(now time.Time) time.Time {
	if h.State != StateLost || h.LossAge <= 0 {
		return time.Time{}
	}
	return now.Add(-h.LossAge)
}

// applyLoss applies a watcher's report that a target is lost; the target's next heartbeat supersedes it. Each watcher
// receives separate heartbeats, so the watcher may not know the latest one here: a loss noticed after it counts too.
func (v *View) applyLoss(m, update *Member) bool {
	if update.State != StateLost || v.firstHand(update.Target) {
		return false
	}
	if update.Sequence < m.Sequence && !update.lossNoticed.After(m.ReportedAt) {
		return false
	}
	if update.lossNoticed.After(m.lossNoticed) {
		m.lossNoticed = update.lossNoticed
	}
	before := m.State
	m.State = StateLost
	return before != StateLost
}

// MarkLost marks a watched target as lost; only a newer heartbeat supersedes that.
func (v *View) MarkLost(now time.Time, target string) {
	if m := v.members[target]; m != nil {
		m.State = StateLost
		m.lossNoticed = now
	}
}

// Disputes reports whether this entry received a heartbeat of a watched target after another entry noticed its loss.
func (v *View) Disputes(now time.Time, h Heartbeat) bool {
	m, ok := v.Member(now, h.Target)
	return ok && h.State == StateLost && v.firstHand(h.Target) && m.State != StateLost && m.ReportedAt.After(h.lossNoticedAt(now))
}

// Member returns what is known about a target, with its state as of now.
func (v *View) Member(now time.Time, target string) (Member, bool) {
	m, ok := v.members[target]
	if !ok {
		return Member{}, false
	}
	member := *m
	if member.State != StateGone && now.Sub(v.timeoutStart(&member)) > v.timeout(target) {
		member.State = StateLost
	}
	return member, true
}

// Forget removes all targets for which keep returns false.
func (v *View) Forget(keep func(target string) bool) {
	for name := range v.members {
		if !keep(name) {
			delete(v.members, name)
		}
	}
}
