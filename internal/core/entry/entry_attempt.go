package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/outlier"
	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

// attempt sends the request to a target that was not tried yet, or ends the exchange.
func (c *Core) attempt(now time.Time, x *exchange) []Action {
	if !now.Before(x.deadline) {
		return c.giveUp(x, http.StatusGatewayTimeout, "the deadline passed before a target was available")
	}
	if x.request.Attempt >= maxAttempts {
		return c.giveUp(x, http.StatusServiceUnavailable, "no target took the request")
	}
	if refusal := c.checkVerdict(now, x); refusal != nil {
		return refusal
	}
	targets, candidates := c.candidates(now, x)
	i := c.pickTarget(now, x, targets, candidates)
	if i < 0 {
		return c.giveUp(x, http.StatusServiceUnavailable, "no untried target of the pool is available")
	}
	if !c.mayRetry(x) {
		return c.giveUp(x, http.StatusServiceUnavailable, "the target cannot take the request and the retry budget is used up")
	}
	return c.send(now, x, targets[i])
}

// pickTarget returns the index of the target for the next attempt, or -1 when there is none.
func (c *Core) pickTarget(now time.Time, x *exchange, targets []configuration.Target, candidates []route.Candidate) int {
	if x.request.Isolated {
		return c.pickIsolated(now, x, targets)
	}
	return c.picker.Pick(candidates, prefixOf(x, targets))
}

// prefixOf returns the digest of the request's prompt prefix, or zero for targets without a prefix cache.
func prefixOf(x *exchange, targets []configuration.Target) uint64 {
	if len(targets) == 0 || targets[0].Kind != configuration.KindEngine {
		return 0
	}
	return route.Prefix(x.request.Workspace, x.request.Body)
}

// candidates returns the serving targets of the request's pool that were not tried: those of this entry's subset,
// or of the whole pool if the subset has none. Targets that the platform lists as leaving are used only if there are
// no others.
func (c *Core) candidates(now time.Time, x *exchange) (targets []configuration.Target, candidates []route.Candidate) {
	targets = c.serving(now, x, c.candidatesByPool[x.route.Pool])
	if len(targets) == 0 {
		targets = c.serving(now, x, c.configuration.Pool(x.route.Pool))
	}
	targets = c.withoutLeaving(now, targets)
	prefix := prefixOf(x, targets)
	failures := c.failures(x).Snapshot(now)
	for _, t := range targets {
		m, _ := c.view.Member(now, t.Name)
		candidates = append(candidates, route.Candidate{
			Name: t.Name, SameCentre: t.Centre == c.centre, Width: m.Width,
			Running: m.Running, Queued: m.Queued, Age: now.Sub(m.ReportedAt),
			OwnInFlight: c.inFlight[t.Name], SentSinceReport: c.sentSince(t.Name, m.ReportedAt),
			PrefixCached: slices.Contains(m.Prefixes, prefix), Failing: failures.Verdict(t.Name) == outlier.Failing,
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
	c.inFlight[t.Name]++
	if c.sentAt[t.Name] == nil {
		c.sentAt[t.Name] = map[string]time.Time{}
	}
	c.sentAt[t.Name][x.request.ID] = now
	x.transition("send")
	x.request.Attempt++
	request := x.request
	request.Offset = x.assembler.Offset()
	request.Remaining = x.deadline.Sub(now)
	return []Action{{Send: &Send{Request: request, Target: t.Name, Address: t.Address, Deadline: x.deadline}}}
}

// release removes the latest attempt from the counts of its target.
func (c *Core) release(x *exchange) {
	if x.target == "" {
		return
	}
	c.inFlight[x.target]--
	if c.inFlight[x.target] <= 0 {
		delete(c.inFlight, x.target)
	}
	delete(c.sentAt[x.target], x.request.ID)
	if len(c.sentAt[x.target]) == 0 {
		delete(c.sentAt, x.target)
	}
	x.target = ""
}

// sentSince returns the number of requests in progress that were sent after a report was made, and drops the earlier
// send times.
func (c *Core) sentSince(target string, reportedAt time.Time) (n int) {
	for id, at := range c.sentAt[target] {
		if at.After(reportedAt) {
			n++
		} else {
			delete(c.sentAt[target], id)
		}
	}
	return n
}
