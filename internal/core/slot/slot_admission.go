package slot

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/queue"
	"github.com/dragonflydeal/dragonflydeal/internal/request/retry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// admission is what decides which requests run and when.
type admission struct {
	// queue holds the jobs that wait for the engine.
	queue *queue.Queue
	// estimates holds the service times by route.
	estimates map[string]*queue.Estimate
	// chance spreads the advice to callers.
	chance *rand.Rand
}

func newAdmission(random *rand.Rand) admission {
	return admission{queue: queue.New(), estimates: map[string]*queue.Estimate{}, chance: random}
}

// checkAdmission refuses a new request that the target cannot take.
func (c *Core) checkAdmission(now time.Time, a *Arrival) []Action {
	if c.book.Verdict(now, a.Fingerprint) == suspect.Convicted {
		return refuse(a, call.OutcomeNotRun, http.StatusUnprocessableEntity, suspect.Refusal, 0)
	}
	if c.state != membership.StateServing {
		refusal := refuse(a, call.OutcomeNotRun, 0, "the target takes no new work", c.advice(now))
		refusal[0].Chunk.Crashed = c.accused(now, a.Fingerprint)
		return refusal
	}
	if a.Remaining <= 0 {
		return refuse(a, call.OutcomeNotRun, http.StatusGatewayTimeout, "the deadline passed", 0)
	}
	return c.checkSuspect(now, a)
}

// room returns what the engine can do now.
func (c *Core) room(now time.Time) queue.Room {
	return queue.Room{Width: c.width(now), Running: c.running, Limit: c.limits.Queue * c.target.Width}
}

// advice returns when a refused caller may come back.
func (c *Core) advice(now time.Time) time.Duration {
	return retry.Advice(c.chance, c.queue.Drain(c.room(now)))
}

// line puts a new job at its place in the queue.
func (c *Core) line(id string, j *job) {
	w, _ := c.configuration.Workspace(j.request.Workspace)
	e := c.estimate(j.request.Route)
	c.queue.Push(queue.Item{
		ID: id, Workspace: w.Name, Weight: max(w.Weight, 1), Priority: w.Priority,
		Service: e.Service(), Margin: e.Margin(), Deadline: j.deadline,
	})
}

func (c *Core) estimate(route string) *queue.Estimate {
	e := c.estimates[route]
	if e == nil {
		e = &queue.Estimate{}
		c.estimates[route] = e
	}
	return e
}

// observe learns from a whole answer how long the engine takes.
func (c *Core) observe(now time.Time, j *job) {
	c.estimate(j.request.Route).Observe(now.Sub(j.started))
}

// shed refuses at once the waiting jobs that cannot be on time, and those beyond the queue's limit.
func (c *Core) shed(now time.Time) (actions []Action) {
	for _, v := range c.queue.Shed(now, c.room(now)) {
		j := c.jobs[v.ID]
		j.retry = c.advice(now)
		actions = append(actions, c.end(now, j, "refuse", call.OutcomeNotRun, "the target cannot answer in time")...)
	}
	return actions
}

// admit starts waiting requests while the engine has room, and refuses what cannot be on time.
func (c *Core) admit(now time.Time) (actions []Action) {
	for c.running < c.target.Width && c.alive && c.admits() {
		v, ok := c.queue.Peek()
		if !ok {
			return actions
		}
		j := c.jobs[v.ID]
		if !c.fits(j) || !c.powered(now, j) {
			break
		}
		c.queue.Pop()
		if !now.Before(j.deadline) {
			actions = append(actions, c.end(now, j, "refuse", call.OutcomeNotRun, "the deadline passed in the queue")...)
			continue
		}
		actions = append(actions, c.run(now, v.ID, j))
	}
	return append(actions, c.shed(now)...)
}

// run starts a job at the engine.
func (c *Core) run(now time.Time, id string, j *job) Action {
	c.running++
	if j.request.Isolated {
		c.trial = id
	}
	j.started = now
	j.move("run")
	return Action{Run: &Run{ID: id, Request: j.request, Deadline: j.deadline}}
}
