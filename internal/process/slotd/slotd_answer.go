package slotd

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
)

// eventEnd is the end of each event of a stream.
const eventEnd = "\n\n"

// errInsideEvent reports an answer that was broken off though its connection ended without a reset.
var errInsideEvent = merry.Sentinel("the answer ended inside an event")

// answerEnd checks whether the end of an answer's connection is the end of the answer.
type answerEnd struct {
	framed, events bool
	// last holds the latest bytes, as many as eventEnd has.
	last []byte
}

func newAnswerEnd(r *http.Response) *answerEnd {
	return &answerEnd{framed: answer.Framed(r), events: strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")}
}

func (a *answerEnd) add(data []byte) {
	a.last = append(a.last, data...)
	a.last = append([]byte(nil), a.last[max(0, len(a.last)-len(eventEnd)):]...)
}

// check returns why the answer was broken off, or nil if it is complete.
func (a *answerEnd) check() error {
	switch {
	case len(a.last) == 0 && !a.framed:
		return answer.ErrNoBody
	case len(a.last) > 0 && a.events && !bytes.Equal(a.last, []byte(eventEnd)):
		return errInsideEvent
	}
	return nil
}
