package entryd

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/caller"
)

// writer writes one reply as an HTTP response.
type writer struct {
	w http.ResponseWriter
	// control sets the deadline of each write.
	control *http.ResponseController
	// headerWritten is set once the response headers are written.
	headerWritten bool
	// partialRune holds the first bytes of a character whose last bytes have not arrived yet.
	partialRune []byte
	// buffer is reused for each event.
	buffer []byte
}

func newWriter(w http.ResponseWriter) *writer {
	return &writer{w: w, control: http.NewResponseController(w)}
}

// clearDeadline removes the write deadline, so that it does not affect the next request on the connection.
func (o *writer) clearDeadline() {
	_ = o.control.SetWriteDeadline(time.Time{})
}

// writePart writes a part and reports whether it was the last one.
func (o *writer) writePart(v replyPart) (done bool) {
	// If the caller reads nothing until the deadline, the connection is aborted and the answer truncated.
	_ = o.control.SetWriteDeadline(time.Now().Add(caller.WriteTimeout))
	if v.forward != nil {
		return o.forward(v.forward)
	}
	o.finish(v.finish)
	return true
}

func (o *writer) writeHeader(status int, media string) {
	if o.headerWritten {
		return
	}
	o.headerWritten = true
	if status == 0 {
		status = http.StatusOK
	}
	if media != "" {
		o.w.Header().Set("Content-Type", media)
	}
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(status)
}

// forward writes a part of the answer. It reports whether the answer ended early because it is not UTF-8 text.
func (o *writer) forward(f *entry.Forward) (done bool) {
	if !f.Stream {
		o.writeHeader(f.Status, f.Media)
		if _, err := o.w.Write(f.Data); err != nil {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	o.writeHeader(f.Status, "text/event-stream")
	data := f.Data
	if len(o.partialRune) > 0 {
		data = append(o.partialRune, f.Data...)
	}
	complete := len(data) - incompleteSuffix(data)
	if !utf8.Valid(data[:complete]) {
		o.failNotUTF8()
		return true
	}
	o.partialRune = nil
	if complete < len(data) {
		o.partialRune = append(o.partialRune, data[complete:]...)
	}
	if complete == 0 {
		return false
	}
	end := f.Offset + int64(len(f.Data)) - int64(len(o.partialRune))
	o.writeEvent("", resumeToken(f.Answer, f.Home, end), textEvent{Text: string(data[:complete])})
	return false
}

// failNotUTF8 ends a stream with an error event: bytes that are not UTF-8 cannot be sent unchanged as JSON.
func (o *writer) failNotUTF8() {
	o.writeEvent("error", "", problem{
		Status: http.StatusBadGateway, Outcome: call.OutcomeFailed.String(), Detail: "the answer is not UTF-8 text",
	})
}

func (o *writer) finish(f *entry.Finish) {
	switch {
	case f.Outcome == call.OutcomeComplete && f.Stream && len(o.partialRune) > 0:
		o.failNotUTF8()
	case f.Outcome == call.OutcomeComplete && f.Stream:
		o.writeHeader(f.Status, "text/event-stream")
		o.writeEvent("end", resumeToken(f.Answer, f.Home, f.Offset), endEvent{Size: f.Offset})
	case f.Outcome == call.OutcomeComplete:
		o.writeHeader(f.Status, f.Media)
	case !o.headerWritten:
		writeProblem(o.w, newProblem(f))
	case f.Stream:
		o.writeEvent("error", "", newProblem(f))
	default:
		// The headers are sent, so only an aborted connection can show that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// incompleteSuffix returns the number of bytes of an incomplete UTF-8 character at the end of data.
func incompleteSuffix(data []byte) int {
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

// textEvent is the JSON data of an event with a part of the answer.
type textEvent struct {
	Text string `json:"text"`
}

// endEvent is the JSON data of the last event of a complete answer.
type endEvent struct {
	// Size is the length of the complete answer in bytes.
	Size int64 `json:"size"`
}

// writeEvent writes an event with a single write, so that it is sent completely or not at all.
func (o *writer) writeEvent(name, id string, data any) {
	buffer := o.buffer[:0]
	if name != "" {
		buffer = append(append(append(buffer, "event: "...), name...), '\n')
	}
	if id != "" {
		buffer = append(append(append(buffer, "id: "...), id...), '\n')
	}
	body, _ := json.Marshal(data)
	buffer = append(append(append(buffer, "data: "...), body...), '\n', '\n')
	o.buffer = buffer
	_, _ = o.w.Write(buffer)
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}
