package entry

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

// attempt sends the request to a target that was not tried yet, or gives up.
func (c *Core) attempt(now time.Time, x *exchange) []Action {
	if !now.Before(x.deadline) {
		return c.finish(x, http.StatusGatewayTimeout, call.OutcomeNotRun, "the deadline passed before a target was free", defaultRetry)
	}
	if x.request.Attempt >= maxAttempts {
		return c.finish(x, http.StatusServiceUnavailable, call.OutcomeNotRun, "no target took the request", defaultRetry)
	}
	if refusal := c.screen(now, x); refusal != nil {
		return refusal
	}
	targets, candidates := c.candidates(now, x)
	i := c.choose(now, x, targets, candidates)
	if i < 0 {
		return c.finish(x, http.StatusServiceUnavailable, call.OutcomeNotRun, "no target of the pool is in reach", defaultRetry)
	}
	return c.send(now, x, targets[i])
}

// choose returns the index of the target for the next attempt, or -1 when there is none.
func (c *Core) choose(now time.Time, x *exchange, targets []configuration.Target, candidates []route.Candidate) int {
	if x.request.Alone {
		return c.pickTrial(now, x, targets)
	}
	return c.picker.Pick(candidates)
}

// candidates returns the serving targets of the request's pool that were not tried.
func (c *Core) candidates(now time.Time, x *exchange) (targets []configuration.Target, candidates []route.Candidate) {
	for _, t := range c.configuration.Pool(x.route.Pool) {
		m, ok := c.view.Member(now, t.Name)
		if ok && m.State == membership.StateServing && !x.tried[t.Name] {
			targets = append(targets, t)
		}
	}
	targets = c.preferred(now, targets)
	for _, t := range targets {
		m, _ := c.view.Member(now, t.Name)
		candidates = append(candidates, route.Candidate{
			Name: t.Name, Near: t.Centre == c.centre, Width: m.Width,
			Running: m.Running, Queued: m.Queued, Age: now.Sub(m.Made), Own: c.flight[t.Name],
		})
	}
	return targets, candidates
}

// send starts the next attempt at a target.
func (c *Core) send(now time.Time, x *exchange, t configuration.Target) []Action {
	c.release(x)
	x.target = t.Name
	c.flight[t.Name]++
	x.signal("send")
	x.request.Attempt++
	request := x.request
	request.Offset = x.assembler.Offset()
	request.Remaining = x.deadline.Sub(now)
	return []Action{{Send: &Send{Request: request, Target: t.Name, Address: t.Address, Deadline: x.deadline}}}
}

// release gives back the count of the newest attempt's target.
func (c *Core) release(x *exchange) {
	if x.target == "" {
		return
	}
	c.flight[x.target]--
	if c.flight[x.target] <= 0 {
		delete(c.flight, x.target)
	}
	x.target = ""
}
