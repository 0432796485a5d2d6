package entry

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// Event is something that happened; exactly one field is set.
type Event struct {
	// Arrival is a caller's request.
	Arrival *Arrival
	// Chunk is a part of an answer from a slot.
	Chunk *Chunk
	// ConnectionLost is the end of an attempt's connection without the end of the answer.
	ConnectionLost *ConnectionLost
	// CallerGone tells that the caller no longer waits.
	CallerGone *CallerGone
	// Heartbeat is a target's report.
	Heartbeat *membership.Heartbeat
	// Digest is what another entry tells about targets.
	Digest *membership.Digest
	// Hint is a target that the platform lists as leaving.
	Hint *membership.Hint
	// PeerStatus tells whether another entry answered.
	PeerStatus *PeerStatus
	// Configuration is an accepted revision; its number never falls.
	Configuration *configuration.Configuration
	// Stop tells that the process was asked to stop.
	Stop *Stop
	// Tick passes time.
	Tick *Tick
}

// Arrival is a caller's request.
type Arrival struct {
	// ID is unique to this exchange with the caller.
	ID string
	// Answer is the ID of the request whose answer is to be resumed, or empty.
	Answer string
	// Workspace is the caller's claim and not yet checked.
	Workspace string
	// Path is the request path.
	Path string
	// Key is the caller's idempotency key or empty.
	Key string
	// Home is the target that holds the answer to resume; it is set exactly when Answer is.
	Home string
	// Offset is the number of answer bytes that the caller already has.
	Offset int64
	// Timeout is the caller's own limit on the whole answer; zero means the route's.
	Timeout time.Duration
	// Body is at most the configured size.
	Body []byte
}

// Chunk is a part of an answer with the attempt that it came by.
type Chunk struct {
	call.Chunk
	// Attempt is the number of the attempt.
	Attempt int
}

// ConnectionLost is the end of an attempt's connection.
type ConnectionLost struct {
	// ID is the request.
	ID string
	// Attempt is the number of the attempt.
	Attempt int
	// Sent is false only when no byte of the request left the process.
	Sent bool
	// Reason is a short text for people.
	Reason string
}

// CallerGone tells that a caller no longer waits.
type CallerGone struct {
	// ID is the request.
	ID string
}

// PeerStatus tells whether another entry answered.
type PeerStatus struct {
	// Name is the entry's name.
	Name string
	// Alive is false when the entry did not answer.
	Alive bool
}

// Stop asks for a graceful shutdown.
type Stop struct{}

// Tick passes time.
type Tick struct{}

// Action is something that the core wants done; exactly one field is set.
type Action struct {
	// Send starts an attempt.
	Send *Send
	// Cancel ends an attempt whose answer is no longer wanted.
	Cancel *Cancel
	// Forward passes answer bytes to the caller.
	Forward *Forward
	// Finish ends the caller's request.
	Finish *Finish
	// Watch replaces the set of targets whose heartbeats are wanted.
	Watch *Watch
	// Audit records a change.
	Audit *Audit
	// Exit tells that the process may stop.
	Exit *Exit
}

// Send starts an attempt at a target.
type Send struct {
	// Request is complete; its Remaining was computed at the time of the action.
	Request call.Request
	// Target is the name of the target.
	Target string
	// Address is the slot's address.
	Address netip.AddrPort
	// Deadline is the last moment for the first byte to leave.
	Deadline time.Time
}

// Left returns the time left for the request, and false when it must not be sent any more.
// It is asked immediately before the send, because the process may have been paused since the action.
func (s *Send) Left(now time.Time) (left time.Duration, ok bool) {
	left = s.Deadline.Sub(now)
	return left, left > 0
}

// Cancel ends an attempt.
type Cancel struct {
	// ID is the request.
	ID string
	// Attempt is the number of the attempt.
	Attempt int
}

// Forward passes answer bytes to the caller.
type Forward struct {
	// ID is the request.
	ID string
	// Answer is the name of the answer at Home.
	Answer string
	// Home is the target that holds the answer.
	Home string
	// Offset is the position of the first byte of Data.
	Offset int64
	// Data follows directly on the bytes forwarded before.
	Data []byte
	// Status is the engine's HTTP status.
	Status int
	// Media is the media type of the answer.
	Media string
	// Stream tells that the caller gets the answer as events.
	Stream bool
}

// Finish ends the caller's request.
type Finish struct {
	// ID is the request.
	ID string
	// Answer is the name of the answer at Home.
	Answer string
	// Home is the target that holds the answer, or empty.
	Home string
	// Status is the HTTP status for the caller when nothing was forwarded.
	Status int
	// Outcome tells whether the request ran.
	Outcome call.Outcome
	// Reason is a short text for people.
	Reason string
	// RetryAfter is the time after which the caller may come back; zero means no advice.
	RetryAfter time.Duration
	// Key is a fresh idempotency key, or empty.
	Key string
	// Media is the media type of an answer without bytes.
	Media string
	// Stream tells that the caller gets the answer as events.
	Stream bool
	// Offset is the length of the whole answer when Outcome is call.OutcomeComplete.
	Offset int64
}

// Watch is a set of targets whose heartbeats are wanted.
type Watch struct {
	// Targets maps each target's name to its slot's address.
	Targets map[string]netip.AddrPort
	// HeartbeatInterval is the wanted time between heartbeats.
	HeartbeatInterval time.Duration
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
