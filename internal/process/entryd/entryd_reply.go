package entryd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
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

// writer writes one reply as HTTP.
type writer struct {
	w http.ResponseWriter
	// started is set when the header was written.
	started bool
	// rest holds the start of a character whose last bytes have not come yet.
	rest []byte
}

// write writes a part and reports whether it was the last one.
func (o *writer) write(v part) (done bool) {
	if v.forward != nil {
		o.forward(v.forward)
		return false
	}
	o.finish(v.finish)
	return true
}

func (o *writer) start(status int, media string) {
	if o.started {
		return
	}
	o.started = true
	if status == 0 {
		status = http.StatusOK
	}
	if media != "" {
		o.w.Header().Set("Content-Type", media)
	}
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(status)
}

func (o *writer) forward(f *entry.Forward) {
	if !f.Stream {
		o.start(f.Status, f.Media)
		_, _ = o.w.Write(f.Data)
		return
	}
	o.start(f.Status, "text/event-stream")
	data := append(o.rest, f.Data...)
	whole := len(data) - incomplete(data)
	o.rest = append([]byte(nil), data[whole:]...)
	if whole == 0 {
		return
	}
	end := f.Offset + int64(len(f.Data)) - int64(len(o.rest))
	o.event("", token(f.Answer, f.Home, end), text{Text: string(data[:whole])})
}

// incomplete returns the number of bytes at the end that start a character without finishing it.
func incomplete(data []byte) int {
	for n := 1; n <= min(utf8.UTFMax-1, len(data)); n++ {
		b := data[len(data)-n]
		if !utf8.RuneStart(b) {
			continue
		}
		if utf8.FullRune(data[len(data)-n:]) {
			return 0
		}
		return n
	}
	return 0
}

// text is the data of an event with a part of the answer.
type text struct {
	Text string `json:"text"`
}

// end is the data of the last event of a whole answer.
type end struct {
	// Size is the length of the whole answer in bytes.
	Size int64 `json:"size"`
}

func (o *writer) event(name, id string, data any) {
	if name != "" {
		fmt.Fprintf(o.w, "event: %s\n", name)
	}
	if id != "" {
		fmt.Fprintf(o.w, "id: %s\n", id)
	}
	body, _ := json.Marshal(data)
	fmt.Fprintf(o.w, "data: %s\n\n", body)
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (o *writer) finish(f *entry.Finish) {
	switch {
	case f.Outcome == call.OutcomeComplete && f.Stream:
		o.start(f.Status, "text/event-stream")
		o.event("end", token(f.Answer, f.Home, f.Offset), end{Size: f.Offset})
	case f.Outcome == call.OutcomeComplete:
		o.start(f.Status, f.Media)
	case !o.started:
		writeProblem(o.w, problemOf(f))
	case f.Stream:
		o.event("error", "", problemOf(f))
	default:
		// An aborted connection is the only way left to show that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
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
	v := problem{Status: f.Status, Detail: f.Reason, Outcome: f.Outcome.String(), Key: f.Key, wait: f.Retry}
	if f.Retry > 0 {
		v.Retry = f.Retry.String()
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
