package entry

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// Event is one input of the core; exactly one field is set.
type Event struct {
	// Arrival is a caller's request.
	Arrival *Arrival
	// Chunk is a part of an answer from a slot.
	Chunk *Chunk
	// ConnectionLost reports that an attempt's connection ended before the answer did.
	ConnectionLost *ConnectionLost
	// CallerGone reports that the caller disconnected.
	CallerGone *CallerGone
	// Heartbeat is a target's heartbeat.
	Heartbeat *membership.Heartbeat
	// Digest is another entry's digest of target reports.
	Digest *membership.Digest
	// Hint is a target that the platform lists as leaving.
	Hint *membership.Hint
	// PeerStatus reports whether another entry answered.
	PeerStatus *PeerStatus
	// Configuration is an accepted revision; its number never decreases.
	Configuration *configuration.Configuration
	// Stop is a request to shut down gracefully.
	Stop *Stop
	// End reports that the process ends now.
	End *End
	// Tick runs timeouts and periodic work.
	Tick *Tick
}

// Arrival is a caller's request.
type Arrival struct {
	// ID is unique to this exchange with the caller.
	ID string
	// Answer is the identity of the request whose answer is to be resumed, or empty.
	Answer string
	// Workspace is as the caller gave it and not yet checked.
	Workspace string
	// Path is the request path.
	Path string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Home is the target that holds the answer to resume; it is set exactly when Answer is.
	Home string
	// Offset is the number of answer bytes that the caller already has.
	Offset int64
	// Timeout is the caller's limit on the time to the whole answer; zero means the route's.
	Timeout time.Duration
	// Parts are the fingerprints of the parts of the prompt that other requests share.
	Parts []uint64
	// Body is the request body; its size is within the configured limit.
	Body []byte
}

// Chunk is a part of an answer with the attempt that received it.
type Chunk struct {
	call.Chunk
	// Attempt is the number of the attempt.
	Attempt int
}

// ConnectionLost reports that an attempt's connection ended before the answer did.
type ConnectionLost struct {
	// ID identifies the request.
	ID string
	// Attempt is the number of the attempt.
	Attempt int
	// Sent is false only when no byte of the request left the process.
	Sent bool
	// Reason is a short text for people.
	Reason string
}

// CallerGone reports that a caller disconnected.
type CallerGone struct {
	// ID identifies the request.
	ID string
}

// PeerStatus reports whether another entry answered.
type PeerStatus struct {
	// Name is the entry's name.
	Name string
	// Alive is false when the entry did not answer.
	Alive bool
}

// Stop requests a graceful shutdown.
type Stop struct{}

// End ends all requests in progress with an answer.
type End struct{}

// Tick runs timeouts and periodic work.
type Tick struct{}

// Action is one output of the core; exactly one field is set.
type Action struct {
	// Send starts an attempt.
	Send *Send
	// Cancel ends an attempt whose answer is no longer needed.
	Cancel *Cancel
	// Forward passes answer bytes to the caller.
	Forward *Forward
	// Finish ends the caller's request.
	Finish *Finish
	// Watch replaces the set of targets to receive heartbeats from.
	Watch *Watch
	// Audit records a change.
	Audit *Audit
	// Exit tells the process that it may exit.
	Exit *Exit
}

// Send starts an attempt at a target.
type Send struct {
	// Request is complete; its Remaining was computed when the action was made.
	Request call.Request
	// Target is the name of the target.
	Target string
	// Address is the slot's address.
	Address netip.AddrPort
	// Deadline is the latest time for the first byte to be sent.
	Deadline time.Time
}

// Remaining returns the time that remains for the request, and false when it must not be sent any more.
// Call it immediately before the send, because the process may have been paused since the action was made.
func (s *Send) Remaining(now time.Time) (remaining time.Duration, ok bool) {
	remaining = s.Deadline.Sub(now)
	return remaining, remaining > 0
}

// Cancel ends an attempt.
type Cancel struct {
	// ID identifies the request.
	ID string
	// Attempt is the number of the attempt.
	Attempt int
}

// Forward passes answer bytes to the caller.
type Forward struct {
	// ID identifies the request.
	ID string
	// Answer is the identity of the answer at Home.
	Answer string
	// Home is the target that holds the answer.
	Home string
	// Offset is the position of the first byte of Data.
	Offset int64
	// Data continues the bytes forwarded before without a gap.
	Data []byte
	// Status is the engine's HTTP status.
	Status int
	// Media is the media type of the answer.
	Media string
	// Stream is set when the caller receives the answer as server-sent events.
	Stream bool
}

// Finish ends the caller's request.
type Finish struct {
	// ID identifies the request.
	ID string
	// Answer is the identity of the answer at Home.
	Answer string
	// Home is the target that holds the answer, or empty.
	Home string
	// Status is the HTTP status for the caller if no bytes were forwarded.
	Status int
	// Outcome is how the request ended.
	Outcome call.Outcome
	// Reason is a short text for people.
	Reason string
	// RetryAfter is the time after which the caller may retry; zero means that none is given.
	RetryAfter time.Duration
	// Key is a fresh idempotency key, or empty.
	Key string
	// Media is the media type for an answer of which no bytes were forwarded.
	Media string
	// Stream is set when the caller receives the answer as server-sent events.
	Stream bool
	// Offset is the length of the answer if Outcome is call.OutcomeComplete.
	Offset int64
}

// Watch is a set of targets to receive heartbeats from.
type Watch struct {
	// Targets maps each target's name to its slot's address.
	Targets map[string]netip.AddrPort
	// HeartbeatInterval is the requested interval of heartbeats.
	HeartbeatInterval time.Duration
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
