package hold

import (
	_ "embed"
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

//go:embed lead.chart
var leadData []byte

var leadChart = chart.MustParse(leadData)

// The states of the leader's chart.
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
	// maxStateAge is the age above which the state of a rank is ignored.
	maxStateAge = 900 * time.Millisecond
	// minHeardAge is the age of a rank's latest datagram above which the leader does not begin to hold, and heardAgePerRank that age for each
	// rank of a larger group. Slots repeat their states to the leader every 20 ms, and every 109 ms in a group of 129 ranks.
	minHeardAge, heardAgePerRank = 100 * time.Millisecond, 2 * time.Millisecond
	// prepareTimeout bounds the loading of experts, which takes some tenths of a second each.
	prepareTimeout = 4 * time.Second
	// armTimeout is the time in which all ranks must arm, or the attempt is aborted; the group may be stalled meanwhile.
	armTimeout = 1500 * time.Millisecond
	// minStepMargin is the least number of steps from the latest one to the switch, in which ranks can arm without stalling
	// the group. A larger group takes longer: one more step for each ranksPerStep ranks.
	minStepMargin = 2
	ranksPerStep  = 48
	// maxExtraSteps bounds how many steps beyond that margin a step may be named, so that a restarted leader knows a bound of the
	// steps that its predecessor has named.
	maxExtraSteps = 4
)

// Core is the state machine of one rank's slot in the map switches of its group. It is not safe for concurrent use.
type Core struct {
	// rules are the safety rules; tests weaken one at a time.
	rules rules
	// unixMilli returns the wall clock's time; tests set one that does not stand still with the steady clock.
	unixMilli func(now time.Time) int64
	// incarnation is the incarnation of the slot process.
	incarnation uint64
	// engine is the latest report; it is not valid until engineKnown is set.
	engine      Engine
	engineKnown bool
	// engineReadAt is when the engine was asked for that report, which may be long before it is handled if this process was paused.
	engineReadAt time.Time
	// engineAddress is the address at which other slots reach the engine.
	engineAddress netip.AddrPort
	// reportOutdated means that an order has ended since the engine was read, so that the report may not show its effect.
	reportOutdated bool
	// calledAt is the time of the latest call, and awakeSince the end of the latest pause of this process that its clock shows.
	calledAt, awakeSince time.Time
	// switchSince is when this slot first followed an attempt of the switch in progress.
	switchSince time.Time
	// otherSince is when this slot first saw the unended attempt of another leader, or zero.
	otherSince time.Time
	// notActingBefore is the time before which this slot doesn't act as leader again.
	notActingBefore time.Time
	// nextStep is above every step that this slot and its predecessors have named as leader in this epoch.
	nextStep uint64
	// predecessorEnd is the time by which the earlier process of this slot had ended, or zero once none of its orders
	// can be pending.
	predecessorEnd time.Time
	// started is the start of the process.
	started time.Time
	// unresolvedArm, unresolvedDisarm and unresolvedRelease are the latest unresolved orders of their kind, or nil.
	unresolvedArm, unresolvedDisarm, unresolvedRelease *unresolvedOrder
	// guardedStep is the step at which this process ordered its engine to hold as a guard, or zero after its release.
	guardedStep uint64
	// orderedHold is the latest step that this process ordered its engine to hold as a guard.
	orderedHold uint64
	// noOpMap is a map that changes nothing at this rank, and noOpVersion the latest version under which it was prepared.
	noOpMap     [][][]int
	noOpVersion uint64
	// inFlight is the order in progress, or nil.
	inFlight *Order
	// following is the attempt with the highest ballot.
	following Attempt
	// prepareAccepted means that the engine accepted the attempt's prepare order, refused that it refused an order.
	prepareAccepted, refused bool
	// highestNumber is the highest known number of an attempt, and highestVersion that of a map in one.
	highestNumber, highestVersion uint64
	// rankStates holds the latest state of each rank, including the own one.
	rankStates map[int]receivedState
	leader     leader
	// changes holds the changes since the last call of TakeChanges.
	changes []Change
}

// rules are the safety rules of the switch.
type rules struct {
	// expired reports whether an order of the given age can no longer be carried out.
	expired func(age time.Duration) bool
	// unanimous reports whether enough ranks are armed to release the group.
	unanimous func(armed, ranks int) bool
	// missingAnswerAborts reports whether a missing answer of a rank proves that no release is pending.
	missingAnswerAborts func() bool
	// ignorePendingDisarm reports whether pending disarm orders are ignored.
	ignorePendingDisarm func() bool
	// mayAbort reports whether an attempt may be aborted while a release of an earlier leader may be pending, given
	// whether the guard holds the step.
	mayAbort func(guardHolds bool) bool
	// The others are weakened if they are set.
	// withoutGuard makes a deputy abort without a guard.
	withoutGuard bool
	// withoutEpoch omits the epoch in orders to engines of other ranks.
	withoutEpoch bool
	// withoutStep omits the step in releases of other ranks' engines, which then release any.
	withoutStep bool
	// withoutNoOpMap counts a silent rank that is not armed as one that can't be armed.
	withoutNoOpMap bool
	// reuseSteps allows a leader to name a step again.
	reuseSteps bool
	// releaseOnAnyEnd makes a restarted guard release its engine at the end of any attempt for the step.
	releaseOnAnyEnd bool
	// trustReports counts a report of a silent rank's engine as its present state, and keepReports also one from before the abort.
	trustReports, keepReports bool
	// ignoreOutdated counts a report from before the latest order as current.
	ignoreOutdated bool
}

var safeRules = rules{
	expired:             func(age time.Duration) bool { return age > orderExpiry },
	unanimous:           func(armed, ranks int) bool { return armed == ranks },
	missingAnswerAborts: func() bool { return false },
	ignorePendingDisarm: func() bool { return false },
	mayAbort:            func(guardHolds bool) bool { return guardHolds },
}

// receivedState is a state and the time of its receipt.
type receivedState struct {
	State
	receivedAt time.Time
}

// Change is a change of the switch that is reported to operators.
type Change struct {
	// Event names the change.
	Event string
	Attempt
	// Reason is a short text for operators.
	Reason string
}

// New returns a Core that has not read its engine yet. Orders of its predecessor may be pending.
func New(now time.Time, incarnation uint64) *Core {
	return &Core{
		rules: safeRules, incarnation: incarnation, rankStates: map[int]receivedState{}, predecessorEnd: now, started: now,
		leader: leader{state: leadChart.Start}, unixMilli: time.Time.UnixMilli,
	}
}

// UpdateEngine updates the engine's state from a report that it was asked for at readAt, while no order was in progress.
func (c *Core) UpdateEngine(now, readAt time.Time, e Engine) {
	restarted := c.engineKnown && (e.StartUnixMilli != c.engine.StartUnixMilli || e.Group != c.engine.Group || e.Epoch != c.engine.Epoch)
	c.noteCall(now)
	c.reportOutdated = false
	if restarted || !c.engineKnown {
		c.nextStep = e.Step + maxAhead(e.Size) + 1
	}
	if restarted {
		c.prepareAccepted, c.refused = false, false
		// Orders name their epoch, so orders for an earlier one are no longer carried out.
		c.predecessorEnd, c.unresolvedArm, c.unresolvedDisarm, c.unresolvedRelease, c.guardedStep = time.Time{}, nil, nil, nil, 0
		c.orderedHold = 0
		clear(c.rankStates)
		c.endAttempt("the group has a new incarnation")
	}
	c.engine, c.engineKnown, c.engineReadAt = e, true, readAt
	c.rankStates[e.Rank] = receivedState{State: c.State(), receivedAt: now}
	c.updateLeader(now)
}

// ReceiveState handles the state received from another rank and the attempt that its slot leads, if any.
func (c *Core) ReceiveState(now time.Time, s State, a *Attempt) {
	if !c.engineKnown || s.Group != c.engine.Group {
		return
	}
	c.noteCall(now)
	c.highestNumber = max(c.highestNumber, s.Ballot.Number)
	if s.Epoch == c.engine.Epoch && s.Rank != c.engine.Rank {
		c.rankStates[s.Rank] = receivedState{State: s, receivedAt: now}
	}
	if a != nil {
		c.highestNumber = max(c.highestNumber, a.Number)
		c.follow(a)
	}
	c.updateLeader(now)
}

// NextOrder returns the order to send now, or nil. The caller must pass the order's end to OrderDone before it
// passes a report that was read later to UpdateEngine.
func (c *Core) NextOrder(now time.Time) *Order {
	c.noteCall(now)
	c.updateLeader(now)
	o := c.desiredOrder(now)
	c.inFlight = o
	switch {
	case o == nil:
	case o.Kind == OrderRelease:
		c.guardedStep = 0
	case o.Kind == OrderHold && !c.IsLeader():
		c.orderedHold = o.Step
	}
	return o
}

// OrderDone handles the end of the order in progress. With unknown set, the order may still be carried out.
func (c *Core) OrderDone(now time.Time, refused, unknown bool) {
	o := c.inFlight
	c.inFlight = nil
	c.reportOutdated = true
	switch {
	case o == nil:
		return
	case unknown:
		c.addUnresolved(now, o)
	case refused && (o.Kind == OrderPrepare || o.Kind == OrderArm):
		c.refused = true
	case refused && o.Kind == OrderHold && c.leader.state == stateHolding:
		c.leader.holdStep = 0
	case refused && o.Kind == OrderHold:
		c.refused = true
	case o.Kind == OrderHold && !c.IsLeader():
		c.guardedStep = o.Step
	case o.Kind == OrderPrepare && o.Version == c.following.Version:
		c.prepareAccepted = true
	case o.Kind == OrderPrepare:
		c.noOpVersion = o.Version
	}
	c.addChange("order "+string(o.Kind), outcomeText(refused, unknown))
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

// State returns the state that is sent to the other slots.
func (c *Core) State() State {
	e := &c.engine
	return State{
		Incarnation: c.incarnation, Group: e.Group, Epoch: e.Epoch, Rank: e.Rank, Size: e.Size, Open: e.Open, Step: e.Step,
		MapVersion: e.MapVersion, Prepared: e.Prepared, Armed: e.Armed, ArmedStep: e.ArmedStep, HeldStep: e.HeldStep,
		NoPendingOrders: c.noPendingOrders(), NoPendingDisarm: !c.disarmPending() && !c.predecessorArmPending(),
		Ballot: c.following.Ballot, Phase: c.following.Phase, Refused: c.refused,
		NoPendingRelease: c.noPendingRelease(),
		Engine:           c.engineAddress,
		Guarding:         c.guardedStep != 0 && c.guardedStep == e.HeldStep && c.noPendingRelease(),
		Pace:             e.Pace,
	}
}

// EngineKnown reports whether the engine has been read.
func (c *Core) EngineKnown() bool {
	return c.engineKnown
}

// SetEngineAddress sets the address at which other slots reach the engine.
func (c *Core) SetEngineAddress(a netip.AddrPort) {
	c.engineAddress = a
}

// Rank returns the rank of the engine.
func (c *Core) Rank() int {
	return c.engine.Rank
}

// Busy reports whether an attempt or order that concerns this rank is in progress, or the rank is armed.
func (c *Core) Busy() bool {
	active := c.attemptApplies() && c.following.Phase != PhaseEnded
	return c.leader.state != stateResting || c.inFlight != nil || active || c.engine.Armed != 0
}

// HasNextOrder reports whether there is an order to send now.
func (c *Core) HasNextOrder(now time.Time) bool {
	return c.desiredOrder(now) != nil
}

// TakeChanges returns the changes since the last call and clears them.
func (c *Core) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

func (c *Core) addChange(event, reason string) {
	c.changes = append(c.changes, Change{Event: event, Attempt: c.following, Reason: reason})
}
