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
	// Undecided means that connections to several targets were lost during runs of the request, and it is not known of all
	// whether they have ended, or of all whether they ended for a reason of their own.
	Undecided
	// Convicted means that an engine crashed while it ran only the suspected request, or that MaxEnded targets ended while
	// they ran it, possibly beside others, one of them while it ran nowhere else and no other target ended.
	Convicted
)

// verdictNames are the names of the verdicts in logs.
var verdictNames = [...]string{"unknown", "suspected", "cleared", "undecided", "convicted"}

// String implements fmt.Stringer.
func (v Verdict) String() string { return verdictNames[v] }

// Isolates reports whether a request with the verdict may run only while its target runs nothing else.
func (v Verdict) Isolates() bool { return v == Suspected || v == Undecided }

// evidence is what is known of one fingerprint: a verdict that was recorded, lost runs, or both.
type evidence struct {
	verdict Verdict
	// updatedAt is the time of the verdict or of the latest change of the runs.
	updatedAt time.Time
	// runs are at most maxLostRuns lost runs at different targets.
	runs []LostRun
	// dropped are at most maxDropped targets whose lost runs there was no room for, the latest ones.
	dropped []uint32
	// soundAt is when this process found or learned that the request or a prompt with the part has completed, or zero, and soundNewsAt when
	// it found that itself or learned it to pass it on; zero otherwise.
	soundAt, soundNewsAt time.Time
}

// lostAt reports whether a run was lost at a target.
func (e *evidence) lostAt(target uint32) bool {
	return slices.ContainsFunc(e.runs, func(r LostRun) bool { return r.Target == target }) || slices.Contains(e.dropped, target)
}

// drop notes a target whose lost run there is no room for.
func (e *evidence) drop(target uint32) {
	if slices.Contains(e.dropped, target) {
		return
	}
	if len(e.dropped) >= maxDropped {
		e.dropped = slices.Delete(e.dropped, 0, 1)
	}
	e.dropped = append(e.dropped, target)
}

// Tracker holds verdicts by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	// verdicts holds the evidence on at most maxFingerprints fingerprints.
	verdicts map[uint64]evidence
	// sound are the parts that prompts have completed with, and completed the requests that have.
	sound, completed soundSet
	// ends are the latest ends of targets.
	ends ends
	// cursor is the fingerprint at which News goes on.
	cursor uint64
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{verdicts: map[uint64]evidence{}}
}

// Verdict returns the unexpired verdict on a fingerprint, or Unknown.
func (t *Tracker) Verdict(now time.Time, fingerprint uint64) Verdict {
	e := t.verdicts[fingerprint]
	return t.current(now, &e)
}

// current returns the unexpired verdict that follows from the evidence.
func (t *Tracker) current(now time.Time, e *evidence) Verdict {
	f := t.find(now, e)
	verdict := f.verdict()
	if now.Sub(e.updatedAt) < VerdictLifetime {
		verdict = max(verdict, e.verdict)
	}
	return verdict
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
	e := t.verdicts[fingerprint]
	e.verdict, e.updatedAt = v, now
	t.verdicts[fingerprint] = e
	t.trim(now)
}

// trim drops what has expired once there are more than maxFingerprints, then evicts others down to that number.
func (t *Tracker) trim(now time.Time) {
	if len(t.verdicts) <= maxFingerprints {
		return
	}
	maps.DeleteFunc(t.verdicts, func(_ uint64, e evidence) bool { return t.current(now, &e) == Unknown })
	for len(t.verdicts) > maxFingerprints {
		delete(t.verdicts, t.evictionVictim(now))
	}
}

// evictionVictim returns the fingerprint to drop first: that with the fewest ended targets, the oldest among equals, but
// convictions last.
func (t *Tracker) evictionVictim(now time.Time) (victim uint64) {
	first := true
	for f, e := range t.verdicts {
		if v := t.verdicts[victim]; first || cmp.Or(
			cmp.Compare(t.evictionRank(now, &e), t.evictionRank(now, &v)), e.updatedAt.Compare(v.updatedAt), cmp.Compare(f, victim)) < 0 {
			victim, first = f, false
		}
	}
	return victim
}

func (t *Tracker) evictionRank(now time.Time, e *evidence) int {
	if t.current(now, e) == Convicted {
		return MaxEnded
	}
	return endedRuns(now, e.runs)
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
		return cmp.Or(t.verdicts[y].updatedAt.Compare(t.verdicts[x].updatedAt), cmp.Compare(x, y))
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
