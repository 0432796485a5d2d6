package hold

import "time"

// follow adopts an attempt with a higher ballot or a later phase than the followed one.
func (c *Core) follow(a *Attempt) {
	c.highestVersion = max(c.highestVersion, a.Version)
	ballotOrder := a.Compare(c.following.Ballot)
	if ballotOrder == 0 && a.Phase == c.following.Phase && c.following.Map == nil {
		// The leader omits the map for ranks that have it, and may mistake a restarted slot for one of them.
		c.following.Map = a.Map
	}
	if ballotOrder < 0 || ballotOrder == 0 && a.Phase <= c.following.Phase {
		return
	}
	previous, applied := c.following, c.attemptApplies()
	c.following = *a
	if ballotOrder == 0 {
		if a.Map == nil {
			c.following.Map = previous.Map
		}
		return
	}
	if !applied || previous.Phase == PhaseEnded {
		c.switchSince = c.calledAt
	}
	c.refused, c.prepareAccepted = false, false
	c.highestNumber = max(c.highestNumber, a.Number)
}

// FollowedMap returns the map of the followed attempt with its version, or nil if the slot does not have it or the attempt is
// not for the engine's group and epoch.
func (c *Core) FollowedMap() (version uint64, sets [][][]int) {
	if !c.attemptApplies() {
		return 0, nil
	}
	return c.following.Version, c.following.Map
}

// attemptApplies reports whether the followed attempt is for the engine's current group and epoch.
func (c *Core) attemptApplies() bool {
	return c.following.Phase != PhaseNone && c.following.Group == c.engine.Group && c.following.Epoch == c.engine.Epoch
}

// desiredOrder returns the order to send to the own engine next, or nil.
func (c *Core) desiredOrder(now time.Time) *Order {
	if !c.engineKnown || !c.engine.Open || c.inFlight != nil || c.reportOutdated && !c.rules.ignoreOutdated {
		return nil
	}
	if o := c.desiredLeaderOrder(); o != nil {
		return o
	}
	if c.attemptApplies() {
		if o := c.desiredRankOrder(); o != nil {
			return o
		}
		if c.following.Phase == PhasePrepare || c.following.Phase == PhaseArm {
			return nil
		}
	}
	if c.armPending() && c.engine.Armed == 0 && c.noOpMap != nil {
		return c.withEpoch(Order{Kind: OrderPrepare, Version: c.newVersion(now), Map: c.noOpMap})
	}
	return nil
}

// desiredRankOrder returns the order that the followed attempt requires at this rank, or nil.
func (c *Core) desiredRankOrder() *Order {
	f := &c.following
	switch f.Phase {
	case PhasePrepare:
		if c.engine.Prepared != f.Version && !c.prepareAccepted && !c.refused && f.Map != nil {
			return c.withEpoch(Order{Kind: OrderPrepare, Version: f.Version, Map: f.Map})
		}
	case PhaseArm:
		if c.engine.Rank >= len(f.Incarnations) || f.Incarnations[c.engine.Rank] != c.incarnation {
			c.refused = true
			return nil
		}
		if c.engine.Armed == 0 && c.engine.MapVersion != f.Version && c.engine.Prepared == f.Version && !c.refused {
			return c.withEpoch(Order{Kind: OrderArm, Version: f.Version, Step: f.Step})
		}
	case PhaseGuard:
		if f.Guard == c.engine.Rank && c.guardedStep != f.Step && !c.refused {
			return c.withEpoch(Order{Kind: OrderHold, Step: f.Step})
		}
	case PhaseAbort:
		// A delayed attempt must not disarm a rank for a later step.
		if c.engine.Armed != 0 && c.engine.ArmedStep == f.Step {
			return c.withEpoch(Order{Kind: OrderDisarm, Version: c.engine.Armed})
		}
	case PhaseEnded:
		// The hold is a guard's or a delayed one. Its release is safe if no rank is armed for the step or can be. If all ranks
		// stay armed, it is safe unless an attempt with a higher ballot has asked for the guard, which only the process that
		// was asked knows.
		permitted := f.Aborted || c.orderedHold == f.Step || c.rules.releaseOnAnyEnd
		if c.engine.HeldStep != 0 && c.engine.HeldStep == f.Step && permitted && !c.IsLeader() {
			return c.withEpoch(Order{Kind: OrderRelease, Step: c.engine.HeldStep})
		}
	}
	return nil
}

// withEpoch sets the epoch of an order; no other incarnation of the group carries it out.
func (c *Core) withEpoch(o Order) *Order {
	o.Epoch = c.engine.Epoch
	return &o
}
