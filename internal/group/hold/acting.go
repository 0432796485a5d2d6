package hold

import "time"

const (
	// Deputies is the number of ranks after the leader's whose slots may act as leader.
	Deputies = 2
	// silenceLimit is the time without a datagram after which a slot is silent. During a switch slots repeat their states to the
	// leader every 109 ms at most in a group of 129 ranks, and those in whose place a deputy acts to it every 80 ms.
	silenceLimit = 250 * time.Millisecond
	// pauseLimit is the time between two calls above which this process was paused itself. It reads its engine every 40 ms.
	pauseLimit = 150 * time.Millisecond
	// takeoverDelay is the time that a deputy gets to end an attempt, or a guard to release its engine, before the leader does.
	takeoverDelay = 500 * time.Millisecond
	// deputyGuardTimeout is the time in which a guard that a deputy has asked must hold.
	deputyGuardTimeout = 400 * time.Millisecond
)

// noteCall records that the process runs. After a pause, others can only be silent once they could have been heard again.
func (c *Core) noteCall(now time.Time) {
	if now.Sub(c.calledAt) > pauseLimit {
		c.awakeSince = now
	}
	c.calledAt = now
}

// silent reports whether nothing was received from a rank's slot for silenceLimit, or it does not follow the own attempt
// for that time.
func (c *Core) silent(now time.Time, rank int) bool {
	since := latest(c.awakeSince, c.switchSince)
	if rank > c.engine.Rank {
		since = latest(since, c.leader.since)
	}
	s, ok := c.rankStates[rank]
	if !ok || now.Sub(latest(since, s.receivedAt)) > silenceLimit {
		return now.Sub(since) > silenceLimit
	}
	leads := c.leader.state != stateResting
	return leads && s.Ballot != c.leader.attempt.Ballot && now.Sub(latest(since, c.leader.ballotSince)) > silenceLimit
}

func latest(times ...time.Time) (t time.Time) {
	for _, u := range times {
		if u.After(t) {
			t = u
		}
	}
	return t
}

// unended reports whether an attempt with a higher ballot than the own one has not ended, as far as this slot knows.
func (c *Core) unended(now time.Time) bool {
	open := func(b Ballot, p Phase) bool {
		return p != PhaseNone && p != PhaseEnded && b.Compare(c.leader.attempt.Ballot) > 0
	}
	if c.attemptApplies() && open(c.following.Ballot, c.following.Phase) {
		return true
	}
	for rank := range c.rankStates {
		s, ok := c.recentState(now, rank)
		// A rank that has not heard of the end of an attempt does not keep it open.
		if ok && open(s.Ballot, s.Phase) && s.Ballot.Compare(c.following.Ballot) > 0 {
			return true
		}
	}
	return false
}

// considerActing makes a deputy act as leader, only to end an attempt, while the slots of all lower ranks are silent.
func (c *Core) considerActing(now time.Time) {
	rank := c.engine.Rank
	if rank == 0 || rank > Deputies || !c.engine.Open || now.Before(c.notActingBefore) || !c.unended(now) {
		return
	}
	for lower := range rank {
		if !c.silent(now, lower) {
			return
		}
	}
	c.settle(now, c.knownStep(now), "all lower ranks are silent and an attempt has not ended")
	c.leader.acting = true
}

// settle starts an attempt that ends earlier ones.
func (c *Core) settle(now time.Time, step uint64, reason string) {
	c.transition("found")
	c.leader.lead = lead{since: now, remote: map[int]*remoteRank{}}
	c.leader.holdStep = step
	c.startAttempt(Attempt{Phase: PhaseSettle, Step: step})
	c.addChange("settle", reason)
}

// knownStep returns the highest step that has not begun and that an attempt, an armed rank or an engine that holds names, or
// zero if there is none.
func (c *Core) knownStep(now time.Time) (step uint64) {
	if c.attemptApplies() {
		step = c.following.Step
	}
	for rank := range c.rankStates {
		if s, ok := c.recentState(now, rank); ok {
			step = max(step, s.ArmedStep, s.HeldStep)
		}
	}
	for _, r := range c.leader.remote {
		if r.known {
			step = max(step, r.report.ArmedStep, r.report.HeldStep)
		}
	}
	if step <= c.engine.Step {
		return 0
	}
	return step
}

// handleHigherBallot gives way to a higher ballot than that of the own attempt, or takes a higher one.
func (c *Core) handleHigherBallot(now time.Time) {
	attempt := &c.leader.attempt
	heard := c.following.Compare(attempt.Ballot) > 0
	if !heard && c.highestNumber <= attempt.Number {
		return
	}
	switch c.leader.state {
	case stateResting, stateReleasing:
	case statePreparing, stateHolding:
		c.endAttempt("another slot leads")
	case stateArming:
		c.abort("another slot leads")
		c.startAttempt(c.leader.attempt)
	default:
		if c.leader.acting && (heard || c.leader.renumbered) {
			c.stepDown(now)
			return
		}
		c.leader.renumbered = true
		c.startAttempt(c.leader.attempt)
	}
}

// stepDown gives up leading without ending the attempt, which another slot ends.
func (c *Core) stepDown(now time.Time) {
	c.transition("end")
	c.addChange("step down", "another slot leads")
	c.leader = leader{state: c.leader.state}
	c.notActingBefore = now.Add(takeoverDelay)
}
