// Package call defines a caller's request and the chunks of its answer, as entries and slots exchange them.
package call

import (
	"strconv"
	"time"
)

// Outcome is how an attempt or a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeNone means that the request has not ended.
	OutcomeNone Outcome = iota
	// OutcomeComplete means that the answer is complete.
	OutcomeComplete
	// OutcomeNotRun means that the request was not run and that this attempt will never run it.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// OutcomeFailed means that there is no complete answer. A request with a key ran; one without may have run.
	OutcomeFailed
)

// String returns the outcome as it is written in logs and problem details.
func (o Outcome) String() string {
	switch o {
	case OutcomeNone:
		return "none"
	case OutcomeComplete:
		return "complete"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeFailed:
		return "failed"
	}
	return "outcome-" + strconv.Itoa(int(o))
}

// Request is one attempt at a caller's request, as an entry sends it to a slot.
type Request struct {
	// ID is the same in every attempt of one exchange with a caller.
	ID string
	// Answer is the identity of an earlier request whose answer is to be resumed, or empty.
	Answer string
	// Workspace is a configured workspace.
	Workspace string
	// Route is the name of a configured route.
	Route string
	// Path is the request path at the engine.
	Path string
	// Key is the idempotency key; it is empty if and only if the request is idempotent.
	Key string
	// Offset is the number of answer bytes that the entry already holds.
	Offset int64
	// Remaining is the time left to the caller's deadline when the attempt was sent.
	Remaining time.Duration
	// Body is the request body; its size is within the configured limit.
	Body []byte
	// Attempt is the number of the attempt, from one.
	Attempt int
	// Fingerprint is a hash of the workspace, route and body, the same for equal requests.
	Fingerprint uint64
	// Parts are the fingerprints of the parts of the prompt that other requests share.
	Parts []uint64
	// Lookup forbids a run: only an existing answer is served.
	Lookup bool
	// Isolated asks for a run with no other request at the engine, because this one may crash it.
	Isolated bool
}

// Identity returns the ID under which a slot stores the request: its Key, else Answer, else ID.
func (r *Request) Identity() string {
	switch {
	case r.Key != "":
		return r.Key
	case r.Answer != "":
		return r.Answer
	}
	return r.ID
}

// Chunk is a part of an answer. An empty chunk that is not the end is a ping.
type Chunk struct {
	// ID is the request that the chunk answers.
	ID string
	// Offset is the position of the first byte of Data in the answer.
	Offset int64
	// Data is not modified after the chunk was made.
	Data []byte
	// End marks the last chunk; only then Outcome is not OutcomeNone.
	End bool
	// Outcome tells how the attempt ended.
	Outcome Outcome
	// Reason is a short text for people; it is set when Outcome is not OutcomeComplete.
	Reason string
	// RetryAfter is the time after which the caller may retry; zero means that none is given.
	RetryAfter time.Duration
	// Status is the HTTP status of the engine, or of the slot if it refused the request. It may be zero before the first
	// chunk with data and in the last chunk of a request that the engine did not answer.
	Status int
	// Media is the media type of the answer.
	Media string
	// Crashed is set when the engine crashed while it ran the request or an equal one.
	Crashed bool
}

// Ping reports whether a chunk only shows that the connection is alive.
func (c *Chunk) Ping() bool {
	return !c.End && len(c.Data) == 0
}
