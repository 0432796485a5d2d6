package hold

import "cmp"

// Phase is what a lead wants of the ranks; within an attempt it only rises.
type Phase int

// The phases of an attempt.
const (
	// PhaseNone means that no attempt is known.
	PhaseNone Phase = iota
	// PhasePrepare copies the new map.
	PhasePrepare
	// PhaseArm arms the ranks for the step that the lead's engine holds.
	PhaseArm
	// PhaseSettle makes the ranks stop what they did for earlier attempts and report.
	PhaseSettle
	// PhaseGuard makes one more rank hold the step, so that a release of an earlier lead that comes late releases nobody.
	PhaseGuard
	// PhaseAbort disarms the ranks.
	PhaseAbort
	// PhaseRest ends the attempt.
	PhaseRest
)

// Ballot orders attempts.
type Ballot struct {
	// Number rises with each attempt that a lead knows of.
	Number uint64
	// LeaderIncarnation is the incarnation of the lead's slot.
	LeaderIncarnation uint64
}

// Compare orders ballots.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, c.Number), cmp.Compare(b.LeaderIncarnation, c.LeaderIncarnation))
}

// Attempt is a lead's attempt at a switch, as all ranks follow it.
type Attempt struct {
	Ballot
	Group string
	Epoch uint64
	Phase Phase
	// Version is that of the new map.
	Version uint64
	// Step is the step that is held, from PhaseArm on.
	Step uint64
	// Map is known in PhasePrepare.
	Map [][][]int
	// Guard is the rank that holds the step beside the lead's, in PhaseGuard.
	Guard int
	// Incarnations are the incarnations of the slots that prepared, by rank, from PhaseArm on: news of the lead may reach
	// a slot that has restarted since, which must not arm.
	Incarnations []uint64
}

// State is what a slot tells the other slots of its rank.
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
	// NoPendingOrders tells that no order of the slot, or of its predecessor, can still be carried out.
	NoPendingOrders bool
	// NoPendingDisarm tells that no order can be carried out late that would disarm the rank.
	NoPendingDisarm bool
	// Ballot and Phase are those of the attempt that the slot follows.
	Ballot Ballot
	Phase  Phase
	// Refused tells that the engine refused what the attempt wants.
	Refused bool
	// NoPendingRelease tells that no order can be carried out late that would let the engine go.
	NoPendingRelease bool
	// Guarding tells that the engine holds by an order of this slot, and goes only by a further one.
	Guarding bool
}
