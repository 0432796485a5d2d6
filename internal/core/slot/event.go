package slot

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/site/power"
)

// Event is something that happened; exactly one field is set.
type Event struct {
	// Arrival is a request from an entry.
	Arrival *Arrival
	// Detach is the end of an entry's stream.
	Detach *Detach
	// ChunkSent tells that a stream has sent what it was handed.
	ChunkSent *ChunkSent
	// Output is a part of the engine's answer.
	Output *Output
	// Result is the end of the engine's answer.
	Result *Result
	// Report is the engine's load report.
	Report *Report
	// Message is from another slot.
	Message *Message
	// HandoverReply is the answer of another slot to a hand-over.
	HandoverReply *HandoverReply
	// Group is the engine's report of its part in a group.
	Group *GroupReport
	// Done is the end of an order to the engine.
	Done *mapswitch.OrderResult
	// Configuration is an accepted revision; its number never falls.
	Configuration *configuration.Configuration
	// Stop tells that the process was asked to stop.
	Stop *Stop
	// Tick passes time.
	Tick *Tick
}

// Arrival is a request with the stream that its answer goes to.
type Arrival struct {
	call.Request
	// Stream is unique in the process.
	Stream uint64
	// Entry is the name of the entry that sent the request.
	Entry string
}

// Detach is the end of an entry's stream.
type Detach struct {
	// ID is the identity of the request.
	ID string
	// Stream is that of the arrival.
	Stream uint64
}

// ChunkSent tells that a stream has sent what it was handed.
type ChunkSent struct {
	// ID is the identity of the request.
	ID string
	// Stream is that of the arrival.
	Stream uint64
}

// Output is a part of the engine's answer.
type Output struct {
	// ID is that of the run.
	ID string
	// Data follows directly on the output before.
	Data []byte
	// Status is the engine's HTTP status.
	Status int
	// Media is the media type of the answer.
	Media string
}

// Result is the end of the engine's answer.
type Result struct {
	// ID is that of the run.
	ID string
	// Outcome is call.OutcomeNotRun only when no byte of the request left the process.
	Outcome call.Outcome
	// Status is the engine's HTTP status, or zero.
	Status int
	// Media is the media type of the answer.
	Media string
	// Reason is a short text for people.
	Reason string
	// Crashed tells that the engine's process ended while it ran the request.
	Crashed bool
}

// Report is the engine's load report.
type Report struct {
	// Running is the number of requests at the engine.
	Running int
	// Prefixes are digests of prompt prefixes in the engine's cache.
	Prefixes []uint64
	// Alive is false when the engine did not answer.
	Alive bool
}

// Message is from another slot; exactly one of its pointers is set.
type Message struct {
	// Source is the name of the sending slot's target.
	Source string
	// Incarnation is that of the sending slot.
	Incarnation uint64
	// Switch is a message of the expert map switch, or nil.
	Switch *mapswitch.Message
	// Loan is a message of power lending, or nil.
	Loan *power.Message
	// Handover is set when the sender leaves and this target is its successor.
	Handover *Handover
}

// Handover holds what a leaving slot gives to its successor.
type Handover struct {
	// Incarnation is that of the leaving slot.
	Incarnation uint64
	// Records are finished non-idempotent calls.
	Records []Record
	// Sessions are exported KV caches.
	Sessions []Session
	// Sealed are the incarnations of which the receiver now has every record that there will ever be.
	Sealed []uint64
}

// Record is a finished non-idempotent call.
type Record struct {
	// Key is the idempotency key.
	Key string
	// Outcome is how the call ended.
	Outcome call.Outcome
	// Status is the engine's HTTP status.
	Status int
	// Media is the media type of the answer.
	Media string
	// Answer is the whole answer.
	Answer []byte
	// Fingerprint identifies the workspace, route and body of the call.
	Fingerprint uint64
	// Reason is a short text for people; it is set when Outcome is not call.OutcomeComplete.
	Reason string
}

// Session is an exported KV cache.
type Session struct {
	// Name identifies the session at the engine.
	Name string
	// Cache is opaque to the system.
	Cache []byte
}

// HandoverReply is the answer of another slot to a hand-over.
type HandoverReply struct {
	// Target is the receiver's target.
	Target string
	// Accepted is set when the receiver keeps all that it was sent.
	Accepted bool
}

// Stop asks for a graceful shutdown.
type Stop struct{}

// Tick passes time.
type Tick struct{}

// Action is something that the core wants done; exactly one field is set.
type Action struct {
	// Run starts a request at the engine.
	Run *Run
	// Abort cancels a request at the engine.
	Abort *Abort
	// Chunk sends a part of an answer to a stream.
	Chunk *Chunk
	// Deliver sends a message to another slot.
	Deliver *Deliver
	// Receipt answers the message that is being handled.
	Receipt *Receipt
	// Order gives an order of the map switch to the engine.
	Order *mapswitch.Order
	// Audit records a change.
	Audit *Audit
	// Exit tells that the process may stop.
	Exit *Exit
}

// Run starts a request at the engine.
type Run struct {
	// ID identifies the request in later events: its key or its ID.
	ID string
	// Request is as it arrived.
	Request call.Request
	// Deadline is the last moment for the first byte to leave.
	Deadline time.Time
}

// CanStart reports whether the request may still be started.
// It is asked immediately before the call, because the process may have been paused since the action.
func (r *Run) CanStart(now time.Time) bool {
	return now.Before(r.Deadline)
}

// Abort cancels a request at the engine.
type Abort struct {
	// ID is that of the run.
	ID string
}

// Chunk sends a part of an answer to a stream.
type Chunk struct {
	call.Chunk
	// Stream is that of the arrival.
	Stream uint64
}

// Deliver sends a message to another slot.
type Deliver struct {
	// Target is the receiver's target.
	Target string
	// Address is the receiver's address.
	Address netip.AddrPort
	// Message is complete but for Source and Incarnation, which the process adds.
	Message Message
}

// Receipt answers a message from another slot.
type Receipt struct {
	// Accepted is set when all of the message was taken over.
	Accepted bool
}

// Audit is a change for the audit trail.
type Audit struct {
	// Kind names the change.
	Kind string
	// Attributes alternates names and values.
	Attributes []any
}

// Exit tells that nothing is in progress any more.
type Exit struct{}
