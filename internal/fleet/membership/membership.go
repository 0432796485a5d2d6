// Package membership keeps what an entry knows of the targets: their slots' first-hand heartbeats.
package membership

import (
	_ "embed"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

//go:embed target.chart
var targetChart []byte

// Chart is the life of a target.
var Chart = chart.MustParse(targetChart)

// The states of a target.
const (
	StateStarting chart.State = "starting"
	StateServing  chart.State = "serving"
	StateLeaving  chart.State = "leaving"
	StateLost     chart.State = "lost"
	StateGone     chart.State = "gone"
)

// Heartbeat is a slot's first-hand report of its target.
type Heartbeat struct {
	// Target is the name of the target.
	Target string
	// Incarnation is chosen at random when the slot process starts.
	Incarnation uint64
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
	// State is the target's state.
	State chart.State
	// Running is the number of requests at the engine.
	Running int
	// Queued is the number of admitted requests that wait for the engine.
	Queued int
	// Width is the number of requests that the engine may run at once now.
	Width int
	// Revision is the configuration revision in force at the slot.
	Revision int64
	// Prefixes are digests of prompt prefixes in the engine's cache.
	Prefixes []uint64
	// Suspects are fingerprints of requests that may crash an engine.
	Suspects []uint64
	// Cleared are fingerprints of suspects that completed after all.
	Cleared []uint64
	// Convicted are fingerprints of requests that crashed an engine alone.
	Convicted []uint64
	// Successor is the target that takes over records when this one leaves.
	Successor string
	// Age is the time since the report was made, as known to the receiver.
	Age time.Duration
	// Silent is the time since a watcher noticed that no heartbeat comes any more; it is zero unless State is lost.
	Silent time.Duration
}

// Member is an entry's knowledge of one target.
type Member struct {
	// Heartbeat is the newest one that was accepted.
	Heartbeat
	// ReportedAt is the latest time at which the heartbeat can have been made.
	ReportedAt time.Time
	// noticed is the latest time at which a watcher noticed the silence; it is zero unless the state is lost.
	noticed time.Time
}

// View is an entry's knowledge of all targets that it watches.
type View struct {
	// members holds at most one member for each target name.
	members map[string]*Member
	// silence is the age from which a heartbeat proves nothing.
	silence time.Duration
	// relayed is the age from which a report that came by digest proves nothing.
	relayed time.Duration
	// woken is the end of the receiver's latest pause; silence before it proves nothing.
	woken time.Time
	// direct reports whether a target's heartbeats come first-hand.
	direct func(target string) bool
}

// Options are the inputs of NewView.
type Options struct {
	// Silence is the age of the newest heartbeat at which a target counts as lost.
	Silence time.Duration
	// Relayed is the same for reports that come by digest; zero means Silence.
	Relayed time.Duration
}

// NewView returns an empty View.
func NewView(o Options) *View {
	return &View{
		members: map[string]*Member{}, silence: o.Silence, relayed: max(o.Relayed, o.Silence),
		direct: func(string) bool { return true },
	}
}

// Watch tells for which targets heartbeats come first-hand and at what age they prove nothing.
func (v *View) Watch(direct func(target string) bool, silence time.Duration) {
	v.direct = direct
	v.silence = silence
}

// Resume notes that the receiver itself has been paused until now, so that it could not hear anything.
func (v *View) Resume(now time.Time) {
	v.woken = now
}

// heard returns the time from which a member's silence counts.
func (v *View) heard(m *Member) time.Time {
	if v.woken.After(m.ReportedAt) {
		return v.woken
	}
	return m.ReportedAt
}

// Direct reports whether a target's heartbeats come first-hand.
func (v *View) Direct(target string) bool {
	return v.direct(target)
}

// limit returns the age from which a target's newest report proves nothing.
func (v *View) limit(target string) time.Duration {
	if v.direct(target) {
		return v.silence
	}
	return v.relayed
}

// Accept takes in a heartbeat and reports whether it is news.
// A repeated or reordered heartbeat of the same incarnation is no news.
func (v *View) Accept(now time.Time, h Heartbeat) bool {
	news := Member{Heartbeat: h, ReportedAt: now.Add(-h.Age), noticed: h.noticed(now)}
	m := v.members[h.Target]
	if m == nil {
		v.members[h.Target] = &news
		return true
	}
	if m.Incarnation == h.Incarnation && h.Sequence <= m.Sequence {
		return v.lose(m, &news)
	}
	if m.Incarnation != h.Incarnation && news.ReportedAt.Before(m.ReportedAt) {
		return false
	}
	*m = news
	return true
}

// noticed returns the time at which a watcher noticed the silence, or zero.
func (h *Heartbeat) noticed(now time.Time) time.Time {
	if h.State != StateLost || h.Silent <= 0 {
		return time.Time{}
	}
	return now.Add(-h.Silent)
}

// lose takes in that a watcher does not hear a target; its own next heartbeat outdates that. Each watcher gets
// heartbeats of its own, so the newest one here may be unknown to the watcher: what it noticed after that counts too.
func (v *View) lose(m, news *Member) bool {
	if news.State != StateLost || v.direct(news.Target) {
		return false
	}
	if news.Sequence < m.Sequence && !news.noticed.After(m.ReportedAt) {
		return false
	}
	if news.noticed.After(m.noticed) {
		m.noticed = news.noticed
	}
	before := m.State
	m.State = StateLost
	return before != StateLost
}

// MarkLost notes that a watched target has gone silent; only a newer heartbeat outdates that.
func (v *View) MarkLost(now time.Time, target string) {
	if m := v.members[target]; m != nil {
		m.State = StateLost
		m.noticed = now
	}
}

// Disputes reports whether this entry has heard a watched target since another one noticed its silence.
func (v *View) Disputes(now time.Time, h Heartbeat) bool {
	m, ok := v.Member(now, h.Target)
	return ok && h.State == StateLost && v.direct(h.Target) && m.State != StateLost && m.ReportedAt.After(h.noticed(now))
}

// Member returns the knowledge of a target, with its state as of now.
func (v *View) Member(now time.Time, target string) (Member, bool) {
	m, ok := v.members[target]
	if !ok {
		return Member{}, false
	}
	member := *m
	if member.State != StateGone && now.Sub(v.heard(&member)) > v.limit(target) {
		member.State = StateLost
	}
	return member, true
}

// Forget drops all targets that keep reports false for.
func (v *View) Forget(keep func(target string) bool) {
	for name := range v.members {
		if !keep(name) {
			delete(v.members, name)
		}
	}
}
