package entryd

import (
	"strconv"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// processMetrics are the metrics of an entry.
type processMetrics struct {
	// requests counts ended requests by outcome.
	requests *metrics.Counter
	// refusals counts requests that ended with an error before any part of an answer, by status.
	refusals *metrics.Counter
	// attempts counts attempts at targets.
	attempts *metrics.Counter
	// timeToFirstByte is the time from the request to the first byte of its answer.
	timeToFirstByte *metrics.Histogram
	// duration is the time from the request to the end of a complete answer.
	duration *metrics.Histogram
}

func newProcessMetrics(s *metrics.Set) *processMetrics {
	return &processMetrics{
		requests:        s.Counter("requests"),
		refusals:        s.Counter("refusals"),
		attempts:        s.Counter("attempts"),
		timeToFirstByte: s.Histogram("first"),
		duration:        s.Histogram("whole"),
	}
}

// requestLog logs and counts one request.
type requestLog struct {
	process *Process
	// id is the request's ID.
	id string
	// began is when the request was received.
	began time.Time
	// answered is set at the first byte of the answer, ended at its end.
	answered, ended bool
}

// newRequestLog logs an accepted request and returns its requestLog.
func (p *Process) newRequestLog(a *entry.Arrival) *requestLog {
	p.Log.Info("accepted", "id", a.ID, "workspace", a.Workspace, "path", a.Path, "key", a.Key, "answer", a.Answer, "size", len(a.Body))
	return &requestLog{process: p, id: a.ID, began: p.Now()}
}

// recordPart records a part of the reply before it is written to the caller.
func (r *requestLog) recordPart(v replyPart) {
	if v.forward != nil {
		r.recordForward()
		return
	}
	r.recordFinish(v.finish)
}

// recordForward observes the time to the first byte of the answer.
func (r *requestLog) recordForward() {
	if r.answered {
		return
	}
	r.answered = true
	r.process.metrics.timeToFirstByte.Observe(r.process.Now().Sub(r.began).Seconds())
}

// recordFinish logs and counts the end of the request.
func (r *requestLog) recordFinish(f *entry.Finish) {
	r.ended = true
	m := r.process.metrics
	took := r.process.Now().Sub(r.began)
	m.requests.With("outcome", f.Outcome.String()).Add(1)
	switch {
	case f.Outcome == call.OutcomeComplete:
		m.duration.Observe(took.Seconds())
	case !r.answered:
		m.refusals.With("status", strconv.Itoa(f.Status)).Add(1)
	}
	r.process.Log.Info("ended", "id", r.id, "outcome", f.Outcome, "status", f.Status, "target", f.Home, "size", f.Offset, "took", took, "reason", f.Reason)
}

// recordAbandoned logs and counts that the caller closed its connection before the request ended.
func (r *requestLog) recordAbandoned() {
	if r.ended {
		return
	}
	r.process.metrics.requests.With("outcome", "abandoned").Add(1)
	r.process.Log.Info("ended", "id", r.id, "outcome", "abandoned", "took", r.process.Now().Sub(r.began))
}

// recordAttempt logs and counts an attempt at a target.
func (p *Process) recordAttempt(s *entry.Send) {
	p.metrics.attempts.Add(1)
	p.Log.Info("sent", "id", s.Request.ID, "attempt", s.Request.Attempt, "target", s.Target, "address", s.Address)
}

// recordRefusal logs and counts a request that was refused because it is invalid.
func (p *Process) recordRefusal(status int, outcome call.Outcome, err error) {
	p.metrics.requests.With("outcome", outcome.String()).Add(1)
	p.metrics.refusals.With("status", strconv.Itoa(status)).Add(1)
	p.Log.Info("refused", "status", status, "outcome", outcome, "reason", err)
}
