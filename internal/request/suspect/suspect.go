// Package suspect remembers the requests that may crash the engines that run them.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxCrashes is the largest number of engines that one request takes down within Term,
// when its caller sends it again only after its answer and no data centre is cut off.
const MaxCrashes = 2

// Term is the time for which a verdict is remembered.
const Term = time.Hour

const (
	// bookSize is the largest number of remembered fingerprints.
	bookSize = 1024
	// reportSize is the largest number of fingerprints of one verdict in a heartbeat.
	reportSize = 32
)

// Verdict is what is known of a request.
type Verdict uint8

// The verdicts, the stronger ones last.
const (
	// Unknown means that nothing speaks against the request.
	Unknown Verdict = iota
	// Suspected means that an engine died while it ran the request, possibly beside others.
	Suspected
	// Cleared means that the request completed after it was suspected.
	Cleared
	// Convicted means that an engine died while it ran the suspected request alone.
	Convicted
)

// record is the knowledge of one fingerprint.
type record struct {
	verdict Verdict
	// at is the time of the verdict.
	at time.Time
}

// Book holds verdicts by fingerprint. It is not safe for concurrent use.
type Book struct {
	// records holds at most bookSize records.
	records map[uint64]record
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{records: map[uint64]record{}}
}

// Verdict returns the verdict that is in force.
func (b *Book) Verdict(now time.Time, fingerprint uint64) Verdict {
	r, ok := b.records[fingerprint]
	if !ok || now.Sub(r.at) >= Term {
		return Unknown
	}
	return r.verdict
}

// Note takes in a verdict. A conviction is changed by nothing but time; else the newest verdict holds.
// Only a suspected request can be cleared.
func (b *Book) Note(now time.Time, fingerprint uint64, v Verdict) {
	before := b.Verdict(now, fingerprint)
	if before == Convicted || v == Unknown {
		return
	}
	if v == Cleared && before != Suspected {
		return
	}
	b.records[fingerprint] = record{verdict: v, at: now}
	b.trim(now)
}

// trim drops what has expired and, while the book is too large, the oldest record.
func (b *Book) trim(now time.Time) {
	if len(b.records) <= bookSize {
		return
	}
	maps.DeleteFunc(b.records, func(_ uint64, r record) bool { return now.Sub(r.at) >= Term })
	for len(b.records) > bookSize {
		delete(b.records, b.oldest())
	}
}

// oldest returns the fingerprint to be dropped first: convictions last, then by age.
func (b *Book) oldest() uint64 {
	return slices.MinFunc(slices.Collect(maps.Keys(b.records)), func(x, y uint64) int {
		r, s := b.records[x], b.records[y]
		return cmp.Or(cmp.Compare(rank(r.verdict), rank(s.verdict)), r.at.Compare(s.at), cmp.Compare(x, y))
	})
}

func rank(v Verdict) int {
	if v == Convicted {
		return 1
	}
	return 0
}

// Report is the part of a book that goes into a heartbeat.
type Report struct {
	// Suspected, Cleared and Convicted are fingerprints, the newest first.
	Suspected, Cleared, Convicted []uint64
}

// Report returns the newest verdicts in force, at most reportSize of each kind.
func (b *Book) Report(now time.Time) (r Report) {
	if len(b.records) == 0 {
		return r
	}
	return Report{
		Suspected: b.newest(now, Suspected),
		Cleared:   b.newest(now, Cleared),
		Convicted: b.newest(now, Convicted),
	}
}

func (b *Book) newest(now time.Time, v Verdict) (list []uint64) {
	for fingerprint := range b.records {
		if b.Verdict(now, fingerprint) == v {
			list = append(list, fingerprint)
		}
	}
	slices.SortFunc(list, func(x, y uint64) int {
		return cmp.Or(b.records[y].at.Compare(b.records[x].at), cmp.Compare(x, y))
	})
	return list[:min(len(list), reportSize)]
}

// Merge notes what is new in a report against the one before from the same source.
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

// Refusal tells a caller why a convicted request is not run.
const Refusal = "engines died while they ran this request; it is refused for an hour: change it before sending it again"
