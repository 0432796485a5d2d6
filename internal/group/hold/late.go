package hold

import "time"

// lateTime is the time after which an order without an answer is no longer carried out (PROTOCOL: up to twelve seconds).
const lateTime = 13 * time.Second

// loose is an order without an answer, which the engine may still carry out.
type loose struct {
	Order
	// sent is when it was given.
	sent time.Time
}

// risky reports whether an arm order may still be carried out that nobody wants any more.
// Such an order does nothing once its step has begun, or once a newer map is prepared in place of its own.
func (c *Core) risky(now time.Time) bool {
	if c.pastRisk(now) {
		return true
	}
	l := c.looseArm
	if l == nil {
		return false
	}
	if c.engine.Step >= l.Step || c.engine.Prepared > l.Version || c.rules.late(now.Sub(l.sent)) {
		c.looseArm = nil
		return false
	}
	return true
}

// pastRisk reports whether an earlier process of this slot may have left an arm order for the prepared map.
func (c *Core) pastRisk(now time.Time) bool {
	if c.past.IsZero() {
		return false
	}
	unused := c.engine.Prepared != 0 && c.engine.Prepared != c.engine.MapVersion
	if !unused || c.engine.Prepared == c.kept || c.rules.late(now.Sub(c.past)) {
		c.past = time.Time{}
		return false
	}
	return true
}

// clean reports whether no order that matters can still be carried out besides those that are given from now on.
func (c *Core) clean(now time.Time) bool {
	return c.inflight == nil && !c.risky(now) && !c.disarming(now)
}

// disarming reports whether a disarm order may still be carried out at an armed rank.
func (c *Core) disarming(now time.Time) bool {
	l := c.looseDisarm
	if l == nil {
		return false
	}
	if c.engine.Armed != l.Version || c.rules.late(now.Sub(l.sent)) {
		c.looseDisarm = nil
		return false
	}
	return true
}

// loosen notes that the outcome of an order is unknown.
func (c *Core) loosen(now time.Time, o *Order) {
	switch o.Kind {
	case OrderArm:
		c.looseArm = &loose{Order: *o, sent: now}
	case OrderDisarm:
		c.looseDisarm = &loose{Order: *o, sent: now}
	case OrderRelease:
		c.looseGo = &loose{Order: *o, sent: now}
	}
}

// steady reports whether no order of this slot, or of an earlier process in its place, can let the engine go late.
func (c *Core) steady(now time.Time) bool {
	l := c.looseGo
	if l != nil && (c.engine.Step >= l.Step || c.rules.late(now.Sub(l.sent))) {
		c.looseGo = nil
	}
	return c.looseGo == nil && c.rules.late(now.Sub(c.started))
}

// SetNoOpMap takes a map that changes nothing at this rank; to prepare it voids arm orders that may come late.
func (c *Core) SetNoOpMap(sets [][][]int) {
	c.keep = sets
}

// newVersion returns a version above all that are known.
// An engine refuses one that it ever had, also in an earlier forming of the group that no report shows.
func (c *Core) newVersion(now time.Time) uint64 {
	version := max(c.engine.MapVersion, c.engine.Prepared, c.lead.attempt.Version, c.kept)
	for _, h := range c.ranks {
		version = max(version, h.MapVersion, h.Prepared)
	}
	return max(version+1, uint64(now.UnixMilli()))
}
