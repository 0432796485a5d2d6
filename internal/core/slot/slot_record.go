package slot

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/request/record"
)

// recordSweep is the time between two searches for expired records.
const recordSweep = time.Second

// arriveOnce serves a request whose key allows one run at most.
func (c *Core) arriveOnce(now time.Time, a *Arrival) []Action {
	verdict := c.records.Judge(now, a.Key, a.Workspace, a.Fingerprint)
	switch verdict {
	case record.Free:
		return c.openOnce(now, a)
	case record.Known:
		return c.attachOnce(a)
	case record.Closed:
		return refuse(a, call.OutcomeNotRun, http.StatusServiceUnavailable, "the key is closed: the call was not run and never will be", defaultRetry)
	}
	status, reason := explain(verdict)
	return refuse(a, call.OutcomeUnknown, status, reason, 0)
}

// explain returns the status and reason of a key for which nothing certain can be said.
func explain(v record.Verdict) (status int, reason string) {
	switch v {
	case record.Mismatch:
		return http.StatusUnprocessableEntity, "the key was used with another body, path or workspace"
	case record.Foreign:
		return http.StatusForbidden, "the key was not given out to this workspace"
	case record.Restarted:
		return http.StatusConflict, "the target was restarted after the key was given out"
	case record.Expired:
		return http.StatusGone, "the key has expired"
	case record.Early:
		return http.StatusConflict, "the key is from the future: clocks differ by more than is allowed"
	}
	return http.StatusBadGateway, "this target is not the home of the key"
}

// openOnce makes the record and the job of a free key, or closes the key.
func (c *Core) openOnce(now time.Time, a *Arrival) []Action {
	if a.Lookup || a.Offset > 0 {
		return refuseUnknown(a)
	}
	if refusal := c.checkAdmission(now, a); refusal != nil {
		c.records.Close(a.Key, a.Fingerprint)
		return refusal
	}
	if !c.records.Open(a.Key, a.Fingerprint) {
		return refuse(a, call.OutcomeNotRun, http.StatusTooManyRequests, "the workspace has too many recent calls at this target", defaultRetry)
	}
	return c.enqueue(now, a)
}

// attachOnce attaches to the call of a known key.
func (c *Core) attachOnce(a *Arrival) []Action {
	j := c.jobs[a.Key]
	if j == nil {
		return refuseUnknown(a)
	}
	return c.attach(j, a)
}

// needsKey reports whether the configuration asks for a key that the request does not have.
func (c *Core) needsKey(a *Arrival) bool {
	if c.configuration == nil {
		return false
	}
	r, ok := c.configuration.Match(a.Path)
	return ok && r.Once
}

// mayView reports whether the answer of a job belongs to the workspace of an arrival.
func mayView(j *job, a *Arrival) bool {
	if k, err := key.Parse(a.Identity()); err == nil {
		return k.Workspace == key.WorkspaceHash(a.Workspace)
	}
	return a.Workspace == j.request.Workspace
}

// expireRecords drops the records of expired keys with their answers.
func (c *Core) expireRecords(now time.Time) {
	if now.Sub(c.swept) < recordSweep {
		return
	}
	c.swept = now
	for _, text := range c.records.Expire(now) {
		j := c.jobs[text]
		switch {
		case j == nil:
		case j.ended.IsZero():
			j.stale = true
		default:
			c.discard(text, j)
		}
	}
}
