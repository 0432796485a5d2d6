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

// defaultRetryAfter is the retry-after time when no better estimate is known.
const defaultRetryAfter = time.Second

// The states of a job.
const (
	jobQueued  chart.State = "queued"
	jobRunning chart.State = "running"
)

// job is a request that the slot knows.
type job struct {
	// state is a state of the job chart.
	state chart.State
	// request is the first arrival's; its body is dropped when the job ends.
	request call.Request
	// viewers are the attached streams, the oldest first.
	viewers []*viewer
	// buffer holds the answer so far.
	buffer *answer.Buffer
	// overflow is set when a part of the answer did not fit into the limits.
	overflow bool
	// deadline is the caller's deadline.
	deadline time.Time
	// detached is the time since which viewers has been empty, or zero.
	detached time.Time
	// ended is the time at which the job ended, or zero.
	ended time.Time
	// expired is set when the job is to be dropped once its last viewer detaches.
	expired bool
	// status and media are the engine's HTTP status and media type.
	status int
	media  string
	// outcome and reason tell how the job ended.
	outcome call.Outcome
	reason  string
	// crashed is set when the engine crashed while it ran the job or an equal one.
	crashed bool
	// started is the time of the start at the engine, or zero.
	started time.Time
	// retryAfter is the time after which the caller of a refused job may retry, or zero.
	retryAfter time.Duration
}

// arrive attaches a stream to a known request or admits a new one.
func (c *Core) arrive(now time.Time, a *Arrival) []Action {
	if a.Key != "" {
		return c.arriveKeyed(now, a)
	}
	if j := c.jobs[a.Identity()]; j != nil {
		return c.attach(j, a)
	}
	if a.Lookup || a.Answer != "" || a.Offset > 0 {
		return refuseUnknown(a)
	}
	if c.needsKey(a) {
		return refuse(a, call.OutcomeNotRun, 0, "the route takes only requests with an idempotency key", defaultRetryAfter)
	}
	if refusal := c.checkAdmission(now, a); refusal != nil {
		return refusal
	}
	return c.enqueue(now, a)
}

// enqueue creates a job for a new request and queues it.
func (c *Core) enqueue(now time.Time, a *Arrival) []Action {
	j := &job{
		state: jobLifecycle.Start, request: a.Request, viewers: []*viewer{{stream: a.Stream, id: a.ID, offset: a.Offset}},
		buffer: answer.NewBuffer(c.limits.MaxAnswerBytes), deadline: now.Add(a.Remaining),
	}
	id := a.Identity()
	c.jobs[id] = j
	c.active[id] = j
	c.pushQueue(id, j)
	acknowledge := Action{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{ID: a.ID}}}
	return append([]Action{acknowledge}, c.admit(now)...)
}

// refuse ends the stream of a request that gets no job.
func refuse(a *Arrival, outcome call.Outcome, status int, reason string, retryAfter time.Duration) []Action {
	return []Action{{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{
		ID: a.ID, Offset: a.Offset, End: true, Outcome: outcome, Status: status, Reason: reason, RetryAfter: retryAfter,
	}}}}
}

// refuseUnknown refuses a request for an existing answer that the slot does not have or the workspace may not see.
func refuseUnknown(a *Arrival) []Action {
	outcome := call.OutcomeUnknown
	if a.Offset > 0 && !a.Lookup && a.Key == "" {
		outcome = call.OutcomeFailed
	}
	return refuse(a, outcome, http.StatusGone, "the answer is not available at this target", 0)
}

// transition applies a signal to the job's state. A signal that the state does not allow is ignored.
func (j *job) transition(s chart.Signal) {
	if next, err := jobLifecycle.Next(j.state, s); err == nil {
		j.state = next
	}
}

// endJob ends a job and flushes its streams. If its key was not run, the key is closed for good.
func (c *Core) endJob(now time.Time, j *job, s chart.Signal, outcome call.Outcome, reason string) []Action {
	id := j.request.Identity()
	j.transition(s)
	j.ended = now
	j.outcome = outcome
	j.reason = reason
	j.request.Body = nil
	if j.request.Key != "" && outcome == call.OutcomeNotRun {
		c.records.Close(j.request.Key, j.request.Fingerprint)
	}
	delete(c.active, id)
	c.addPendingKey(id, j)
	c.finishedIDs = append(c.finishedIDs, id)
	if j.buffer.Stored() > 0 {
		c.answeredIDs = append(c.answeredIDs, id)
	}
	return j.flush()
}

// handleOutput stores a part of the engine's answer and passes it to the streams.
func (c *Core) handleOutput(now time.Time, o *Output) []Action {
	actions := c.noteWish(now, 0, o.Leaving)
	j := c.jobs[o.ID]
	if j == nil || j.state != jobRunning {
		return actions
	}
	j.status, j.media = o.Status, o.Media
	if j.overflow || !c.storeOutput(j, o.Data) {
		return append(actions, c.handleOverflow(j, o.ID)...)
	}
	return append(actions, j.flush()...)
}

// storeOutput stores a part of an answer and drops older answers to make room.
// It reports false if the answer exceeds the limits.
func (c *Core) storeOutput(j *job, data []byte) bool {
	if !j.buffer.Append(data) {
		return false
	}
	c.answerBytes += len(data)
	for c.answerBytes > c.limits.MaxTotalAnswerBytes && len(c.answeredIDs) > 0 {
		c.dropAnswer(c.jobs[c.answeredIDs[0]])
		c.answeredIDs = c.answeredIDs[1:]
	}
	return c.answerBytes <= c.limits.MaxTotalAnswerBytes
}

// dropAnswer frees the bytes of an answer.
func (c *Core) dropAnswer(j *job) {
	if j != nil {
		c.answerBytes -= j.buffer.Drop()
	}
}

// handleOverflow marks an answer that exceeds the limits. It aborts the request only if it is idempotent.
func (c *Core) handleOverflow(j *job, id string) []Action {
	j.overflow = true
	if j.request.Key != "" {
		return nil
	}
	return []Action{{Abort: &Abort{ID: id}}}
}

// handleResult ends a job with the end of the engine's answer.
func (c *Core) handleResult(now time.Time, r *Result) []Action {
	actions := c.noteWish(now, r.Wait, r.Leaving)
	j := c.jobs[r.ID]
	if j == nil || j.state != jobRunning {
		return actions
	}
	actions = append(actions, c.updateVerdicts(now, r, j)...)
	c.running--
	if r.Status != 0 {
		j.status, j.media = r.Status, r.Media
	}
	signal := chart.Signal("fail")
	outcome, reason := r.Outcome, r.Reason
	switch {
	case j.overflow && (outcome == call.OutcomeComplete || j.request.Key == ""):
		outcome, reason = call.OutcomeFailed, "the answer exceeds the size limit"
	case outcome == call.OutcomeComplete:
		signal = "complete"
		c.observeService(now, j)
	case outcome == call.OutcomeNotRun:
		signal = "refuse"
		j.retryAfter = r.Wait
	case j.request.Key != "":
		signal = "lose"
		outcome = call.OutcomeUnknown
	}
	actions = append(actions, c.endJob(now, j, signal, outcome, reason)...)
	actions = append(actions, c.admit(now)...)
	return append(actions, c.exitWhenIdle(now)...)
}

// expire drops old answers and ends idempotent requests that no stream is attached to.
func (c *Core) expire(now time.Time) []Action {
	c.expireJobs(now)
	c.expireRecords(now)
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.active)) {
		j := c.active[id]
		if j.request.Key != "" || j.detached.IsZero() || now.Sub(j.detached) < c.limits.OrphanTimeout {
			continue
		}
		switch j.state {
		case jobQueued:
			c.queue.Remove(id)
			actions = append(actions, c.endJob(now, j, "cancel", call.OutcomeNotRun, "no caller is attached any more")...)
		case jobRunning:
			actions = append(actions, Action{Abort: &Abort{ID: id}})
		}
	}
	return actions
}

// expireJobs drops the ended jobs of idempotent requests after limits.AnswerRetention.
func (c *Core) expireJobs(now time.Time) {
	for len(c.finishedIDs) > 0 {
		id := c.finishedIDs[0]
		j := c.jobs[id]
		if j != nil && now.Sub(j.ended) <= c.limits.AnswerRetention {
			return
		}
		c.finishedIDs = c.finishedIDs[1:]
		if j != nil && (j.request.Key == "" || j.expired) {
			c.discardJob(id, j)
		}
	}
	if len(c.answeredIDs) > 2*len(c.jobs) {
		c.answeredIDs = slices.DeleteFunc(c.answeredIDs, func(id string) bool { return c.jobs[id] == nil })
	}
}

// discardJob drops a job, at once or when its last viewer detaches.
func (c *Core) discardJob(id string, j *job) {
	c.dropAnswer(j)
	j.expired = true
	if len(j.viewers) == 0 {
		delete(c.jobs, id)
	}
}
