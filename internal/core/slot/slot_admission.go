package slot

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
	"github.com/dragonflydeal/dragonflydeal/internal/request/queue"
	"github.com/dragonflydeal/dragonflydeal/internal/request/retry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// admission holds the queue and the service time estimates that decide which requests run and when.
type admission struct {
	// queue holds the jobs that wait for the engine.
	queue *queue.Queue
	// estimates holds the service times by route.
	estimates map[string]*queue.Estimate
	// retryRandom jitters the retry-after times for callers.
	retryRandom *rand.Rand
	engineLimit engineLimit
	wish        engineWish
}

func newAdmission(random *rand.Rand) admission {
	return admission{queue: queue.New(), estimates: map[string]*queue.Estimate{}, retryRandom: random, engineLimit: engineLimit{issuer: limit.NewIssuer()}}
}

// checkAdmission refuses a new request that the target cannot take.
func (c *Core) checkAdmission(now time.Time, a *Arrival) []Action {
	if verdict, by := c.crashVerdicts.Check(now, a.Fingerprint, a.Parts); verdict == suspect.Convicted {
		return refuse(a, call.OutcomeNotRun, http.StatusUnprocessableEntity, suspect.ReasonFor(by[0]), 0)
	}
	if c.state != membership.StateServing {
		refusal := refuse(a, call.OutcomeNotRun, 0, "the target does not accept new requests", c.retryAfter(now))
		refusal[0].Chunk.Crashed = c.seenCrashing(now, a.Fingerprint)
		return refusal
	}
	if !c.wish.takes(now) {
		return refuse(a, call.OutcomeNotRun, 0, wishReason, max(c.wish.restsUntil.Sub(now), c.retryAfter(now)))
	}
	if a.Remaining <= 0 {
		return refuse(a, call.OutcomeNotRun, http.StatusGatewayTimeout, "the deadline passed", 0)
	}
	return c.checkSuspect(now, a)
}

// capacity returns the engine's current width and load and the queue limit.
func (c *Core) capacity(now time.Time) queue.Capacity {
	q := queue.Capacity{Width: c.width(now), Running: c.running, QueueLimit: c.limits.MaxQueuePerWidth * c.target.Width}
	if l := &c.engineLimit; l.limited {
		q.Rate, q.Wait = max(l.rate, limit.MinRate), max(l.DeniedUntil(now, 0).Sub(now), 0)
	}
	return q
}

// retryAfter returns the time after which a refused caller may retry.
func (c *Core) retryAfter(now time.Time) time.Duration {
	return retry.After(c.retryRandom, c.queue.DrainTime(c.capacity(now)))
}

// pushQueue adds a new job to the queue.
func (c *Core) pushQueue(id string, j *job) {
	w, _ := c.configuration.Workspace(j.request.Workspace)
	e := c.estimate(j.request.Route)
	c.queue.Push(queue.Item{
		ID: id, Workspace: w.Name, Weight: max(w.Weight, 1), Priority: w.Priority,
		ServiceTime: e.ServiceTime(), Margin: e.Margin(), Deadline: j.deadline,
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

// observeService updates the route's service time estimate after a complete answer.
func (c *Core) observeService(now time.Time, j *job) {
	c.estimate(j.request.Route).Observe(now.Sub(j.started))
}

// shed refuses the queued jobs that would miss their deadline, and those beyond the queue limit.
func (c *Core) shed(now time.Time) (actions []Action) {
	for _, v := range c.queue.Shed(now, c.capacity(now)) {
		j := c.jobs[v.ID]
		j.retryAfter = c.retryAfter(now)
		actions = append(actions, c.endJob(now, j, "refuse", call.OutcomeNotRun, "the target cannot answer in time")...)
	}
	return actions
}

// endBy refuses the queued jobs that cannot be answered by a time, and bounds the others; zero means no bound.
func (c *Core) endBy(now, until time.Time) []Action {
	if until.IsZero() {
		return nil
	}
	for _, id := range c.queue.Limit(until) {
		c.jobs[id].deadline = until
	}
	return c.shed(now)
}

// admit starts queued jobs while the engine has capacity, then sheds the queue.
func (c *Core) admit(now time.Time) (actions []Action) {
	for c.running < c.target.Width && c.engineAlive && c.groupAdmits() && c.wish.takes(now) {
		v, ok := c.queue.Peek()
		if !ok {
			return actions
		}
		j := c.jobs[v.ID]
		if !c.mayStart(j) || !c.hasPower(now, j) || now.Before(j.deadline) && !c.engineLimit.take(now) {
			break
		}
		c.queue.Pop()
		if !now.Before(j.deadline) {
			actions = append(actions, c.endJob(now, j, "refuse", call.OutcomeNotRun, "the deadline passed in the queue")...)
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
		c.isolatedID = id
	}
	j.started = now
	j.transition("run")
	return Action{Run: &Run{ID: id, Request: j.request, Deadline: j.deadline}}
}
