package hold

import "time"

// follow takes an attempt that is newer, or further on, than the one that is followed.
func (c *Core) follow(a *Attempt) {
	order := a.Compare(c.following.Ballot)
	if order == 0 && a.Phase == c.following.Phase && c.following.Map == nil {
		// The lead leaves the map out for ranks that have it, and may take a restarted slot for one of them.
		c.following.Map = a.Map
	}
	if order < 0 || order == 0 && a.Phase <= c.following.Phase {
		return
	}
	known := c.following
	c.following = *a
	if order == 0 {
		if a.Map == nil {
			c.following.Map = known.Map
		}
		return
	}
	c.refused, c.asked = false, false
	c.highest = max(c.highest, a.Number)
}

// applies reports whether the attempt that is followed is about the engine's present group.
func (c *Core) applies() bool {
	return c.following.Phase != PhaseNone && c.following.Group == c.engine.Group && c.following.Epoch == c.engine.Epoch
}

// wanted returns the next order for the own engine, or nil.
func (c *Core) wanted(now time.Time) *Order {
	if !c.known || !c.engine.Open || c.inflight != nil {
		return nil
	}
	if o := c.wantedLead(); o != nil {
		return o
	}
	if c.applies() {
		if o := c.wantedRank(); o != nil {
			return o
		}
		if c.following.Phase == PhasePrepare || c.following.Phase == PhaseArm {
			return nil
		}
	}
	if c.risky(now) && c.engine.Armed == 0 && c.keep != nil {
		return c.order(Order{Kind: OrderPrepare, Version: c.newVersion(now), Map: c.keep})
	}
	return nil
}

// wantedRank returns what the followed attempt wants of the rank.
func (c *Core) wantedRank() *Order {
	f := &c.following
	switch f.Phase {
	case PhasePrepare:
		if c.engine.Prepared != f.Version && !c.asked && !c.refused && f.Map != nil {
			return c.order(Order{Kind: OrderPrepare, Version: f.Version, Map: f.Map})
		}
	case PhaseArm:
		if c.engine.Rank >= len(f.Incarnations) || f.Incarnations[c.engine.Rank] != c.incarnation {
			c.refused = true
			return nil
		}
		if c.engine.Armed == 0 && c.engine.MapVersion != f.Version && c.engine.Prepared == f.Version && !c.refused {
			return c.order(Order{Kind: OrderArm, Version: f.Version, Step: f.Step})
		}
	case PhaseGuard:
		if f.Guard == c.engine.Rank && c.guarding != f.Step && !c.refused {
			return c.order(Order{Kind: OrderHold, Step: f.Step})
		}
	case PhaseAbort:
		if c.engine.Armed != 0 {
			return c.order(Order{Kind: OrderDisarm, Version: c.engine.Armed})
		}
	case PhaseRest:
		// A guard's hold, or one that was carried out late: no rank is armed, or all stay so.
		if c.engine.HeldStep != 0 && !c.IsLeader() {
			return c.order(Order{Kind: OrderRelease, Step: c.engine.HeldStep})
		}
	}
	return nil
}

// order completes an order, which no other forming of the group carries out.
func (c *Core) order(o Order) *Order {
	o.Epoch = c.engine.Epoch
	return &o
}
