// Package suspect tracks requests that may crash the engines that run them.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxCrashes is the largest number of engines that one request crashes within VerdictLifetime,
// if its caller retries it only after an answer and no data centre is cut off.
const MaxCrashes = 2

// VerdictLifetime is how long a verdict is valid.
const VerdictLifetime = time.Hour

const (
	// maxFingerprints is the largest number of fingerprints in a Tracker.
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
	// recordedAt is the time of the verdict.
	recordedAt time.Time
}

// Tracker holds verdicts by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	// verdicts holds at most maxFingerprints verdicts.
	verdicts map[uint64]timedVerdict
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{verdicts: map[uint64]timedVerdict{}}
}

// Verdict returns the unexpired verdict on a fingerprint, or Unknown.
func (t *Tracker) Verdict(now time.Time, fingerprint uint64) Verdict {
	r, ok := t.verdicts[fingerprint]
	if !ok || now.Sub(r.recordedAt) >= VerdictLifetime {
		return Unknown
	}
	return r.verdict
}

// Record records a verdict. A conviction lasts until it expires; otherwise the latest verdict replaces the one before.
// Only a suspected request can be cleared.
func (t *Tracker) Record(now time.Time, fingerprint uint64, v Verdict) {
	before := t.Verdict(now, fingerprint)
	if before == Convicted || v == Unknown {
		return
	}
	if v == Cleared && before != Suspected {
		return
	}
	t.verdicts[fingerprint] = timedVerdict{verdict: v, recordedAt: now}
	t.trim(now)
}

// trim drops the expired verdicts once there are more than maxFingerprints, then evicts others down to that number.
func (t *Tracker) trim(now time.Time) {
	if len(t.verdicts) <= maxFingerprints {
		return
	}
	maps.DeleteFunc(t.verdicts, func(_ uint64, r timedVerdict) bool { return now.Sub(r.recordedAt) >= VerdictLifetime })
	for len(t.verdicts) > maxFingerprints {
		delete(t.verdicts, t.evictionVictim())
	}
}

// evictionVictim returns the fingerprint to drop first: the oldest, but convictions last.
func (t *Tracker) evictionVictim() uint64 {
	return slices.MinFunc(slices.Collect(maps.Keys(t.verdicts)), func(x, y uint64) int {
		r, s := t.verdicts[x], t.verdicts[y]
		return cmp.Or(cmp.Compare(evictionRank(r.verdict), evictionRank(s.verdict)), r.recordedAt.Compare(s.recordedAt), cmp.Compare(x, y))
	})
}

func evictionRank(v Verdict) int {
	if v == Convicted {
		return 1
	}
	return 0
}

// Report is the part of the verdicts that is sent in a heartbeat.
type Report struct {
	// Suspected, Cleared and Convicted are fingerprints, the most recent first.
	Suspected, Cleared, Convicted []uint64
}

// Report returns the latest unexpired verdicts, at most maxReported of each kind.
func (t *Tracker) Report(now time.Time) (r Report) {
	if len(t.verdicts) == 0 {
		return r
	}
	return Report{
		Suspected: t.latest(now, Suspected),
		Cleared:   t.latest(now, Cleared),
		Convicted: t.latest(now, Convicted),
	}
}

func (t *Tracker) latest(now time.Time, v Verdict) (list []uint64) {
	for fingerprint := range t.verdicts {
		if t.Verdict(now, fingerprint) == v {
			list = append(list, fingerprint)
		}
	}
	slices.SortFunc(list, func(x, y uint64) int {
		return cmp.Or(t.verdicts[y].recordedAt.Compare(t.verdicts[x].recordedAt), cmp.Compare(x, y))
	})
	return list[:min(len(list), maxReported)]
}

// Merge records the verdicts in a report that were not in the previous report of the same source.
func (t *Tracker) Merge(now time.Time, before, report Report) {
	t.merge(now, before.Suspected, report.Suspected, Suspected)
	t.merge(now, before.Cleared, report.Cleared, Cleared)
	t.merge(now, before.Convicted, report.Convicted, Convicted)
}

func (t *Tracker) merge(now time.Time, before, list []uint64, v Verdict) {
	for _, fingerprint := range list {
		if !slices.Contains(before, fingerprint) {
			t.Record(now, fingerprint, v)
		}
	}
}

// RefusalReason is the reason given to the caller of a convicted request.
const RefusalReason = "engines crashed while they ran this request; it is refused for an hour: change it before sending it again"
