package mapswitch

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

// leader is the state of a rank as the leader of one attempt.
type leader struct {
	// state is a state of the lead chart.
	state chart.State
	// ballot is the attempt; it is not valid while state is resting.
	ballot Ballot
	// plan is the encoded new map and newMap its identity.
	plan   []byte
	newMap uint64
	// step is the first step with the new map, set once all ranks are prepared.
	step uint64
	// deadline is when the attempt is given up.
	deadline time.Time
	// resendAt is the time of the next message to ranks that have not answered.
	resendAt time.Time
	// incarnations holds the slot incarnations of the ranks that prepared.
	incarnations map[int]uint64
	// armed holds the other ranks that are armed.
	armed map[int]bool
}

// beginAttempt starts an attempt with a higher number than all known ones.
func (s *Switch) beginAttempt(now time.Time, b *Begin) []Action {
	if !s.Ready() || s.orderInFlight {
		return nil
	}
	s.highestAttempt = max(s.highestAttempt, s.promised.Attempt, s.engine.Decided.Attempt) + 1
	s.leader = leader{
		state: s.leader.state, ballot: Ballot{Attempt: s.highestAttempt, LeaderRank: s.Rank, LeaderIncarnation: s.Incarnation},
		plan: b.Plan, newMap: b.Map, deadline: now.Add(s.AttemptTimeout), resendAt: now.Add(s.ResendInterval),
		incarnations: map[int]uint64{}, armed: map[int]bool{},
	}
	s.transitionLeader("begin")
	actions := []Action{{Change: &Change{Event: "begin", Ballot: s.leader.ballot, Map: b.Map}}}
	return append(actions, s.sendPrepare(now)...)
}

func (s *Switch) transitionLeader(signal chart.Signal) {
	next, err := leadChart.Next(s.leader.state, signal)
	if err != nil {
		panic(err)
	}
	s.leader.state = next
}

// sendPrepare sends the new map to the ranks that have not prepared it.
func (s *Switch) sendPrepare(now time.Time) (actions []Action) {
	m := s.message(KindPrepare, s.leader.ballot)
	m.Map, m.Plan = s.leader.newMap, s.leader.plan
	for rank := range s.Ranks {
		if _, ok := s.leader.incarnations[rank]; !ok && s.leader.state == statePreparing {
			actions = append(actions, s.send(now, rank, m)...)
		}
	}
	return actions
}

// handlePrepared counts a rank that loaded the new map. If the rank has restarted since, the attempt is given up.
func (s *Switch) handlePrepared(now time.Time, m *Message) []Action {
	if s.leader.state == stateResting || s.leader.ballot != m.Ballot() {
		return nil
	}
	if incarnation, ok := s.leader.incarnations[m.Rank]; ok {
		if incarnation != m.Sender {
			return s.giveUpAttempt("a rank restarted")
		}
		return nil
	}
	s.leader.incarnations[m.Rank] = m.Sender
	s.leader.step = max(s.leader.step, m.Step)
	if len(s.leader.incarnations) < s.Ranks {
		return nil
	}
	s.leader.step += s.StepMargin
	s.transitionLeader("all")
	if s.Ranks == 1 {
		return s.armLeader(now)
	}
	return s.sendArm()
}

// sendArm asks the other ranks that are not armed yet to arm.
func (s *Switch) sendArm() (actions []Action) {
	for rank := range s.Ranks {
		if rank == s.Rank || s.leader.armed[rank] {
			continue
		}
		m := s.message(KindArm, s.leader.ballot)
		m.Step, m.Receiver = s.leader.step, s.leader.incarnations[rank]
		actions = append(actions, Action{Send: &Send{Rank: rank, Message: m}})
	}
	return actions
}

// handleArmed counts a rank that is armed. Once all other ranks are, the leader arms itself, which commits the attempt.
func (s *Switch) handleArmed(now time.Time, m *Message) []Action {
	if s.leader.state != stateArming || s.leader.ballot != m.Ballot() {
		return s.countArmedPeer(m)
	}
	s.leader.armed[m.Rank] = true
	if !s.rules.unanimous(len(s.leader.armed), s.Ranks-1) {
		return nil
	}
	return s.armLeader(now)
}

// armLeader arms the leader's own rank.
func (s *Switch) armLeader(now time.Time) []Action {
	s.transitionLeader("all")
	m := s.message(KindArm, s.leader.ballot)
	m.Step, m.Receiver = s.leader.step, s.Incarnation
	return s.handleArm(now, &m)
}

// commitAttempt commits the leader's attempt, which every rank has armed.
func (s *Switch) commitAttempt() []Action {
	b := s.leader.ballot
	s.transitionLeader("end")
	actions := s.decide(b, OrderCommit)
	return append(actions, s.sendOthers(s.message(KindCommit, b))...)
}

// handleRefuse aborts a ballot that a rank promised never to arm.
func (s *Switch) handleRefuse(m *Message) []Action {
	b := m.Ballot()
	actions := s.decide(b, OrderAbort)
	if actions == nil && !s.armedOrDecided(b) {
		s.abandon(b)
	}
	return append(actions, s.endAttempt(b, m.Reason)...)
}

// giveUpAttempt ends the leader's attempt; the own rank has not armed it and never will.
func (s *Switch) giveUpAttempt(reason string) []Action {
	b := s.leader.ballot
	s.abandon(b)
	return s.endAttempt(b, reason)
}

// endAttempt ends the leader's attempt if it is ballot b, and tells all other ranks that it is aborted.
func (s *Switch) endAttempt(b Ballot, reason string) []Action {
	if s.leader.state == stateResting || s.leader.ballot != b {
		return nil
	}
	s.transitionLeader("end")
	m := s.message(KindAbort, b)
	m.Reason = reason
	c := Action{Change: &Change{Event: "abort", Ballot: b, Step: s.leader.step, Map: s.leader.newMap, Reason: reason}}
	return append([]Action{c}, s.sendOthers(m)...)
}

// tickLeader gives up the attempt after its deadline, and resends messages to ranks that have not answered.
func (s *Switch) tickLeader(now time.Time) []Action {
	if s.orderInFlight || s.leader.state == stateResting || s.state == stateStarting {
		return nil
	}
	if !now.Before(s.leader.deadline) {
		return s.giveUpAttempt("not all ranks answered in time")
	}
	if now.Before(s.leader.resendAt) {
		return nil
	}
	s.leader.resendAt = now.Add(s.ResendInterval)
	if s.leader.state == statePreparing {
		return s.sendPrepare(now)
	}
	if s.leader.state == stateArming {
		return s.sendArm()
	}
	return nil
}
