// Package call holds a caller's request and a target's answer as an entry handles them.
package call

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// Call is one request of a caller.
type Call struct {
	// ID is the caller's own and names this request only.
	ID string
	// Method, Host and Path route the request; the path is as it was sent, without the query.
	Method, Host, Path string
	// Query is as it was sent.
	Query string
	// Header is passed on.
	Header http.Header
	// Body is whole.
	Body []byte
	// Timeout is the time that the caller waits, or zero.
	Timeout time.Duration
	// Key is the caller's key, or empty.
	Key string
	// LastEventID is the last event that the caller of a stream has.
	LastEventID string
}

// Attempt is one sending of a call to a target.
type Attempt struct {
	// Target is the only incarnation that may run the call.
	Target *site.Target
	// Remaining is the time after which the target stops its work.
	Remaining time.Duration
	// Workspace is the owner of the caller's key, or empty.
	Workspace string
	// Priority is the rank of the call at the target; zero is first.
	Priority int
	// LastEventID is the last event that the caller has, or empty.
	LastEventID string
}

// Answer is what the head of a target's answer says.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// NotRun tells that the target has not run the call and never will.
	NotRun bool
	// Misdirected tells that another incarnation serves at the target's address.
	Misdirected bool
	// Matches tells that the answer belongs to the call, and Sealed that a target made it.
	Matches, Sealed bool
	// Fault names the target that a refusal blames, or is empty.
	Fault string
	// Header is passed on.
	Header http.Header
}

// Deliverable reports whether the answer may reach the caller as it is.
func (a *Answer) Deliverable() bool {
	if !a.Matches || a.NotRun || a.Misdirected {
		return false
	}
	return a.Sealed || a.Status >= http.StatusBadRequest
}
