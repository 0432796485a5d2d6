package hold

import "time"

// recoverHold starts an attempt to end a hold that an earlier process of this slot left, at its own engine or a guard's, or
// the attempt of another leader that has not ended it.
func (c *Core) recoverHold(now time.Time) {
	if c.inFlight != nil {
		return
	}
	step, reason := c.engine.HeldStep, "an engine holds and no attempt is in progress"
	if step == 0 && now.Sub(c.leader.endedAt) > takeoverDelay {
		step = c.heldElsewhere(now)
	}
	if step == 0 && c.otherLeaderStalled(now) {
		step, reason = c.knownStep(now), "another slot has not ended its attempt"
	} else if step == 0 {
		return
	}
	c.settle(now, step, reason)
}

// otherLeaderStalled reports whether an attempt of another slot has not ended for takeoverDelay.
func (c *Core) otherLeaderStalled(now time.Time) bool {
	if !c.unended(now) {
		c.otherSince = time.Time{}
		return false
	}
	if c.otherSince.IsZero() {
		c.otherSince = now
	}
	return now.Sub(latest(c.otherSince, c.awakeSince)) > takeoverDelay
}

// heldElsewhere returns the step that another rank's engine holds, or zero.
func (c *Core) heldElsewhere(now time.Time) (step uint64) {
	for rank := range c.rankStates {
		if s, ok := c.recentState(now, rank); ok && rank != c.engine.Rank {
			step = max(step, s.HeldStep)
		}
	}
	return step
}

// updateSettling ends a hold that an earlier process left. A leader releases an attempt only if all ranks are armed,
// and aborts it only while some rank is not. So one rank that is not armed proves that no release is pending, while a
// missing answer proves nothing. If all ranks are armed but a pending order may disarm one, neither a release nor an
// abort is known to be safe; a guard makes an abort safe.
func (c *Core) updateSettling(now time.Time) {
	if !c.leader.acting && c.tryResolve(now) || !c.every(now, c.answered) {
		return
	}
	c.leader.holdStep = c.knownStep(now)
	c.leader.attempt.Step = c.leader.holdStep
	if c.leader.acting && (c.leader.holdStep == 0 || c.rules.withoutGuard) {
		c.abort("no step is held")
		return
	}
	if !c.leader.acting && c.engine.HeldStep == 0 && c.heldElsewhere(now) == 0 {
		return
	}
	c.leader.attempt.Guard = c.engine.Rank - 1
	if guard, ok := c.nextGuard(now); ok {
		c.transition("guard")
		c.requestGuard(now, guard)
	}
}

// tryResolve releases the group if all ranks are armed and stay so and no guard holds it, aborts if some rank is not armed, and
// otherwise returns false.
func (c *Core) tryResolve(now time.Time) bool {
	version := c.engine.Armed
	switch {
	case version != 0 && c.allArmed(now, version, c.leader.holdStep) && c.allStayArmed(now) && c.heldElsewhere(now) == 0:
		c.transition("all")
		c.addChange("release", "all ranks are armed")
	case version == 0, c.rules.missingAnswerAborts(), c.anyRank(func(s State) bool { return c.followsAttempt(s) && s.Armed != version }):
		if step := c.knownStep(now); step != 0 {
			c.leader.holdStep, c.leader.attempt.Step = step, step
		}
		c.abort("not all ranks are armed")
	default:
		return false
	}
	return true
}

// nextGuard returns the next rank after the current guard that no pending order can release, rank 0 excluded.
// It returns false if there is none.
func (c *Core) nextGuard(now time.Time) (rank int, ok bool) {
	for i := range c.engine.Size {
		rank = (c.leader.attempt.Guard + 1 + i) % c.engine.Size
		if s, ok := c.recentState(now, rank); ok && s.NoPendingRelease && rank != 0 {
			return rank, true
		}
	}
	return 0, false
}

// requestGuard asks a rank to hold the step in addition to the leader.
func (c *Core) requestGuard(now time.Time, rank int) {
	a := c.leader.attempt
	a.Phase, a.Guard = PhaseGuard, rank
	c.leader.deadline = now.Add(armTimeout)
	reason := "a pending order may disarm a rank"
	if c.leader.acting {
		c.leader.deadline = now.Add(deputyGuardTimeout)
		reason = "a slot is silent"
	}
	c.startAttempt(a)
	c.addChange("guard", reason)
}

// updateGuarding aborts once a guard holds the step: until the guard releases it at the end of the attempt, no step can
// begin in which ranks use different maps.
func (c *Core) updateGuarding(now time.Time) {
	s, ok := c.recentState(now, c.leader.attempt.Guard)
	if c.rules.mayAbort(ok && c.followsAttempt(s) && s.Guarding && s.HeldStep == c.leader.holdStep) {
		c.abort("a guard holds")
		return
	}
	if c.engine.Step >= c.leader.holdStep {
		c.abort("the step has begun")
		return
	}
	if !c.leader.acting && c.tryResolve(now) || !now.After(c.leader.deadline) {
		return
	}
	if guard, ok := c.nextGuard(now); ok {
		c.requestGuard(now, guard)
	}
}

func (c *Core) abort(reason string) {
	c.transition("failed")
	c.leader.aborted = true
	// A report from before the step was known to be held does not show that a rank can't be armed for it: the rank may have
	// prepared the map since.
	if !c.rules.keepReports {
		c.forgetReports()
	}
	c.setPhase(PhaseAbort)
	c.addChange("abort", reason)
}

func (c *Core) updateAborting(now time.Time) {
	switch {
	case c.knownStep(now) > c.leader.attempt.Step:
		c.transition("again")
		c.leader.holdStep = c.knownStep(now)
		c.forgetReports()
		c.startAttempt(Attempt{Phase: PhaseSettle, Step: c.leader.holdStep})
		c.addChange("settle", "a rank is armed or held for a later step")
	case c.every(now, c.disarmed):
		c.transition("all")
		c.addChange("release", "no rank is armed")
	}
}
