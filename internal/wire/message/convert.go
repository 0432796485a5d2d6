package message

import (
	"math"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// EncodeRequest returns the wire form of a request.
func EncodeRequest(r *call.Request) *Request {
	return &Request{
		Id: r.ID, Answer: r.Answer, Workspace: r.Workspace, Route: r.Route, Path: r.Path, Key: r.Key, Offset: r.Offset,
		Remaining: r.Remaining.Microseconds(), Body: r.Body, Attempt: uint32(r.Attempt),
		Fingerprint: r.Fingerprint, Lookup: r.Lookup, Alone: r.Isolated, Parts: r.Parts,
	}
}

// Decode returns the request of its wire form.
func (r *Request) Decode() call.Request {
	return call.Request{
		ID: r.Id, Answer: r.Answer, Workspace: r.Workspace, Route: r.Route, Path: r.Path, Key: r.Key, Offset: max(r.Offset, 0),
		Remaining: duration(r.Remaining), Body: r.Body, Attempt: int(r.Attempt),
		Fingerprint: r.Fingerprint, Lookup: r.Lookup, Isolated: r.Alone, Parts: r.Parts,
	}
}

// EncodeChunk returns the wire form of a chunk.
func EncodeChunk(c *call.Chunk) *Chunk {
	return &Chunk{
		Id: c.ID, Offset: c.Offset, Data: c.Data, End: c.End, Outcome: uint32(c.Outcome), Reason: c.Reason,
		Retry: c.RetryAfter.Microseconds(), Status: uint32(c.Status), Media: c.Media, Crashed: c.Crashed,
	}
}

// Decode returns the chunk of its wire form.
func (c *Chunk) Decode() call.Chunk {
	return call.Chunk{
		ID: c.Id, Offset: max(c.Offset, 0), Data: c.Data, End: c.End, Outcome: outcome(c.Outcome), Reason: c.Reason,
		RetryAfter: max(duration(c.Retry), 0), Status: status(c.Status), Media: c.Media, Crashed: c.Crashed,
	}
}

// EncodeHeartbeat returns the wire form of a heartbeat.
func EncodeHeartbeat(h *membership.Heartbeat) *Heartbeat {
	return &Heartbeat{
		Target: h.Target, Incarnation: h.Incarnation, Sequence: h.Sequence, State: string(h.State),
		Running: uint32(h.Running), Queued: uint32(h.Queued), Width: uint32(h.Width), Revision: h.Revision,
		Prefixes: h.Prefixes, Suspects: h.Suspects, Successor: h.Successor, Age: h.Age.Microseconds(),
		Cleared: h.Cleared, Convicted: h.Convicted, Silent: h.LossAge.Microseconds(),
		Runs: encodePartRuns(h.Runs),
	}
}

// Decode returns the heartbeat of its wire form.
func (h *Heartbeat) Decode() membership.Heartbeat {
	return membership.Heartbeat{
		Target: h.Target, Incarnation: h.Incarnation, Sequence: h.Sequence, State: chart.State(h.State),
		Running: int(h.Running), Queued: int(h.Queued), Width: int(h.Width), Revision: h.Revision,
		Prefixes: h.Prefixes, Suspects: h.Suspects, Successor: h.Successor,
		Cleared: h.Cleared, Convicted: h.Convicted,
		Age: max(duration(h.Age), 0), LossAge: max(duration(h.Silent), 0),
		Runs: decodePartRuns(h.Runs),
	}
}

// duration converts microseconds to a time.Duration, clamped to its range.
func duration(microseconds int64) time.Duration {
	const limit = int64(math.MaxInt64 / time.Microsecond)
	return time.Duration(max(min(microseconds, limit), -limit)) * time.Microsecond
}

// outcome converts an outcome. A value that this version does not know becomes OutcomeUnknown.
func outcome(v uint32) call.Outcome {
	if v > uint32(call.OutcomeFailed) {
		return call.OutcomeUnknown
	}
	return call.Outcome(v)
}

// status converts an HTTP status; one that cannot be the final status of a response becomes zero.
func status(v uint32) int {
	if v < http.StatusOK || v > 599 {
		return 0
	}
	return int(v)
}
