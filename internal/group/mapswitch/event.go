package mapswitch

// Engine is an engine's report of its expert maps.
type Engine struct {
	// Step is the latest started step; it never decreases.
	Step uint64 `json:"step"`
	// Map is the map in use.
	Map uint64 `json:"map"`
	// Staged is the map loaded in addition to the one in use, or zero.
	Staged uint64 `json:"staged"`
	// Armed is the ballot that the engine is armed for, or nil.
	Armed *Armed `json:"armed,omitempty"`
	// Decided is the latest committed ballot.
	Decided Ballot `json:"decided"`
	// Fence is the current fencing number, or zero for an engine that ignores fencing numbers.
	Fence uint64 `json:"fence"`
	// Idle means that the engine runs no request.
	Idle bool `json:"idle"`
}

// Armed is a ballot that an engine is armed for.
type Armed struct {
	// Ballot identifies the attempt.
	Ballot Ballot `json:"ballot"`
	// Step is the first step with the new map; the engine does not start it before the ballot is decided.
	Step uint64 `json:"step"`
	// Map is the new map, which is loaded.
	Map uint64 `json:"map"`
	// Committed means that the engine will start Step with the new map.
	Committed bool `json:"committed"`
}

// OrderKind names an order to an engine.
type OrderKind string

// The orders to an engine.
const (
	// OrderClaim acquires a new fencing number and reads the engine's state.
	OrderClaim OrderKind = "claim"
	// OrderLoad loads a map in addition to the one in use; it replaces a staged map.
	OrderLoad OrderKind = "load"
	// OrderArm makes the engine hold at a step; it is refused once that step has started.
	OrderArm OrderKind = "arm"
	// OrderCommit decides an armed ballot in favour of the new map.
	OrderCommit OrderKind = "commit"
	// OrderAbort decides an armed ballot in favour of the old map.
	OrderAbort OrderKind = "abort"
)

// Order is an order to the rank's own engine. At most one order, not counting loads, is in progress.
type Order struct {
	// Kind names the order.
	Kind OrderKind `json:"kind"`
	// Fence is the slot's fencing number.
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

// Event is an input of the switch; exactly one field is set.
type Event struct {
	// Begin requests a switch; the rank becomes the leader of one attempt.
	Begin *Begin
	// Message is a message from another rank.
	Message *Message
	// OrderResult is the result of an order.
	OrderResult *OrderResult
	// Engine is an engine report, which may be older than the latest order.
	Engine *Engine
	// Tick runs the timers.
	Tick *Tick
}

// Begin requests a switch.
type Begin struct {
	// Map identifies the new map.
	Map uint64
	// Plan is the encoded new map.
	Plan []byte
}

// OrderResult is the result of an order.
type OrderResult struct {
	// Order is the order as it was sent.
	Order Order
	// Engine is the engine's state after the order, or nil if the outcome is unknown.
	Engine *Engine
	// Refusal is the reason why the engine refused the order, or empty.
	Refusal string
}

// Tick runs the timers.
type Tick struct{}

// Action is an output of the switch; exactly one field is set.
type Action struct {
	// Send sends a message to another rank.
	Send *Send
	// Order sends an order to the engine.
	Order *Order
	// Change records a change of the switch in the audit trail.
	Change *Change
}

// Send sends a message to another rank.
type Send struct {
	// Rank is the receiver.
	Rank    int
	Message Message
}

// Change is a change of the switch that is reported to operators.
type Change struct {
	// Event names the change: begin, armed, commit, abort or refuse.
	Event string
	// Ballot identifies the attempt.
	Ballot Ballot
	// Step is the first step with the new map, or zero if not set.
	Step uint64
	// Map is the new map.
	Map uint64
	// Reason is a short text for operators.
	Reason string
}
