// Package peer detects targets that fail more often than the other targets of their pool.
package peer

import (
	"math"
	"time"
)

// Verdict is the result of a comparison.
type Verdict uint8

// The verdicts.
const (
	// None means that there are too few samples of the target or of its peers to compare them.
	None Verdict = iota
	// Sound means that the target fails no more than its peers.
	Sound
	// Failing means that the target fails much more than its peers.
	Failing
)

const (
	// minSamples is the number of samples below which there is no verdict.
	minSamples = 8
	// decayTime is the time constant of the exponentially decaying counts.
	decayTime = 5 * time.Second
	// failureMargin is how far a target's failure rate must exceed that of its peers for it to be failing.
	failureMargin = 0.2
)

// counts holds the exponentially decaying numbers of attempts and failures of a target.
type counts struct {
	attempts, failures float64
	// updated is the time of the latest change.
	updated time.Time
}

// decay returns the counts as of now.
func (r counts) decay(now time.Time) counts {
	weight := math.Exp(-max(now.Sub(r.updated), 0).Seconds() / decayTime.Seconds())
	return counts{attempts: r.attempts * weight, failures: r.failures * weight, updated: now}
}

// Board counts the attempts and failures of a pool's targets. It is not safe for concurrent use.
type Board struct {
	// byTarget holds the counts by the name of the target.
	byTarget map[string]counts
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	return &Board{byTarget: map[string]counts{}}
}

// Note records the result of an attempt.
func (b *Board) Note(now time.Time, target string, failed bool) {
	r := b.byTarget[target].decay(now)
	r.attempts++
	if failed {
		r.failures++
	}
	b.byTarget[target] = r
}

// Comparison is a snapshot of a board.
type Comparison struct {
	// byTarget holds the counts as of the time of the snapshot.
	byTarget map[string]counts
	// total is the sum over all targets.
	total counts
}

// Compare returns a snapshot of the board as of now.
func (b *Board) Compare(now time.Time) (c Comparison) {
	c.byTarget = make(map[string]counts, len(b.byTarget))
	for name, r := range b.byTarget {
		r = r.decay(now)
		c.byTarget[name] = r
		c.total.attempts += r.attempts
		c.total.failures += r.failures
	}
	return c
}

// Verdict compares a target with all others. If they fail as often, the cause is shared and the target is not failing.
func (c Comparison) Verdict(target string) Verdict {
	own := c.byTarget[target]
	rest := counts{attempts: c.total.attempts - own.attempts, failures: c.total.failures - own.failures}
	if own.attempts < minSamples || rest.attempts < minSamples {
		return None
	}
	if own.failures/own.attempts > rest.failures/rest.attempts+failureMargin {
		return Failing
	}
	return Sound
}

// Forget drops the counts of targets for which keep returns false.
func (b *Board) Forget(keep func(target string) bool) {
	for name := range b.byTarget {
		if !keep(name) {
			delete(b.byTarget, name)
		}
	}
}
