package hold

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

// leader is the state of a slot as the leader: that of rank 0 or a deputy that acts as leader.
type leader struct {
	lead
	// state is a state of the lead chart.
	state chart.State
	// attempt is the current attempt or, while state is resting, the last one, in PhaseEnded.
	attempt Attempt
	// holdStep is the step to hold, or zero until it is chosen.
	holdStep uint64
	// deadline is when the current state times out.
	deadline time.Time
	// endedAt is the end of the last attempt, and ballotSince the start of the latest ballot.
	endedAt, ballotSince time.Time
}

// lead is the part of the leader's state that starts anew with each switch and each recovery.
type lead struct {
	// since is the start.
	since time.Time
	// acting means that this slot is a deputy.
	acting bool
	// aborted means that the switch is not completed: no rank is armed at its end.
	aborted bool
	// renumbered means that the attempt has got a higher ballot than at the start.
	renumbered bool
	// remote holds what is known of silent ranks from their engines since round has last changed.
	remote map[int]*remoteRank
	round  int
}

// IsLeader reports whether this slot is the leader, which begins switches.
func (c *Core) IsLeader() bool {
	return c.engineKnown && c.engine.Rank == 0 && c.engine.Group != ""
}

// Ready reports whether a switch may begin: all ranks are open and use the same map, none is armed, holds the group
// or has a pending order, and no attempt of another slot is in progress.
func (c *Core) Ready(now time.Time) bool {
	if !c.IsLeader() || c.leader.state != stateResting || !c.engine.Open || !c.mayNameStep() || c.unended(now) {
		return false
	}
	return c.allRanks(now, func(s State) bool {
		return s.Open && s.NoPendingOrders && s.Armed == 0 && s.HeldStep == 0 && s.MapVersion == c.engine.MapVersion
	})
}

// allRanks reports whether a condition holds for the recent states of all ranks.
func (c *Core) allRanks(now time.Time, condition func(State) bool) bool {
	return c.countRanks(now, condition) == c.engine.Size && c.engine.Size > 0
}

// countRanks returns the number of ranks with a recent state for which a condition holds.
func (c *Core) countRanks(now time.Time, condition func(State) bool) (n int) {
	for rank := range c.engine.Size {
		if s, ok := c.recentState(now, rank); ok && condition(s) {
			n++
		}
	}
	return n
}

// recentState returns the latest state of a rank, and false if it is missing or older than maxStateAge.
func (c *Core) recentState(now time.Time, rank int) (s State, ok bool) {
	received, ok := c.rankStates[rank]
	return received.State, ok && now.Sub(received.receivedAt) <= maxStateAge
}

// allArmed reports whether all ranks follow the attempt and are armed with a version for a step.
func (c *Core) allArmed(now time.Time, version, step uint64) bool {
	n := c.countRanks(now, func(s State) bool { return c.followsAttempt(s) && s.Armed == version && s.ArmedStep == step })
	return c.rules.unanimous(n, c.engine.Size)
}

// allStayArmed reports whether no pending order can disarm a rank.
func (c *Core) allStayArmed(now time.Time) bool {
	return c.rules.ignorePendingDisarm() || c.allRanks(now, func(s State) bool { return c.followsAttempt(s) && s.NoPendingDisarm })
}

// followsAttempt reports whether a rank follows the leader's attempt in its current phase.
func (c *Core) followsAttempt(s State) bool {
	return s.Ballot == c.leader.attempt.Ballot && s.Phase == c.leader.attempt.Phase
}

// Begin starts a switch to a new map, given by set and rank. It returns false if no switch may begin now.
func (c *Core) Begin(now time.Time, sets [][][]int) bool {
	if !c.Ready(now) {
		return false
	}
	version := c.newVersion(now)
	c.transition("begin")
	c.leader.lead = lead{since: now, remote: map[int]*remoteRank{}}
	c.startAttempt(Attempt{Phase: PhasePrepare, Version: version, Map: sets})
	c.leader.holdStep, c.leader.deadline = 0, now.Add(prepareTimeout)
	c.addChange("begin", "")
	return true
}

// startAttempt starts a new attempt of the leader with a higher number than all known ones.
func (c *Core) startAttempt(a Attempt) {
	c.highestNumber++
	a.Ballot = Ballot{Number: c.highestNumber, LeaderIncarnation: c.incarnation}
	a.Group, a.Epoch = c.engine.Group, c.engine.Epoch
	c.leader.ballotSince = c.calledAt
	c.leader.attempt = a
	c.follow(&a)
}

// setPhase moves the leader's attempt to its next phase.
func (c *Core) setPhase(p Phase) {
	c.leader.attempt.Phase = p
	if p != PhasePrepare {
		c.leader.attempt.Map = nil
	}
	a := c.leader.attempt
	c.follow(&a)
}

// Published returns the attempt to send to the other ranks, or nil.
func (c *Core) Published() *Attempt {
	superseded := c.leader.state == stateResting && c.following.Compare(c.leader.attempt.Ballot) > 0
	if c.leader.attempt.Phase == PhaseNone || superseded {
		return nil
	}
	a := c.leader.attempt
	return &a
}

func (c *Core) transition(signal chart.Signal) {
	next, err := leadChart.Next(c.leader.state, signal)
	if err != nil {
		panic(err)
	}
	c.leader.state = next
}

// endAttempt ends the leader's attempt, if any. No armed rank waits for its release any more, or the group has a new
// incarnation. recoverHold ends a hold that remains.
func (c *Core) endAttempt(reason string) {
	if c.leader.state == stateResting {
		return
	}
	c.leader.attempt.Aborted = c.leader.state == stateReleasing && c.leader.aborted
	c.transition("end")
	c.leader.endedAt = c.calledAt
	c.setPhase(PhaseEnded)
	c.addChange("end", reason)
	c.leader.acting, c.leader.remote = false, nil
}

// updateLeader advances the leader's chart as far as the ranks' states allow.
func (c *Core) updateLeader(now time.Time) {
	if !c.engineKnown || c.engine.Group == "" {
		return
	}
	c.rankStates[c.engine.Rank] = receivedState{State: c.State(), receivedAt: now}
	c.handleHigherBallot(now)
	switch c.leader.state {
	case stateResting:
		if !c.IsLeader() {
			c.considerActing(now)
			return
		}
		c.recoverHold(now)
	case statePreparing:
		c.updatePreparing(now)
	case stateHolding:
		c.updateHolding(now)
	case stateArming:
		c.updateArming(now)
	case stateSettling:
		c.updateSettling(now)
	case stateGuarding:
		c.updateGuarding(now)
	case stateAborting:
		c.updateAborting(now)
	case stateReleasing:
		// A deputy's own engine holds as a guard until the end.
		ownReleased := !c.IsLeader() || !c.mustRelease() && c.inFlight == nil
		if ownReleased && (!c.leader.aborted || c.every(now, c.released)) {
			c.endAttempt("released")
		}
	}
}

// mustRelease reports whether the own engine holds the step of the attempt or, if no rank is armed for any, an earlier one.
func (c *Core) mustRelease() bool {
	return c.engine.HeldStep != 0 && (c.engine.HeldStep == c.leader.holdStep || c.leader.aborted)
}

func (c *Core) updatePreparing(now time.Time) {
	version := c.leader.attempt.Version
	switch {
	case c.engine.HeldStep != 0:
		c.endAttempt("an order of an earlier attempt was carried out")
	case c.allHeard(now) && c.allRanks(now, func(s State) bool { return c.followsAttempt(s) && s.Prepared == version }):
		c.transition("all")
		c.leader.attempt.Incarnations = make([]uint64, c.engine.Size)
		for rank := range c.leader.attempt.Incarnations {
			c.leader.attempt.Incarnations[rank] = c.rankStates[rank].Incarnation
		}
		c.leader.holdStep, c.leader.deadline = 0, now.Add(armTimeout)
	case now.After(c.leader.deadline):
		c.endAttempt("not all ranks prepared in time")
	case c.anyRank(func(s State) bool { return c.followsAttempt(s) && s.Refused }):
		c.endAttempt("a rank refused to prepare")
	}
}

// allHeard reports whether all ranks were heard within the last few of the intervals in which slots repeat their states during a switch. If
// one is frozen or cut off, the group is not to be held: its hold might not end before that rank is back.
func (c *Core) allHeard(now time.Time) bool {
	limit := max(minHeardAge, time.Duration(c.engine.Size)*heardAgePerRank)
	for rank := range c.engine.Size {
		if rank != c.engine.Rank && now.Sub(c.rankStates[rank].receivedAt) > limit {
			return false
		}
	}
	return true
}

// anyRank reports whether a condition holds for the latest state of some rank, however old the state is.
func (c *Core) anyRank(condition func(State) bool) bool {
	for _, h := range c.rankStates {
		if condition(h.State) {
			return true
		}
	}
	return false
}

func (c *Core) updateHolding(now time.Time) {
	switch {
	case c.engine.HeldStep != 0 && c.inFlight == nil:
		c.transition("held")
		c.leader.holdStep = c.engine.HeldStep
		c.leader.attempt.Step = c.engine.HeldStep
		c.leader.deadline = now.Add(armTimeout)
		c.setPhase(PhaseArm)
	case now.After(c.leader.deadline):
		// If the hold order is delayed, recoverHold ends the hold.
		c.endAttempt("the engine did not hold in time")
	}
}

func (c *Core) updateArming(now time.Time) {
	a := c.leader.attempt
	switch {
	case c.allArmed(now, a.Version, a.Step):
		c.transition("all")
		c.addChange("release", "all ranks are armed")
	case now.After(c.leader.deadline), c.anyRank(func(s State) bool { return c.followsAttempt(s) && s.Refused }):
		c.abort("not all ranks armed")
	case !c.every(now, func(now time.Time, rank int) bool { return c.armedOrHeard(now, rank) }):
		c.abort("a rank that is not armed is silent")
	}
}

// armedOrHeard reports whether a rank is armed, or its slot is not silent and may still arm it.
func (c *Core) armedOrHeard(now time.Time, rank int) bool {
	s, ok := c.recentState(now, rank)
	return ok && c.followsAttempt(s) && s.Armed == c.leader.attempt.Version || !c.silent(now, rank)
}

// desiredLeaderOrder returns the order that the leader's state requires at its own engine, or nil.
func (c *Core) desiredLeaderOrder() *Order {
	switch c.leader.state {
	case stateHolding:
		if c.engine.HeldStep == 0 {
			if c.leader.holdStep == 0 {
				if !c.mayNameStep() {
					return nil
				}
				c.leader.holdStep = max(c.engine.Step+minMargin(c.engine.Size), c.nextStep)
				if c.rules.reuseSteps {
					c.leader.holdStep = c.engine.Step + minMargin(c.engine.Size)
				}
				c.nextStep = c.leader.holdStep + 1
			}
			return c.withEpoch(Order{Kind: OrderHold, Step: c.leader.holdStep})
		}
	case stateReleasing:
		if c.IsLeader() && c.mustRelease() {
			return c.withEpoch(Order{Kind: OrderRelease, Step: c.engine.HeldStep})
		}
	}
	return nil
}

// minMargin returns the least number of steps from the latest one to the switch.
func minMargin(size int) uint64 {
	return minStepMargin + uint64(size/ranksPerStep)
}

// maxAhead returns the largest number of steps from the latest one to a step that a leader names.
func maxAhead(size int) uint64 {
	return minMargin(size) + maxExtraSteps
}

// mayNameStep reports whether a step that no attempt has named is near enough. No step is held twice in an epoch, so a delayed
// release never matches a later hold. Of its predecessors a leader knows only that they have named no step beyond maxAhead.
func (c *Core) mayNameStep() bool {
	return c.nextStep <= c.engine.Step+maxAhead(c.engine.Size) || c.rules.reuseSteps
}
