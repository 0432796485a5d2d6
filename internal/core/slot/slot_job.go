package slot

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
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
	// request is as it first arrived.
	request call.Request
	// viewers are the attached streams, the oldest first.
	viewers []*viewer
	// buffer holds the answer so far.
	buffer *answer.Buffer
	// deadline is the end of the caller's wait.
	deadline time.Time
	// detached is the time from which viewers was empty; it is zero while it is not.
	detached time.Time
	// ended is the time of the end, or zero.
	ended time.Time
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

// viewer is a stream that a job's answer goes to.
type viewer struct {
	// stream is unique in the process.
	stream uint64
	// id is the request ID that the stream's chunks carry.
	id string
	// sent is the offset of the next byte for the stream.
	sent int64
}

// arrive attaches a stream to a known request or admits a new one.
func (c *Core) arrive(now time.Time, a *Arrival) []Action {
	if j := c.jobs[a.Identity()]; j != nil {
		return c.attach(j, a)
	}
	if a.Key != "" {
		if refusal := c.checkKey(a); refusal != nil {
			return refusal
		}
	}
	if a.Lookup {
		return refuse(a, call.OutcomeUnknown, http.StatusGone, "the answer is not kept here", 0)
	}
	if refusal := c.checkAdmission(now, a); refusal != nil {
		return refusal
	}
	j := &job{
		state: life.Start, request: a.Request, viewers: []*viewer{{stream: a.Stream, id: a.ID, sent: a.Offset}},
		buffer: answer.NewBuffer(c.limits.Answer), deadline: now.Add(a.Remaining),
	}
	id := a.Identity()
	c.jobs[id] = j
	c.enqueue(id, j)
	acknowledge := Action{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{ID: a.ID}}}
	return append([]Action{acknowledge}, c.admit(now)...)
}

// checkKey refuses a key that this slot process may not run.
func (c *Core) checkKey(a *Arrival) []Action {
	k, err := key.Parse(a.Key)
	if err != nil || k.Home != c.name || k.Workspace != key.WorkspaceHash(a.Workspace) {
		return refuse(a, call.OutcomeNotRun, http.StatusBadRequest, "the idempotency key belongs elsewhere", 0)
	}
	if k.Incarnation != c.incarnation {
		return refuse(a, call.OutcomeUnknown, http.StatusConflict, "the target was restarted after the key was given out", 0)
	}
	return nil
}

// refuse ends a stream for a request that gets no job.
func refuse(a *Arrival, outcome call.Outcome, status int, reason string, retry time.Duration) []Action {
	return []Action{{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{
		ID: a.ID, Offset: a.Offset, End: true, Outcome: outcome, Status: status, Reason: reason, Retry: retry,
	}}}}
}

// attach moves the answer of a known request to a new stream.
func (c *Core) attach(j *job, a *Arrival) []Action {
	if a.Workspace != j.request.Workspace {
		return refuse(a, call.OutcomeNotRun, http.StatusForbidden, "the answer belongs to another workspace", 0)
	}
	v := &viewer{stream: a.Stream, id: a.ID, sent: a.Offset}
	j.viewers = append(j.viewers, v)
	j.detached = time.Time{}
	acknowledge := Action{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{ID: a.ID, Offset: a.Offset}}}
	return append([]Action{acknowledge}, j.flushTo(v)...)
}

// flush sends to each attached stream what it has not had yet, and the end.
func (j *job) flush() (actions []Action) {
	for _, v := range j.viewers {
		actions = append(actions, j.flushTo(v)...)
	}
	return actions
}

// flushTo sends to one stream what it has not had yet, and the end.
func (j *job) flushTo(v *viewer) []Action {
	ended := !j.ended.IsZero()
	data := j.buffer.From(v.sent)
	if len(data) == 0 && !ended {
		return nil
	}
	k := call.Chunk{ID: v.id, Offset: v.sent, Data: data, Status: j.status, Media: j.media}
	v.sent += int64(len(data))
	if ended {
		k.End, k.Outcome, k.Reason, k.Crashed = true, j.outcome, j.reason, j.crashed
		k.Retry = j.retry
	}
	return []Action{{Chunk: &Chunk{Stream: v.stream, Chunk: k}}}
}

// detach notes that an entry's stream has ended.
func (c *Core) detach(now time.Time, d *Detach) []Action {
	j := c.jobs[d.ID]
	if j == nil {
		return nil
	}
	before := len(j.viewers)
	j.viewers = slices.DeleteFunc(j.viewers, func(v *viewer) bool { return v.stream == d.Stream })
	if before > 0 && len(j.viewers) == 0 {
		j.detached = now
	}
	return nil
}

// move takes the job along its chart.
func (j *job) move(s chart.Signal) {
	if next, err := life.Next(j.state, s); err == nil {
		j.state = next
	}
}

// end closes a job and tells its stream.
func (c *Core) end(now time.Time, j *job, s chart.Signal, outcome call.Outcome, reason string) []Action {
	j.move(s)
	j.ended = now
	j.outcome = outcome
	j.reason = reason
	return j.flush()
}

// output takes in a part of the engine's answer.
func (c *Core) output(o *Output) []Action {
	j := c.jobs[o.ID]
	if j == nil || j.state != jobRunning {
		return nil
	}
	j.status, j.media = o.Status, o.Media
	if !j.buffer.Append(o.Data) {
		return []Action{{Abort: &Abort{ID: o.ID}}}
	}
	return j.flush()
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
	outcome := r.Outcome
	switch {
	case outcome == call.OutcomeComplete:
		signal = "complete"
		c.observe(now, j)
	case outcome == call.OutcomeNotRun:
		signal = "refuse"
	case j.request.Key != "":
		signal = "lose"
		outcome = call.OutcomeUnknown
	}
	actions = append(actions, c.end(now, j, signal, outcome, r.Reason)...)
	actions = append(actions, c.admit(now)...)
	return append(actions, c.settle(now)...)
}

// expire drops answers that were kept long enough and ends requests that nobody waits for.
func (c *Core) expire(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		switch {
		case !j.ended.IsZero():
			if j.request.Key == "" && now.Sub(j.ended) > c.limits.Keep {
				delete(c.jobs, id)
			}
		case j.request.Key != "" || j.detached.IsZero() || now.Sub(j.detached) < c.limits.Orphan:
		case j.state == jobQueued:
			c.queue.Remove(id)
			actions = append(actions, c.end(now, j, "cancel", call.OutcomeNotRun, "nobody waits for the answer")...)
		case j.state == jobRunning:
			actions = append(actions, Action{Abort: &Abort{ID: id}})
		}
	}
	return actions
}
