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

// crashes is what an entry knows of requests that may kill engines.
type crashes struct {
	// book holds what all slots in reach found out.
	book *suspect.Book
	// spread is the time in which every entry hears a slot's verdict.
	spread time.Duration
}

// held is the end of an exchange that its caller learns once other entries know the verdict.
type held struct {
	// until is the time of the end.
	until time.Time
	// status, outcome and reason are the caller's.
	status  int
	outcome call.Outcome
	reason  string
}

// learn takes in the verdicts of a heartbeat.
func (c *Core) learn(now time.Time, before membership.Member, h membership.Heartbeat) {
	c.book.Merge(now, reportOf(before.Heartbeat), reportOf(h))
}

func reportOf(h membership.Heartbeat) suspect.Report {
	return suspect.Report{Suspected: h.Suspects, Cleared: h.Cleared, Convicted: h.Convicted}
}

// screen refuses a convicted request and marks a suspected one to run alone.
func (c *Core) screen(now time.Time, x *exchange) []Action {
	verdict := c.book.Verdict(now, x.request.Fingerprint)
	x.request.Isolated = verdict == suspect.Suspected
	switch {
	case verdict == suspect.Convicted:
		return c.finish(x, http.StatusUnprocessableEntity, call.OutcomeNotRun, suspect.Refusal, 0)
	case x.request.Isolated && c.onTrial(x):
		return c.finish(x, http.StatusServiceUnavailable, call.OutcomeNotRun, "an equal request is being tried alone", defaultRetry)
	}
	return nil
}

// onTrial reports whether an equal request of another exchange is being tried alone.
func (c *Core) onTrial(x *exchange) bool {
	for _, v := range c.exchanges {
		if v != x && v.target != "" && v.request.Isolated && v.request.Fingerprint == x.request.Fingerprint {
			return true
		}
	}
	return false
}

// pickTrial returns the index of the target that tries a suspect: the same one at every entry,
// and none that accused it unless there is no other. It is -1 when there is no target.
func (c *Core) pickTrial(now time.Time, x *exchange, targets []configuration.Target) int {
	best, bestScore := -1, math.Inf(-1)
	for i, t := range targets {
		m, _ := c.view.Member(now, t.Name)
		score := float64(xxhash.Sum64String(t.Name+"/"+strconv.FormatUint(x.request.Fingerprint, 16))) / math.MaxUint64
		if slices.Contains(m.Suspects, x.request.Fingerprint) {
			score--
		}
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// crash acts on the death of an engine that ran the request, or an equal one.
func (c *Core) crash(now time.Time, x *exchange, k *call.Chunk) []Action {
	c.book.Note(now, x.request.Fingerprint, suspect.Suspected)
	if k.Outcome == call.OutcomeNotRun && x.request.Key == "" {
		x.tried[x.target] = true
		return c.attempt(now, x)
	}
	if k.Outcome == call.OutcomeNotRun {
		return c.closed(now, x, k)
	}
	if x.request.Isolated {
		c.book.Note(now, x.request.Fingerprint, suspect.Convicted)
		return c.hold(now, x, call.OutcomeFailed, "the engine that ran this request alone died; the request is refused for an hour")
	}
	if x.request.Key == "" && !x.request.Lookup && x.assembler.Offset() == 0 {
		x.tried[x.target] = true
		x.sent, x.doubt = false, true
		return c.attempt(now, x)
	}
	return c.hold(now, x, k.Outcome, "the engine died while it ran this and other requests")
}

// hold ends an exchange after the time in which the verdict spreads, so that no resend is ahead of it.
func (c *Core) hold(now time.Time, x *exchange, outcome call.Outcome, reason string) []Action {
	if x.request.Key != "" {
		outcome = call.OutcomeUnknown
	}
	x.held = &held{until: now.Add(c.spread), status: http.StatusBadGateway, outcome: outcome, reason: reason}
	c.release(x)
	return nil
}

// unhold ends the exchanges that were held for long enough.
func (c *Core) unhold(now time.Time) (actions []Action) {
	for _, id := range c.heldIDs(now) {
		x := c.exchanges[id]
		actions = append(actions, c.finish(x, x.held.status, x.held.outcome, x.held.reason, c.advice(x))...)
	}
	return actions
}

func (c *Core) heldIDs(now time.Time) (ids []string) {
	for id, x := range c.exchanges {
		if x.held != nil && !now.Before(x.held.until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
