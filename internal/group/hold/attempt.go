package hold

import (
	"cmp"
	"net/netip"
)

// Phase is the phase of an attempt; within an attempt it only increases.
type Phase int

// The phases of an attempt.
const (
	// PhaseNone means that no attempt is known.
	PhaseNone Phase = iota
	// PhasePrepare makes the ranks load the new map.
	PhasePrepare
	// PhaseArm arms the ranks for the step that the leader's engine holds.
	PhaseArm
	// PhaseSettle makes the ranks give up earlier attempts and report their state.
	PhaseSettle
	// PhaseGuard makes one more rank hold the step, so that a delayed release of an earlier leader has no effect.
	PhaseGuard
	// PhaseAbort disarms the ranks.
	PhaseAbort
	// PhaseEnded ends the attempt.
	PhaseEnded
)

// Ballot orders attempts.
type Ballot struct {
	// Number is higher than that of any attempt known to the leader.
	Number uint64
	// LeaderIncarnation is the incarnation of the leader's slot.
	LeaderIncarnation uint64
}

// Compare orders ballots.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, c.Number), cmp.Compare(b.LeaderIncarnation, c.LeaderIncarnation))
}

// Attempt is a leader's attempt at a switch, which all ranks follow.
type Attempt struct {
	Ballot
	Group string
	Epoch uint64
	Phase Phase
	// Version is the version of the new map.
	Version uint64
	// Step is the held step; it is set from PhaseArm on.
	Step uint64
	// Map holds the experts of the new map by set and rank; it is set in PhasePrepare.
	Map [][][]int
	// Guard is the rank that holds the step in addition to the leader; it is set in PhaseGuard.
	Guard int
	// Aborted is set in PhaseEnded if no rank is armed for Step and none can be armed for it any more.
	Aborted bool
	// Incarnations lists the incarnations of the slots that prepared, by rank; it is set from PhaseArm on.
	// A slot that has restarted since must not arm when it receives the attempt.
	Incarnations []uint64
}

// State is the state of a rank that its slot sends to the other slots.
type State struct {
	// Incarnation is the incarnation of the slot.
	Incarnation uint64
	Group       string
	Epoch       uint64
	Rank        int
	Size        int
	Open        bool
	Step        uint64
	// MapVersion, Prepared, Armed, ArmedStep and HeldStep are as in Engine.
	MapVersion, Prepared, Armed, ArmedStep, HeldStep uint64
	// NoPendingOrders means that no order is in progress and no arm or disarm order of the slot, nor an arm order of its
	// predecessor, is pending.
	NoPendingOrders bool
	// NoPendingDisarm means that no pending order can disarm the rank.
	NoPendingDisarm bool
	// Ballot and Phase identify the attempt that the slot follows, and its phase.
	Ballot Ballot
	Phase  Phase
	// Refused means that the engine refused an order of the attempt.
	Refused bool
	// NoPendingRelease means that no pending order can release the engine.
	NoPendingRelease bool
	// Guarding means that the engine holds by an order of this slot, and only a further order of it releases the engine.
	Guarding bool
	// Pace is as in Engine.
	Pace float64
	// Engine is the address at which other slots reach the engine; it is invalid if it is not known.
	Engine netip.AddrPort
}
