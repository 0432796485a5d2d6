package entry

import (
	"maps"
	"slices"
	"time"
)

// shutdown is the progress of a graceful shutdown.
type shutdown struct {
	// drainTime is the time after a stop in which new requests are still served,
	// because the platform's load balancer keeps sending them until it sees that the entry is not ready.
	drainTime time.Duration
	// stopping is set by the stop event and never cleared.
	stopping bool
	// stopTime is the time of the stop event.
	stopTime time.Time
	// drained is set once drainTime has passed and never cleared.
	drained bool
}

// stop begins a graceful shutdown.
func (c *Core) stop(now time.Time) []Action {
	if !c.stopping {
		c.stopping = true
		c.stopTime = now
	}
	return c.updateDrain(now)
}

// end ends the requests in progress.
func (c *Core) end() []Action {
	c.stopping, c.drained = true, true
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.exchanges)) {
		x := c.exchanges[id]
		if x.delayed != nil {
			actions = append(actions, c.finish(x, x.delayed.status, x.delayed.outcome, x.delayed.reason, c.retryAfter(x))...)
			continue
		}
		actions = append(actions, c.cut(x, "the entry stops")...)
	}
	return actions
}

// updateDrain sets drained once drainTime has passed, and lets an idle process exit.
func (c *Core) updateDrain(now time.Time) []Action {
	c.drained = c.stopping && now.Sub(c.stopTime) >= c.drainTime
	return c.exitWhenIdle()
}

// exitWhenIdle lets a drained process exit once no request is in progress.
func (c *Core) exitWhenIdle() []Action {
	if !c.drained || len(c.exchanges) > 0 {
		return nil
	}
	return []Action{{Exit: &Exit{}}}
}

// tick runs timeouts and other due work.
func (c *Core) tick(now time.Time) []Action {
	actions := append(c.detectTimeouts(now), c.finishDelayed(now)...)
	actions = append(actions, c.expire(now)...)
	return append(actions, c.updateDrain(now)...)
}

// OpenRequest is a request in progress.
type OpenRequest struct {
	// ID identifies the request.
	ID string
	// Workspace is the workspace of the request.
	Workspace string
	// Target is the target of the latest attempt, or empty.
	Target string
	// Key is the idempotency key, or empty.
	Key string
}

// OpenRequests returns the requests in progress in the order of their IDs.
func (c *Core) OpenRequests() (open []OpenRequest) {
	for _, id := range slices.Sorted(maps.Keys(c.exchanges)) {
		x := c.exchanges[id]
		open = append(open, OpenRequest{ID: id, Workspace: x.request.Workspace, Target: x.target, Key: x.request.Key})
	}
	return open
}
