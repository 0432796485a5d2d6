// Package call holds the types of a caller's request as it passes through the cores.
package call

import (
	"strconv"
	"time"
)

// Outcome tells how an attempt or a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeNone means that the request has not ended.
	OutcomeNone Outcome = iota
	// OutcomeComplete means that the whole answer was produced.
	OutcomeComplete
	// OutcomeNotRun means that the request was not run and this attempt never will be.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// OutcomeFailed means that the request ran and its answer is incomplete.
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
	// Answer is the ID of an earlier request whose answer is wanted; else it is empty.
	Answer string
	// Workspace is a configured workspace.
	Workspace string
	// Route is the name of a configured route.
	Route string
	// Path is the request path at the engine.
	Path string
	// Key is the idempotency key; it is empty exactly for idempotent requests.
	Key string
	// Offset is the number of answer bytes that the entry already holds.
	Offset int64
	// Remaining is the time left to the caller's deadline when the attempt was sent.
	Remaining time.Duration
	// Body is at most the configured size.
	Body []byte
	// Attempt counts from one.
	Attempt int
	// Fingerprint identifies equal requests: the same workspace, route and body.
	Fingerprint uint64
	// Lookup forbids a run: only a known answer is served.
	Lookup bool
	// Isolated asks for a run with nothing else at the engine, because the request may crash it.
	Isolated bool
}

// Identity returns the name under which a slot knows the request: its key, Answer or ID.
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
	// Data is never changed after the chunk was made.
	Data []byte
	// End marks the last chunk; only then Outcome is not OutcomeNone.
	End bool
	// Outcome tells how the attempt ended.
	Outcome Outcome
	// Reason is a short text for people; it is set when Outcome is not OutcomeComplete.
	Reason string
	// RetryAfter is the time after which the caller may come back; zero means no advice.
	RetryAfter time.Duration
	// Status is the engine's HTTP status, known from the first chunk with data or the end on.
	Status int
	// Media is the media type of the answer.
	Media string
	// Crashed tells that the engine died while it ran the request.
	Crashed bool
}

// Ping reports whether a chunk only shows that the connection is alive.
func (c *Chunk) Ping() bool {
	return !c.End && len(c.Data) == 0
}
