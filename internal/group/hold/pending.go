package hold

import "time"

// orderExpiry is the age at which an unresolved order is no longer carried out (PROTOCOL: up to twelve seconds).
const orderExpiry = 13 * time.Second

// unresolvedOrder is an order with an unknown outcome, which the engine may still carry out.
type unresolvedOrder struct {
	Order
	sentAt time.Time
}

// expired reports whether an order of the given time could no longer be carried out when the engine was asked for the latest report, which
// then shows its effect, if any.
func (c *Core) expired(sentAt time.Time) bool {
	return c.rules.expired(c.engineReadAt.Sub(sentAt))
}

// armPending reports whether an unresolved arm order, or one of an earlier process of this slot, can still take effect.
// It cannot once its step has begun or a newer map is prepared in place of its own.
func (c *Core) armPending() bool {
	if c.predecessorArmPending() {
		return true
	}
	arm := c.unresolvedArm
	if arm == nil {
		return false
	}
	if c.engine.Step >= arm.Step || c.engine.Prepared > arm.Version || c.expired(arm.sentAt) {
		c.unresolvedArm = nil
		return false
	}
	return true
}

// predecessorArmPending reports whether an earlier process of this slot may have left a pending arm order for the
// prepared map.
func (c *Core) predecessorArmPending() bool {
	if c.predecessorEnd.IsZero() {
		return false
	}
	unused := c.engine.Prepared != 0 && c.engine.Prepared != c.engine.MapVersion
	if !unused || c.engine.Prepared == c.noOpVersion || c.expired(c.predecessorEnd) {
		c.predecessorEnd = time.Time{}
		return false
	}
	return true
}

// noPendingOrders reports whether no order is in progress and no earlier one can still arm or disarm the rank.
func (c *Core) noPendingOrders() bool {
	current := !c.reportOutdated || c.rules.ignoreOutdated
	return c.inFlight == nil && current && !c.armPending() && !c.disarmPending()
}

// disarmPending reports whether an unresolved disarm order can still disarm the rank.
func (c *Core) disarmPending() bool {
	disarm := c.unresolvedDisarm
	if disarm == nil {
		return false
	}
	if c.engine.Armed != disarm.Version || c.expired(disarm.sentAt) {
		c.unresolvedDisarm = nil
		return false
	}
	return true
}

// addUnresolved records an order whose outcome is unknown.
func (c *Core) addUnresolved(now time.Time, o *Order) {
	switch o.Kind {
	case OrderArm:
		c.unresolvedArm = &unresolvedOrder{Order: *o, sentAt: now}
	case OrderDisarm:
		c.unresolvedDisarm = &unresolvedOrder{Order: *o, sentAt: now}
	case OrderRelease:
		c.unresolvedRelease = &unresolvedOrder{Order: *o, sentAt: now}
	}
}

// noPendingRelease reports whether no earlier order of this process, or of an earlier process of this slot, can still
// release the engine.
func (c *Core) noPendingRelease() bool {
	release := c.unresolvedRelease
	if release != nil && (c.engine.Step >= release.Step || c.expired(release.sentAt)) {
		c.unresolvedRelease = nil
	}
	return c.unresolvedRelease == nil && c.expired(c.started)
}

// SetNoOpMap sets a map that changes nothing at this rank. Preparing it makes pending arm orders ineffective.
func (c *Core) SetNoOpMap(sets [][][]int) {
	c.noOpMap = sets
}

// newVersion returns a version above all known ones. An engine refuses any version that it has ever had, even in an
// earlier incarnation of the group, which no report shows; the current time in milliseconds exceeds those too.
func (c *Core) newVersion(now time.Time) uint64 {
	version := max(c.engine.MapVersion, c.engine.Prepared, c.highestVersion, c.noOpVersion)
	for _, h := range c.rankStates {
		version = max(version, h.MapVersion, h.Prepared)
	}
	for _, r := range c.leader.remote {
		version = max(version, r.report.MapVersion, r.report.Prepared)
	}
	return max(version+1, uint64(c.unixMilli(now)))
}
