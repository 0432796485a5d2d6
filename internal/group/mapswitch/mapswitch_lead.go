package mapswitch

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

// lead is the part of a rank as the lead of one attempt.
type lead struct {
	// state is a state of the lead chart.
	state chart.State
	// ballot is the attempt; it means nothing while state is resting.
	ballot Ballot
	// plan and target are the new map.
	plan   []byte
	target uint64
	// step is the first step with the new map, set once all ranks are prepared.
	step uint64
	// deadline is when the attempt is given up.
	deadline time.Time
	// due is the time of the next sending to ranks that have not answered.
	due time.Time
	// lives holds the incarnations of the ranks that prepared.
	lives map[int]uint64
	// armed holds the other ranks that armed.
	armed map[int]bool
}

// begin starts an attempt above all that were seen.
func (s *Switch) begin(now time.Time, b *Begin) []Action {
	if !s.Ready() || s.busy {
		return nil
	}
	s.seen = max(s.seen, s.promised.Attempt, s.engine.Decided.Attempt) + 1
	s.lead = lead{
		state: s.lead.state, ballot: Ballot{Attempt: s.seen, LeaderRank: s.Rank, LeaderIncarnation: s.Incarnation},
		plan: b.Plan, target: b.Map, deadline: now.Add(s.AttemptTimeout), due: now.Add(s.Resend),
		lives: map[int]uint64{}, armed: map[int]bool{},
	}
	s.moveLead("begin")
	actions := []Action{{Change: &Change{Event: "begin", Ballot: s.lead.ballot, Map: b.Map}}}
	return append(actions, s.sendPrepare(now)...)
}

func (s *Switch) moveLead(signal chart.Signal) {
	next, err := leadChart.Next(s.lead.state, signal)
	if err != nil {
		panic(err)
	}
	s.lead.state = next
}

// sendPrepare sends the new map to the ranks that have not prepared it.
func (s *Switch) sendPrepare(now time.Time) (actions []Action) {
	m := s.message(KindPrepare, s.lead.ballot)
	m.Map, m.Plan = s.lead.target, s.lead.plan
	for rank := range s.Ranks {
		if _, ok := s.lead.lives[rank]; !ok && s.lead.state == statePreparing {
			actions = append(actions, s.send(now, rank, m)...)
		}
	}
	return actions
}

// prepared counts a rank that loaded the new map. A rank that restarted since ends the attempt.
func (s *Switch) prepared(now time.Time, m *Message) []Action {
	if s.lead.state == stateResting || s.lead.ballot != m.Ballot() {
		return nil
	}
	if life, ok := s.lead.lives[m.Rank]; ok {
		if life != m.Sender {
			return s.giveUp("a rank restarted")
		}
		return nil
	}
	s.lead.lives[m.Rank] = m.Sender
	s.lead.step = max(s.lead.step, m.Step)
	if len(s.lead.lives) < s.Ranks {
		return nil
	}
	s.lead.step += s.Margin
	s.moveLead("all")
	if s.Ranks == 1 {
		return s.armOwn(now)
	}
	return s.sendArm()
}

// sendArm asks the other ranks that have not armed to do so.
func (s *Switch) sendArm() (actions []Action) {
	for rank := range s.Ranks {
		if rank == s.Rank || s.lead.armed[rank] {
			continue
		}
		m := s.message(KindArm, s.lead.ballot)
		m.Step, m.Receiver = s.lead.step, s.lead.lives[rank]
		actions = append(actions, Action{Send: &Send{Rank: rank, Message: m}})
	}
	return actions
}

// armed counts a rank that armed. After all others the lead arms itself, which commits.
func (s *Switch) armed(now time.Time, m *Message) []Action {
	if s.lead.state != stateArming || s.lead.ballot != m.Ballot() {
		return s.vote(m)
	}
	s.lead.armed[m.Rank] = true
	if !s.rules.unanimous(len(s.lead.armed), s.Ranks-1) {
		return nil
	}
	return s.armOwn(now)
}

// armOwn arms the lead's rank.
func (s *Switch) armOwn(now time.Time) []Action {
	s.moveLead("all")
	own := s.message(KindArm, s.lead.ballot)
	own.Step, own.Receiver = s.lead.step, s.Incarnation
	return s.arm(now, &own)
}

// seal commits the attempt, since every rank has armed it now.
func (s *Switch) seal() []Action {
	b := s.lead.ballot
	s.moveLead("end")
	actions := s.decide(b, OrderCommit)
	return append(actions, s.sendOthers(s.message(KindCommit, b))...)
}

// refused takes the promise of a rank never to arm a ballot, which aborts it.
func (s *Switch) refused(m *Message) []Action {
	b := m.Ballot()
	actions := s.decide(b, OrderAbort)
	if actions == nil && !s.holds(b) {
		s.drop(b)
	}
	return append(actions, s.endLead(b, m.Reason)...)
}

// giveUp ends the own attempt; this rank has not armed it and never will.
func (s *Switch) giveUp(reason string) []Action {
	b := s.lead.ballot
	s.drop(b)
	return s.endLead(b, reason)
}

// endLead tells all ranks that the own attempt is aborted, if it is the ballot.
func (s *Switch) endLead(b Ballot, reason string) []Action {
	if s.lead.state == stateResting || s.lead.ballot != b {
		return nil
	}
	s.moveLead("end")
	m := s.message(KindAbort, b)
	m.Reason = reason
	c := Action{Change: &Change{Event: "abort", Ballot: b, Step: s.lead.step, Map: s.lead.target, Reason: reason}}
	return append([]Action{c}, s.sendOthers(m)...)
}

// tickLead gives up an attempt that takes too long and repeats what was not answered.
func (s *Switch) tickLead(now time.Time) []Action {
	if s.busy || s.lead.state == stateResting || s.state == stateStarting {
		return nil
	}
	if !now.Before(s.lead.deadline) {
		return s.giveUp("not all ranks answered in time")
	}
	if now.Before(s.lead.due) {
		return nil
	}
	s.lead.due = now.Add(s.Resend)
	if s.lead.state == statePreparing {
		return s.sendPrepare(now)
	}
	if s.lead.state == stateArming {
		return s.sendArm()
	}
	return nil
}
