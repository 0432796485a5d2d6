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

// The states that the code tells apart.
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
	// Incarnation is that of the slot process.
	Incarnation uint64
	// EnginesCanHold tells whether the engines can stop at a given step.
	EnginesCanHold bool
	// Margin is the number of steps between the furthest known step and the switch.
	Margin uint64
	// AttemptTimeout is the longest time from the start of an attempt to its last arm.
	AttemptTimeout time.Duration
	// Resend is the time between two sendings of an unanswered message.
	Resend time.Duration
	// AskDelay is the time for which an armed rank waits for a decision before it asks its peers.
	AskDelay time.Duration
	// PendingOrderTimeout is the time after which an order of an earlier slot process cannot reach the engine any more.
	PendingOrderTimeout time.Duration
}

// askWidth is the number of peers that an undecided rank asks at once.
const askWidth = 8

// Switch is the part of one rank in the switches of its group. It is not safe for concurrent use.
type Switch struct {
	Options
	// rules are the safety rules; tests weaken one at a time.
	rules rules
	// state is a state of the rank chart.
	state chart.State
	// engine is the newest known state; it means nothing while state is starting.
	engine Engine
	// busy tells that an order other than a load is in progress; messages are dropped meanwhile.
	busy bool
	// confirmed tells that the engine was read once and only the quiet time is missing.
	confirmed bool
	// due is the earliest time of the next claim, ask or comparison.
	due time.Time
	// ballot is the attempt that this rank loads, prepared, armed or decides.
	ballot Ballot
	// target is the map of ballot.
	target uint64
	// promised is the highest ballot that this rank refused; it arms none at or below.
	promised Ballot
	// seen is the highest attempt in any message.
	seen uint64
	// votes holds the peers that are known to have armed ballot.
	votes map[int]bool
	// cursor is the rank that is asked next.
	cursor int
	// loading is the map that the engine loads now, or zero.
	loading uint64
	// agreed holds the peers that use the own map, as asked since it last changed.
	agreed map[int]bool
	// lead is the part as the lead of an attempt.
	lead lead
}

// rules are the safety rules of the switch.
type rules struct {
	// unanimous reports whether the lead may arm itself, which commits.
	unanimous func(armed, others int) bool
	// keeps reports whether a promise forbids to arm a ballot.
	keeps func(promised, ballot Ballot) bool
	// meant reports whether an arm message was meant for this incarnation.
	meant func(receiver, own uint64) bool
	// reads reports whether the engine must be read before a restarted slot answers.
	reads func() bool
	// waits reports whether an armed rank without a decision goes on waiting.
	waits func() bool
	// agrees reports whether all peers use the own map.
	agrees func(agreed, others int) bool
}

var safeRules = rules{
	unanimous: func(armed, others int) bool { return armed == others },
	keeps:     func(promised, ballot Ballot) bool { return ballot.Compare(promised) <= 0 },
	meant:     func(receiver, own uint64) bool { return receiver == own },
	reads:     func() bool { return true },
	waits:     func() bool { return true },
	agrees:    func(agreed, others int) bool { return agreed == others },
}

// New returns a Switch that has not read its engine yet.
func New(o Options) *Switch {
	return newSwitch(o, safeRules)
}

func newSwitch(o Options, r rules) *Switch {
	s := &Switch{Options: o, rules: r, state: rankChart.Start, votes: map[int]bool{}, agreed: map[int]bool{}}
	s.lead.state = leadChart.Start
	if !r.reads() {
		s.state = stateIdle
	}
	return s
}

// Handle takes one event and returns what is to be done, in order.
func (s *Switch) Handle(now time.Time, e Event) []Action {
	switch {
	case e.Begin != nil:
		return s.begin(now, e.Begin)
	case e.Message != nil:
		return s.receive(now, e.Message)
	case e.Done != nil:
		return s.done(now, e.Done)
	case e.Engine != nil:
		return s.report(e.Engine)
	case e.Tick != nil:
		return s.tick(now)
	}
	return nil
}

// Ready reports whether a new attempt may begin at this rank.
func (s *Switch) Ready() bool {
	return s.state == stateIdle && s.lead.state == stateResting
}

// Open reports whether the group's admission is open at this rank. It is always so for engines that can hold.
func (s *Switch) Open() bool {
	if s.EnginesCanHold {
		return true
	}
	return s.settled() && s.rules.agrees(len(s.agreed), s.Ranks-1)
}

// settled reports whether the rank is not bound to any ballot.
func (s *Switch) settled() bool {
	return s.state == stateIdle || s.state == stateLoading || s.state == statePrepared
}

// Map returns the map in use, or zero while it is not known.
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

// move takes the rank along its chart; a signal that the state does not know is a fault of the code.
func (s *Switch) move(signal chart.Signal) {
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

// send returns the action that sends a message; the own rank takes its messages at once.
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
		s.busy = true
	}
	return []Action{{Order: &o}}
}

func (s *Switch) change(event string, b Ballot, reason string) Action {
	return Action{Change: &Change{Event: event, Ballot: b, Step: s.stepOf(b), Map: s.target, Reason: reason}}
}

// stepOf returns the step of a ballot that is armed here, or zero.
func (s *Switch) stepOf(b Ballot) uint64 {
	if s.engine.Armed != nil && s.engine.Armed.Ballot == b {
		return s.engine.Armed.Step
	}
	return 0
}
