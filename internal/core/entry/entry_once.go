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

// maxSuccessorHops bounds the successors followed from a home that left to the target that has its records now.
const maxSuccessorHops = 4

// succession names the target that took over the records of a home that left.
type succession struct {
	// target is the name of the successor.
	target string
	// until is the time from which every key of the home has expired.
	until time.Time
}

// notRunToUnknown changes the outcome "not run" to "unknown" for requests with a key or a resumed answer,
// because another entry may have served them.
func notRunToUnknown(a *Arrival, actions []Action) []Action {
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

// arriveKeyed sends a non-idempotent request to the home that its key names.
// A request without a key of this system is answered with a fresh key.
func (c *Core) arriveKeyed(now time.Time, x *exchange) []Action {
	if !key.HasSystemPrefix(x.request.Key) {
		return c.issueKey(now, x)
	}
	k, err := key.Parse(x.request.Key)
	if err != nil {
		return refuse(x.request.ID, http.StatusBadRequest, "the idempotency key is damaged", 0)
	}
	if k.Workspace != key.WorkspaceHash(x.request.Workspace) {
		return refuse(x.request.ID, http.StatusForbidden, "the idempotency key does not belong to this workspace", 0)
	}
	t, configured := c.configuration.Target(k.Home)
	if configured && t.Pool != x.route.Pool {
		return refuse(x.request.ID, http.StatusConflict, "the idempotency key's home does not serve this route", 0)
	}
	x.request.Isolated = c.crashVerdicts.Verdict(now, x.request.Fingerprint) == suspect.Suspected
	c.exchanges[x.request.ID] = x
	m, known := c.view.Member(now, k.Home)
	left := !configured || known && (m.State == membership.StateGone || m.Incarnation != k.Incarnation)
	if left {
		if successor, ok := c.successorOf(k); ok {
			return c.lookUpAt(now, x, successor)
		}
	}
	if !configured {
		return c.finish(x, http.StatusBadGateway, call.OutcomeUnknown, "the key's home is no longer configured", 0)
	}
	return c.send(now, x, t)
}

// lookUpAt asks a successor for the answer of a call whose home left, without running the call.
func (c *Core) lookUpAt(now time.Time, x *exchange, t configuration.Target) []Action {
	x.request.Lookup = true
	return c.send(now, x, t)
}

// noteSuccessor records which target takes over the records of a leaving home.
func (c *Core) noteSuccessor(now time.Time, h *membership.Heartbeat) {
	if h.Successor == "" || h.State != membership.StateLeaving && h.State != membership.StateGone {
		return
	}
	c.successors[h.Incarnation] = succession{target: h.Successor, until: now.Add(key.Lifetime + 2*key.MaxClockSkew)}
	for incarnation, v := range c.successors {
		if now.After(v.until) {
			delete(c.successors, incarnation)
		}
	}
}

// successorOf returns the configured target that took over the records of a key's home.
func (c *Core) successorOf(k key.Key) (t configuration.Target, ok bool) {
	incarnation := k.Incarnation
	for range maxSuccessorHops {
		h, known := c.successors[incarnation]
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

// incarnationOf returns the incarnation in a target's latest heartbeat, or zero.
func (c *Core) incarnationOf(target string) uint64 {
	m, _ := c.view.Member(time.Time{}, target)
	return m.Incarnation
}

// issueKey answers with a fresh key, with which the caller is to repeat the request.
func (c *Core) issueKey(now time.Time, x *exchange) []Action {
	if verdict, by := c.crashVerdicts.Check(now, x.request.Fingerprint, x.request.Parts); verdict == suspect.Convicted {
		return refuse(x.request.ID, http.StatusUnprocessableEntity, suspect.ReasonFor(by[0]), 0)
	}
	fresh, ok := c.freshKey(now, x)
	if !ok {
		return refuse(x.request.ID, http.StatusServiceUnavailable, "no target of the pool is available", defaultRetryAfter)
	}
	actions := refuse(x.request.ID, http.StatusPreconditionRequired, "repeat the request with this idempotency key", 0)
	actions[0].Finish.Key = fresh
	return actions
}

// freshKey returns a new key whose home is a serving target, preferably one that was not tried.
func (c *Core) freshKey(now time.Time, x *exchange) (text string, ok bool) {
	targets, candidates := c.candidates(now, x)
	if len(targets) == 0 {
		clear(x.tried)
		targets, candidates = c.candidates(now, x)
	}
	i := c.pickTarget(now, x, targets, candidates)
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

// finishNotRun ends an exchange whose home confirmed that the key was not run and never will be, and adds a fresh key.
func (c *Core) finishNotRun(now time.Time, x *exchange, k *call.Chunk) []Action {
	x.keyNotRun = true
	fresh, _ := c.freshKey(now, x)
	actions := c.finish(x, statusOf(k, http.StatusServiceUnavailable), call.OutcomeNotRun, k.Reason, k.RetryAfter)
	actions[0].Finish.Key = fresh
	return actions
}

// reportedOutcome returns the outcome to report to the caller: "not run" only where it is certain.
func (x *exchange) reportedOutcome(outcome call.Outcome) call.Outcome {
	if outcome != call.OutcomeNotRun || x.keyNotRun {
		return outcome
	}
	if x.request.Lookup || x.request.Key != "" {
		return call.OutcomeUnknown
	}
	if x.mayHaveRun {
		return call.OutcomeFailed
	}
	return outcome
}
