// Package suspect tracks requests that may crash the engines that run them.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxCrashes is the largest number of engines that one request crashes within Term,
// if its caller retries it only after an answer and no data centre is cut off.
const MaxCrashes = 2

// Term is how long a verdict is valid.
const Term = time.Hour

const (
	// maxFingerprints is the largest number of fingerprints in a book.
	maxFingerprints = 1024
	// maxReported is the largest number of fingerprints per verdict in a heartbeat.
	maxReported = 32
)

// Verdict is the known crash risk of a request.
type Verdict uint8

// The verdicts, the stronger ones last.
const (
	// Unknown means that the request is not known to have crashed an engine.
	Unknown Verdict = iota
	// Suspected means that an engine crashed while it ran the request, possibly beside others.
	Suspected
	// Cleared means that the request completed after it was suspected.
	Cleared
	// Convicted means that an engine crashed while it ran only the suspected request.
	Convicted
)

// timedVerdict is the verdict on one fingerprint.
type timedVerdict struct {
	verdict Verdict
	// noted is the time of the verdict.
	noted time.Time
}

// Book holds verdicts by fingerprint. It is not safe for concurrent use.
type Book struct {
	// verdicts holds at most maxFingerprints verdicts.
	verdicts map[uint64]timedVerdict
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{verdicts: map[uint64]timedVerdict{}}
}

// Verdict returns the unexpired verdict on a fingerprint, or Unknown.
func (b *Book) Verdict(now time.Time, fingerprint uint64) Verdict {
	r, ok := b.verdicts[fingerprint]
	if !ok || now.Sub(r.noted) >= Term {
		return Unknown
	}
	return r.verdict
}

// Note records a verdict. A conviction lasts until it expires; otherwise the latest verdict replaces the one before.
// Only a suspected request can be cleared.
func (b *Book) Note(now time.Time, fingerprint uint64, v Verdict) {
	before := b.Verdict(now, fingerprint)
	if before == Convicted || v == Unknown {
		return
	}
	if v == Cleared && before != Suspected {
		return
	}
	b.verdicts[fingerprint] = timedVerdict{verdict: v, noted: now}
	b.trim(now)
}

// trim drops expired verdicts if the book is too large, then others until it is not.
func (b *Book) trim(now time.Time) {
	if len(b.verdicts) <= maxFingerprints {
		return
	}
	maps.DeleteFunc(b.verdicts, func(_ uint64, r timedVerdict) bool { return now.Sub(r.noted) >= Term })
	for len(b.verdicts) > maxFingerprints {
		delete(b.verdicts, b.evictionVictim())
	}
}

// evictionVictim returns the fingerprint to drop first: the oldest, but convictions last.
func (b *Book) evictionVictim() uint64 {
	return slices.MinFunc(slices.Collect(maps.Keys(b.verdicts)), func(x, y uint64) int {
		r, s := b.verdicts[x], b.verdicts[y]
		return cmp.Or(cmp.Compare(evictionRank(r.verdict), evictionRank(s.verdict)), r.noted.Compare(s.noted), cmp.Compare(x, y))
	})
}

func evictionRank(v Verdict) int {
	if v == Convicted {
		return 1
	}
	return 0
}

// Report is the part of a book that is sent in a heartbeat.
type Report struct {
	// Suspected, Cleared and Convicted are fingerprints, the most recent first.
	Suspected, Cleared, Convicted []uint64
}

// Report returns the latest unexpired verdicts, at most maxReported of each kind.
func (b *Book) Report(now time.Time) (r Report) {
	if len(b.verdicts) == 0 {
		return r
	}
	return Report{
		Suspected: b.latest(now, Suspected),
		Cleared:   b.latest(now, Cleared),
		Convicted: b.latest(now, Convicted),
	}
}

func (b *Book) latest(now time.Time, v Verdict) (list []uint64) {
	for fingerprint := range b.verdicts {
		if b.Verdict(now, fingerprint) == v {
			list = append(list, fingerprint)
		}
	}
	slices.SortFunc(list, func(x, y uint64) int {
		return cmp.Or(b.verdicts[y].noted.Compare(b.verdicts[x].noted), cmp.Compare(x, y))
	})
	return list[:min(len(list), maxReported)]
}

// Merge records the verdicts in a report that were not in the previous report of the same source.
func (b *Book) Merge(now time.Time, before, report Report) {
	b.merge(now, before.Suspected, report.Suspected, Suspected)
	b.merge(now, before.Cleared, report.Cleared, Cleared)
	b.merge(now, before.Convicted, report.Convicted, Convicted)
}

func (b *Book) merge(now time.Time, before, list []uint64, v Verdict) {
	for _, fingerprint := range list {
		if !slices.Contains(before, fingerprint) {
			b.Note(now, fingerprint, v)
		}
	}
}

// Refusal is the reason given to the caller of a convicted request.
const Refusal = "engines crashed while they ran this request; it is refused for an hour: change it before sending it again"
