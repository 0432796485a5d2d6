package hold

import (
	_ "embed"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

//go:embed lead.chart
var leadData []byte

var leadChart = chart.MustParse(leadData)

// The states of the lead.
const (
	stateResting   chart.State = "resting"
	statePreparing chart.State = "preparing"
	stateHolding   chart.State = "holding"
	stateArming    chart.State = "arming"
	stateSettling  chart.State = "settling"
	stateGuarding  chart.State = "guarding"
	stateAborting  chart.State = "aborting"
	stateReleasing chart.State = "releasing"
)

const (
	// stateAge is the age at which a rank's report no longer counts.
	stateAge = 900 * time.Millisecond
	// prepareTime bounds the copying of experts: some tenths of a second for each.
	prepareTime = 4 * time.Second
	// armTime is how long ranks may take to arm before the attempt is aborted; the group may stand meanwhile.
	armTime = 1500 * time.Millisecond
	// margin is the number of steps between the newest one and the switch:
	// the time in which ranks arm without making the group wait.
	margin = 2
)

// Core is the part of one rank's slot in the switches of its group. It is not safe for concurrent use.
type Core struct {
	// rules are the safety rules; tests weaken one at a time.
	rules rules
	// incarnation is that of the slot process.
	incarnation uint64
	// engine is the newest report; it means nothing until known is set.
	engine Engine
	known  bool
	// past is the start of the process while an earlier one's orders may still be carried out, or zero.
	past time.Time
	// started is the start of the process.
	started time.Time
	// looseArm, looseDisarm and looseGo are the newest orders of their kind without an answer, or nil.
	looseArm, looseDisarm, looseGo *loose
	// guarding is the step that this process ordered its engine to hold for a lead, or zero after it let it go.
	guarding uint64
	// keep is a map that changes nothing at this rank, and kept the newest version under which it was prepared.
	keep [][][]int
	kept uint64
	// inflight is the order that was given and has not ended.
	inflight *Order
	// following is the newest attempt.
	following Attempt
	// asked and refused tell that the engine accepted, or refused, what the attempt wants.
	asked, refused bool
	// highest is the largest number of an attempt that was heard of.
	highest uint64
	// ranks holds the newest states of all ranks, with the own one.
	ranks map[int]heard
	lead  lead
	// notes are changes for the log since the last call of TakeChanges.
	notes []Change
}

// rules are the safety rules of the switch.
type rules struct {
	// late reports whether an order that was given so long ago can no longer be carried out.
	late func(age time.Duration) bool
	// unanimous reports whether enough ranks are armed to release them.
	unanimous func(armed, ranks int) bool
	// silence reports whether a rank that does not answer proves that no release is on its way.
	silence func() bool
	// firm reports whether late disarm orders may be forgotten.
	firm func() bool
	// guarded reports whether an attempt may be aborted while a release of an earlier lead may come late.
	guarded func(held bool) bool
}

var safeRules = rules{
	late:      func(age time.Duration) bool { return age > lateTime },
	unanimous: func(armed, ranks int) bool { return armed == ranks },
	silence:   func() bool { return false },
	firm:      func() bool { return false },
	guarded:   func(held bool) bool { return held },
}

// heard is a state and the time at which it came.
type heard struct {
	State
	at time.Time
}

// Change is a change of the switch that operators see.
type Change struct {
	// Event names the change.
	Event string
	Attempt
	// Reason is a short text for people.
	Reason string
}

// New returns a Core that has not read its engine yet. Its predecessor's orders may still be carried out.
func New(now time.Time, incarnation uint64) *Core {
	return &Core{rules: safeRules, incarnation: incarnation, ranks: map[int]heard{}, past: now, started: now, lead: lead{state: leadChart.Start}}
}

// UpdateEngine takes a report that was read while no order was in progress, or after it ended.
func (c *Core) UpdateEngine(now time.Time, e Engine) {
	restarted := c.known && (e.StartUnixMilli != c.engine.StartUnixMilli || e.Group != c.engine.Group || e.Epoch != c.engine.Epoch)
	if restarted {
		c.asked, c.refused = false, false
		// Orders name the epoch, so none for an earlier one is carried out any more.
		c.past, c.looseArm, c.looseDisarm, c.looseGo, c.guarding = time.Time{}, nil, nil, nil, 0
		clear(c.ranks)
		c.endLead("the group formed anew")
	}
	c.engine, c.known = e, true
	c.ranks[e.Rank] = heard{State: c.State(now), at: now}
	c.step(now)
}

// ReceiveState takes the state of another rank and the attempt that its slot leads, if any.
func (c *Core) ReceiveState(now time.Time, s State, a *Attempt) {
	if !c.known || s.Group != c.engine.Group {
		return
	}
	c.highest = max(c.highest, s.Ballot.Number)
	if s.Epoch == c.engine.Epoch && s.Rank != c.engine.Rank {
		c.ranks[s.Rank] = heard{State: s, at: now}
	}
	if a != nil {
		c.highest = max(c.highest, a.Number)
		c.follow(a)
	}
	c.step(now)
}

// NextOrder returns an order to give now, or nil. Its end must be told to OrderDone before a report that was read after it.
func (c *Core) NextOrder(now time.Time) *Order {
	c.step(now)
	o := c.wanted(now)
	c.inflight = o
	if o != nil && o.Kind == OrderRelease {
		c.guarding = 0
	}
	return o
}

// OrderDone takes the end of the order in progress; with unknown set, it may still be carried out.
func (c *Core) OrderDone(now time.Time, refused, unknown bool) {
	o := c.inflight
	c.inflight = nil
	switch {
	case o == nil:
		return
	case unknown:
		c.loosen(now, o)
	case refused && (o.Kind == OrderPrepare || o.Kind == OrderArm):
		c.refused = true
	case refused && o.Kind == OrderHold && c.lead.state == stateHolding:
		c.lead.step = 0
	case refused && o.Kind == OrderHold:
		c.refused = true
	case o.Kind == OrderHold && !c.IsLeader():
		c.guarding = o.Step
	case o.Kind == OrderPrepare && o.Version == c.following.Version:
		c.asked = true
	case o.Kind == OrderPrepare:
		c.kept = o.Version
	}
	c.note("order "+string(o.Kind), outcomeText(refused, unknown))
}

func outcomeText(refused, unknown bool) string {
	switch {
	case unknown:
		return "unknown"
	case refused:
		return "refused"
	}
	return "accepted"
}

// State returns what the other slots need to know.
func (c *Core) State(now time.Time) State {
	e := &c.engine
	return State{
		Incarnation: c.incarnation, Group: e.Group, Epoch: e.Epoch, Rank: e.Rank, Size: e.Size, Open: e.Open, Step: e.Step, MapVersion: e.MapVersion, Prepared: e.Prepared,
		Armed: e.Armed, ArmedStep: e.ArmedStep, HeldStep: e.HeldStep, NoPendingOrders: c.clean(now), NoPendingDisarm: !c.disarming(now) && !c.pastRisk(now), Ballot: c.following.Ballot, Phase: c.following.Phase,
		Refused: c.refused, NoPendingRelease: c.steady(now), Guarding: c.guarding != 0 && c.guarding == e.HeldStep && c.steady(now),
	}
}

// EngineKnown reports whether the engine was read.
func (c *Core) EngineKnown() bool {
	return c.known
}

// Busy reports whether an attempt is in progress that concerns this rank, or a switch is about to take effect.
func (c *Core) Busy() bool {
	active := c.applies() && c.following.Phase != PhaseRest
	return c.lead.state != stateResting || c.inflight != nil || active || c.engine.Armed != 0
}

// HasNextOrder reports whether an order could be given now.
func (c *Core) HasNextOrder(now time.Time) bool {
	return c.wanted(now) != nil
}

// TakeChanges returns the changes since the last call.
func (c *Core) TakeChanges() []Change {
	notes := c.notes
	c.notes = nil
	return notes
}

func (c *Core) note(event, reason string) {
	c.notes = append(c.notes, Change{Event: event, Attempt: c.following, Reason: reason})
}
