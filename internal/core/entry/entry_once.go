package entry

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// maxHeirs bounds the hops from a home that left to the target that has its records now.
const maxHeirs = 4

// heir is the target that took over the records of a home that left.
type heir struct {
	// target is the name of the successor.
	target string
	// until is the time from which no key of the home is valid any more.
	until time.Time
}

// honest turns "not run" into "unknown" where the entry cannot know it:
// a key or an answer that the caller already had may have been served through another entry.
func honest(a *Arrival, actions []Action) []Action {
	if !key.HasSystemPrefix(a.Key) && a.Home == "" {
		return actions
	}
	for i := range actions {
		if f := actions[i].Finish; f != nil && f.Outcome == call.OutcomeNotRun {
			f.Outcome = call.OutcomeUnknown
		}
	}
	return actions
}

// arriveOnce sends a non-idempotent request to the home that its key names.
// A caller's own key is only a label: it is answered with a key of this system.
func (c *Core) arriveOnce(now time.Time, x *exchange) []Action {
	if !key.HasSystemPrefix(x.request.Key) {
		return c.mint(now, x)
	}
	k, err := key.Parse(x.request.Key)
	if err != nil {
		return refuse(x.request.ID, http.StatusBadRequest, "the idempotency key is damaged", 0)
	}
	if k.Workspace != key.WorkspaceHash(x.request.Workspace) {
		return refuse(x.request.ID, http.StatusForbidden, "the idempotency key was not given out to this workspace", 0)
	}
	t, configured := c.configuration.Target(k.Home)
	if configured && t.Pool != x.route.Pool {
		return refuse(x.request.ID, http.StatusConflict, "the idempotency key's home does not serve this route", 0)
	}
	x.request.Isolated = c.book.Verdict(now, x.request.Fingerprint) == suspect.Suspected
	c.exchanges[x.request.ID] = x
	m, known := c.view.Member(now, k.Home)
	left := !configured || known && (m.State == membership.StateGone || m.Incarnation != k.Incarnation)
	if left {
		if successor, ok := c.heirOf(k); ok {
			return c.consult(now, x, successor)
		}
	}
	if !configured {
		return c.finish(x, http.StatusBadGateway, call.OutcomeUnknown, "the key's home is no longer configured", 0)
	}
	return c.send(now, x, t)
}

// consult asks a successor for the finished record of a home that left; nothing may run there.
func (c *Core) consult(now time.Time, x *exchange, t configuration.Target) []Action {
	x.request.Lookup = true
	return c.send(now, x, t)
}

// inherit notes which target takes over the records of a leaving home.
func (c *Core) inherit(now time.Time, h *membership.Heartbeat) {
	if h.Successor == "" || h.State != membership.StateLeaving && h.State != membership.StateGone {
		return
	}
	c.heirs[h.Incarnation] = heir{target: h.Successor, until: now.Add(key.Lifetime + 2*key.MaxClockSkew)}
	for incarnation, v := range c.heirs {
		if now.After(v.until) {
			delete(c.heirs, incarnation)
		}
	}
}

// heirOf returns the configured target that took over the records of a key's home.
func (c *Core) heirOf(k key.Key) (t configuration.Target, ok bool) {
	incarnation := k.Incarnation
	for range maxHeirs {
		h, known := c.heirs[incarnation]
		if !known {
			break
		}
		next, configured := c.configuration.Target(h.target)
		if !configured {
			break
		}
		t, ok = next, true
		incarnation = c.incarnationOf(h.target)
	}
	return t, ok
}

// incarnationOf returns the incarnation in a target's newest heartbeat, or zero.
func (c *Core) incarnationOf(target string) uint64 {
	m, _ := c.view.Member(time.Time{}, target)
	return m.Incarnation
}

// mint answers with a fresh key, which the caller repeats the request with.
func (c *Core) mint(now time.Time, x *exchange) []Action {
	if c.book.Verdict(now, x.request.Fingerprint) == suspect.Convicted {
		return refuse(x.request.ID, http.StatusUnprocessableEntity, suspect.Refusal, 0)
	}
	fresh, ok := c.freshKey(now, x)
	if !ok {
		return refuse(x.request.ID, http.StatusServiceUnavailable, "no target of the pool is in reach", defaultRetry)
	}
	actions := refuse(x.request.ID, http.StatusPreconditionRequired, "repeat the request with this idempotency key", 0)
	actions[0].Finish.Key = fresh
	return actions
}

// freshKey returns a key that was never used, at a serving target and preferably one that was not tried.
func (c *Core) freshKey(now time.Time, x *exchange) (text string, ok bool) {
	targets, candidates := c.candidates(now, x)
	if len(targets) == 0 {
		clear(x.tried)
		targets, candidates = c.candidates(now, x)
	}
	i := c.choose(now, x, targets, candidates)
	if i < 0 {
		return "", false
	}
	m, _ := c.view.Member(now, targets[i].Name)
	k := key.Key{
		Home: targets[i].Name, Incarnation: m.Incarnation, Minted: now,
		Random: c.random.Uint64(), Workspace: key.WorkspaceHash(x.request.Workspace),
	}
	return k.String(), true
}

// closed passes on the home's word that a key was not run and never will be, with a fresh key.
func (c *Core) closed(now time.Time, x *exchange, k *call.Chunk) []Action {
	x.certain = true
	fresh, _ := c.freshKey(now, x)
	actions := c.finish(x, statusOf(k, http.StatusServiceUnavailable), call.OutcomeNotRun, k.Reason, k.RetryAfter)
	actions[0].Finish.Key = fresh
	return actions
}

// told returns the outcome that the caller may be told: "not run" only where it is certain.
func (x *exchange) told(outcome call.Outcome) call.Outcome {
	if outcome != call.OutcomeNotRun || x.certain {
		return outcome
	}
	if x.request.Lookup || x.request.Key != "" {
		return call.OutcomeUnknown
	}
	if x.doubt {
		return call.OutcomeFailed
	}
	return outcome
}
