// Package events finds whole events in the bytes of an event stream.
package events

import (
	"bytes"
	"strconv"
)

// Splitter passes whole events on, each once, over the answers of several targets. The zero value is ready.
type Splitter struct {
	// rest begins an event that is not whole yet.
	rest []byte
	// last is the ID of the newest event that was passed on.
	last string
	// number is last as a number, or negative.
	number int64
	// resumed tells that events up to last may come again.
	resumed bool
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// Resume begins the answer of another target; what is left of an event that is not whole is dropped.
func (s *Splitter) Resume() {
	s.rest = nil
	s.resumed = s.last != ""
}

// Add takes bytes and returns the whole events in them that are new.
func (s *Splitter) Add(data []byte) (whole []byte) {
	s.rest = append(s.rest, data...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	ready := s.rest[:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	for len(ready) > 0 {
		n := bytes.Index(ready, eventEnd) + len(eventEnd)
		if s.fresh(ready[:n]) {
			whole = append(whole, ready[:n]...)
		}
		ready = ready[n:]
	}
	return whole
}

// fresh reports whether the caller does not have an event yet, and notes its ID.
func (s *Splitter) fresh(event []byte) bool {
	id := idOf(event)
	if id == "" {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		// IDs are numbers; one that is not cannot be compared, so the event is passed on as it is.
		s.last, s.number = id, -1
		return true
	}
	if s.resumed && s.number >= 0 && number <= s.number {
		return false
	}
	s.last, s.number = id, number
	return true
}

// idOf returns the ID of an event, or nothing.
func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// Last returns the ID of the newest event that was passed on.
func (s *Splitter) Last() string {
	return s.last
}

// Complete reports whether the bytes end with a whole event.
func (s *Splitter) Complete() bool {
	return len(s.rest) == 0
}
