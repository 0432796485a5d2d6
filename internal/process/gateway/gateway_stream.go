package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/events"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// chunkSize is the size of the read buffer in bytes; an event is a few hundred bytes.
const chunkSize = 8 << 10

var (
	// errEventTooLong reports that a target sent an event without an end.
	errEventTooLong = errors.New("event too long")
	// errNoContinuation reports that the answer of a target does not go on where the one before it was truncated.
	errNoContinuation = errors.New("not the rest of the stream")
)

// stream passes the events of one answer to the caller; the answer may come from several targets in turn.
type stream struct {
	*request
	// splitter finds complete events and drops those that the caller already has.
	splitter events.Splitter
	// lastEvent is when the last event of the current attempt arrived, or zero.
	lastEvent time.Time
}

// isEventStream reports whether an answer is a stream of events on a streaming route.
func (s *stream) isEventStream(r *http.Response) bool {
	return s.route.Stream && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

// resumeAfter returns the ID of the last event that was sent to the caller, or else the one that the caller asked to
// resume after.
func (s *stream) resumeAfter(requested string) string {
	if id := s.splitter.Last(); id != "" {
		return id
	}
	return requested
}

// canResume reports whether another target can go on after the events that were sent to the caller. Without an ID it would repeat them.
func (s *stream) canResume() bool {
	return s.route.Resumable && s.splitter.Last() != ""
}

// forward passes events to the caller until the answer ends.
func (s *stream) forward(ctx context.Context, a *call.Answer, body io.Reader) (outcome, *bufferedAnswer, string) {
	s.splitter.Resume()
	s.lastEvent = time.Time{}
	buffer := make([]byte, chunkSize)
	for {
		n, err := body.Read(buffer)
		complete := s.splitter.Add(buffer[:n])
		if !s.holdAnswer(s.splitter.Held() + len(complete)) {
			return s.truncate(errNoMemory)
		}
		if len(complete) > 0 {
			s.writeHeader(a)
			s.limitWrite()
			if _, e := s.writer.Write(complete); e != nil {
				s.fate = suspect.FateSilent
				return outcomeCallerLeft, nil, "caller left: " + e.Error()
			}
			s.flush()
			s.observeGap()
			s.noteEvent()
			s.noteGroupEvent()
		}
		switch {
		case s.splitter.Foreign():
			return s.truncate(errNoContinuation)
		case s.splitter.TooLong():
			return s.truncate(errEventTooLong)
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && s.events == 0 && !s.framed:
			s.fate = suspect.FateOpen
			return s.truncate(answer.ErrNoBody)
		case errors.Is(err, io.EOF) && s.splitter.Complete():
			s.writeHeader(a)
			return outcomeServed, nil, ""
		case s.caller.Context().Err() != nil:
			s.fate = suspect.FateSilent
			return outcomeCallerLeft, nil, "caller left"
		case context.Cause(ctx) != nil:
			err = context.Cause(ctx)
		}
		s.fate = lostFate(ctx)
		return s.truncate(err)
	}
}

// truncate ends an attempt whose stream is not complete.
func (s *stream) truncate(err error) (outcome, *bufferedAnswer, string) {
	if s.headersSent {
		return outcomeTruncated, nil, "stream truncated: " + err.Error()
	}
	return outcomeUnknown, nil, "stream truncated before its first event: " + err.Error()
}

// writeHeader sends the status and headers of the first target's answer.
func (s *stream) writeHeader(a *call.Answer) {
	if s.headersSent {
		return
	}
	s.headersSent = true
	h := s.writer.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	s.writer.WriteHeader(a.Status)
}

func (s *stream) flush() {
	if f, ok := s.writer.(http.Flusher); ok {
		f.Flush()
	}
}

// noteEvent counts an event of the current attempt. With enough of them the parts of the prompt are sound.
func (s *stream) noteEvent() {
	s.events++
	s.heardAt = s.process.Now()
	if s.firstAt.IsZero() {
		s.firstAt = s.heardAt
	}
	if s.events != suspect.SurvivalEvents {
		return
	}
	s.process.mu.Lock()
	defer s.process.mu.Unlock()
	s.clearParts(s.heardAt)
}

// observeGap records the time between two events in the metrics and in the service's estimator.
func (s *stream) observeGap() {
	p := s.process
	now := p.Now()
	if !s.lastEvent.IsZero() {
		gap := now.Sub(s.lastEvent)
		p.metrics.eventGap.Observe(gap.Seconds())
		p.mu.Lock()
		name := s.service.Name
		p.estimator(name).Observe(now, gap, p.registry.GroupOccupancy(name, s.groupHash), s.service, s.route.Gap)
		p.mu.Unlock()
	}
	s.lastEvent = now
}
