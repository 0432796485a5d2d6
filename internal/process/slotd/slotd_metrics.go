package slotd

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// processMetrics are the metrics of a slot.
type processMetrics struct {
	// streams counts the answer streams to entries by outcome.
	streams *metrics.Counter
	// runs counts the calls of the engine by outcome.
	runs *metrics.Counter
	// runTime is the duration of a call of the engine.
	runTime *metrics.Histogram
}

func newProcessMetrics(s *metrics.Set) *processMetrics {
	return &processMetrics{streams: s.Counter("streams"), runs: s.Counter("runs"), runTime: s.Histogram("run")}
}

// logAccepted logs a request that an entry sent.
func (p *Process) logAccepted(r *call.Request) {
	p.Log.Info("accepted", "id", r.ID, "workspace", r.Workspace, "route", r.Route, "key", r.Key,
		"answer", r.Answer, "attempt", r.Attempt, "offset", r.Offset, "lookup", r.Lookup)
}

// recordStreamEnd counts and logs the end of an answer stream.
func (p *Process) recordStreamEnd(c *call.Chunk) {
	p.metrics.streams.With("outcome", c.Outcome.String()).Add(1)
	p.Log.Info("ended", "id", c.ID, "outcome", c.Outcome, "status", c.Status, "size", c.Offset+int64(len(c.Data)), "reason", c.Reason)
}

// logRunStart logs that a request is sent to the engine and returns the current time.
func (p *Process) logRunStart(r *slot.Run) time.Time {
	p.Log.Info("sent", "id", r.Request.ID, "key", r.Request.Key)
	return p.Now()
}

// recordRunEnd counts and logs the end of a call of the engine.
func (p *Process) recordRunEnd(r *slot.Run, result *slot.Result, began time.Time) {
	took := p.Now().Sub(began)
	p.metrics.runs.With("outcome", result.Outcome.String()).Add(1)
	p.metrics.runTime.Observe(took.Seconds())
	p.Log.Info("ran", "id", r.Request.ID, "outcome", result.Outcome, "status", result.Status, "took", took, "reason", result.Reason)
}
