package slot

import (
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// maxChunk is the largest number of answer bytes that are handed to a stream at once.
const maxChunk = 64 << 10

// viewer is a stream that a job's answer goes to.
type viewer struct {
	// stream is unique in the process.
	stream uint64
	// id is the request ID that the stream's chunks carry.
	id string
	// sent is the offset of the next byte for the stream.
	sent int64
	// busy is set while the stream has not sent what it was handed, so that a slow one holds one chunk at most.
	busy bool
}

// attach moves the answer of a known request to a new stream.
func (c *Core) attach(j *job, a *Arrival) []Action {
	if !mayView(j, a) {
		return refuseUnknown(a)
	}
	if a.Offset > j.buffer.Size() {
		return refuse(a, call.OutcomeUnknown, http.StatusRequestedRangeNotSatisfiable, "the answer has no such position", 0)
	}
	v := &viewer{stream: a.Stream, id: a.ID, sent: a.Offset}
	j.viewers = append(j.viewers, v)
	j.detached = time.Time{}
	acknowledge := Action{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{ID: a.ID, Offset: a.Offset}}}
	return j.flushTo([]Action{acknowledge}, v)
}

// flush hands to each attached stream what it has not had yet, and the end.
func (j *job) flush() (actions []Action) {
	for _, v := range j.viewers {
		actions = j.flushTo(actions, v)
	}
	return actions
}

// flushTo adds what one stream has not had yet, and the end.
func (j *job) flushTo(actions []Action, v *viewer) []Action {
	data, dropped := j.buffer.From(v.sent)
	ended := !j.ended.IsZero()
	if v.busy || len(data) == 0 && !ended && !dropped {
		return actions
	}
	if len(data) > maxChunk {
		data = data[:maxChunk]
	}
	v.busy = true
	k := call.Chunk{ID: v.id, Offset: v.sent, Data: data, Status: j.status, Media: j.media}
	v.sent += int64(len(data))
	switch {
	case dropped:
		k.End, k.Outcome, k.Reason = true, call.OutcomeFailed, "the request ran, but its answer is no longer kept"
	case ended && v.sent == j.buffer.Size():
		k.End, k.Outcome, k.Reason = true, j.outcome, j.reason
		k.Crashed, k.RetryAfter = j.crashed, j.retry
	}
	return append(actions, Action{Chunk: &Chunk{Stream: v.stream, Chunk: k}})
}

// drained hands the next part of an answer to a stream that has sent the one before.
func (c *Core) drained(d *ChunkSent) []Action {
	j := c.jobs[d.ID]
	if j == nil {
		return nil
	}
	for _, v := range j.viewers {
		if v.stream == d.Stream {
			v.busy = false
			return j.flushTo(nil, v)
		}
	}
	return nil
}

// detach notes that an entry's stream has ended.
func (c *Core) detach(now time.Time, d *Detach) []Action {
	j := c.jobs[d.ID]
	if j == nil {
		return nil
	}
	before := len(j.viewers)
	j.viewers = slices.DeleteFunc(j.viewers, func(v *viewer) bool { return v.stream == d.Stream })
	if before == 0 || len(j.viewers) > 0 {
		return nil
	}
	j.detached = now
	if j.stale {
		delete(c.jobs, d.ID)
	}
	return nil
}

// viewed reports whether a stream still takes the answer of an ended request.
func (c *Core) viewed() bool {
	for _, j := range c.jobs {
		if len(j.viewers) > 0 && !j.ended.IsZero() {
			return true
		}
	}
	return false
}
