package mapswitch

import (
	_ "embed"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

//go:embed rank.chart
var rankData []byte

//go:embed lead.chart
var leadData []byte

var (
	rankChart = chart.MustParse(rankData)
	leadChart = chart.MustParse(leadData)
)

// The chart states that the code refers to.
const (
	stateStarting  chart.State = "starting"
	stateIdle      chart.State = "idle"
	stateLoading   chart.State = "loading"
	statePrepared  chart.State = "prepared"
	stateDraining  chart.State = "draining"
	stateArmed     chart.State = "armed"
	stateCommitted chart.State = "committed"
	stateResting   chart.State = "resting"
	statePreparing chart.State = "preparing"
	stateArming    chart.State = "arming"
	stateSealing   chart.State = "sealing"
)

// Options are the inputs of New.
type Options struct {
	// Group is the name of the group.
	Group string
	// Rank is the own rank, below Ranks.
	Rank int
	// Ranks is the number of ranks in the group.
	Ranks int
	// Incarnation is the incarnation of the slot process.
	Incarnation uint64
	// EnginesCanHold means that the engines can hold at a given step.
	EnginesCanHold bool
	// StepMargin is the number of steps between the highest known step of any rank and the switch.
	StepMargin uint64
	// AttemptTimeout bounds the time from the start of an attempt to its last arm.
	AttemptTimeout time.Duration
	// ResendInterval is the interval at which an unanswered message is sent again.
	ResendInterval time.Duration
	// AskDelay is the time that an armed rank waits for a decision before it asks its peers.
	AskDelay time.Duration
	// PendingOrderTimeout is the time after which no order of an earlier slot process can still reach the engine.
	PendingOrderTimeout time.Duration
}

// askFanout is the number of peers that an armed rank asks for the decision at once.
const askFanout = 8

// Switch is the state machine of one rank in its group's map switches. It is not safe for concurrent use.
type Switch struct {
	Options
	// rules are the safety rules; tests weaken one at a time.
	rules rules
	// state is a state of the rank chart.
	state chart.State
	// engine is the latest known state; it is not valid while state is starting.
	engine Engine
	// orderInFlight is set while an order other than a load is in progress; messages are dropped meanwhile.
	orderInFlight bool
	// awaitingPendingOrders is set if the engine ignores fencing numbers and was claimed once; it is claimed again after
	// PendingOrderTimeout, when no order of an earlier process can change its state any more.
	awaitingPendingOrders bool
	// wakeAt is the earliest time of the next claim, ask or compare.
	wakeAt time.Time
	// ballot is the attempt that this rank is loading, has prepared or armed, or is deciding.
	ballot Ballot
	// newMap is the map that ballot switches to.
	newMap uint64
	// promised is the highest ballot that this rank refused; it arms no ballot up to and including it.
	promised Ballot
	// highestAttempt is the highest attempt number seen in any message.
	highestAttempt uint64
	// armedPeers holds the peers known to have armed ballot.
	armedPeers map[int]bool
	// askCursor is the rank asked last.
	askCursor int
	// loading is the map that the engine is loading, or zero.
	loading uint64
	// agreeingPeers holds the peers that reported the own map since it last changed.
	agreeingPeers map[int]bool
	// leader is the state of this rank as the leader of an attempt.
	leader leader
}

// rules are the safety rules of the switch.
type rules struct {
	// unanimous reports whether enough other ranks are armed: then the leader may arm itself, which commits the attempt,
	// and any armed rank may commit.
	unanimous func(armed, others int) bool
	// promiseForbids reports whether a promise forbids arming a ballot.
	promiseForbids func(promised, ballot Ballot) bool
	// addressedToOwn reports whether an arm message is addressed to the own incarnation.
	addressedToOwn func(receiver, own uint64) bool
	// readsEngine reports whether a restarted slot must read its engine before it answers.
	readsEngine func() bool
	// waitsForDecision reports whether an armed rank keeps waiting for a decision.
	waitsForDecision func() bool
	// allAgree reports whether all peers use the own map.
	allAgree func(agreed, others int) bool
}

var safeRules = rules{
	unanimous:        func(armed, others int) bool { return armed == others },
	promiseForbids:   func(promised, ballot Ballot) bool { return ballot.Compare(promised) <= 0 },
	addressedToOwn:   func(receiver, own uint64) bool { return receiver == own },
	readsEngine:      func() bool { return true },
	waitsForDecision: func() bool { return true },
	allAgree:         func(agreed, others int) bool { return agreed == others },
}

// New returns a Switch that has not read its engine yet.
func New(o Options) *Switch {
	return newSwitch(o, safeRules)
}

func newSwitch(o Options, r rules) *Switch {
	s := &Switch{Options: o, rules: r, state: rankChart.Start, armedPeers: map[int]bool{}, agreeingPeers: map[int]bool{}}
	s.leader.state = leadChart.Start
	if !r.readsEngine() {
		s.state = stateIdle
	}
	return s
}

// Handle processes one event and returns the resulting actions in order.
func (s *Switch) Handle(now time.Time, e Event) []Action {
	switch {
	case e.Begin != nil:
		return s.beginAttempt(now, e.Begin)
	case e.Message != nil:
		return s.receive(now, e.Message)
	case e.OrderResult != nil:
		return s.orderDone(now, e.OrderResult)
	case e.Engine != nil:
		return s.engineReport(e.Engine)
	case e.Tick != nil:
		return s.tick(now)
	}
	return nil
}

// Ready reports whether this rank can begin a new attempt.
func (s *Switch) Ready() bool {
	return s.state == stateIdle && s.leader.state == stateResting
}

// Open reports whether this rank admits requests. If the engines can hold, it always does.
func (s *Switch) Open() bool {
	if s.EnginesCanHold {
		return true
	}
	return s.unbound() && s.rules.allAgree(len(s.agreeingPeers), s.Ranks-1)
}

// unbound reports whether no ballot binds the rank: it is idle, loading or prepared.
func (s *Switch) unbound() bool {
	return s.state == stateIdle || s.state == stateLoading || s.state == statePrepared
}

// Map returns the map in use, or zero while it is unknown.
func (s *Switch) Map() uint64 {
	if s.state == stateStarting {
		return 0
	}
	return s.engine.Map
}

// State returns the state of the rank for operators.
func (s *Switch) State() chart.State {
	return s.state
}

// transition moves the rank's chart to the next state. A signal without a transition is a programming error.
func (s *Switch) transition(signal chart.Signal) {
	next, err := rankChart.Next(s.state, signal)
	if err != nil {
		panic(err)
	}
	s.state = next
}

// message returns a message about a ballot.
func (s *Switch) message(k Kind, b Ballot) Message {
	return Message{
		Group: s.Group, Kind: k, Attempt: b.Attempt, Lead: b.LeaderRank, Token: b.LeaderIncarnation, Rank: s.Rank, Sender: s.Incarnation,
	}
}

// send returns the action that sends a message to a rank; a message to the own rank is handled at once.
func (s *Switch) send(now time.Time, rank int, m Message) []Action {
	if rank == s.Rank {
		return s.receive(now, &m)
	}
	return []Action{{Send: &Send{Rank: rank, Message: m}}}
}

// sendOthers returns the actions that send a message to all other ranks.
func (s *Switch) sendOthers(m Message) (actions []Action) {
	for rank := range s.Ranks {
		if rank != s.Rank {
			actions = append(actions, Action{Send: &Send{Rank: rank, Message: m}})
		}
	}
	return actions
}

// order returns the action that gives an order to the engine.
func (s *Switch) order(o Order) []Action {
	o.Fence = s.engine.Fence
	if o.Kind != OrderLoad {
		s.orderInFlight = true
	}
	return []Action{{Order: &o}}
}

func (s *Switch) newChange(event string, b Ballot, reason string) Action {
	return Action{Change: &Change{Event: event, Ballot: b, Step: s.armedStep(b), Map: s.newMap, Reason: reason}}
}

// armedStep returns the step that a ballot is armed for at this rank, or zero.
func (s *Switch) armedStep(b Ballot) uint64 {
	if s.engine.Armed != nil && s.engine.Armed.Ballot == b {
		return s.engine.Armed.Step
	}
	return 0
}
