package entry

import (
	"maps"
	"slices"
	"time"
)

// shutdown is the progress of a graceful shutdown.
type shutdown struct {
	// drain is the time after a stop in which new requests are still served,
	// because the platform's balancer goes on sending them until it sees that the entry is not ready.
	drain time.Duration
	// stopping is set by the stop event and never cleared.
	stopping bool
	// stopped is the time of the stop event.
	stopped time.Time
	// drained is set once drain is over and never cleared.
	drained bool
}

// stop begins a graceful shutdown.
func (c *Core) stop(now time.Time) []Action {
	if !c.stopping {
		c.stopping = true
		c.stopped = now
	}
	return c.close(now)
}

// close ends the time in which a stopping entry takes new requests.
func (c *Core) close(now time.Time) []Action {
	c.drained = c.stopping && now.Sub(c.stopped) >= c.drain
	return c.settle()
}

// settle lets a drained process exit once nothing is in progress.
func (c *Core) settle() []Action {
	if !c.drained || len(c.exchanges) > 0 {
		return nil
	}
	return []Action{{Exit: &Exit{}}}
}

// tick acts on what has become due.
func (c *Core) tick(now time.Time) []Action {
	actions := append(c.notice(now), c.unhold(now)...)
	actions = append(actions, c.expire(now)...)
	return append(actions, c.close(now)...)
}

// OpenRequest is a request in progress.
type OpenRequest struct {
	// ID is the request.
	ID string
	// Workspace is the workspace of the request.
	Workspace string
	// Target is the target of the newest attempt, or empty.
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
