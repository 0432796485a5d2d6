package entryd

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// writeTimeout is the longest time that a caller may take no byte of a part.
const writeTimeout = 30 * time.Second

// writer writes one reply as HTTP.
type writer struct {
	w http.ResponseWriter
	// control sets the deadline of each write.
	control *http.ResponseController
	// started is set when the header was written.
	started bool
	// rest holds the start of a character whose last bytes have not come yet.
	rest []byte
	// line is used again for each event.
	line []byte
}

func newWriter(w http.ResponseWriter) *writer {
	return &writer{w: w, control: http.NewResponseController(w)}
}

// release lets the connection serve another request without the deadline of this one.
func (o *writer) release() {
	_ = o.control.SetWriteDeadline(time.Time{})
}

// write writes a part and reports whether it was the last one.
func (o *writer) write(v part) (done bool) {
	// A caller that takes nothing for so long loses its connection, and with it a clean end.
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if v.forward != nil {
		return o.forward(v.forward)
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

// forward writes a part of the answer; it reports true when the answer cannot go on.
func (o *writer) forward(f *entry.Forward) (done bool) {
	if !f.Stream {
		o.start(f.Status, f.Media)
		if _, err := o.w.Write(f.Data); err != nil {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	o.start(f.Status, "text/event-stream")
	data := f.Data
	if len(o.rest) > 0 {
		data = append(o.rest, f.Data...)
	}
	whole := len(data) - incomplete(data)
	if !utf8.Valid(data[:whole]) {
		o.notText()
		return true
	}
	o.rest = nil
	if whole < len(data) {
		o.rest = append(o.rest, data[whole:]...)
	}
	if whole == 0 {
		return false
	}
	end := f.Offset + int64(len(f.Data)) - int64(len(o.rest))
	o.event("", token(f.Answer, f.Home, end), text{Text: string(data[:whole])})
	return false
}

// notText ends a stream whose bytes cannot be written as events without a change.
func (o *writer) notText() {
	o.event("error", "", problem{
		Status: http.StatusBadGateway, Outcome: call.OutcomeFailed.String(), Detail: "the answer is not UTF-8 text",
	})
}

func (o *writer) finish(f *entry.Finish) {
	switch {
	case f.Outcome == call.OutcomeComplete && f.Stream && len(o.rest) > 0:
		o.notText()
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

// event writes one event with one write, so that its parts come together or not at all.
func (o *writer) event(name, id string, data any) {
	line := o.line[:0]
	if name != "" {
		line = append(append(append(line, "event: "...), name...), '\n')
	}
	if id != "" {
		line = append(append(append(line, "id: "...), id...), '\n')
	}
	body, _ := json.Marshal(data)
	line = append(append(append(line, "data: "...), body...), '\n', '\n')
	o.line = line
	_, _ = o.w.Write(line)
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}
