package mapswitch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newClaimed returns a switch that has read its engine.
func newClaimed(e Engine) *Switch {
	s := New(Options{Group: "g", Rank: 1, Ranks: 3, Incarnation: 9, EnginesCanHold: true, StepMargin: 1, AttemptTimeout: attemptTimeout})
	e.Fence = 1
	s.Handle(beforeDeadline, Event{Tick: &Tick{}})
	s.Handle(beforeDeadline, Event{OrderResult: &OrderResult{Order: Order{Kind: OrderClaim}, Engine: &e}})
	return s
}

func TestAnswers(t *testing.T) {
	b := Ballot{Attempt: 4, LeaderIncarnation: 7}
	armed := Engine{Map: 1, Armed: &Armed{Ballot: b, Step: 8, Map: 2}}
	decided := Engine{Map: 2, Decided: b}
	tests := []struct {
		name   string
		engine Engine
		kind   Kind
		want   Kind
	}{
		{"unknown ballot", Engine{Map: 1}, KindAsk, KindRefuse},
		{"armed ballot", armed, KindAsk, KindArmed},
		{"armed ballot, repeated arm", armed, KindArm, KindArmed},
		{"committed ballot", decided, KindAsk, KindCommit},
		{"committed ballot, repeated arm", decided, KindArm, KindCommit},
		{"committed ballot, repeated prepare", decided, KindPrepare, KindCommit},
		{"arm without prepare", Engine{Map: 1}, KindArm, KindRefuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newClaimed(test.engine)
			actions := s.Handle(beforeDeadline, Event{Message: &Message{Group: "g", Kind: test.kind, Attempt: 4, Token: 7, Map: 2}})
			is.Equal(len(actions), 1)
			is.Equal(actions[0].Send.Message.Kind, test.want)
		})
	}
}

func TestStartingSlotAnswersNothing(t *testing.T) {
	is := is.New(t)
	s := New(Options{Group: "g", Rank: 1, Ranks: 3, EnginesCanHold: true})
	is.Equal(len(s.Handle(time.Time{}, Event{Message: &Message{Group: "g", Kind: KindAsk, Attempt: 1}})), 0)
}

func TestFailedLoadKeepsTheOldMap(t *testing.T) {
	is := is.New(t)
	s := newClaimed(Engine{Map: 1})
	actions := s.Handle(beforeDeadline, Event{Message: &Message{Group: "g", Kind: KindPrepare, Attempt: 1, Map: 2}})
	is.Equal(actions[0].Order.Kind, OrderLoad)
	actions = s.Handle(beforeDeadline, Event{OrderResult: &OrderResult{Order: *actions[0].Order, Refusal: "no room"}})
	is.Equal(actions[0].Send.Message.Kind, KindRefuse)
	is.Equal(s.Map(), uint64(1))
	is.True(s.Ready())
}
