package entry

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// crashes tracks the requests that may crash engines.
type crashes struct {
	// crashVerdicts holds the verdicts of all slots in reach.
	crashVerdicts *suspect.Tracker
	// verdictSpread is the time in which a slot's verdict reaches every entry.
	verdictSpread time.Duration
}

// delayedFinish is the result of an exchange that is sent to the caller once other entries know the verdict.
type delayedFinish struct {
	// due is the time at which the result is sent.
	due time.Time
	// status, outcome and reason are the result for the caller.
	status  int
	outcome call.Outcome
	reason  string
}

// mergeVerdicts applies the verdicts that are new in a heartbeat.
func (c *Core) mergeVerdicts(now time.Time, before membership.Member, h membership.Heartbeat) {
	c.crashVerdicts.Merge(now, reportOf(before.Heartbeat), reportOf(h))
	c.crashVerdicts.LearnParts(now, now.Add(-h.Age), h.Runs)
}

func reportOf(h membership.Heartbeat) suspect.Report {
	return suspect.Report{Suspected: h.Suspects, Cleared: h.Cleared, Convicted: h.Convicted}
}

// checkVerdict refuses a convicted request and marks a suspected one to run isolated,
// or refuses it while an equal request runs isolated.
func (c *Core) checkVerdict(now time.Time, x *exchange) []Action {
	verdict, by := c.crashVerdicts.Check(now, x.request.Fingerprint, x.request.Parts)
	x.request.Isolated, x.suspects = verdict.Isolates(), by
	switch {
	case verdict == suspect.Convicted:
		return c.finish(x, http.StatusUnprocessableEntity, call.OutcomeNotRun, suspect.ReasonFor(by[0]), 0)
	case x.request.Isolated && c.isolatedElsewhere(x):
		return c.finish(x, http.StatusServiceUnavailable, call.OutcomeNotRun, "an equal request, or one with the same part of its prompt, is being run in isolation", defaultRetryAfter)
	}
	return nil
}

// isolatedElsewhere reports whether another exchange has sent a request to run isolated for the same reason.
func (c *Core) isolatedElsewhere(x *exchange) bool {
	for _, v := range c.exchanges {
		if v != x && v.target != "" && v.request.Isolated && slices.ContainsFunc(v.suspects, func(f uint64) bool { return slices.Contains(x.suspects, f) }) {
			return true
		}
	}
	return false
}

// pickIsolated returns the index of the target for an isolated run, or -1 without targets. Every entry picks the
// same one, and a target that suspects the request only if there is no other.
func (c *Core) pickIsolated(now time.Time, x *exchange, targets []configuration.Target) int {
	best, bestScore := -1, math.Inf(-1)
	for i, t := range targets {
		m, _ := c.view.Member(now, t.Name)
		score := float64(xxhash.Sum64String(t.Name+"/"+strconv.FormatUint(x.suspects[0], 16))) / math.MaxUint64
		if slices.Contains(m.Suspects, x.request.Fingerprint) {
			score--
		}
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// handleCrash handles an attempt whose engine crashed while it ran the request or an equal one.
func (c *Core) handleCrash(now time.Time, x *exchange, k *call.Chunk) []Action {
	c.crashVerdicts.Record(now, x.request.Fingerprint, suspect.Suspected)
	if k.Outcome == call.OutcomeNotRun && x.request.Key == "" {
		x.tried[x.target] = true
		return c.attempt(now, x)
	}
	if k.Outcome == call.OutcomeNotRun {
		return c.finishNotRun(now, x, k)
	}
	if x.request.Isolated {
		c.crashVerdicts.Record(now, x.request.Fingerprint, suspect.Convicted)
		return c.delayFinish(now, x, call.OutcomeFailed, "the engine crashed while it ran only this request; the request is refused for an hour")
	}
	if x.request.Key == "" && !x.request.Lookup && x.assembler.Offset() == 0 {
		x.tried[x.target] = true
		x.sent, x.mayHaveRun = false, true
		return c.attempt(now, x)
	}
	return c.delayFinish(now, x, k.Outcome, "the engine crashed while it ran this and other requests")
}

// delayFinish ends an exchange after verdictSpread, so that a retry of the caller does not overtake the verdict.
func (c *Core) delayFinish(now time.Time, x *exchange, outcome call.Outcome, reason string) []Action {
	if x.request.Key != "" {
		outcome = call.OutcomeUnknown
	}
	x.delayed = &delayedFinish{due: now.Add(c.verdictSpread), status: http.StatusBadGateway, outcome: outcome, reason: reason}
	c.release(x)
	return nil
}

// finishDelayed ends the exchanges whose delayed result is due.
func (c *Core) finishDelayed(now time.Time) (actions []Action) {
	for _, id := range c.delayedIDs(now) {
		x := c.exchanges[id]
		actions = append(actions, c.finish(x, x.delayed.status, x.delayed.outcome, x.delayed.reason, c.retryAfter(x))...)
	}
	return actions
}

func (c *Core) delayedIDs(now time.Time) (ids []string) {
	for id, x := range c.exchanges {
		if x.delayed != nil && !now.Before(x.delayed.due) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
