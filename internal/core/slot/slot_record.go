package slot

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/request/record"
)

// recordSweep is the interval of searches for expired records.
const recordSweep = time.Second

// arriveKeyed serves a request with an idempotency key, which allows at most one run.
func (c *Core) arriveKeyed(now time.Time, a *Arrival) []Action {
	verdict := c.records.Check(now, a.Key, a.Workspace, a.Fingerprint)
	switch verdict {
	case record.Free:
		return c.openKey(now, a)
	case record.Known:
		return c.attachKey(a)
	case record.Closed:
		return refuse(a, call.OutcomeNotRun, http.StatusServiceUnavailable, "the key is closed: the call was not run and never will be", defaultRetryAfter)
	}
	status, reason := refusalOf(verdict)
	return refuse(a, call.OutcomeUnknown, status, reason, 0)
}

// refusalOf returns the status and reason for a key whose call may or may not have run.
func refusalOf(v record.Verdict) (status int, reason string) {
	switch v {
	case record.Mismatch:
		return http.StatusUnprocessableEntity, "the key was used with another body or route"
	case record.OtherWorkspace:
		return http.StatusForbidden, "the key does not belong to this workspace"
	case record.Restarted:
		return http.StatusConflict, "the target restarted after the key was issued"
	case record.Expired:
		return http.StatusGone, "the key has expired"
	case record.FromFuture:
		return http.StatusConflict, "the key was issued in the future: the clocks differ by more than the allowed skew"
	}
	return http.StatusBadGateway, "this target is not the home of the key"
}

// openKey creates the record and the job of a free key, or closes the key if the request is refused.
func (c *Core) openKey(now time.Time, a *Arrival) []Action {
	if a.Lookup || a.Offset > 0 {
		return refuseUnknown(a)
	}
	if refusal := c.checkAdmission(now, a); refusal != nil {
		c.records.Close(a.Key, a.Fingerprint)
		return refusal
	}
	if !c.records.Open(a.Key, a.Fingerprint) {
		return refuse(a, call.OutcomeNotRun, http.StatusTooManyRequests, "the workspace has too many recent calls at this target", defaultRetryAfter)
	}
	return c.enqueue(now, a)
}

// attachKey attaches a stream to the call of a known key.
func (c *Core) attachKey(a *Arrival) []Action {
	j := c.jobs[a.Key]
	if j == nil {
		return refuseUnknown(a)
	}
	return c.attach(j, a)
}

// needsKey reports whether the route requires an idempotency key.
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

// expireRecords drops the records of expired keys and their answers.
func (c *Core) expireRecords(now time.Time) {
	if now.Sub(c.lastRecordSweep) < recordSweep {
		return
	}
	c.lastRecordSweep = now
	for _, text := range c.records.Expire(now) {
		j := c.jobs[text]
		switch {
		case j == nil:
		case j.ended.IsZero():
			j.expired = true
		default:
			c.discardJob(text, j)
		}
	}
}
