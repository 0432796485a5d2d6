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
)

// chunkSize is the most that is read of a stream at once; an event is a few hundred bytes.
const chunkSize = 8 << 10

// stream passes the events of one answer on, which several targets may have made.
type stream struct {
	*request
	// splitter finds whole events and drops those that the caller has.
	splitter events.Splitter
	// last is when the newest event came, or zero.
	last time.Time
}

// is reports whether an answer is a series of events.
func (s *stream) is(r *http.Response) bool {
	return s.route.Stream && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

// after returns the last event that the caller has, or what it said itself.
func (s *stream) after(asked string) string {
	if id := s.splitter.Last(); id != "" {
		return id
	}
	return asked
}

// pass passes events on until the answer ends.
func (s *stream) pass(ctx context.Context, a *call.Answer, body io.Reader) (outcome, *stored, string) {
	s.splitter.Resume()
	s.last = time.Time{}
	buffer := make([]byte, chunkSize)
	for {
		n, err := body.Read(buffer)
		if whole := s.splitter.Add(buffer[:n]); len(whole) > 0 {
			s.begin(a)
			if _, e := s.writer.Write(whole); e != nil {
				return outcomeLeft, nil, "caller left: " + e.Error()
			}
			s.flush()
			s.observe()
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && s.splitter.Complete():
			s.begin(a)
			return outcomeServed, nil, ""
		case s.caller.Context().Err() != nil:
			return outcomeLeft, nil, "caller left"
		case context.Cause(ctx) != nil:
			err = context.Cause(ctx)
		}
		if s.wrote {
			return outcomeBroken, nil, "stream broke off: " + err.Error()
		}
		return outcomeUnknown, nil, "stream broke off before its first event: " + err.Error()
	}
}

// begin writes the head of the first target's answer.
func (s *stream) begin(a *call.Answer) {
	if s.wrote {
		return
	}
	s.wrote = true
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

// observe takes the pause between two events into the account of the service.
func (s *stream) observe() {
	p := s.process
	now := p.Now()
	if !s.last.IsZero() {
		pause := now.Sub(s.last)
		p.counts.pause.Observe(pause.Seconds())
		p.mu.Lock()
		name := s.service.Name
		p.gauge(name).Observe(now, pause, p.registry.Running(name), p.registry.Available(name), s.service, s.route.Gap)
		p.mu.Unlock()
	}
	s.last = now
}
