package mapswitch

import (
	"time"
)

// receive takes a message. A rank that does not know its engine's state answers none.
func (s *Switch) receive(now time.Time, m *Message) []Action {
	s.seen = max(s.seen, m.Attempt)
	if s.busy || s.state == stateStarting || m.Group != s.Group {
		return nil
	}
	switch m.Kind {
	case KindPrepare:
		return s.prepare(now, m)
	case KindPrepared:
		return s.prepared(now, m)
	case KindArm:
		return s.arm(now, m)
	case KindArmed:
		return s.armed(now, m)
	case KindRefuse:
		return s.refused(m)
	case KindCommit:
		return s.decide(m.Ballot(), OrderCommit)
	case KindAbort:
		return s.aborted(m)
	case KindAsk:
		return s.answer(now, m)
	case KindCompare:
		return s.send(now, m.Rank, s.use(m))
	case KindUse:
		s.compare(m)
	}
	return nil
}

// prepare loads a new map, or refuses when a higher ballot or an undecided one stands in the way.
func (s *Switch) prepare(now time.Time, m *Message) []Action {
	b := m.Ballot()
	if s.holds(b) {
		return s.answer(now, m)
	}
	if s.ballot == b {
		return s.repeat(now, b)
	}
	if reason := s.obstacle(b); reason != "" {
		return s.refuse(now, b, m.Rank, reason)
	}
	actions := s.supersede()
	s.ballot, s.target = b, m.Map
	s.move("prepare")
	return append(actions, s.load(now, m.Plan)...)
}

// obstacle returns why a rank cannot prepare a ballot, or nothing.
func (s *Switch) obstacle(b Ballot) string {
	if s.rules.keeps(s.promised, b) {
		return "a newer attempt was seen"
	}
	switch s.state {
	case stateIdle:
		return ""
	case stateLoading, statePrepared, stateDraining:
		if b.Compare(s.ballot) > 0 {
			return ""
		}
		return "a newer attempt is under way"
	}
	return "another attempt is not decided yet"
}

// supersede gives up the attempt that a higher ballot replaces.
func (s *Switch) supersede() []Action {
	if s.state == stateIdle {
		return nil
	}
	old := s.ballot
	s.drop(old)
	return s.endLead(old, "a newer attempt was seen")
}

// load loads the target unless the engine has it or is loading it already.
func (s *Switch) load(now time.Time, plan []byte) []Action {
	if s.engine.Staged == s.target || s.engine.Map == s.target {
		return s.loaded(now)
	}
	if s.loading == s.target {
		return nil
	}
	s.loading = s.target
	return s.order(Order{Kind: OrderLoad, Ballot: s.ballot, Map: s.target, Plan: plan})
}

// repeat answers a prepare message that was taken before.
func (s *Switch) repeat(now time.Time, b Ballot) []Action {
	switch s.state {
	case statePrepared:
		return s.send(now, b.LeaderRank, s.ready())
	case stateIdle:
		return s.answer(now, &Message{Attempt: b.Attempt, Lead: b.LeaderRank, Token: b.LeaderIncarnation, Rank: b.LeaderRank})
	}
	return nil
}

func (s *Switch) ready() Message {
	m := s.message(KindPrepared, s.ballot)
	m.Step = s.engine.Step
	return m
}

// loaded tells the lead that the new map is whole.
func (s *Switch) loaded(now time.Time) []Action {
	s.move("loaded")
	return s.send(now, s.ballot.LeaderRank, s.ready())
}

// drop gives up an attempt that is not armed; the loaded map stays for the next attempt.
func (s *Switch) drop(b Ballot) {
	if !s.rules.keeps(b, b) {
		return
	}
	if s.promised.Compare(b) < 0 {
		s.promised = b
	}
	if s.ballot != b {
		return
	}
	s.ballot = Ballot{}
	switch s.state {
	case stateLoading, statePrepared, stateDraining:
		s.move("refuse")
	}
}

// refuse promises never to arm a ballot and says so. The ballot must not be armed here.
func (s *Switch) refuse(now time.Time, b Ballot, rank int, reason string) []Action {
	s.drop(b)
	m := s.message(KindRefuse, b)
	m.Reason = reason
	actions := s.send(now, rank, m)
	if rank != s.Rank {
		actions = append(actions, s.endLead(b, reason)...)
	}
	return actions
}

// arm makes the engine hold at the step of a prepared ballot.
func (s *Switch) arm(now time.Time, m *Message) []Action {
	b := m.Ballot()
	if s.holds(b) {
		return s.answer(now, m)
	}
	if s.state == stateDraining && s.ballot == b {
		return nil
	}
	if s.state != statePrepared || s.ballot != b {
		return s.refuse(now, b, m.Rank, "the map is not prepared")
	}
	if !s.rules.meant(m.Receiver, s.Incarnation) || s.rules.keeps(s.promised, b) {
		return s.refuse(now, b, m.Rank, "this attempt was given up")
	}
	if !s.EnginesCanHold {
		s.move("drain")
		return s.drained()
	}
	s.move("arm")
	return s.order(Order{Kind: OrderArm, Ballot: b, Step: m.Step, Map: s.target})
}

// drained arms an engine that cannot hold once it runs nothing; admission is closed meanwhile.
func (s *Switch) drained() []Action {
	if s.state != stateDraining || !s.engine.Idle {
		return nil
	}
	s.move("arm")
	return s.order(Order{Kind: OrderArm, Ballot: s.ballot, Map: s.target})
}

// holds reports whether the engine armed or committed a ballot.
func (s *Switch) holds(b Ballot) bool {
	return s.engine.Decided == b || s.engine.Armed != nil && s.engine.Armed.Ballot == b
}

// answer tells what is known of a ballot. One that is not armed never will be.
func (s *Switch) answer(now time.Time, m *Message) []Action {
	b := m.Ballot()
	switch {
	case s.engine.Decided == b:
		return s.send(now, m.Rank, s.message(KindCommit, b))
	case s.holds(b):
		return s.send(now, m.Rank, s.message(KindArmed, b))
	}
	return s.refuse(now, b, m.Rank, "it is not armed here")
}

// vote counts a peer that armed the own ballot; once all did, any rank may commit.
func (s *Switch) vote(m *Message) []Action {
	if s.state != stateArmed || s.ballot != m.Ballot() || m.Rank == s.Rank {
		return nil
	}
	s.votes[m.Rank] = true
	if !s.rules.unanimous(len(s.votes), s.Ranks-1) {
		return nil
	}
	return s.decide(s.ballot, OrderCommit)
}

// decide orders the engine to commit or abort an undecided ballot.
func (s *Switch) decide(b Ballot, kind OrderKind) []Action {
	if s.state != stateArmed || s.ballot != b {
		return nil
	}
	s.move("decide")
	return append([]Action{s.change(string(kind), b, "")}, s.order(Order{Kind: kind, Ballot: b})...)
}

// aborted takes the news that a ballot was given up.
func (s *Switch) aborted(m *Message) []Action {
	b := m.Ballot()
	if s.state == stateArmed && s.ballot == b {
		return s.decide(b, OrderAbort)
	}
	if !s.holds(b) {
		s.drop(b)
	}
	return s.endLead(b, m.Reason)
}

// use answers a comparison with the map in use; it repeats the asker's step so that late answers show.
func (s *Switch) use(m *Message) Message {
	reply := s.message(KindUse, Ballot{})
	reply.Map, reply.Step, reply.Receiver = s.engine.Map, m.Step, m.Sender
	return reply
}

// compare counts a peer that uses the own map.
func (s *Switch) compare(m *Message) {
	if m.Receiver != s.Incarnation || m.Step != s.engine.Decided.Attempt {
		return
	}
	if m.Map == s.engine.Map {
		s.agreed[m.Rank] = true
	}
}

// done takes the end of an order.
func (s *Switch) done(now time.Time, d *OrderResult) []Action {
	if d.Order.Kind == OrderLoad {
		return s.loadDone(now, d)
	}
	s.busy = false
	if d.Engine == nil {
		return s.lose(now)
	}
	if s.state == stateStarting && d.Engine.Fence == 0 && !s.confirmed {
		s.confirmed = true
		s.due = now.Add(s.PendingOrderTimeout)
		return nil
	}
	s.confirmed = false
	return s.adopt(now, d)
}

// lose handles an order without an answer: the engine is read again after the quiet time.
func (s *Switch) lose(now time.Time) []Action {
	s.due = now.Add(s.PendingOrderTimeout)
	if s.state != stateStarting {
		s.move("lost")
	}
	// The own ballot may be armed now, so it must not be given up; the ranks ask one another.
	if s.lead.state != stateResting {
		s.moveLead("end")
	}
	return nil
}

// adopt takes over the engine's state after an order.
func (s *Switch) adopt(now time.Time, d *OrderResult) []Action {
	if d.Engine.Map != s.engine.Map || d.Order.Kind == OrderClaim {
		clear(s.agreed)
	}
	s.engine = *d.Engine
	if d.Order.Kind == OrderCommit || d.Order.Kind == OrderAbort {
		s.drop(d.Order.Ballot)
	}
	switch a := s.engine.Armed; {
	case a == nil:
		s.move("free")
	case a.Committed:
		s.ballot, s.target = a.Ballot, a.Map
		s.move("passing")
	case s.broken(a.Ballot):
		s.ballot, s.target = a.Ballot, a.Map
		s.move("held")
		return s.decide(a.Ballot, OrderAbort)
	default:
		s.ballot, s.target = a.Ballot, a.Map
		s.move("held")
		clear(s.votes)
		s.due = now.Add(s.AskDelay)
	}
	switch {
	case d.Order.Kind == OrderArm && s.state == stateArmed:
		return append([]Action{s.change("armed", s.ballot, "")}, s.announce(now)...)
	case d.Order.Kind == OrderArm:
		return s.refuse(now, d.Order.Ballot, d.Order.Ballot.LeaderRank, d.Refusal)
	}
	return nil
}

// broken reports whether the engine armed a ballot late, after this rank had promised not to.
func (s *Switch) broken(b Ballot) bool {
	return s.ballot != b && s.rules.keeps(s.promised, b)
}

// announce tells the lead that the engine holds; the lead's own hold commits.
func (s *Switch) announce(now time.Time) []Action {
	if s.lead.state == stateSealing && s.lead.ballot == s.ballot {
		return s.seal()
	}
	return s.send(now, s.ballot.LeaderRank, s.message(KindArmed, s.ballot))
}

// loadDone takes the end of a load. The old map stays in use when it failed.
func (s *Switch) loadDone(now time.Time, d *OrderResult) []Action {
	if s.loading == d.Order.Map {
		s.loading = 0
	}
	whole := d.Engine != nil && d.Refusal == ""
	if whole {
		s.engine.Staged = d.Order.Map
	}
	if s.state != stateLoading || s.target != d.Order.Map {
		return nil
	}
	if !whole {
		return s.refuse(now, s.ballot, s.ballot.LeaderRank, "load: "+d.Refusal)
	}
	return s.loaded(now)
}

// report takes what only ever grows from a report, since a report may be older than the newest order.
func (s *Switch) report(e *Engine) []Action {
	s.engine.Step = max(s.engine.Step, e.Step)
	s.engine.Idle = e.Idle
	a := s.engine.Armed
	if s.state == stateCommitted && s.engine.Step >= a.Step {
		s.engine.Map, s.engine.Armed = a.Map, nil
		if s.engine.Staged == a.Map {
			s.engine.Staged = 0
		}
		s.move("free")
	}
	if s.settled() && !s.busy && e.Armed != nil && !s.holds(e.Armed.Ballot) {
		s.move("lost")
		return nil
	}
	return s.drained()
}

// tick acts on what has become due.
func (s *Switch) tick(now time.Time) []Action {
	actions := s.tickLead(now)
	if s.busy || now.Before(s.due) {
		return actions
	}
	switch {
	case s.state == stateStarting:
		return append(actions, s.order(Order{Kind: OrderClaim})...)
	case s.state == stateArmed && !s.rules.waits():
		return append(actions, s.decide(s.ballot, OrderAbort)...)
	case s.state == stateArmed:
		s.due = now.Add(s.Resend)
		return append(actions, s.ask()...)
	case !s.EnginesCanHold && !s.Open() && s.settled():
		s.due = now.Add(s.Resend)
		m := s.message(KindCompare, Ballot{})
		m.Step = s.engine.Decided.Attempt
		return append(actions, s.sendOthers(m)...)
	}
	return actions
}

// ask asks the next few peers for the decision.
func (s *Switch) ask() (actions []Action) {
	for range min(askWidth, s.Ranks-1) {
		s.cursor = (s.cursor + 1) % s.Ranks
		if s.cursor == s.Rank {
			s.cursor = (s.cursor + 1) % s.Ranks
		}
		actions = append(actions, Action{Send: &Send{Rank: s.cursor, Message: s.message(KindAsk, s.ballot)}})
	}
	return actions
}
