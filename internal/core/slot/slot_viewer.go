package slot

import (
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// maxChunk is the largest number of answer bytes that are handed to a stream at once.
const maxChunk = 64 << 10

// viewer is a stream that receives a job's answer.
type viewer struct {
	// stream is unique in the process.
	stream uint64
	// id is the request ID that the stream's chunks carry.
	id string
	// offset is the position of the next byte for the stream.
	offset int64
	// writing is set while the stream sends its latest chunk, so that a slow stream holds at most one chunk.
	writing bool
}

// attach adds a stream to a known request and sends it the answer from the stream's offset.
func (c *Core) attach(j *job, a *Arrival) []Action {
	if !mayView(j, a) {
		return refuseUnknown(a)
	}
	if a.Offset > j.buffer.Size() {
		return refuse(a, call.OutcomeUnknown, http.StatusRequestedRangeNotSatisfiable, "the answer has no such position", 0)
	}
	v := &viewer{stream: a.Stream, id: a.ID, offset: a.Offset}
	j.viewers = append(j.viewers, v)
	j.detached = time.Time{}
	acknowledge := Action{Chunk: &Chunk{Stream: a.Stream, Chunk: call.Chunk{ID: a.ID, Offset: a.Offset}}}
	return j.flushTo([]Action{acknowledge}, v)
}

// flush sends each attached stream the next part of the answer, or its end.
func (j *job) flush() (actions []Action) {
	for _, v := range j.viewers {
		actions = j.flushTo(actions, v)
	}
	return actions
}

// flushTo appends the next chunk for one stream, unless the stream is writing or there is nothing to send.
func (j *job) flushTo(actions []Action, v *viewer) []Action {
	data, dropped := j.buffer.From(v.offset)
	ended := !j.ended.IsZero()
	if v.writing || len(data) == 0 && !ended && !dropped {
		return actions
	}
	if len(data) > maxChunk {
		data = data[:maxChunk]
	}
	v.writing = true
	k := call.Chunk{ID: v.id, Offset: v.offset, Data: data, Status: j.status, Media: j.media}
	v.offset += int64(len(data))
	switch {
	case dropped:
		k.End, k.Outcome, k.Reason = true, call.OutcomeFailed, "the request ran, but its answer is no longer available"
	case ended && v.offset == j.buffer.Size():
		k.End, k.Outcome, k.Reason = true, j.outcome, j.reason
		k.Crashed, k.RetryAfter = j.crashed, j.retryAfter
	}
	return append(actions, Action{Chunk: &Chunk{Stream: v.stream, Chunk: k}})
}

// handleChunkSent sends a stream the next part of the answer after it has sent the previous one.
func (c *Core) handleChunkSent(d *ChunkSent) []Action {
	j := c.jobs[d.ID]
	if j == nil {
		return nil
	}
	for _, v := range j.viewers {
		if v.stream == d.Stream {
			v.writing = false
			return j.flushTo(nil, v)
		}
	}
	return nil
}

// detach removes a stream that has ended.
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
	if j.expired {
		delete(c.jobs, d.ID)
	}
	return nil
}

// hasEndedViewers reports whether a stream is attached to an ended request.
func (c *Core) hasEndedViewers() bool {
	for _, j := range c.jobs {
		if len(j.viewers) > 0 && !j.ended.IsZero() {
			return true
		}
	}
	return false
}
