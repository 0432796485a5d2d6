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

// revivalReports is the number of good reports after a death that prove a new life:
// the first one may have been on its way when the engine died.
const revivalReports = 2

// crashes is what a slot knows of requests that may kill its engine.
type crashes struct {
	// book holds what this slot found out.
	book *suspect.Book
	// trial is the ID of the job that has the engine to itself, or empty.
	trial string
	// dead is the number of good reports that are missing after the engine's death.
	dead int
}

// checkSuspect refuses a second trial and marks what is to run alone.
func (c *Core) checkSuspect(now time.Time, a *Arrival) []Action {
	if c.book.Verdict(now, a.Fingerprint) == suspect.Suspected {
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
			return refuse(a, call.OutcomeNotRun, http.StatusServiceUnavailable, "an equal request is being tried alone", defaultRetry)
		}
		return refuse(a, call.OutcomeNotRun, 0, "another request is being tried alone", defaultRetry)
	}
	c.book.Note(now, a.Fingerprint, suspect.Suspected)
	return nil
}

// fits reports whether a job may start beside what runs: a trial runs alone.
func (c *Core) fits(j *job) bool {
	if c.trial != "" {
		return false
	}
	return !j.request.Isolated || c.running == 0
}

// judge takes in how a run ended: a death makes suspects, a whole answer clears.
func (c *Core) judge(now time.Time, r *Result, j *job) []Action {
	if c.trial == r.ID {
		c.trial = ""
	}
	if !r.Crashed {
		if r.Outcome == call.OutcomeComplete {
			c.book.Note(now, j.request.Fingerprint, suspect.Cleared)
		}
		return nil
	}
	j.crashed = true
	if c.dead == revivalReports {
		return nil
	}
	return c.die(now)
}

// die acts on the engine's death: all that ran is suspected, and what waits is sent elsewhere.
func (c *Core) die(now time.Time) []Action {
	c.dead = revivalReports
	c.alive = false
	var actions []Action
	ids := slices.SortedFunc(maps.Keys(c.active), c.runningFirst)
	for _, id := range ids {
		j := c.active[id]
		switch {
		case j.state == jobRunning && j.request.Isolated:
			c.book.Note(now, j.request.Fingerprint, suspect.Convicted)
			actions = append(actions, suspectAudit(j, "convicted"))
		case j.state == jobRunning:
			c.book.Note(now, j.request.Fingerprint, suspect.Suspected)
			actions = append(actions, suspectAudit(j, "suspected"))
		case j.state == jobQueued && j.request.Key == "":
			c.queue.Remove(id)
			j.retry = c.advice(now)
			j.crashed = c.accused(now, j.request.Fingerprint)
			actions = append(actions, c.end(now, j, "refuse", call.OutcomeNotRun, "the engine died before the request ran")...)
		}
	}
	return append(actions, c.signal("lost")...)
}

// runningFirst orders the IDs of jobs: those at the engine before those that wait.
func (c *Core) runningFirst(x, y string) int {
	if a, b := c.active[x].state == jobRunning, c.active[y].state == jobRunning; a != b {
		if a {
			return -1
		}
		return 1
	}
	return cmp.Compare(x, y)
}

// accused reports whether this slot saw its engine die with such a request.
func (c *Core) accused(now time.Time, fingerprint uint64) bool {
	v := c.book.Verdict(now, fingerprint)
	return v == suspect.Suspected || v == suspect.Convicted
}

func suspectAudit(j *job, verdict string) Action {
	return Action{Audit: &Audit{Kind: "suspect", Attributes: []any{
		"fingerprint", j.request.Fingerprint, "workspace", j.request.Workspace, "route", j.request.Route, "verdict", verdict,
	}}}
}

// revived reports whether a good report proves that the engine lives.
func (c *Core) revived() bool {
	c.dead = max(c.dead-1, 0)
	return c.dead == 0
}
