// Package hold switches the expert map of a group whose engines can hold the whole group at a step.
// One rank's hold keeps every rank from beginning the step, so ranks arm for it in any order and at any pace.
package hold

// Engine is what an engine reports of its rank.
type Engine struct {
	// Group names the group, Epoch its forming and Rank the engine's place; Size is the number of ranks.
	Group string
	Epoch uint64
	Rank  int
	Size  int
	// Open tells that the group runs requests.
	Open bool
	// Step is the newest pass that was begun.
	Step uint64
	// MapVersion is the version in use and Prepared the newest one that was copied in whole.
	MapVersion, Prepared uint64
	// Armed is the version that comes into use as step ArmedStep begins, or zero.
	Armed, ArmedStep uint64
	// HeldStep is the step that the engine holds the group at, or zero.
	HeldStep uint64
	// StartUnixMilli is the start of the engine in Unix milliseconds.
	StartUnixMilli int64
}

// OrderKind names an order to an engine.
type OrderKind string

// The orders to an engine.
const (
	// OrderPrepare copies the experts of a map beside the one in use.
	OrderPrepare OrderKind = "prepare"
	// OrderArm makes the rank switch as a step begins; it is refused once that step has begun.
	OrderArm OrderKind = "arm"
	// OrderDisarm takes an arm order back.
	OrderDisarm OrderKind = "disarm"
	// OrderHold keeps the group from beginning a step, until OrderRelease.
	OrderHold OrderKind = "hold"
	// OrderRelease ends a hold.
	OrderRelease OrderKind = "go"
)

// Order is an order to the rank's own engine.
type Order struct {
	Kind OrderKind
	// Epoch is the forming of the group for which the order is valid.
	Epoch uint64
	// Version is that of the map, in orders about one.
	Version uint64
	// Step is set in arm, hold and go orders.
	Step uint64
	// Map holds the experts by set and rank; it is set in prepare orders.
	Map [][][]int
}

// Counts are the times that a rank's requests chose each expert since the engine started.
type Counts struct {
	Epoch uint64
	// Chosen lists the experts of the first set, then those of the next.
	Chosen []uint64
}

// RankExperts are the experts of one rank.
type RankExperts struct {
	// MapVersion is the version.
	MapVersion uint64
	// Experts are listed by set.
	Experts [][]int
}
