// Package peer judges how often a target fails against the other targets of its pool.
package peer

import (
	"math"
	"time"
)

// Verdict is the result of a comparison.
type Verdict uint8

// The verdicts.
const (
	// None means that there are too few samples of the target or of its peers.
	None Verdict = iota
	// Sound means that the target fails no more than its peers.
	Sound
	// Failing means that the target fails much more than its peers.
	Failing
)

const (
	// floor is the number of samples below which there is no verdict.
	floor = 8
	// memory is the time in which a sample loses most of its worth.
	memory = 5 * time.Second
	// excess is the share of failures above that of the peers from which a target is failing.
	excess = 0.2
)

// record counts the recent attempts at a target; both counts fade.
type record struct {
	attempts, failures float64
	// at is the time of the newest change.
	at time.Time
}

// fade returns the record as of now.
func (r record) fade(now time.Time) record {
	worth := math.Exp(-max(now.Sub(r.at), 0).Seconds() / memory.Seconds())
	return record{attempts: r.attempts * worth, failures: r.failures * worth, at: now}
}

// Board holds the records of a pool's targets. It is not safe for concurrent use.
type Board struct {
	// records is keyed by the name of the target.
	records map[string]record
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	return &Board{records: map[string]record{}}
}

// Note takes in the end of an attempt.
func (b *Board) Note(now time.Time, target string, failed bool) {
	r := b.records[target].fade(now)
	r.attempts++
	if failed {
		r.failures++
	}
	b.records[target] = r
}

// Comparison is the state of a board at one time.
type Comparison struct {
	// records have faded to the time of the comparison.
	records map[string]record
	// sum is that of all records.
	sum record
}

// Compare returns the state of the board as of now.
func (b *Board) Compare(now time.Time) (c Comparison) {
	c.records = make(map[string]record, len(b.records))
	for name, r := range b.records {
		r = r.fade(now)
		c.records[name] = r
		c.sum.attempts += r.attempts
		c.sum.failures += r.failures
	}
	return c
}

// Verdict compares a target with all others. When they fail as much there is a shared cause, and no target is to blame.
func (c Comparison) Verdict(target string) Verdict {
	own := c.records[target]
	rest := record{attempts: c.sum.attempts - own.attempts, failures: c.sum.failures - own.failures}
	if own.attempts < floor || rest.attempts < floor {
		return None
	}
	if own.failures/own.attempts > rest.failures/rest.attempts+excess {
		return Failing
	}
	return Sound
}

// Forget drops the records of targets that keep reports false for.
func (b *Board) Forget(keep func(target string) bool) {
	for name := range b.records {
		if !keep(name) {
			delete(b.records, name)
		}
	}
}
