package slotd

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// counts are the metrics of a slot.
type counts struct {
	// streams counts the answer streams of entries by the outcome that they ended with.
	streams *metrics.Counter
	// runs counts the calls of the engine by outcome.
	runs *metrics.Counter
	// run is the time of a call of the engine.
	run *metrics.Histogram
}

func newCounts(s *metrics.Set) *counts {
	return &counts{streams: s.Counter("streams"), runs: s.Counter("runs"), run: s.Histogram("run")}
}

// accepted notes a request that came from an entry.
func (p *Process) accepted(r *call.Request) {
	p.Log.Info("accepted", "id", r.ID, "workspace", r.Workspace, "route", r.Route, "key", r.Key,
		"answer", r.Answer, "attempt", r.Attempt, "offset", r.Offset, "lookup", r.Lookup)
}

// ended notes the end of an answer stream.
func (p *Process) ended(c *call.Chunk) {
	p.counts.streams.With("outcome", c.Outcome.String()).Add(1)
	p.Log.Info("ended", "id", c.ID, "outcome", c.Outcome, "status", c.Status, "size", c.Offset+int64(len(c.Data)), "reason", c.Reason)
}

// started notes that a request goes to the engine and returns the present time.
func (p *Process) started(r *slot.Run) time.Time {
	p.Log.Info("sent", "id", r.Request.ID, "key", r.Request.Key)
	return p.Now()
}

// ran notes the end of a call of the engine.
func (p *Process) ran(r *slot.Run, result *slot.Result, began time.Time) {
	took := p.Now().Sub(began)
	p.counts.runs.With("outcome", result.Outcome.String()).Add(1)
	p.counts.run.Observe(took.Seconds())
	p.Log.Info("ran", "id", r.Request.ID, "outcome", result.Outcome, "status", result.Status, "took", took, "reason", result.Reason)
}
