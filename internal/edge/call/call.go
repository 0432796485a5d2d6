// Package call holds the requests of callers and the answers of targets as an entry handles them.
package call

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// Call is one request of a caller.
type Call struct {
	// ID is chosen by the caller and unique to the request.
	ID string
	// Method, Host and Path select the route; the path is as sent, without the query.
	Method, Host, Path string
	// Query is the query as sent.
	Query string
	// Header is forwarded.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Timeout is the caller's timeout, or zero.
	Timeout time.Duration
	// Key is the caller's API key, or empty.
	Key string
	// LastEventID is the ID of the last event of a stream that the caller has.
	LastEventID string
	// Parts are the IDs of the parts of the prompt that other requests may share, in order and at most suspect.MaxParts.
	Parts []string
	// Tokens is what the caller says of the length of its prompt and of the answer.
	Tokens Tokens
}

// Tokens are numbers of tokens; each is zero if the caller does not state it.
type Tokens struct {
	// Prompt is the length of the prompt, and MaxOutput the longest answer.
	Prompt, MaxOutput int
	// Output is an estimate of the length of the answer. It is right at the median but often far off.
	Output int
}

// Attempt is one attempt to run a call at a target.
type Attempt struct {
	// Target is the only incarnation that may run the attempt.
	Target *site.Target
	// Remaining is the time left for the call, after which the target stops the request.
	Remaining time.Duration
	// Workspace is the workspace of the caller's API key, or empty.
	Workspace string
	// Priority is the priority of the call at the target; zero is the highest.
	Priority int
	// LastEventID is the ID of the last event that the caller has, or empty.
	LastEventID string
}

// Answer is the status and the headers of a target's answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// NotRun is set if the target has not run the call and never will.
	NotRun bool
	// Misdirected is set if another incarnation serves at the target's address.
	Misdirected bool
	// Matches is set if the answer belongs to the call, Sealed if it carries the seal of a target.
	Matches, Sealed bool
	// FaultTarget is the target that caused a refusal, or empty.
	FaultTarget string
	// Statement is what the target says about itself.
	Statement Statement
	// Header is forwarded.
	Header http.Header
}

// Statement is what a target says about itself in an answer.
type Statement struct {
	// Limit is the number of requests a second that the target takes from all entries together. It is at least zero, and valid
	// only if Limited is set.
	Limit   float64
	Limited bool
	// Wait is the time for which the target wants no more requests of this entry; zero if it names none. It is valid only in a
	// refusal.
	Wait time.Duration
	// Leaving is set if the target takes no new requests any more.
	Leaving bool
	// Fault is why a part of the statement cannot be used, or nil. That part is zero then.
	Fault error
	// LimitFault is set if the limit cannot be used.
	LimitFault bool
}

// FromTarget reports whether the answer was made by the target for the call, so that its statement counts.
func (a *Answer) FromTarget() bool {
	return a.Matches && !a.Misdirected && (a.Sealed || a.NotRun)
}

// Deliverable reports whether the answer may be delivered to the caller as it is. Only errors need no seal.
func (a *Answer) Deliverable() bool {
	if !a.Matches || a.NotRun || a.Misdirected {
		return false
	}
	return a.Sealed || a.Status >= http.StatusBadRequest
}
