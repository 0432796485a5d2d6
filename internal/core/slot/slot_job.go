package slot

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// defaultRetry is the advice when nothing better is known.
const defaultRetry = time.Second

// The states of a job.
const (
	jobQueued  chart.State = "queued"
	jobRunning chart.State = "running"
)

// job is a request that the slot knows.
type job struct {
	// state is a state of the job chart.
	state chart.State
	// request is as it first arrived; its body is dropped at the end.
	request call.Request
	// viewers are the attached streams, the oldest first.
	viewers []*viewer
	// buffer holds the answer so far.
	buffer *answer.Buffer
	// overflow is set when a part of the answer found no room.
	overflow bool
	// deadline is the end of the caller's wait.
	deadline time.Time
	// detached is the time from which viewers was empty; it is zero while it is not.
	detached time.Time
	// ended is the time of the end, or zero.
	ended time.Time
	// stale is set when the job was kept long enough and only waits for its viewers to leave.
	stale bool
	// status and media are the engine's.
	status int
	media  string
	// outcome and reason tell how the job ended.
	outcome call.Outcome
	reason  string
	// crashed is set when the engine died while it ran the job.
	crashed bool
	// started is the time of the start at the engine, or zero.
	started time.Time
	// retry is the advice to the caller of a refused job, or zero.
	retry time.Duration
}

// arrive attaches a stream to a known request or admits a new one.
func (c *Core) arrive(now time.Time, a *Arrival) []Action {
	if a.Key != "" {
		return c.arriveOnce(now, a)
	}
	if j := c.jobs[a.Identity()]; j != nil {
		return c.attach(j, a)
	}
	if a.Lookup || a.Answer != "" || a.Offset > 0 {
		return refuseUnknown(a)
	}
	if c.needsKey(a) {
		return refuse(a, call.OutcomeNotRun, 0, "the route takes only requests with an idempotency key", defaultRetry)
	}
	if refusal := c.checkAdmission(now, a); refusal != nil {
		return refusal
	}
	return c.enqueue(now, a)
}

// enqueue makes a job of a new request.
func (c *Core) enqueue(now time.Time, a *Arrival) []Action {
	j := &job{
		state: life.Start, request: a.Request, viewers: []*viewer{{stream: a.Stream, id: a.ID, sent: a.Offset}},
		buffer: answer.NewBuffer(c.limits.MaxAnswerBytes), deadline: now.Add(a.Remaining),
	}
	id := a.Identity()
	c.jobs[id] = j
	c.active[id] = j
	c.line(id, j)
	acknowledge := Action{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{ID: a.ID}}}
	return append([]Action{acknowledge}, c.admit(now)...)
}

// refuse ends a stream for a request that gets no job.
func refuse(a *Arrival, outcome call.Outcome, status int, reason string, retry time.Duration) []Action {
	return []Action{{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{
		ID: a.ID, Offset: a.Offset, End: true, Outcome: outcome, Status: status, Reason: reason, RetryAfter: retry,
	}}}}
}

// refuseUnknown answers a look-up that finds nothing, or nothing that the workspace may see.
func refuseUnknown(a *Arrival) []Action {
	outcome := call.OutcomeUnknown
	if a.Offset > 0 && !a.Lookup && a.Key == "" {
		outcome = call.OutcomeFailed
	}
	return refuse(a, outcome, http.StatusGone, "the answer is not kept here", 0)
}

// move takes the job along its chart.
func (j *job) move(s chart.Signal) {
	if next, err := life.Next(j.state, s); err == nil {
		j.state = next
	}
}

// end closes a job and tells its stream. A key that was not run is closed for good.
func (c *Core) end(now time.Time, j *job, s chart.Signal, outcome call.Outcome, reason string) []Action {
	id := j.request.Identity()
	j.move(s)
	j.ended = now
	j.outcome = outcome
	j.reason = reason
	j.request.Body = nil
	if j.request.Key != "" && outcome == call.OutcomeNotRun {
		c.records.Close(j.request.Key, j.request.Fingerprint)
	}
	delete(c.active, id)
	c.owe(id, j)
	c.finished = append(c.finished, id)
	if j.buffer.Held() > 0 {
		c.kept = append(c.kept, id)
	}
	return j.flush()
}

// output takes in a part of the engine's answer.
func (c *Core) output(o *Output) []Action {
	j := c.jobs[o.ID]
	if j == nil || j.state != jobRunning {
		return nil
	}
	j.status, j.media = o.Status, o.Media
	if j.overflow || !c.store(j, o.Data) {
		return c.overflow(j, o.ID)
	}
	return j.flush()
}

// store keeps a part of an answer and drops older answers to make room.
func (c *Core) store(j *job, data []byte) bool {
	if !j.buffer.Append(data) {
		return false
	}
	c.held += len(data)
	for c.held > c.limits.TotalAnswerBytes && len(c.kept) > 0 {
		c.forget(c.jobs[c.kept[0]])
		c.kept = c.kept[1:]
	}
	return c.held <= c.limits.TotalAnswerBytes
}

// forget drops the bytes of an answer.
func (c *Core) forget(j *job) {
	if j != nil {
		c.held -= j.buffer.Drop()
	}
}

// overflow marks an answer that found no room; only an idempotent request is given up for it.
func (c *Core) overflow(j *job, id string) []Action {
	j.overflow = true
	if j.request.Key != "" {
		return nil
	}
	return []Action{{Abort: &Abort{ID: id}}}
}

// result takes in the end of the engine's answer.
func (c *Core) result(now time.Time, r *Result) []Action {
	j := c.jobs[r.ID]
	if j == nil || j.state != jobRunning {
		return nil
	}
	actions := c.judge(now, r, j)
	c.running--
	if r.Status != 0 {
		j.status, j.media = r.Status, r.Media
	}
	signal := chart.Signal("fail")
	outcome, reason := r.Outcome, r.Reason
	switch {
	case j.overflow && (outcome == call.OutcomeComplete || j.request.Key == ""):
		outcome, reason = call.OutcomeFailed, "the answer is larger than what is kept"
	case outcome == call.OutcomeComplete:
		signal = "complete"
		c.observe(now, j)
	case outcome == call.OutcomeNotRun:
		signal = "refuse"
	case j.request.Key != "":
		signal = "lose"
		outcome = call.OutcomeUnknown
	}
	actions = append(actions, c.end(now, j, signal, outcome, reason)...)
	actions = append(actions, c.admit(now)...)
	return append(actions, c.settle(now)...)
}

// expire drops answers that were kept long enough and ends requests that nobody waits for.
func (c *Core) expire(now time.Time) []Action {
	c.retire(now)
	c.expireRecords(now)
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.active)) {
		j := c.active[id]
		if j.request.Key != "" || j.detached.IsZero() || now.Sub(j.detached) < c.limits.Orphan {
			continue
		}
		switch j.state {
		case jobQueued:
			c.queue.Remove(id)
			actions = append(actions, c.end(now, j, "cancel", call.OutcomeNotRun, "nobody waits for the answer")...)
		case jobRunning:
			actions = append(actions, Action{Abort: &Abort{ID: id}})
		}
	}
	return actions
}

// retire drops the jobs of idempotent requests that were kept long enough.
func (c *Core) retire(now time.Time) {
	for len(c.finished) > 0 {
		id := c.finished[0]
		j := c.jobs[id]
		if j != nil && now.Sub(j.ended) <= c.limits.Keep {
			return
		}
		c.finished = c.finished[1:]
		if j != nil && (j.request.Key == "" || j.stale) {
			c.discard(id, j)
		}
	}
	if len(c.kept) > 2*len(c.jobs) {
		c.kept = slices.DeleteFunc(c.kept, func(id string) bool { return c.jobs[id] == nil })
	}
}

// discard forgets a job, or leaves that to its last viewer.
func (c *Core) discard(id string, j *job) {
	c.forget(j)
	j.stale = true
	if len(j.viewers) == 0 {
		delete(c.jobs, id)
	}
}
