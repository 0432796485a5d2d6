package mapswitch

import (
	"time"
)

// receive handles a message. A rank that has not read its engine's state drops all messages.
func (s *Switch) receive(now time.Time, m *Message) []Action {
	s.highestAttempt = max(s.highestAttempt, m.Attempt)
	if s.orderInFlight || s.state == stateStarting || m.Group != s.Group {
		return nil
	}
	switch m.Kind {
	case KindPrepare:
		return s.handlePrepare(now, m)
	case KindPrepared:
		return s.handlePrepared(now, m)
	case KindArm:
		return s.handleArm(now, m)
	case KindArmed:
		return s.handleArmed(now, m)
	case KindRefuse:
		return s.handleRefuse(m)
	case KindCommit:
		return s.decide(m.Ballot(), OrderCommit)
	case KindAbort:
		return s.handleAbort(m)
	case KindAsk:
		return s.answerStatus(now, m)
	case KindCompare:
		return s.send(now, m.Rank, s.mapInUse(m))
	case KindMapInUse:
		s.comparePeerMap(m)
	}
	return nil
}

// handlePrepare loads a new map, or refuses it because of a higher or an undecided ballot.
func (s *Switch) handlePrepare(now time.Time, m *Message) []Action {
	b := m.Ballot()
	if s.armedOrDecided(b) {
		return s.answerStatus(now, m)
	}
	if s.ballot == b {
		return s.answerRepeatedPrepare(now, b)
	}
	if reason := s.refusalReason(b); reason != "" {
		return s.refuse(now, b, m.Rank, reason)
	}
	actions := s.supersede()
	s.ballot, s.newMap = b, m.Map
	s.transition("prepare")
	return append(actions, s.load(now, m.Plan)...)
}

// refusalReason returns why a rank cannot prepare a ballot, or an empty string.
func (s *Switch) refusalReason(b Ballot) string {
	if s.rules.promiseForbids(s.promised, b) {
		return "a newer attempt was seen"
	}
	switch s.state {
	case stateIdle:
		return ""
	case stateLoading, statePrepared, stateDraining:
		if b.Compare(s.ballot) > 0 {
			return ""
		}
		return "a newer attempt is in progress"
	}
	return "another attempt is not decided yet"
}

// supersede gives up the current attempt in favour of a higher ballot.
func (s *Switch) supersede() []Action {
	if s.state == stateIdle {
		return nil
	}
	old := s.ballot
	s.abandon(old)
	return s.endAttempt(old, "a newer attempt was seen")
}

// load orders the engine to load newMap unless it has the map or is loading it already.
func (s *Switch) load(now time.Time, plan []byte) []Action {
	if s.engine.Staged == s.newMap || s.engine.Map == s.newMap {
		return s.mapLoaded(now)
	}
	if s.loading == s.newMap {
		return nil
	}
	s.loading = s.newMap
	return s.order(Order{Kind: OrderLoad, Ballot: s.ballot, Map: s.newMap, Plan: plan})
}

// answerRepeatedPrepare answers a prepare message that was handled before.
func (s *Switch) answerRepeatedPrepare(now time.Time, b Ballot) []Action {
	switch s.state {
	case statePrepared:
		return s.send(now, b.LeaderRank, s.preparedMessage())
	case stateIdle:
		return s.answerStatus(now, &Message{Attempt: b.Attempt, Lead: b.LeaderRank, Token: b.LeaderIncarnation, Rank: b.LeaderRank})
	}
	return nil
}

func (s *Switch) preparedMessage() Message {
	m := s.message(KindPrepared, s.ballot)
	m.Step = s.engine.Step
	return m
}

// mapLoaded tells the leader that the new map is completely loaded.
func (s *Switch) mapLoaded(now time.Time) []Action {
	s.transition("loaded")
	return s.send(now, s.ballot.LeaderRank, s.preparedMessage())
}

// abandon gives up a ballot that is not armed and promises never to arm it. A loaded map stays for the next attempt.
func (s *Switch) abandon(b Ballot) {
	if !s.rules.promiseForbids(b, b) {
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
		s.transition("refuse")
	}
}

// refuse promises a rank, which may be the own one, that this rank will never arm a ballot. The ballot must not be armed
// at this rank. If this rank leads the attempt, the attempt ends.
func (s *Switch) refuse(now time.Time, b Ballot, rank int, reason string) []Action {
	s.abandon(b)
	m := s.message(KindRefuse, b)
	m.Reason = reason
	actions := s.send(now, rank, m)
	if rank != s.Rank {
		actions = append(actions, s.endAttempt(b, reason)...)
	}
	return actions
}

// handleArm arms the engine for a prepared ballot, so that it holds at the ballot's step.
func (s *Switch) handleArm(now time.Time, m *Message) []Action {
	b := m.Ballot()
	if s.armedOrDecided(b) {
		return s.answerStatus(now, m)
	}
	if s.state == stateDraining && s.ballot == b {
		return nil
	}
	if s.state != statePrepared || s.ballot != b {
		return s.refuse(now, b, m.Rank, "the map is not prepared at this rank")
	}
	if !s.rules.addressedToOwn(m.Receiver, s.Incarnation) || s.rules.promiseForbids(s.promised, b) {
		return s.refuse(now, b, m.Rank, "the attempt was given up at this rank")
	}
	if !s.EnginesCanHold {
		s.transition("drain")
		return s.armIfDrained()
	}
	s.transition("arm")
	return s.order(Order{Kind: OrderArm, Ballot: b, Step: m.Step, Map: s.newMap})
}

// armIfDrained arms an engine that cannot hold once it runs no request; admission is closed meanwhile.
func (s *Switch) armIfDrained() []Action {
	if s.state != stateDraining || !s.engine.Idle {
		return nil
	}
	s.transition("arm")
	return s.order(Order{Kind: OrderArm, Ballot: s.ballot, Map: s.newMap})
}

// armedOrDecided reports whether the engine armed or committed a ballot.
func (s *Switch) armedOrDecided(b Ballot) bool {
	return s.engine.Decided == b || s.engine.Armed != nil && s.engine.Armed.Ballot == b
}

// answerStatus replies with the status of a ballot. A ballot that is not armed is refused for good.
func (s *Switch) answerStatus(now time.Time, m *Message) []Action {
	b := m.Ballot()
	switch {
	case s.engine.Decided == b:
		return s.send(now, m.Rank, s.message(KindCommit, b))
	case s.armedOrDecided(b):
		return s.send(now, m.Rank, s.message(KindArmed, b))
	}
	return s.refuse(now, b, m.Rank, "the attempt is not armed at this rank")
}

// countArmedPeer counts a peer that armed the own ballot. Once all peers have, any rank may commit.
func (s *Switch) countArmedPeer(m *Message) []Action {
	if s.state != stateArmed || s.ballot != m.Ballot() || m.Rank == s.Rank {
		return nil
	}
	s.armedPeers[m.Rank] = true
	if !s.rules.unanimous(len(s.armedPeers), s.Ranks-1) {
		return nil
	}
	return s.decide(s.ballot, OrderCommit)
}

// decide orders the engine to commit or abort an armed, undecided ballot.
func (s *Switch) decide(b Ballot, kind OrderKind) []Action {
	if s.state != stateArmed || s.ballot != b {
		return nil
	}
	s.transition("decide")
	return append([]Action{s.newChange(string(kind), b, "")}, s.order(Order{Kind: kind, Ballot: b})...)
}

// handleAbort aborts a ballot that another rank reports as given up.
func (s *Switch) handleAbort(m *Message) []Action {
	b := m.Ballot()
	if s.state == stateArmed && s.ballot == b {
		return s.decide(b, OrderAbort)
	}
	if !s.armedOrDecided(b) {
		s.abandon(b)
	}
	return s.endAttempt(b, m.Reason)
}

// mapInUse answers a compare message with the map in use. It echoes the step of the compare message, by which the rank
// that sent it detects delayed answers.
func (s *Switch) mapInUse(m *Message) Message {
	reply := s.message(KindMapInUse, Ballot{})
	reply.Map, reply.Step, reply.Receiver = s.engine.Map, m.Step, m.Sender
	return reply
}

// comparePeerMap counts a peer that uses the own map.
func (s *Switch) comparePeerMap(m *Message) {
	if m.Receiver != s.Incarnation || m.Step != s.engine.Decided.Attempt {
		return
	}
	if m.Map == s.engine.Map {
		s.agreeingPeers[m.Rank] = true
	}
}

// orderDone handles the end of an order.
func (s *Switch) orderDone(now time.Time, d *OrderResult) []Action {
	if d.Order.Kind == OrderLoad {
		return s.loadDone(now, d)
	}
	s.orderInFlight = false
	if d.Engine == nil {
		return s.outcomeUnknown(now)
	}
	if s.state == stateStarting && d.Engine.Fence == 0 && !s.awaitingPendingOrders {
		s.awaitingPendingOrders = true
		s.wakeAt = now.Add(s.PendingOrderTimeout)
		return nil
	}
	s.awaitingPendingOrders = false
	return s.adoptEngine(now, d)
}

// outcomeUnknown handles an order without an answer by reading the engine again after PendingOrderTimeout.
func (s *Switch) outcomeUnknown(now time.Time) []Action {
	s.wakeAt = now.Add(s.PendingOrderTimeout)
	if s.state != stateStarting {
		s.transition("lost")
	}
	// The leader's ballot may be armed now, so it must not be given up; the ranks ask each other for the decision.
	if s.leader.state != stateResting {
		s.transitionLeader("end")
	}
	return nil
}

// adoptEngine adopts the state that the engine reported after an order.
func (s *Switch) adoptEngine(now time.Time, d *OrderResult) []Action {
	if d.Engine.Map != s.engine.Map || d.Order.Kind == OrderClaim {
		clear(s.agreeingPeers)
	}
	s.engine = *d.Engine
	if d.Order.Kind == OrderCommit || d.Order.Kind == OrderAbort {
		s.abandon(d.Order.Ballot)
	}
	switch a := s.engine.Armed; {
	case a == nil:
		s.transition("free")
	case a.Committed:
		s.ballot, s.newMap = a.Ballot, a.Map
		s.transition("passing")
	case s.armedAgainstPromise(a.Ballot):
		s.ballot, s.newMap = a.Ballot, a.Map
		s.transition("held")
		return s.decide(a.Ballot, OrderAbort)
	default:
		s.ballot, s.newMap = a.Ballot, a.Map
		s.transition("held")
		clear(s.armedPeers)
		s.wakeAt = now.Add(s.AskDelay)
	}
	switch {
	case d.Order.Kind == OrderArm && s.state == stateArmed:
		return append([]Action{s.newChange("armed", s.ballot, "")}, s.announceArmed(now)...)
	case d.Order.Kind == OrderArm:
		return s.refuse(now, d.Order.Ballot, d.Order.Ballot.LeaderRank, d.Refusal)
	}
	return nil
}

// armedAgainstPromise reports whether a delayed order armed a ballot after this rank had promised not to.
func (s *Switch) armedAgainstPromise(b Ballot) bool {
	return s.ballot != b && s.rules.promiseForbids(s.promised, b)
}

// announceArmed tells the leader that the engine is armed. At the leader itself, which arms last, it commits.
func (s *Switch) announceArmed(now time.Time) []Action {
	if s.leader.state == stateSealing && s.leader.ballot == s.ballot {
		return s.commitAttempt()
	}
	return s.send(now, s.ballot.LeaderRank, s.message(KindArmed, s.ballot))
}

// loadDone handles the end of a load. If it failed, the old map stays in use.
func (s *Switch) loadDone(now time.Time, d *OrderResult) []Action {
	if s.loading == d.Order.Map {
		s.loading = 0
	}
	complete := d.Engine != nil && d.Refusal == ""
	if complete {
		s.engine.Staged = d.Order.Map
	}
	if s.state != stateLoading || s.newMap != d.Order.Map {
		return nil
	}
	if !complete {
		return s.refuse(now, s.ballot, s.ballot.LeaderRank, "load failed: "+d.Refusal)
	}
	return s.mapLoaded(now)
}

// engineReport handles an engine report, which may be older than the latest order. It therefore takes over only the step,
// which never decreases, and Idle. If the engine is armed for a ballot that this slot does not know, it is read again.
func (s *Switch) engineReport(e *Engine) []Action {
	s.engine.Step = max(s.engine.Step, e.Step)
	s.engine.Idle = e.Idle
	a := s.engine.Armed
	if s.state == stateCommitted && s.engine.Step >= a.Step {
		s.engine.Map, s.engine.Armed = a.Map, nil
		if s.engine.Staged == a.Map {
			s.engine.Staged = 0
		}
		s.transition("free")
	}
	if s.unbound() && !s.orderInFlight && e.Armed != nil && !s.armedOrDecided(e.Armed.Ballot) {
		s.transition("lost")
		return nil
	}
	return s.armIfDrained()
}

// tick runs the timers that have expired.
func (s *Switch) tick(now time.Time) []Action {
	actions := s.tickLeader(now)
	if s.orderInFlight || now.Before(s.wakeAt) {
		return actions
	}
	switch {
	case s.state == stateStarting:
		return append(actions, s.order(Order{Kind: OrderClaim})...)
	case s.state == stateArmed && !s.rules.waitsForDecision():
		return append(actions, s.decide(s.ballot, OrderAbort)...)
	case s.state == stateArmed:
		s.wakeAt = now.Add(s.ResendInterval)
		return append(actions, s.askPeers()...)
	case !s.EnginesCanHold && !s.Open() && s.unbound():
		s.wakeAt = now.Add(s.ResendInterval)
		m := s.message(KindCompare, Ballot{})
		m.Step = s.engine.Decided.Attempt
		return append(actions, s.sendOthers(m)...)
	}
	return actions
}

// askPeers asks the next askFanout peers in turn for the decision.
func (s *Switch) askPeers() (actions []Action) {
	for range min(askFanout, s.Ranks-1) {
		s.askCursor = (s.askCursor + 1) % s.Ranks
		if s.askCursor == s.Rank {
			s.askCursor = (s.askCursor + 1) % s.Ranks
		}
		actions = append(actions, Action{Send: &Send{Rank: s.askCursor, Message: s.message(KindAsk, s.ballot)}})
	}
	return actions
}
