package slot

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/site/power"
)

// Event is one input of the core; exactly one field is set.
type Event struct {
	// Arrival is a request from an entry.
	Arrival *Arrival
	// Detach is the end of an entry's stream.
	Detach *Detach
	// ChunkSent reports that a stream has sent its latest chunk.
	ChunkSent *ChunkSent
	// Output is a part of the engine's answer.
	Output *Output
	// Result is the end of the engine's answer.
	Result *Result
	// Report is the engine's load report.
	Report *Report
	// Message is a message from another slot.
	Message *Message
	// HandoverReply is another slot's reply to a handover.
	HandoverReply *HandoverReply
	// Group is the engine's report on its expert-parallel group.
	Group *GroupReport
	// OrderResult is the outcome of an order to the engine.
	OrderResult *mapswitch.OrderResult
	// Configuration is an accepted revision; its number never decreases.
	Configuration *configuration.Configuration
	// Stop is a request to shut down gracefully.
	Stop *Stop
	// Tick runs timeouts and periodic work.
	Tick *Tick
}

// Arrival is a request with the stream for its answer.
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
	// Stream is the stream of the arrival.
	Stream uint64
}

// ChunkSent reports that a stream has sent its latest chunk.
type ChunkSent struct {
	// ID is the identity of the request.
	ID string
	// Stream is the stream of the arrival.
	Stream uint64
}

// Output is a part of the engine's answer.
type Output struct {
	// ID is the ID of the run.
	ID string
	// Data continues the previous output without a gap.
	Data []byte
	// Status is the engine's HTTP status.
	Status int
	// Media is the media type of the answer.
	Media string
	// Leaving is set if the engine said in the answer that it takes no new requests.
	Leaving bool
}

// Result is the end of the engine's answer.
type Result struct {
	// ID is the ID of the run.
	ID string
	// Outcome is call.OutcomeNotRun only when no byte of the request left the process, or the engine said that it did not run it.
	Outcome call.Outcome
	// Status is the engine's HTTP status, or zero.
	Status int
	// Media is the media type of the answer.
	Media string
	// Reason is a short text for people.
	Reason string
	// Crashed is set when the engine's process ended while it ran the request.
	Crashed bool
	// Wait is the time for which an engine that turned the request away wants no more, or zero.
	Wait time.Duration
	// Leaving is as in Output.
	Leaving bool
}

// Report is the engine's load report.
type Report struct {
	// Running is the number of requests at the engine.
	Running int
	// Prefixes are digests of prompt prefixes in the engine's cache.
	Prefixes []uint64
	// Alive is false when the engine did not answer.
	Alive bool
	// Limit is the number of requests a second that the engine takes, at least zero; it is valid only if Limited is set.
	Limit   float64
	Limited bool
}

// Message is a message from another slot; exactly one of its pointers is set.
type Message struct {
	// Source is the name of the sending slot's target.
	Source string
	// Incarnation identifies the sending slot process.
	Incarnation uint64
	// Switch is a message about an expert map switch, or nil.
	Switch *mapswitch.Message
	// Loan is a message about power lending, or nil.
	Loan *power.Message
	// Handover is a part of a leaving sender's records, or nil.
	Handover *Handover
}

// Handover carries records and sessions from a leaving slot to its successor.
type Handover struct {
	// Incarnation identifies the leaving slot process.
	Incarnation uint64
	// Records are finished non-idempotent calls.
	Records []Record
	// Sessions are exported KV caches.
	Sessions []Session
	// Sealed lists the incarnations whose records the receiver now has in full; no more will be added.
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
	// Answer is the stored answer of at most batchSize bytes; it is complete if Outcome is call.OutcomeComplete.
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

// HandoverReply is another slot's reply to a handover.
type HandoverReply struct {
	// Target is the receiver's target.
	Target string
	// Accepted is set when the receiver stored the whole handover.
	Accepted bool
}

// Stop requests a graceful shutdown.
type Stop struct {
	// Until is when the process ends in any case; zero means never.
	Until time.Time
}

// Tick runs timeouts and periodic work.
type Tick struct{}

// Action is one output of the core; exactly one field is set.
type Action struct {
	// Run starts a request at the engine.
	Run *Run
	// Abort cancels a request at the engine.
	Abort *Abort
	// Chunk sends a part of an answer to a stream.
	Chunk *Chunk
	// Deliver sends a message to another slot.
	Deliver *Deliver
	// Receipt replies to the message in the current event.
	Receipt *Receipt
	// Order sends an order of the expert map switch to the engine.
	Order *mapswitch.Order
	// Audit records a change.
	Audit *Audit
	// Exit tells the process that it may exit.
	Exit *Exit
}

// Run starts a request at the engine.
type Run struct {
	// ID identifies the request in later events: its key or its ID.
	ID string
	// Request is as it arrived.
	Request call.Request
	// Deadline is the latest time for the first byte to be sent.
	Deadline time.Time
}

// CanStart reports whether the request may still be started.
// Call it immediately before the send, because the process may have been paused since the action was made.
func (r *Run) CanStart(now time.Time) bool {
	return now.Before(r.Deadline)
}

// Abort cancels a request at the engine.
type Abort struct {
	// ID is the ID of the run.
	ID string
}

// Chunk sends a part of an answer to a stream.
type Chunk struct {
	call.Chunk
	// Stream is the stream of the arrival.
	Stream uint64
}

// Deliver sends a message to another slot.
type Deliver struct {
	// Target is the receiver's target.
	Target string
	// Address is the receiver's address.
	Address netip.AddrPort
	// Message is complete except for Source and Incarnation, which the process adds.
	Message Message
}

// Receipt answers a message from another slot.
type Receipt struct {
	// Accepted is set when the whole message was stored.
	Accepted bool
}

// Audit is a change for the audit trail.
type Audit struct {
	// Kind names the change.
	Kind string
	// Attributes alternates names and values.
	Attributes []any
}

// Exit tells the process that no work is left and it may exit.
type Exit struct{}
