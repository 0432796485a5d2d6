package entryd

import (
	"strconv"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// counts are the metrics of an entry.
type counts struct {
	// requests counts ended requests by outcome.
	requests *metrics.Counter
	// refusals counts requests that were answered with an error before any text, by status.
	refusals *metrics.Counter
	// attempts counts attempts at targets.
	attempts *metrics.Counter
	// first is the time to the first byte of an answer.
	first *metrics.Histogram
	// whole is the time to the end of a whole answer.
	whole *metrics.Histogram
}

func newCounts(s *metrics.Set) *counts {
	return &counts{
		requests: s.Counter("requests"),
		refusals: s.Counter("refusals"),
		attempts: s.Counter("attempts"),
		first:    s.Histogram("first"),
		whole:    s.Histogram("whole"),
	}
}

// request is what an entry logs and counts of one request.
type request struct {
	process *Process
	// id is that of the request.
	id string
	// began is when the request was read.
	began time.Time
	// answered is set at the first byte of the answer, and ended at its end.
	answered, ended bool
}

// newRequest begins the account of a request.
func (p *Process) newRequest(a *entry.Arrival) *request {
	p.Log.Info("accepted", "id", a.ID, "workspace", a.Workspace, "path", a.Path, "key", a.Key, "answer", a.Answer, "size", len(a.Body))
	return &request{process: p, id: a.ID, began: p.Now()}
}

// note takes in a part of the reply on its way to the caller.
func (r *request) note(v part) {
	if v.forward != nil {
		r.forward()
		return
	}
	r.finish(v.finish)
}

// forward notes that a part of the answer goes to the caller.
func (r *request) forward() {
	if r.answered {
		return
	}
	r.answered = true
	r.process.counts.first.Observe(r.process.Now().Sub(r.began).Seconds())
}

// finish notes the end of the request.
func (r *request) finish(f *entry.Finish) {
	r.ended = true
	c := r.process.counts
	took := r.process.Now().Sub(r.began)
	c.requests.With("outcome", f.Outcome.String()).Add(1)
	switch {
	case f.Outcome == call.OutcomeComplete:
		c.whole.Observe(took.Seconds())
	case !r.answered:
		c.refusals.With("status", strconv.Itoa(f.Status)).Add(1)
	}
	r.process.Log.Info("ended", "id", r.id, "outcome", f.Outcome, "status", f.Status, "target", f.Home, "size", f.Offset, "took", took, "reason", f.Reason)
}

// leave notes that the caller went away, unless the request has ended.
func (r *request) leave() {
	if r.ended {
		return
	}
	r.process.counts.requests.With("outcome", "abandoned").Add(1)
	r.process.Log.Info("ended", "id", r.id, "outcome", "abandoned", "took", r.process.Now().Sub(r.began))
}

// sent notes an attempt at a target.
func (p *Process) sent(s *entry.Send) {
	p.counts.attempts.Add(1)
	p.Log.Info("sent", "id", s.Request.ID, "attempt", s.Request.Attempt, "target", s.Target, "address", s.Address)
}

// reject counts a request whose form was wrong.
func (p *Process) reject(status int, outcome call.Outcome, err error) {
	p.counts.requests.With("outcome", outcome.String()).Add(1)
	p.counts.refusals.With("status", strconv.Itoa(status)).Add(1)
	p.Log.Info("refused", "status", status, "outcome", outcome, "reason", err)
}
