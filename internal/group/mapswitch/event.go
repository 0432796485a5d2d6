package mapswitch

// Engine is what an engine reports of its expert maps.
type Engine struct {
	// Step is the newest step that was started; it never falls.
	Step uint64 `json:"step"`
	// Map is the map in use.
	Map uint64 `json:"map"`
	// Staged is the map that is loaded beside the one in use, or zero.
	Staged uint64 `json:"staged"`
	// Armed is the ballot that the engine holds for, or nil.
	Armed *Armed `json:"armed,omitempty"`
	// Decided is the newest ballot that was committed.
	Decided Ballot `json:"decided"`
	// Fence is the fencing number in force, or zero for an engine that ignores them.
	Fence uint64 `json:"fence"`
	// Idle tells that the engine runs no request.
	Idle bool `json:"idle"`
}

// Armed is a ballot that an engine holds for.
type Armed struct {
	// Ballot identifies the attempt.
	Ballot Ballot `json:"ballot"`
	// Step is the first step with the new map; the engine does not start it undecided.
	Step uint64 `json:"step"`
	// Map is the new map; it is loaded.
	Map uint64 `json:"map"`
	// Committed tells that the engine goes on to Step with the new map.
	Committed bool `json:"committed"`
}

// OrderKind names an order to an engine.
type OrderKind string

// The orders to an engine.
const (
	// OrderClaim takes a new fencing number and reads the engine's state.
	OrderClaim OrderKind = "claim"
	// OrderLoad loads a map beside the one in use; it replaces a staged one.
	OrderLoad OrderKind = "load"
	// OrderArm makes the engine hold at a step; it is refused from that step on.
	OrderArm OrderKind = "arm"
	// OrderCommit decides an armed ballot for the new map.
	OrderCommit OrderKind = "commit"
	// OrderAbort decides an armed ballot for the old map.
	OrderAbort OrderKind = "abort"
)

// Order is an order to the rank's own engine. At most one besides loads is in progress.
type Order struct {
	// Kind names the order.
	Kind OrderKind `json:"kind"`
	// Fence is the fencing number of the slot.
	Fence uint64 `json:"fence"`
	// Ballot identifies the attempt.
	Ballot Ballot `json:"ballot"`
	// Step is set in arm orders.
	Step uint64 `json:"step"`
	// Map is set in load and arm orders.
	Map uint64 `json:"map"`
	// Plan is the encoded map of a load order.
	Plan []byte `json:"plan,omitempty"`
}

// Event is something that happened; exactly one field is set.
type Event struct {
	// Begin asks for a switch; the rank becomes the lead of one attempt.
	Begin *Begin
	// Message is from another rank.
	Message *Message
	// Done is the end of an order.
	Done *OrderResult
	// Engine is a report, which may be older than the newest order.
	Engine *Engine
	// Tick passes time.
	Tick *Tick
}

// Begin asks for a switch.
type Begin struct {
	// Map identifies the new map.
	Map uint64
	// Plan is the encoded new map.
	Plan []byte
}

// OrderResult is the end of an order.
type OrderResult struct {
	// Order is as it was given.
	Order Order
	// Engine is the state after the order, or nil when the outcome is unknown.
	Engine *Engine
	// Refusal is why the engine refused the order, or empty.
	Refusal string
}

// Tick passes time.
type Tick struct{}

// Action is something that the switch wants done; exactly one field is set.
type Action struct {
	// Send sends a message to another rank.
	Send *Send
	// Order gives an order to the engine.
	Order *Order
	// Change reports a change of the switch for the audit trail.
	Change *Change
}

// Send sends a message to another rank.
type Send struct {
	// Rank is the receiver.
	Rank int
	// Message is complete.
	Message Message
}

// Change is a step of the switch that operators see.
type Change struct {
	// Event names the change: begin, armed, commit, abort or refuse.
	Event string
	// Ballot identifies the attempt.
	Ballot Ballot
	// Step is the first step with the new map, or zero when none is set.
	Step uint64
	// Map is the new map.
	Map uint64
	// Reason is a short text for people.
	Reason string
}
