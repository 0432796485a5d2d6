package entryd

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
)

// maxBufferedReply is the number of buffered answer bytes at which an entry stops receiving until the caller reads.
const maxBufferedReply = 256 << 10

// replyPart is one part of a reply; exactly one field is set.
type replyPart struct {
	forward *entry.Forward
	finish  *entry.Finish
}

// reply queues the parts of an answer to a caller.
type reply struct {
	// id is the request's ID.
	id  string
	log *requestLog
	// wake signals new parts; it buffers one signal.
	wake chan struct{}

	mu sync.Mutex
	// drained is signalled when the parts were drained or the reply was closed.
	drained *sync.Cond
	// parts are still to be written.
	parts []replyPart
	// buffered is the number of answer bytes in parts.
	buffered int
	// closed is set once the parts are no longer read.
	closed bool
}

func newReply() *reply {
	r := &reply{wake: make(chan struct{}, 1)}
	r.drained = sync.NewCond(&r.mu)
	return r
}

// push adds a part without blocking.
func (r *reply) push(v replyPart) {
	r.mu.Lock()
	r.parts = append(r.parts, v)
	if v.forward != nil {
		r.buffered += len(v.forward.Data)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drain removes and returns the queued parts.
func (r *reply) drain() (parts []replyPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts, r.parts = r.parts, nil
	r.buffered = 0
	r.drained.Broadcast()
	return parts
}

// waitForSpace blocks while the buffer is full and the reply is open.
func (r *reply) waitForSpace() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.buffered >= maxBufferedReply && !r.closed {
		r.drained.Wait()
	}
}

// close ends all calls of waitForSpace.
func (r *reply) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.drained.Broadcast()
}

// problem is an error for the caller in the format of RFC 9457.
type problem struct {
	// Type identifies the kind of problem.
	Type string `json:"type"`
	// Title is the text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail explains the problem to people.
	Detail string `json:"detail,omitempty"`
	// Outcome is "not-run", "unknown" or "failed".
	Outcome string `json:"outcome"`
	// Key is a new idempotency key with which to retry the request, or empty.
	Key string `json:"key,omitempty"`
	// Retry is the time after which the caller may retry, such as "1s", or empty.
	Retry string `json:"retry,omitempty"`

	retryAfter time.Duration
}

func newProblem(f *entry.Finish) problem {
	v := problem{Status: f.Status, Detail: f.Reason, Outcome: f.Outcome.String(), Key: f.Key, retryAfter: f.RetryAfter}
	if f.RetryAfter > 0 {
		v.Retry = f.RetryAfter.String()
	}
	return v
}

func writeProblem(w http.ResponseWriter, v problem) {
	v.Type = "urn:dragonflydeal:" + v.Outcome
	v.Title = http.StatusText(v.Status)
	if v.retryAfter > 0 {
		seconds := int64((v.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if v.Key != "" {
		w.Header().Set(headerKey, v.Key)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(v.Status)
	_ = json.NewEncoder(w).Encode(v)
}
