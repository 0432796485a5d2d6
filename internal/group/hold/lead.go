package hold

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

// lead is the part of rank 0's slot.
type lead struct {
	// state is a state of the lead chart.
	state chart.State
	// attempt is published while state is not resting, and after that in PhaseRest.
	attempt Attempt
	// step is the step to hold, or zero until it is chosen.
	step uint64
	// due is when the present state is given up.
	due time.Time
}

// IsLeader reports whether this slot is the one that begins switches.
func (c *Core) IsLeader() bool {
	return c.known && c.engine.Rank == 0 && c.engine.Group != ""
}

// Ready reports whether a switch may begin: all ranks are at rest, under the same map.
func (c *Core) Ready(now time.Time) bool {
	if !c.IsLeader() || c.lead.state != stateResting || !c.engine.Open {
		return false
	}
	return c.all(now, func(s State) bool {
		return s.Open && s.NoPendingOrders && s.Armed == 0 && s.HeldStep == 0 && s.MapVersion == c.engine.MapVersion
	})
}

// all reports whether every rank told lately that a condition holds.
func (c *Core) all(now time.Time, condition func(State) bool) bool {
	return c.count(now, condition) == c.engine.Size && c.engine.Size > 0
}

// count returns the number of ranks that told lately that a condition holds.
func (c *Core) count(now time.Time, condition func(State) bool) (n int) {
	for rank := range c.engine.Size {
		if s, ok := c.recent(now, rank); ok && condition(s) {
			n++
		}
	}
	return n
}

// recent returns the state of a rank, and false where it did not tell one lately.
func (c *Core) recent(now time.Time, rank int) (s State, ok bool) {
	h, ok := c.ranks[rank]
	return h.State, ok && now.Sub(h.at) <= stateAge
}

// armed reports whether all ranks follow the attempt and are armed for its step.
func (c *Core) armed(now time.Time, version, step uint64) bool {
	n := c.count(now, func(s State) bool { return c.followed(s) && s.Armed == version && s.ArmedStep == step })
	return c.rules.unanimous(n, c.engine.Size)
}

// firm reports whether no rank can be disarmed by an order that is carried out late.
func (c *Core) firm(now time.Time) bool {
	return c.rules.firm() || c.all(now, func(s State) bool { return c.followed(s) && s.NoPendingDisarm })
}

// followed reports whether a rank follows the lead's attempt in its present phase.
func (c *Core) followed(s State) bool {
	return s.Ballot == c.lead.attempt.Ballot && s.Phase == c.lead.attempt.Phase
}

// Begin starts a switch to a new map, by set and rank, and reports whether it could.
func (c *Core) Begin(now time.Time, sets [][][]int) bool {
	if !c.Ready(now) {
		return false
	}
	version := c.newVersion(now)
	c.move("begin")
	c.publish(Attempt{Phase: PhasePrepare, Version: version, Map: sets})
	c.lead.step, c.lead.due = 0, now.Add(prepareTime)
	c.note("begin", "")
	return true
}

// publish starts a new attempt of the lead, above all others.
func (c *Core) publish(a Attempt) {
	c.highest++
	a.Ballot = Ballot{Number: c.highest, LeaderIncarnation: c.incarnation}
	a.Group, a.Epoch = c.engine.Group, c.engine.Epoch
	c.lead.attempt = a
	c.follow(&a)
}

// advance moves the lead's attempt to its next phase.
func (c *Core) advance(p Phase) {
	c.lead.attempt.Phase = p
	if p != PhasePrepare {
		c.lead.attempt.Map = nil
	}
	a := c.lead.attempt
	c.follow(&a)
}

// Published returns the attempt that the other ranks must know, or nil.
func (c *Core) Published() *Attempt {
	if c.lead.attempt.Phase == PhaseNone {
		return nil
	}
	a := c.lead.attempt
	return &a
}

func (c *Core) move(signal chart.Signal) {
	next, err := leadChart.Next(c.lead.state, signal)
	if err != nil {
		panic(err)
	}
	c.lead.state = next
}

// endLead ends the attempt; nothing is armed or held any more, or the group has formed anew.
func (c *Core) endLead(reason string) {
	if c.lead.state == stateResting {
		return
	}
	c.move("end")
	c.advance(PhaseRest)
	c.note("end", reason)
}

// step moves the lead on as far as the ranks' states allow.
func (c *Core) step(now time.Time) {
	if !c.IsLeader() {
		c.endLead("another rank leads")
		return
	}
	c.ranks[c.engine.Rank] = heard{State: c.State(now), at: now}
	c.outbid()
	switch c.lead.state {
	case stateResting:
		c.find(now)
	case statePreparing:
		c.stepPreparing(now)
	case stateHolding:
		c.stepHolding(now)
	case stateArming:
		c.stepArming(now)
	case stateSettling:
		c.stepSettling(now)
	case stateGuarding:
		c.stepGuarding(now)
	case stateAborting:
		c.stepAborting(now)
	case stateReleasing:
		if c.engine.HeldStep == 0 && c.inflight == nil {
			c.endLead("released")
		}
	}
}

// outbid raises the number of an attempt that must be followed, when a higher one was heard since.
func (c *Core) outbid() {
	must := c.lead.state == stateSettling || c.lead.state == stateGuarding || c.lead.state == stateAborting
	if must && c.highest > c.lead.attempt.Number {
		c.publish(c.lead.attempt)
	}
}

// find takes up a hold that an earlier process of this slot left behind, at its own engine or at a guard's.
func (c *Core) find(now time.Time) {
	step := c.engine.HeldStep
	if step == 0 && c.lead.attempt.Phase == PhaseNone {
		step = c.heldElsewhere(now)
	}
	if step == 0 || c.inflight != nil {
		return
	}
	c.move("found")
	c.lead.step = step
	c.publish(Attempt{Phase: PhaseSettle, Step: step})
	c.note("settle", "an engine holds and no attempt is in progress")
}

// heldElsewhere returns the step that another rank's engine holds, or zero.
func (c *Core) heldElsewhere(now time.Time) (step uint64) {
	for rank := range c.ranks {
		if s, ok := c.recent(now, rank); ok && rank != c.engine.Rank {
			step = max(step, s.HeldStep)
		}
	}
	return step
}

func (c *Core) stepPreparing(now time.Time) {
	version := c.lead.attempt.Version
	switch {
	case c.engine.HeldStep != 0:
		c.endLead("an order of an earlier attempt was carried out")
	case c.all(now, func(s State) bool { return c.followed(s) && s.Prepared == version }):
		c.move("all")
		c.lead.attempt.Incarnations = make([]uint64, c.engine.Size)
		for rank := range c.lead.attempt.Incarnations {
			c.lead.attempt.Incarnations[rank] = c.ranks[rank].Incarnation
		}
		c.lead.step, c.lead.due = 0, now.Add(armTime)
	case now.After(c.lead.due):
		c.endLead("not all ranks prepared in time")
	case c.any(func(s State) bool { return c.followed(s) && s.Refused }):
		c.endLead("a rank refused to prepare")
	}
}

func (c *Core) any(condition func(State) bool) bool {
	for _, h := range c.ranks {
		if condition(h.State) {
			return true
		}
	}
	return false
}

func (c *Core) stepHolding(now time.Time) {
	switch {
	case c.engine.HeldStep != 0 && c.inflight == nil:
		c.move("held")
		c.lead.step = c.engine.HeldStep
		c.lead.attempt.Step = c.engine.HeldStep
		c.lead.due = now.Add(armTime)
		c.advance(PhaseArm)
	case now.After(c.lead.due):
		// A hold that is carried out late is found and released.
		c.endLead("the engine did not hold in time")
	}
}

func (c *Core) stepArming(now time.Time) {
	a := c.lead.attempt
	switch {
	case c.armed(now, a.Version, a.Step):
		c.move("all")
		c.note("release", "all ranks are armed")
	case now.After(c.lead.due), c.any(func(s State) bool { return c.followed(s) && s.Refused }):
		c.abort("not all ranks armed")
	}
}

// stepSettling releases a hold that was found. A lead releases an attempt only when all ranks are armed, and gives up
// only while some rank is not. So one rank that is not armed proves that no release is on its way, and silence proves nothing.
// While all are armed and a late order may disarm one, neither is known: a guard makes an abort safe.
func (c *Core) stepSettling(now time.Time) {
	if c.settled(now) {
		return
	}
	if !c.armed(now, c.engine.Armed, c.lead.step) || c.engine.HeldStep == 0 && c.heldElsewhere(now) == 0 {
		return
	}
	if guard, ok := c.nextGuard(now); ok {
		c.move("guard")
		c.guard(now, guard)
	}
}

// settled releases armed ranks that stay so, or aborts, and reports whether it did one of them.
func (c *Core) settled(now time.Time) bool {
	version := c.engine.Armed
	switch {
	case version != 0 && c.armed(now, version, c.lead.step) && c.firm(now):
		c.move("all")
		c.note("release", "all ranks are armed")
	case version == 0, c.rules.silence(), c.any(func(s State) bool { return c.followed(s) && s.Armed != version }):
		c.abort("not all ranks are armed")
	default:
		return false
	}
	return true
}

// nextGuard returns the next steady rank after the present guard, and false while no other rank than the lead's is steady.
func (c *Core) nextGuard(now time.Time) (rank int, ok bool) {
	for i := range c.engine.Size {
		rank = (c.lead.attempt.Guard + 1 + i) % c.engine.Size
		if s, ok := c.recent(now, rank); ok && s.NoPendingRelease && rank != c.engine.Rank {
			return rank, true
		}
	}
	return 0, false
}

// guard asks a rank to hold the step too.
func (c *Core) guard(now time.Time, rank int) {
	a := c.lead.attempt
	a.Phase, a.Guard = PhaseGuard, rank
	c.lead.due = now.Add(armTime)
	c.publish(a)
	c.note("guard", "a late order may disarm a rank")
}

// stepGuarding aborts once a guard holds the step: until the guard lets it go at the end of the attempt, no pass begins
// that ranks with different maps would take part in.
func (c *Core) stepGuarding(now time.Time) {
	s, ok := c.recent(now, c.lead.attempt.Guard)
	if c.rules.guarded(ok && c.followed(s) && s.Guarding && s.HeldStep == c.lead.step) {
		c.abort("a guard holds")
		return
	}
	if c.settled(now) || !now.After(c.lead.due) {
		return
	}
	if guard, ok := c.nextGuard(now); ok {
		c.guard(now, guard)
	}
}

func (c *Core) abort(reason string) {
	c.move("failed")
	c.advance(PhaseAbort)
	c.note("abort", reason)
}

func (c *Core) stepAborting(now time.Time) {
	if c.all(now, func(s State) bool { return c.followed(s) && s.NoPendingOrders && s.Armed == 0 }) {
		c.move("all")
		c.note("release", "no rank is armed")
	}
}

// wantedLead returns the order that the lead's part wants of the own engine.
func (c *Core) wantedLead() *Order {
	switch c.lead.state {
	case stateHolding:
		if c.engine.HeldStep == 0 {
			if c.lead.step == 0 {
				c.lead.step = c.engine.Step + margin
			}
			return c.order(Order{Kind: OrderHold, Step: c.lead.step})
		}
	case stateReleasing:
		if c.engine.HeldStep != 0 {
			return c.order(Order{Kind: OrderRelease, Step: c.engine.HeldStep})
		}
	}
	return nil
}
