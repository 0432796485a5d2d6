package hold

import (
	"net/netip"
	"time"
)

const (
	// remoteRetry is the time from a failed call at the engine of another rank to the next; after others the next call follows at once. It
	// doubles with each further failed one up to maxRemoteRetry, because calls have a cost and a data centre may be cut off.
	remoteRetry, maxRemoteRetry = 100 * time.Millisecond, 800 * time.Millisecond
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

// Answer is the answer of an engine to an order.
type Answer int

// The answers to an order.
const (
	// AnswerNone means that there was no order, or that its outcome is unknown: it may still be carried out.
	AnswerNone Answer = iota
	// AnswerAccepted means that the engine has carried out the order.
	AnswerAccepted
	// AnswerRefused means that the engine will not carry out the order.
	AnswerRefused
)

// remoteRank is what a leader knows of a silent rank from its engine. Reports of engines on other machines are as of some hundred
// milliseconds ago, so they don't show whether the rank is armed or holds now. The answers to orders do.
type remoteRank struct {
	// report is the latest report; it is valid if known is set.
	report Engine
	known  bool
	// ordered and answer are the kind of the latest order and the answer to it.
	ordered OrderKind
	answer  Answer
	// noOpVersion is the version under which a map that changes nothing was last ordered to be prepared. With voided set, the engine
	// has prepared it: it was not armed then and can't be armed for any map before it.
	noOpVersion uint64
	voided      bool
	// released means that the engine has answered a release of the step of the attempt, so that it does not hold that step.
	released bool
	inFlight bool
	// failures counts the calls without an effect since the engine was first read.
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
		return &RemoteCall{Rank: rank, Engine: address, Order: c.remoteOrder(now, rank, r), since: c.leader.since, round: c.leader.round}
	}
	return nil
}

// RemoteCallDone handles the end of a call at another rank's engine, with the answer to its order. The report was read after the order;
// ok is false if it could not be read.
func (c *Core) RemoteCallDone(now time.Time, call *RemoteCall, answer Answer, report Engine, ok bool) {
	c.noteCall(now)
	r := c.leader.remote[call.Rank]
	if r == nil || call.since != c.leader.since || call.round != c.leader.round {
		return
	}
	r.inFlight = false
	sameEpoch := report.Epoch == c.engine.Epoch || c.rules.withoutEpoch
	sameRank := report.Group == c.engine.Group && sameEpoch && report.Rank == call.Rank
	if ok && !sameRank {
		// Another engine may have the address now, so the answer may be its.
		answer = AnswerNone
	}
	if ok = ok && sameRank; ok && !r.known {
		r.failures = 0
	}
	if ok {
		r.report, r.known = report, true
	}
	r.recordAnswer(call.Order, answer)
	r.notBefore = now
	switch {
	case ok && answer == AnswerRefused && r.failures == 0:
		// The engine is armed and gets another order at once.
		r.failures++
	case !ok, answer == AnswerRefused:
		r.notBefore = now.Add(min(remoteRetry<<min(r.failures, 8), maxRemoteRetry))
		r.failures++
	case call.Order != nil && answer == AnswerNone, call.Order == nil && r.voided:
		// An order without an answer is sent again, or the report is read again until it shows the prepared map.
		r.notBefore = now.Add(remoteRetry)
	}
	c.updateLeader(now)
}

// recordAnswer records the answer to an order, if any.
func (r *remoteRank) recordAnswer(o *Order, answer Answer) {
	if o != nil {
		r.ordered, r.answer = o.Kind, answer
		r.voided = r.voided || o.Kind == OrderPrepare && answer == AnswerAccepted
		// An engine that does not hold the step refuses its release.
		r.released = r.released || o.Kind == OrderRelease && answer != AnswerNone
	}
	r.voided = r.voided || r.showsNoOpMap()
}

// showsNoOpMap reports whether the report shows the effect of the order to prepare a map that changes nothing. All of such a report is
// as of later than the order.
func (r *remoteRank) showsNoOpMap() bool {
	return r.known && r.noOpVersion != 0 && r.report.Prepared == r.noOpVersion
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
	switch c.leader.state {
	case stateSettling:
		r := c.leader.remote[rank]
		return r == nil || !r.known
	case stateAborting:
		return !c.disarmed(now, rank)
	case stateReleasing:
		return c.leader.aborted && !c.released(now, rank)
	}
	return false
}

// remoteOrder returns the order that the engine of a silent rank needs, or nil. Orders that change its arming are sent only
// once the own rank is disarmed for good: then no later leader can find all ranks armed and release them while such an order
// is pending.
func (c *Core) remoteOrder(now time.Time, rank int, r *remoteRank) *Order {
	step := c.leader.attempt.Step
	switch {
	case !r.known:
		return nil
	case c.leader.state == stateAborting && !r.voided && c.disarmed(now, c.engine.Rank):
		return c.voidOrder(now, rank, r)
	case c.leader.state == stateReleasing && c.leader.aborted && c.rules.withoutStep:
		return c.toRemote(Order{Kind: OrderRelease})
	case c.leader.state == stateReleasing && c.leader.aborted && step != 0:
		return c.toRemote(Order{Kind: OrderRelease, Step: step})
	}
	return nil
}

// voidOrder returns the next order that makes a silent rank unable to arm: to prepare a map that changes nothing, in place of that of the
// attempt. An armed engine refuses it and is disarmed first.
func (c *Core) voidOrder(now time.Time, rank int, r *remoteRank) *Order {
	refused := r.ordered == OrderPrepare && r.answer == AnswerRefused
	if version := c.armedVersion(rank, r); version != 0 && (refused || r.ordered == "" && r.report.Armed != 0) {
		return c.toRemote(Order{Kind: OrderDisarm, Version: version})
	}
	r.noOpVersion = c.newVersion(now)
	c.highestVersion = max(c.highestVersion, r.noOpVersion)
	return c.toRemote(Order{Kind: OrderPrepare, Version: r.noOpVersion})
}

// armedVersion returns the version with which a silent rank may be armed: the latest one that it is known to have prepared, or zero.
func (c *Core) armedVersion(rank int, r *remoteRank) uint64 {
	s := c.rankStates[rank]
	version := max(r.report.Armed, s.Armed, s.Prepared)
	if r.report.Prepared != r.noOpVersion {
		version = max(version, r.report.Prepared)
	}
	if version == r.report.MapVersion {
		return 0
	}
	return version
}

// toRemote sets the epoch of an order to another rank.
func (c *Core) toRemote(o Order) *Order {
	if c.rules.withoutEpoch {
		return &o
	}
	return c.withEpoch(o)
}

// disarmed reports whether a rank is not armed and no pending order can arm it for the step of the attempt, according to its
// slot or, if that is silent, to its engine.
func (c *Core) disarmed(now time.Time, rank int) bool {
	if s, ok := c.recentState(now, rank); ok && c.followsAttempt(s) && s.NoPendingOrders && s.Armed == 0 {
		return true
	}
	r := c.leader.remote[rank]
	switch {
	case r == nil || !r.known:
		return false
	case c.rules.withoutNoOpMap, c.rules.trustReports && (r.report.Prepared == 0 || r.report.Prepared == r.report.MapVersion):
		return r.report.Armed == 0
	case c.leader.attempt.Step == 0:
		// A rank that holds an unknown step shows it in a report from after the order.
		return r.showsNoOpMap()
	}
	return r.voided
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
	step := c.leader.attempt.Step
	switch {
	case rank == c.engine.Rank, step == 0:
		return true
	case c.silent(now, rank):
		r := c.leader.remote[rank]
		return r != nil && r.released
	case rank == 0:
		return c.rankStates[rank].HeldStep != step
	}
	return true
}
