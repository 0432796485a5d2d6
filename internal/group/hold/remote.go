package hold

import (
	"net/netip"
	"time"
)

const (
	// remoteInterval is the time between two calls at the engine of another rank, and remoteRetry that time after the first failed
	// one. It doubles with each further one up to maxRemoteRetry, because calls have a cost and a data centre may be cut off.
	remoteInterval, remoteRetry, maxRemoteRetry = 20 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond
)

// RemoteCall is a call at the engine of a rank whose slot is silent: an order, if any, and then a read of its report.
type RemoteCall struct {
	Rank int
	// Engine is the engine's address.
	Engine netip.AddrPort
	// Order is the order to send, or nil. A prepare order has no map: the caller adds one that changes nothing at the rank.
	Order *Order
	// since and round identify the part of the recovery that the call belongs to.
	since time.Time
	round int
}

// remoteRank is what a leader knows of a silent rank from its engine.
type remoteRank struct {
	// report is the latest report; it is valid if known is set.
	report Engine
	known  bool
	// noOpVersion is the version under which a map that changes nothing was last prepared, and refused means that the engine
	// refused it.
	noOpVersion uint64
	refused     bool
	inFlight    bool
	// ordered is the kind of the latest order, and failures counts the calls since the last one that had an effect.
	ordered  OrderKind
	failures int
	// notBefore is the time of the next call.
	notBefore time.Time
}

// NextRemoteCall returns the next call at the engine of another rank, or nil. The caller must pass its end to RemoteCallDone;
// calls at different ranks may be in progress together.
func (c *Core) NextRemoteCall(now time.Time) *RemoteCall {
	c.noteCall(now)
	c.updateLeader(now)
	for rank := range c.engine.Size {
		if !c.needsCall(now, rank) {
			continue
		}
		r := c.remoteRank(rank)
		address := c.rankStates[rank].Engine
		if r.inFlight || now.Before(r.notBefore) || !address.IsValid() {
			continue
		}
		r.inFlight = true
		return &RemoteCall{Rank: rank, Engine: address, Order: c.remoteOrder(now, r), since: c.leader.since, round: c.leader.round}
	}
	return nil
}

// RemoteCallDone handles the end of a call at another rank's engine. The report was read after the order; ok is false if it
// could not be read. A lost answer to the order needs no other handling: the report shows what is still to be done.
func (c *Core) RemoteCallDone(now time.Time, call *RemoteCall, report Engine, refused, ok bool) {
	c.noteCall(now)
	r := c.leader.remote[call.Rank]
	if r == nil || call.since != c.leader.since || call.round != c.leader.round {
		return
	}
	r.inFlight = false
	if call.Order != nil && call.Order.Kind == OrderPrepare {
		r.refused = refused
	}
	sameEpoch := report.Epoch == c.engine.Epoch || c.rules.withoutEpoch
	ok = ok && report.Group == c.engine.Group && sameEpoch && report.Rank == call.Rank
	repeated := call.Order != nil && call.Order.Kind == r.ordered
	if call.Order != nil {
		r.ordered = call.Order.Kind
	}
	r.notBefore = now.Add(remoteInterval)
	if !ok || repeated {
		r.notBefore = now.Add(min(remoteRetry<<min(r.failures, 8), maxRemoteRetry))
		r.failures++
	} else {
		r.failures = 0
	}
	if !ok {
		return
	}
	r.report, r.known = report, true
	c.updateLeader(now)
}

// forgetReports makes the leader read the engines of silent ranks anew.
func (c *Core) forgetReports() {
	c.leader.remote = map[int]*remoteRank{}
	c.leader.round++
}

// remoteRank returns what is known of a silent rank.
func (c *Core) remoteRank(rank int) *remoteRank {
	r := c.leader.remote[rank]
	if r == nil {
		r = &remoteRank{}
		c.leader.remote[rank] = r
	}
	return r
}

// needsCall reports whether the leader must call the engine of a rank in its present state.
func (c *Core) needsCall(now time.Time, rank int) bool {
	if rank == c.engine.Rank || c.leader.remote == nil || !c.silent(now, rank) {
		return false
	}
	r := c.leader.remote[rank]
	switch c.leader.state {
	case stateSettling:
		return r == nil || !r.known
	case stateAborting:
		return !c.disarmed(now, rank)
	case stateReleasing:
		return c.leader.aborted && (r == nil || !r.known || c.holdsStep(r))
	}
	return false
}

// remoteOrder returns the order that the engine of a silent rank needs, or nil. Orders that change its arming are sent only
// once the own rank is disarmed for good: then no later leader can find all ranks armed and release them while such an order
// is pending.
func (c *Core) remoteOrder(now time.Time, r *remoteRank) *Order {
	e := &r.report
	aborting := c.leader.state == stateAborting && c.disarmed(now, c.engine.Rank)
	step := c.leader.attempt.Step
	switch {
	case !r.known:
		return nil
	case aborting && e.Armed != 0 && e.ArmedStep == step:
		return c.toRemote(Order{Kind: OrderDisarm, Version: e.Armed})
	case aborting && e.Armed == 0 && !c.cannotBeArmed(r):
		if r.noOpVersion == 0 || r.refused {
			r.noOpVersion = c.newVersion(now)
			c.highestVersion = max(c.highestVersion, r.noOpVersion)
		}
		return c.toRemote(Order{Kind: OrderPrepare, Version: r.noOpVersion})
	case c.leader.state == stateReleasing && c.leader.aborted && c.holdsStep(r):
		if c.rules.withoutStep {
			return c.toRemote(Order{Kind: OrderRelease})
		}
		return c.toRemote(Order{Kind: OrderRelease, Step: step})
	}
	return nil
}

// toRemote sets the epoch of an order to another rank.
func (c *Core) toRemote(o Order) *Order {
	if c.rules.withoutEpoch {
		return &o
	}
	return c.withEpoch(o)
}

// cannotBeArmed reports whether no pending order can arm a silent rank: the version of the attempt is not prepared there.
func (c *Core) cannotBeArmed(r *remoteRank) bool {
	e := &r.report
	return e.Prepared == 0 || e.Prepared == e.MapVersion || e.Prepared == r.noOpVersion || c.rules.withoutNoOpMap
}

// holdsStep reports whether the engine of a silent rank holds the step of the attempt.
func (c *Core) holdsStep(r *remoteRank) bool {
	return r.report.HeldStep != 0 && r.report.HeldStep == c.leader.attempt.Step
}

// disarmed reports whether a rank is not armed and no pending order can arm it for the step of the attempt, according to its
// slot or, if that is silent, to its engine.
func (c *Core) disarmed(now time.Time, rank int) bool {
	if s, ok := c.recentState(now, rank); ok && c.followsAttempt(s) && s.NoPendingOrders && s.Armed == 0 {
		return true
	}
	r := c.leader.remote[rank]
	return r != nil && r.known && r.report.Armed == 0 && c.cannotBeArmed(r)
}

// answered reports whether a rank's slot follows the attempt or, if that is silent, its engine was read.
func (c *Core) answered(now time.Time, rank int) bool {
	if s, ok := c.recentState(now, rank); ok && c.followsAttempt(s) {
		return true
	}
	r := c.leader.remote[rank]
	return r != nil && r.known
}

// every reports whether a condition holds for all ranks.
func (c *Core) every(now time.Time, condition func(now time.Time, rank int) bool) bool {
	for rank := range c.engine.Size {
		if !condition(now, rank) {
			return false
		}
	}
	return c.engine.Size > 0
}

// released reports whether a rank no longer holds the step of an aborted attempt, as far as it does not release itself at its
// end: the engine of a silent slot, and the leader's while a deputy acts.
func (c *Core) released(now time.Time, rank int) bool {
	switch {
	case rank == c.engine.Rank:
		return true
	case c.silent(now, rank):
		r := c.leader.remote[rank]
		return r != nil && r.known && !c.holdsStep(r)
	case rank == 0:
		s := c.rankStates[rank]
		return s.HeldStep == 0 || s.HeldStep != c.leader.attempt.Step
	}
	return true
}
