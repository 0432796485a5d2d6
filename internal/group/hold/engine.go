// Package hold switches the expert map of a group whose engines can hold the whole group at a step.
// The hold of one rank keeps all ranks from beginning the step, so the ranks can arm for it in any order and at any time.
package hold

// Engine is an engine's report of its rank.
type Engine struct {
	// Group names the group, Epoch identifies its incarnation, Rank is the engine's rank and Size the number of ranks.
	Group string
	Epoch uint64
	Rank  int
	Size  int
	// Open means that the group runs requests.
	Open bool
	// Step is the latest step that has begun.
	Step uint64
	// MapVersion is the version in use and Prepared the latest completely loaded one.
	MapVersion, Prepared uint64
	// Armed is the version that will be in use from ArmedStep on, or zero.
	Armed, ArmedStep uint64
	// HeldStep is the step at which the engine holds the group, or zero.
	HeldStep uint64
	// StartUnixMilli is the start of the engine in Unix milliseconds.
	StartUnixMilli int64
	// Pace is the factor by which the engine is slower than usual, or zero if it is not known.
	Pace float64
}

// OrderKind is the type of an order to an engine.
type OrderKind string

// The orders to an engine.
const (
	// OrderPrepare loads the experts of a map in addition to those in use.
	OrderPrepare OrderKind = "prepare"
	// OrderArm makes the rank switch when a step begins; it is refused once that step has begun.
	OrderArm OrderKind = "arm"
	// OrderDisarm cancels an arm order.
	OrderDisarm OrderKind = "disarm"
	// OrderHold keeps the group from beginning a step until OrderRelease.
	OrderHold OrderKind = "hold"
	// OrderRelease releases a hold.
	OrderRelease OrderKind = "go"
)

// Order is an order to the rank's own engine or, if the slot beside it is silent, to that of another rank.
type Order struct {
	Kind OrderKind
	// Epoch identifies the group incarnation that the order is valid for.
	Epoch uint64
	// Version is the version of the map; it is set in prepare, arm and disarm orders.
	Version uint64
	// Step is set in arm, hold and release orders.
	Step uint64
	// Map holds the experts by set and rank; it is set in prepare orders.
	Map [][][]int
}

// Counts holds how often a rank's requests have chosen each expert since the engine started.
type Counts struct {
	Epoch uint64
	// Chosen lists the counts of the experts of the first set, then those of the next sets.
	Chosen []uint64
}

// RankExperts holds the experts of one rank.
type RankExperts struct {
	// MapVersion is the version of the map.
	MapVersion uint64
	// Experts lists the experts by set.
	Experts [][]int
}
