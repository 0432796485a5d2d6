package entryd

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
)

// replyWindow is the number of answer bytes that may wait for a slow caller.
const replyWindow = 256 << 10

// part is one step of a reply; exactly one field is set.
type part struct {
	forward *entry.Forward
	finish  *entry.Finish
}

// reply is the queue of an answer on its way to a caller.
type reply struct {
	// id is the request.
	id string
	// request takes the account of the request.
	request *request
	// wake has room for one signal.
	wake chan struct{}

	mu sync.Mutex
	// drained is signalled when parts were taken or the reply was closed.
	drained *sync.Cond
	// parts wait to be written.
	parts []part
	// size is the number of answer bytes in parts.
	size int
	// closed is set when nobody takes parts any more.
	closed bool
}

func newReply() *reply {
	r := &reply{wake: make(chan struct{}, 1)}
	r.drained = sync.NewCond(&r.mu)
	return r
}

// push adds a part without blocking.
func (r *reply) push(v part) {
	r.mu.Lock()
	r.parts = append(r.parts, v)
	if v.forward != nil {
		r.size += len(v.forward.Data)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take returns the parts that wait.
func (r *reply) take() (parts []part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts, r.parts = r.parts, nil
	r.size = 0
	r.drained.Broadcast()
	return parts
}

// room blocks while the window is full.
func (r *reply) room() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.size >= replyWindow && !r.closed {
		r.drained.Wait()
	}
}

// close lets nobody wait any more.
func (r *reply) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.drained.Broadcast()
}

// problem is an error for the caller after RFC 9457.
type problem struct {
	// Type names the kind of problem.
	Type string `json:"type"`
	// Title is the same for all problems of a kind.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is a text for people.
	Detail string `json:"detail,omitempty"`
	// Outcome is "not-run", "unknown" or "failed".
	Outcome string `json:"outcome"`
	// Key is a fresh idempotency key, or empty.
	Key string `json:"key,omitempty"`
	// Retry is the time after which the caller may come back, such as "1s", or empty.
	Retry string `json:"retry,omitempty"`

	wait time.Duration
}

func problemOf(f *entry.Finish) problem {
	v := problem{Status: f.Status, Detail: f.Reason, Outcome: f.Outcome.String(), Key: f.Key, wait: f.RetryAfter}
	if f.RetryAfter > 0 {
		v.Retry = f.RetryAfter.String()
	}
	return v
}

func writeProblem(w http.ResponseWriter, v problem) {
	v.Type = "urn:dragonflydeal:" + v.Outcome
	v.Title = http.StatusText(v.Status)
	if v.wait > 0 {
		seconds := int64((v.wait + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if v.Key != "" {
		w.Header().Set(headerKey, v.Key)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(v.Status)
	_ = json.NewEncoder(w).Encode(v)
}
