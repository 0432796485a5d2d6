// Package revision decides which configuration value is in force in a process and from whom it learns of newer ones.
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

// Chart is the life of one value.
var Chart = chart.MustParse(valueChart)

// The states of a value.
const (
	StateIgnored  chart.State = "ignored"
	StateRefused  chart.State = "refused"
	StateHeld     chart.State = "held"
	StateForce    chart.State = "force"
	StateReplaced chart.State = "replaced"
)

const (
	// keepValues is the number of accepted values that changes can be sent against.
	keepValues = 4
	// keepRefused is the number of refused values that are remembered, so that each is recorded once.
	keepRefused = 64
)

// Position tells which value a process holds.
type Position struct {
	// Revision is zero when there is no value.
	Revision int64
	// Digest is that of the value's bytes.
	Digest uint64
}

// Value is an accepted configuration value. It never changes.
type Value struct {
	Position
	// Data is the value as it was published.
	Data []byte
	// Configuration is the parsed form of Data.
	Configuration *configuration.Configuration
	// State is a state of the chart.
	State chart.State
}

// Verdict is what became of an offered value.
type Verdict struct {
	// State is a state of the chart.
	State chart.State
	// Signal is the chart's signal that led to State.
	Signal chart.Signal
	// First is false when the same bytes had the same verdict before.
	First bool
	// Position is that of the offered value; its revision is zero when it could not be read.
	Position Position
	// Err tells why the value was refused.
	Err error
	// Changes is a summary of the differences from the value before.
	Changes string
}

// History holds the accepted values of a process. It is not safe for concurrent use.
// The revision in force never falls.
type History struct {
	// values holds the newest accepted values, the oldest first; at most keepValues.
	values []*Value
	// refused holds the digests of refused values, the oldest first; at most keepRefused.
	refused []uint64
	// open is set once the newest value may be put in force.
	open bool
	// contact is the latest known time at which the service answered anyone in the chain of sources.
	contact time.Time
}

// NewHistory returns a History without values whose first ones are held until Open.
func NewHistory() *History {
	return &History{}
}

// Digest returns the digest of a value's bytes.
func Digest(data []byte) uint64 {
	return xxhash.Sum64(data)
}

// Latest returns the newest accepted value, or nil.
func (b *History) Latest() *Value {
	if len(b.values) == 0 {
		return nil
	}
	return b.values[len(b.values)-1]
}

// Position returns that of the newest accepted value.
func (b *History) Position() Position {
	if v := b.Latest(); v != nil {
		return v.Position
	}
	return Position{}
}

// Find returns the kept value at a position, or nil.
func (b *History) Find(p Position) *Value {
	for _, v := range b.values {
		if v.Position == p {
			return v
		}
	}
	return nil
}

// Opened reports whether values are put in force as they are accepted.
func (b *History) Opened() bool {
	return b.open
}

// Open puts the newest value in force and returns it, or nil when there is none.
func (b *History) Open() *Value {
	b.open = true
	v := b.Latest()
	if v != nil {
		v.signal("open")
	}
	return v
}

// Candidate is an offered value that was parsed and checked.
type Candidate struct {
	Position
	// Data is the value as it was offered.
	Data []byte
	// Configuration is nil when the value could not be parsed.
	Configuration *configuration.Configuration
	// Err is the result of the check.
	Err error
}

// Read parses and checks an offered value. It takes long for large values and needs no History.
func Read(data []byte) Candidate {
	c := Candidate{Position: Position{Digest: Digest(data)}, Data: data}
	c.Configuration, c.Err = configuration.Parse(data)
	if c.Configuration != nil {
		c.Revision = c.Configuration.Revision
	}
	return c
}

// Same reports whether the newest value has a digest, so that it need not be read again.
func (b *History) Same(digest uint64) bool {
	v := b.Latest()
	return v != nil && v.Digest == digest
}

// Take decides on an offered value, whoever offers it.
func (b *History) Take(c Candidate) Verdict {
	current := b.Position()
	switch {
	case b.Same(c.Digest):
		return verdict("same", true, current, nil)
	case c.Err != nil:
		return b.refuse("invalid", c.Position, c.Err)
	case c.Revision < current.Revision:
		return verdict("old", true, c.Position, nil)
	case c.Revision == current.Revision:
		return b.refuse("conflict", c.Position, ErrConflict)
	}
	return b.accept(&Value{Position: c.Position, Data: c.Data, Configuration: c.Configuration, State: Chart.Start})
}

// accept replaces the newest value.
func (b *History) accept(v *Value) Verdict {
	var before *configuration.Configuration
	if current := b.Latest(); current != nil {
		current.signal("newer")
		before = current.Configuration
	}
	v.signal("valid")
	if b.open {
		v.signal("open")
	}
	b.values = append(b.values, v)
	if len(b.values) > keepValues {
		b.values = slices.Delete(b.values, 0, 1)
	}
	return Verdict{State: v.State, Signal: "valid", First: true, Position: v.Position, Changes: Changes(before, v.Configuration)}
}

// refuse remembers a refused value so that it is recorded once.
func (b *History) refuse(s chart.Signal, p Position, err error) Verdict {
	fresh := !slices.Contains(b.refused, p.Digest)
	if fresh {
		b.refused = append(b.refused, p.Digest)
	}
	if len(b.refused) > keepRefused {
		b.refused = slices.Delete(b.refused, 0, 1)
	}
	return verdict(s, fresh, p, err)
}

// verdict follows the chart from its start.
func verdict(s chart.Signal, fresh bool, p Position, err error) Verdict {
	state, _ := Chart.Next(Chart.Start, s)
	return Verdict{State: state, Signal: s, First: fresh, Position: p, Err: err}
}

// signal moves the value along the chart.
func (v *Value) signal(s chart.Signal) {
	if next, err := Chart.Next(v.State, s); err == nil {
		v.State = next
	}
}

// RecordContact notes that the service answered the source of news at a time that is age ago.
func (b *History) RecordContact(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(b.contact) {
		b.contact = at
	}
}

// Age returns the time since the service is known to have answered; without any contact it is an hour.
func (b *History) Age(now time.Time) time.Duration {
	if b.contact.IsZero() {
		return time.Hour
	}
	return max(now.Sub(b.contact), 0)
}
