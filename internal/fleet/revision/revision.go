// Package revision decides which configuration value is in force in a process and where it gets newer ones from.
package revision

import (
	_ "embed"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

//go:embed value.chart
var valueChart []byte

// Chart is the state chart of a value.
var Chart = chart.MustParse(valueChart)

// The states of a value.
const (
	StateIgnored  chart.State = "ignored"
	StateRefused  chart.State = "refused"
	StateHeld     chart.State = "held"
	StateInForce  chart.State = "force"
	StateReplaced chart.State = "replaced"
)

const (
	// maxValues is the number of accepted values kept as bases for patches.
	maxValues = 4
	// maxRefused is the number of refused values that are remembered, so that each is recorded only once.
	maxRefused = 64
)

// Position identifies a value.
type Position struct {
	// Revision is zero if there is no value.
	Revision int64
	// Digest is the digest of the value's bytes.
	Digest uint64
}

// Value is an accepted configuration value. Only its State changes.
type Value struct {
	Position
	// Data is the published form of the value.
	Data []byte
	// Configuration is the parsed form of Data.
	Configuration *configuration.Configuration
	// State is a state of the chart.
	State chart.State
}

// Verdict is the result of an offer.
type Verdict struct {
	// State is a state of the chart.
	State chart.State
	// Signal is the chart's signal that led to State.
	Signal chart.Signal
	// First is false if the same bytes were refused before.
	First bool
	// Position identifies the offered value; its revision is zero if the value could not be parsed.
	Position Position
	// Err is the reason why the value was refused.
	Err error
	// Changes summarizes the differences from the previous value.
	Changes string
}

// History holds the accepted values of a process. It is not safe for concurrent use.
// The revision in force never decreases.
type History struct {
	// values holds the latest accepted values, the oldest first; at most maxValues.
	values []*Value
	// refused holds the digests of refused values, the oldest first; at most maxRefused.
	refused []uint64
	// open is set once accepted values are put in force at once.
	open bool
	// lastContact is the latest known time at which the service answered any process in the chain of sources.
	lastContact time.Time
}

// NewHistory returns an empty History. Accepted values are held until Open is called.
func NewHistory() *History {
	return &History{}
}

// Digest returns the digest of a value's bytes.
func Digest(data []byte) uint64 {
	return xxhash.Sum64(data)
}

// Latest returns the latest accepted value, or nil.
func (h *History) Latest() *Value {
	if len(h.values) == 0 {
		return nil
	}
	return h.values[len(h.values)-1]
}

// Position returns the position of the latest accepted value.
func (h *History) Position() Position {
	if v := h.Latest(); v != nil {
		return v.Position
	}
	return Position{}
}

// Find returns the kept value at a position, or nil.
func (h *History) Find(p Position) *Value {
	for _, v := range h.values {
		if v.Position == p {
			return v
		}
	}
	return nil
}

// Opened reports whether Open was called; accepted values are then put in force at once.
func (h *History) Opened() bool {
	return h.open
}

// Open puts the latest value in force and returns it, or nil if there is none.
func (h *History) Open() *Value {
	h.open = true
	v := h.Latest()
	if v != nil {
		v.signal("open")
	}
	return v
}

// Candidate is a parsed and checked value that was not offered yet.
type Candidate struct {
	Position
	// Data is the encoded value.
	Data []byte
	// Configuration is nil if the value could not be parsed.
	Configuration *configuration.Configuration
	// Err is the result of the check.
	Err error
}

// Read parses and checks a value. It is slow for large values, so it can run outside the lock of the History.
func Read(data []byte) Candidate {
	c := Candidate{Position: Position{Digest: Digest(data)}, Data: data}
	c.Configuration, c.Err = configuration.Parse(data)
	if c.Configuration != nil {
		c.Revision = c.Configuration.Revision
	}
	return c
}

// IsLatest reports whether the latest accepted value has the given digest, so that it need not be parsed again.
func (h *History) IsLatest(digest uint64) bool {
	v := h.Latest()
	return v != nil && v.Digest == digest
}

// Offer accepts, ignores or refuses a value, whatever its source.
func (h *History) Offer(c Candidate) Verdict {
	current := h.Position()
	switch {
	case h.IsLatest(c.Digest):
		return verdict("same", true, current, nil)
	case c.Err != nil:
		return h.refuse("invalid", c.Position, c.Err)
	case c.Revision < current.Revision:
		return verdict("old", true, c.Position, nil)
	case c.Revision == current.Revision:
		return h.refuse("conflict", c.Position, ErrConflict)
	}
	return h.accept(&Value{Position: c.Position, Data: c.Data, Configuration: c.Configuration, State: Chart.Start})
}

// accept makes v the latest value.
func (h *History) accept(v *Value) Verdict {
	var before *configuration.Configuration
	if current := h.Latest(); current != nil {
		current.signal("newer")
		before = current.Configuration
	}
	v.signal("valid")
	if h.open {
		v.signal("open")
	}
	h.values = append(h.values, v)
	if len(h.values) > maxValues {
		h.values = slices.Delete(h.values, 0, 1)
	}
	return Verdict{State: v.State, Signal: "valid", First: true, Position: v.Position, Changes: Changes(before, v.Configuration)}
}

// refuse remembers a refused value so that it is recorded only once.
func (h *History) refuse(s chart.Signal, p Position, err error) Verdict {
	first := !slices.Contains(h.refused, p.Digest)
	if first {
		h.refused = append(h.refused, p.Digest)
	}
	if len(h.refused) > maxRefused {
		h.refused = slices.Delete(h.refused, 0, 1)
	}
	return verdict(s, first, p, err)
}

// verdict returns the verdict with the state that follows the chart's start on a signal.
func verdict(s chart.Signal, first bool, p Position, err error) Verdict {
	state, _ := Chart.Next(Chart.Start, s)
	return Verdict{State: state, Signal: s, First: first, Position: p, Err: err}
}

// signal applies a signal to the value's state; a signal that the chart does not accept is ignored.
func (v *Value) signal(s chart.Signal) {
	if next, err := Chart.Next(v.State, s); err == nil {
		v.State = next
	}
}

// RecordContact records that the service answered the source of a message the given time ago.
func (h *History) RecordContact(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(h.lastContact) {
		h.lastContact = at
	}
}

// Age returns the time since the service last answered, as far as known; without any contact it is an hour.
func (h *History) Age(now time.Time) time.Duration {
	if h.lastContact.IsZero() {
		return time.Hour
	}
	return max(now.Sub(h.lastContact), 0)
}
