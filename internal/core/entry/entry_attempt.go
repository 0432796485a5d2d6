package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/peer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

// attempt sends the request to a target that was not tried yet, or gives up.
func (c *Core) attempt(now time.Time, x *exchange) []Action {
	if !now.Before(x.deadline) {
		return c.giveUp(x, http.StatusGatewayTimeout, "the deadline passed before a target was free")
	}
	if x.request.Attempt >= maxAttempts {
		return c.giveUp(x, http.StatusServiceUnavailable, "no target took the request")
	}
	if refusal := c.screen(now, x); refusal != nil {
		return refusal
	}
	targets, candidates := c.candidates(now, x)
	i := c.choose(now, x, targets, candidates)
	if i < 0 {
		return c.giveUp(x, http.StatusServiceUnavailable, "no other target of the pool is in reach")
	}
	if !c.mayRetry(x) {
		return c.giveUp(x, http.StatusServiceUnavailable, "the target cannot take the request and too many are being retried")
	}
	return c.send(now, x, targets[i])
}

// choose returns the index of the target for the next attempt, or -1 when there is none.
func (c *Core) choose(now time.Time, x *exchange, targets []configuration.Target, candidates []route.Candidate) int {
	if x.request.Isolated {
		return c.pickTrial(now, x, targets)
	}
	return c.picker.Pick(candidates, prefixOf(x, targets))
}

// prefixOf returns the digest of the request's prompt prefix, or zero where the targets keep none.
func prefixOf(x *exchange, targets []configuration.Target) uint64 {
	if len(targets) == 0 || targets[0].Kind != configuration.KindEngine {
		return 0
	}
	return route.Prefix(x.request.Workspace, x.request.Body)
}

// candidates returns the serving targets of the request's pool that were not tried.
func (c *Core) candidates(now time.Time, x *exchange) (targets []configuration.Target, candidates []route.Candidate) {
	targets = c.serving(now, x, c.choices[x.route.Pool])
	if len(targets) == 0 {
		targets = c.serving(now, x, c.configuration.Pool(x.route.Pool))
	}
	targets = c.preferred(now, targets)
	prefix := prefixOf(x, targets)
	peers := c.board(x).Compare(now)
	for _, t := range targets {
		m, _ := c.view.Member(now, t.Name)
		candidates = append(candidates, route.Candidate{
			Name: t.Name, Near: t.Centre == c.centre, Width: m.Width,
			Running: m.Running, Queued: m.Queued, Age: now.Sub(m.ReportedAt), Own: c.flight[t.Name], Since: c.since(t.Name, m.ReportedAt),
			Warm: slices.Contains(m.Prefixes, prefix), Failing: peers.Verdict(t.Name) == peer.Failing,
		})
	}
	return targets, candidates
}

// serving returns those of a list of targets that serve and were not tried.
func (c *Core) serving(now time.Time, x *exchange, list []configuration.Target) (targets []configuration.Target) {
	for _, t := range list {
		m, ok := c.view.Member(now, t.Name)
		if ok && m.State == membership.StateServing && !x.tried[t.Name] {
			targets = append(targets, t)
		}
	}
	return targets
}

// send starts the next attempt at a target.
func (c *Core) send(now time.Time, x *exchange, t configuration.Target) []Action {
	c.release(x)
	x.target = t.Name
	c.flight[t.Name]++
	if c.recent[t.Name] == nil {
		c.recent[t.Name] = map[string]time.Time{}
	}
	c.recent[t.Name][x.request.ID] = now
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
	delete(c.recent[x.target], x.request.ID)
	if len(c.recent[x.target]) == 0 {
		delete(c.recent, x.target)
	}
	x.target = ""
}

// since returns the number of requests in progress that were sent after a report was made.
func (c *Core) since(target string, made time.Time) (n int) {
	for id, at := range c.recent[target] {
		if at.After(made) {
			n++
		} else {
			delete(c.recent[target], id)
		}
	}
	return n
}
