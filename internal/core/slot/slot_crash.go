package slot

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// revivalReports is the number of good load reports after a crash that prove that the engine runs again:
// the first one may have been sent before the crash.
const revivalReports = 2

// crashes tracks the requests that may crash the engine.
type crashes struct {
	// crashVerdicts holds this slot's verdicts on requests.
	crashVerdicts *suspect.Tracker
	// isolatedID is the ID of the job that runs alone at the engine, or empty.
	isolatedID string
	// reportsToRevival is the number of good load reports still needed after a crash.
	reportsToRevival int
	// crashCount is the number of crashes of the engine.
	crashCount int
}

// checkSuspect marks a suspected request to run isolated, and refuses it while another one waits or runs isolated.
func (c *Core) checkSuspect(now time.Time, a *Arrival) []Action {
	if verdict, _ := c.crashVerdicts.Check(now, a.Fingerprint, a.Parts); verdict.Isolates() {
		a.Isolated = true
	}
	if !a.Isolated {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(c.active)) {
		j := c.active[id]
		if !j.request.Isolated {
			continue
		}
		if j.request.Fingerprint == a.Fingerprint {
			return refuse(a, call.OutcomeNotRun, http.StatusServiceUnavailable, "an equal request is being run in isolation", defaultRetryAfter)
		}
		return refuse(a, call.OutcomeNotRun, 0, "another request is being run in isolation", defaultRetryAfter)
	}
	c.crashVerdicts.Record(now, a.Fingerprint, suspect.Suspected)
	return nil
}

// mayStart reports whether a job may start beside the running ones: an isolated job runs alone.
func (c *Core) mayStart(j *job) bool {
	if c.isolatedID != "" {
		return false
	}
	return !j.request.Isolated || c.running == 0
}

// updateVerdicts updates the verdicts from the end of a run: a crash makes suspects, a complete answer clears its
// request.
func (c *Core) updateVerdicts(now time.Time, r *Result, j *job) []Action {
	if c.isolatedID == r.ID {
		c.isolatedID = ""
	}
	if !r.Crashed {
		if r.Outcome == call.OutcomeComplete {
			c.crashVerdicts.Record(now, j.request.Fingerprint, suspect.Cleared)
			c.crashVerdicts.MarkSound(now, j.request.Parts...)
		}
		return nil
	}
	j.crashed = true
	// Every running request ends with the crash; the first result has handled it.
	if c.reportsToRevival == revivalReports {
		return nil
	}
	return c.engineCrashed(now)
}

// engineCrashed suspects every running request, convicts an isolated one, and refuses the idempotent requests in the
// queue so that entries send them elsewhere.
func (c *Core) engineCrashed(now time.Time) []Action {
	c.reportsToRevival = revivalReports
	c.engineAlive = false
	c.crashCount++
	var actions []Action
	ids := slices.SortedFunc(maps.Keys(c.active), c.runningFirst)
	for _, id := range ids {
		j := c.active[id]
		if j.state == jobRunning {
			c.loseParts(now, j)
		}
		switch {
		case j.state == jobRunning && j.request.Isolated:
			c.crashVerdicts.Record(now, j.request.Fingerprint, suspect.Convicted)
			actions = append(actions, suspectAudit(j, "convicted"))
		case j.state == jobRunning:
			c.crashVerdicts.Record(now, j.request.Fingerprint, suspect.Suspected)
			actions = append(actions, suspectAudit(j, "suspected"))
		case j.state == jobQueued && j.request.Key == "":
			c.queue.Remove(id)
			j.retryAfter = c.retryAfter(now)
			j.crashed = c.seenCrashing(now, j.request.Fingerprint)
			actions = append(actions, c.endJob(now, j, "refuse", call.OutcomeNotRun, "the engine crashed before the request ran")...)
		}
	}
	return append(actions, c.transition("lost")...)
}

// loseParts records that the engine has crashed while it ran a prompt with the parts of a job's.
func (c *Core) loseParts(now time.Time, j *job) {
	engine := suspect.Incarnation(c.name, c.incarnation, c.crashCount)
	for _, part := range j.request.Parts {
		c.crashVerdicts.Lose(now, suspect.LostRun{Fingerprint: part, Target: engine, Fate: suspect.FateEnded, At: now})
	}
}

// runningFirst orders the IDs of jobs: running ones before queued ones, then by ID.
func (c *Core) runningFirst(x, y string) int {
	if a, b := c.active[x].state == jobRunning, c.active[y].state == jobRunning; a != b {
		if a {
			return -1
		}
		return 1
	}
	return cmp.Compare(x, y)
}

// seenCrashing reports whether this slot's engine crashed while it ran an equal request.
func (c *Core) seenCrashing(now time.Time, fingerprint uint64) bool {
	v := c.crashVerdicts.Verdict(now, fingerprint)
	return v == suspect.Suspected || v == suspect.Convicted
}

func suspectAudit(j *job, verdict string) Action {
	return Action{Audit: &Audit{Kind: "suspect", Attributes: []any{
		"fingerprint", j.request.Fingerprint, "workspace", j.request.Workspace, "route", j.request.Route, "verdict", verdict,
	}}}
}

// countRevivalReport counts a good load report and reports whether enough have followed the last crash.
func (c *Core) countRevivalReport() bool {
	c.reportsToRevival = max(c.reportsToRevival-1, 0)
	return c.reportsToRevival == 0
}
