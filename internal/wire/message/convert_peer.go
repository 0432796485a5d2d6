package message

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
	"github.com/dragonflydeal/dragonflydeal/internal/site/power"
)

// EncodeSwitch returns the wire form of a message of the expert map switch.
func EncodeSwitch(m *mapswitch.Message) *Switch {
	return &Switch{
		Group: m.Group, Kind: string(m.Kind), Attempt: m.Attempt, Lead: uint32(m.Lead), Rank: uint32(m.Rank),
		Step: m.Step, Map: m.Map, Plan: m.Plan, Reason: m.Reason,
		Token: m.Token, Sender: m.Sender, Receiver: m.Receiver, Loads: m.Loads, Latency: m.Latency,
	}
}

// Decode returns the message of its wire form.
func (m *Switch) Decode() *mapswitch.Message {
	return &mapswitch.Message{
		Group: m.Group, Kind: mapswitch.Kind(m.Kind), Attempt: m.Attempt, Lead: int(m.Lead), Rank: int(m.Rank),
		Step: m.Step, Map: m.Map, Plan: m.Plan, Reason: m.Reason,
		Token: m.Token, Sender: m.Sender, Receiver: m.Receiver, Loads: m.Loads, Latency: m.Latency,
	}
}

// EncodeLoan returns the wire form of a message of power lending.
func EncodeLoan(m *power.Message) *Loan {
	return &Loan{
		Kind: string(m.Kind), Id: m.ID, Watts: m.Watts, Term: m.Term.Microseconds(), Priority: uint32(max(m.Priority, 0)),
		Sequence: m.Sequence, Work: m.Work.Microseconds(),
	}
}

// Decode returns the message of its wire form.
func (m *Loan) Decode() *power.Message {
	return &power.Message{
		Kind: power.Kind(m.Kind), ID: m.Id, Watts: m.Watts,
		Term: time.Duration(m.Term) * time.Microsecond, Priority: int(m.Priority),
		Sequence: m.Sequence, Work: time.Duration(m.Work) * time.Microsecond,
	}
}
