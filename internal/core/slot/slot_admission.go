package slot

import (
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// checkAdmission refuses a new request that the target cannot take.
func (c *Core) checkAdmission(now time.Time, a *Arrival) []Action {
	if c.state != membership.StateServing {
		return refuse(a, call.OutcomeNotRun, 0, "the target takes no new work", defaultRetry)
	}
	if a.Remaining <= 0 {
		return refuse(a, call.OutcomeNotRun, http.StatusGatewayTimeout, "the deadline passed", 0)
	}
	if len(c.queue) >= c.limits.Queue*c.target.Width {
		return refuse(a, call.OutcomeNotRun, 0, "the target's queue is full", defaultRetry)
	}
	return c.checkSuspect(now, a)
}

// leave takes a job out of the queue.
func (c *Core) leave(id string) {
	c.queue = slices.DeleteFunc(c.queue, func(v string) bool { return v == id })
}

// admit starts waiting requests while the engine has room.
func (c *Core) admit(now time.Time) []Action {
	var actions []Action
	for len(c.queue) > 0 && c.running < c.target.Width && c.alive {
		id := c.queue[0]
		j := c.jobs[id]
		if !c.fits(j) || !c.powered(now, j) {
			break
		}
		c.queue = c.queue[1:]
		if !now.Before(j.deadline) {
			actions = append(actions, c.end(now, j, "refuse", call.OutcomeNotRun, "the deadline passed in the queue")...)
			continue
		}
		c.running++
		if j.request.Alone {
			c.trial = id
		}
		j.move("run")
		actions = append(actions, Action{Run: &Run{ID: id, Request: j.request, Deadline: j.deadline}})
	}
	return actions
}
