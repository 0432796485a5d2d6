// Package events splits an event stream into complete events.
package events

import (
	"bytes"
	"strconv"
)

// Splitter returns each complete event once, across the answers of several targets. The zero value is ready to use.
type Splitter struct {
	// partial is the start of an incomplete event.
	partial []byte
	// lastID is the ID of the last returned event.
	lastID string
	// lastNumber is lastID as a number; it is negative if lastID is not a number.
	lastNumber int64
	// resumed is set if events up to lastID may be repeated, and continued once an event of the target that resumed has a number.
	resumed, continued bool
	// foreign is set once an event of that target was none of the stream.
	foreign bool
}

// maxEvent is the largest size of an event in bytes.
const maxEvent = 1 << 20

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// Resume prepares for the answer of another target and drops an incomplete event.
func (s *Splitter) Resume() {
	s.partial = nil
	s.resumed, s.continued, s.foreign = s.lastID != "", false, false
}

// Add appends bytes and returns the complete events that were not returned before.
func (s *Splitter) Add(data []byte) (complete []byte) {
	// The bytes before were searched already; only their end may begin the end of an event.
	searched := max(0, len(s.partial)-len(eventEnd)+1)
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial[searched:], eventEnd)
	if end < 0 {
		return nil
	}
	end += searched + len(eventEnd)
	ready := s.partial[:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	for len(ready) > 0 {
		n := bytes.Index(ready, eventEnd) + len(eventEnd)
		if s.isNew(ready[:n]) {
			complete = append(complete, ready[:n]...)
		}
		ready = ready[n:]
	}
	return complete
}

// isNew reports whether an event belongs to the stream and was not returned before, and records its ID.
func (s *Splitter) isNew(event []byte) bool {
	id := eventID(event)
	number, err := strconv.ParseInt(id, 10, 64)
	if s.resumed && s.lastNumber >= 0 && !s.continued {
		// A stream with numbers goes on with one. Anything else is an error of the target in the form of an event.
		s.continued = err == nil
		s.foreign = s.foreign || !s.continued && !isComment(event)
	}
	if s.foreign {
		return false
	}
	if id == "" {
		return true
	}
	if err != nil {
		// IDs are numbers; an ID that is not one cannot be compared, so the event is returned.
		s.lastID, s.lastNumber = id, -1
		return true
	}
	if s.resumed && s.lastNumber >= 0 && number <= s.lastNumber {
		return false
	}
	s.lastID, s.lastNumber = id, number
	return true
}

// isComment reports whether all lines of an event are comments, which targets send to keep a connection open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if len(bytes.TrimSpace(line)) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// Last returns the ID of the last returned event.
func (s *Splitter) Last() string {
	return s.lastID
}

// Foreign reports whether the latest target has sent something else than the rest of the stream. It is dropped.
func (s *Splitter) Foreign() bool {
	return s.foreign
}

// Held returns the bytes that are held for an incomplete event.
func (s *Splitter) Held() int {
	return cap(s.partial)
}

// TooLong reports whether the last event is incomplete and already larger than an event may be.
func (s *Splitter) TooLong() bool {
	return len(s.partial) > maxEvent
}

// Complete reports whether the added bytes end with a complete event.
func (s *Splitter) Complete() bool {
	return len(s.partial) == 0
}
