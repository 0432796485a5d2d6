package slot

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// maxLeaving is the time after which an engine that still reports its load is taken to stay, though it has said that it leaves.
const maxLeaving = time.Minute

// engineWish keeps what the engine has said about the requests that it wants.
type engineWish struct {
	// restsUntil is the time until which it wants none.
	restsUntil time.Time
	// leavesSince is when it first said that it takes no new requests, or zero.
	leavesSince time.Time
}

// takes reports whether the engine wants requests now.
func (w *engineWish) takes(now time.Time) bool {
	return w.leavesSince.IsZero() && !now.Before(w.restsUntil)
}

// heardReport ends the wish of an engine that has ended, or that stays after all.
func (w *engineWish) heardReport(now time.Time, alive bool) {
	if !alive || now.Sub(w.leavesSince) > maxLeaving {
		w.leavesSince = time.Time{}
	}
}

// noteWish records what the engine has said in an answer. Requests in the queue are refused at once if they may run elsewhere or can't
// start before their deadline.
func (c *Core) noteWish(now time.Time, wait time.Duration, leaving bool) (actions []Action) {
	if wait <= 0 && (!leaving || !c.wish.leavesSince.IsZero()) {
		return nil
	}
	if until := now.Add(wait); until.After(c.wish.restsUntil) && wait > 0 {
		c.wish.restsUntil = until
	}
	if leaving && c.wish.leavesSince.IsZero() {
		c.wish.leavesSince = now
		c.engineAlive = false
		actions = append(actions, c.transition("lost")...)
	}
	actions = append(actions, Action{Audit: &Audit{Kind: "wish", Attributes: []any{"wait", wait, "leaving", leaving}}})
	for _, id := range slices.Sorted(maps.Keys(c.active)) {
		j := c.active[id]
		if j.state == jobQueued && (j.request.Key == "" || leaving || !c.wish.restsUntil.Before(j.deadline)) {
			c.queue.Remove(id)
			j.retryAfter = c.retryAfter(now)
			actions = append(actions, c.endJob(now, j, "refuse", call.OutcomeNotRun, wishReason)...)
		}
	}
	return actions
}

// wishReason is the reason of a refusal because of what the engine has said.
const wishReason = "the engine takes no new requests now"
