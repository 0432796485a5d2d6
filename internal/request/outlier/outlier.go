// Package outlier finds the targets that fail more often than the others of their pool.
package outlier

import (
	"math"
	"time"
)

// Verdict is the result of comparing a target with its peers, the other targets of its pool.
type Verdict uint8

// The verdicts.
const (
	// TooFewSamples means that the target or its peers have too few samples to be compared.
	TooFewSamples Verdict = iota
	// Normal means that the target fails no more than its peers.
	Normal
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
func (c counts) decay(now time.Time) counts {
	weight := math.Exp(-max(now.Sub(c.updated), 0).Seconds() / decayTime.Seconds())
	return counts{attempts: c.attempts * weight, failures: c.failures * weight, updated: now}
}

// Tracker counts the attempts and failures of a pool's targets. It is not safe for concurrent use.
type Tracker struct {
	// byTarget holds the counts by the name of the target.
	byTarget map[string]counts
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{byTarget: map[string]counts{}}
}

// Record records the result of an attempt.
func (t *Tracker) Record(now time.Time, target string, failed bool) {
	r := t.byTarget[target].decay(now)
	r.attempts++
	if failed {
		r.failures++
	}
	t.byTarget[target] = r
}

// Snapshot holds the counts of a Tracker at one time.
type Snapshot struct {
	// byTarget holds the counts as of the time of the snapshot.
	byTarget map[string]counts
	// total is the sum over all targets.
	total counts
}

// Snapshot returns the counts as of now.
func (t *Tracker) Snapshot(now time.Time) (s Snapshot) {
	s.byTarget = make(map[string]counts, len(t.byTarget))
	for name, r := range t.byTarget {
		r = r.decay(now)
		s.byTarget[name] = r
		s.total.attempts += r.attempts
		s.total.failures += r.failures
	}
	return s
}

// Verdict compares a target with all others. If they fail as often, the cause is shared and the target is not failing.
func (s Snapshot) Verdict(target string) Verdict {
	own := s.byTarget[target]
	rest := counts{attempts: s.total.attempts - own.attempts, failures: s.total.failures - own.failures}
	if own.attempts < minSamples || rest.attempts < minSamples {
		return TooFewSamples
	}
	if own.failures/own.attempts > rest.failures/rest.attempts+failureMargin {
		return Failing
	}
	return Normal
}

// Retain drops the counts of the targets for which keep returns false.
func (t *Tracker) Retain(keep func(target string) bool) {
	for name := range t.byTarget {
		if !keep(name) {
			delete(t.byTarget, name)
		}
	}
}
