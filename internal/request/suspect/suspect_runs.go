package suspect

import (
	"maps"
	"slices"
	"time"
)

// MaxEnded is the largest number of targets that one request ends within VerdictLifetime where its runs are not isolated,
// if its caller retries it only after an answer and no entry is cut off. It is one more than MaxCrashes, because a
// request that ran beside a crashing one may do so again.
const MaxEnded = 3

const (
	// maxLostRuns is the largest number of lost runs that are kept for a fingerprint.
	maxLostRuns = 2 * (MaxEnded + 1)
	// maxDropped is the largest number of targets that are kept for a fingerprint without their lost runs.
	maxDropped = 128
	// maxUndecided is the number of lost runs from which a request waits until the fate of their targets is known.
	maxUndecided = 2
	// undecidedLifetime is how long a lost run counts if the fate of its target stays unknown.
	undecidedLifetime = time.Minute
	// newsTime is how long News repeats a change, since a datagram may be lost.
	newsTime = time.Second
	// maxNews and maxRepeated bound the changed and the other runs in News, maxRuns those in Runs. The latter two are
	// exceeded by no more than the runs of one request.
	maxNews, maxRepeated, maxRuns = 48, 8, 256
)

// Fate is what is known of the target of a lost run. A higher fate replaces a lower one, so that the order in which reports
// arrive does not matter.
type Fate uint8

// The fates.
const (
	// FateNone means that the run is not lost.
	FateNone Fate = iota
	// FateSilent means that the run was given up: its caller left, or its time was over. It counts only if the target ends
	// soon after.
	FateSilent
	// FateOpen means that the connection to the target was lost and the target may have ended.
	FateOpen
	// FateEnded means that the target has ended.
	FateEnded
	// FateAlive means that the target runs on, or that an equal request has completed since.
	FateAlive
)

// fateNames are the names of the fates in logs.
var fateNames = [...]string{"none", "silent", "open", "ended", "alive"}

// String implements fmt.Stringer.
func (f Fate) String() string {
	if int(f) < len(fateNames) {
		return fateNames[f]
	}
	return "unknown"
}

// LostRun is a run that ended without an answer of its target.
type LostRun struct {
	// Fingerprint is that of the request, and Target identifies the incarnation of the target.
	Fingerprint uint64
	Target      uint32
	Fate        Fate
	// At is the end of the run.
	At time.Time
	// changedAt is when this process found the fate by its own means, or learned it to pass it on; zero otherwise.
	changedAt time.Time
}

// counts reports whether a run of the given fate and age is a reason to suspect the request.
func (r *LostRun) counts(now time.Time) bool {
	switch r.Fate {
	case FateOpen:
		return now.Sub(r.At) < undecidedLifetime
	case FateEnded:
		return now.Sub(r.At) < VerdictLifetime
	default:
		return false
	}
}

// endedRuns returns the number of runs that count and whose targets have ended.
func endedRuns(now time.Time, runs []LostRun) (ended int) {
	for i := range runs {
		if runs[i].Fate == FateEnded && runs[i].counts(now) {
			ended++
		}
	}
	return ended
}

// Lose records that a run was lost, and reports whether that is new.
func (t *Tracker) Lose(now time.Time, r LostRun) bool {
	r.changedAt = now
	return t.raise(now, r)
}

// Learn records a lost run that another process has reported, and reports whether it is new.
func (t *Tracker) Learn(now time.Time, r LostRun) bool {
	r.changedAt = time.Time{}
	return r.Fate >= FateOpen && r.Fate <= FateAlive && t.raise(now, r)
}

// LearnNews is Learn for a process that passes on what it learns: News returns the change like one of its own.
func (t *Tracker) LearnNews(now time.Time, r LostRun) bool {
	r.changedAt = now
	return r.Fate >= FateOpen && r.Fate <= FateAlive && t.raise(now, r)
}

// raise adds a lost run, or raises the fate of one that is known.
func (t *Tracker) raise(now time.Time, r LostRun) bool {
	if r.Target == soundTarget && r.Fate == FateAlive {
		return t.learnSound(now, r.Fingerprint, r.changedAt)
	}
	e, ok := t.verdicts[r.Fingerprint]
	if !ok && r.Fate == FateAlive {
		return false
	}
	i := slices.IndexFunc(e.runs, func(known LostRun) bool { return known.Target == r.Target })
	switch {
	case i >= 0 && e.runs[i].Fate >= r.Fate:
		return false
	case i >= 0:
		e.runs[i].Fate, e.runs[i].changedAt = r.Fate, r.changedAt
	case len(e.runs) < maxLostRuns:
		e.runs = append(e.runs, r)
	default:
		if i = slices.IndexFunc(e.runs, func(known LostRun) bool { return !known.counts(now) }); i < 0 {
			i = redundant(append(e.runs, r))
		}
		if i < 0 || i == len(e.runs) {
			e.drop(r.Target)
			t.verdicts[r.Fingerprint] = e
			if r.Fate == FateEnded {
				t.ends.add(r.Target, r.At)
			}
			return false
		}
		e.drop(e.runs[i].Target)
		e.runs[i] = r
	}
	if r.Fate == FateEnded {
		t.ends.add(r.Target, r.At)
	}
	e.updatedAt = now
	t.verdicts[r.Fingerprint] = e
	t.vouch(now, r.Fingerprint)
	t.trim(now)
	return true
}

// Complete records that a request has completed, so that it was not the reason for the runs that were lost before.
func (t *Tracker) Complete(now time.Time, fingerprint uint64) {
	if !IsPart(fingerprint) {
		t.completed.add(fingerprint)
		t.vouch(now, fingerprint)
	}
	runs := t.verdicts[fingerprint].runs
	for i := range runs {
		r := &runs[i]
		if r.Fate != FateAlive {
			r.Fate, r.changedAt = FateAlive, now
		}
	}
}

// EndTarget records that a target has ended and returns the runs that it changes. Silent runs change only if they are at
// most recent old.
func (t *Tracker) EndTarget(now time.Time, target uint32, recent time.Duration) (changed []LostRun) {
	t.noteEnd(now, target)
	return t.decide(func(r *LostRun) Fate {
		if r.Target != target || r.Fate == FateSilent && now.Sub(r.At) > recent {
			return FateNone
		}
		return FateEnded
	})
}

// noteEnd records that a target has ended, at the time of the latest run that was lost at it, or before now if none was.
func (t *Tracker) noteEnd(now time.Time, target uint32) {
	at := time.Time{}
	for _, e := range t.verdicts {
		for _, r := range e.runs {
			if r.Target == target && (r.Fate == FateOpen || r.Fate == FateEnded) && r.At.After(at) {
				at = r.At
			}
		}
	}
	if at.IsZero() {
		at = now
	}
	t.ends.add(target, at)
}

// KeepTarget records that a target has ended as planned, and returns the runs that it changes.
func (t *Tracker) KeepTarget(target uint32) (changed []LostRun) {
	return t.decide(func(r *LostRun) Fate {
		if r.Target != target {
			return FateNone
		}
		return FateAlive
	})
}

// Resolve decides the runs that are older than the time after which an ended target is no longer listed, and returns
// those that it changes. A target that counts as ended and is listed again was only cut off.
func (t *Tracker) Resolve(now time.Time, after time.Duration, listed func(target uint32) bool) (changed []LostRun) {
	t.forget(now)
	return t.decide(func(r *LostRun) Fate {
		switch {
		case r.Fate == FateAlive || now.Sub(r.At) < after:
			return FateNone
		case r.Fate == FateSilent || listed(r.Target):
			return FateAlive
		}
		return FateEnded
	})
}

// forget drops the evidence that has not changed for undecidedLifetime and leads to no verdict.
func (t *Tracker) forget(now time.Time) {
	maps.DeleteFunc(t.verdicts, func(_ uint64, e evidence) bool {
		return now.Sub(e.updatedAt) >= undecidedLifetime && t.current(now, &e) == Unknown
	})
}

// decide raises the fate of each run to what the function returns. The changes are not news, since every process makes
// them from the same list.
func (t *Tracker) decide(fate func(r *LostRun) Fate) (changed []LostRun) {
	for _, e := range t.verdicts {
		for i := range e.runs {
			r := &e.runs[i]
			if f := fate(r); f > r.Fate {
				switch {
				case f == FateEnded:
					t.ends.add(r.Target, r.At)
				case r.Fate == FateEnded:
					t.ends.remove(r.Target)
				}
				r.Fate, r.changedAt = f, time.Time{}
				changed = append(changed, *r)
			}
		}
	}
	return changed
}

// HasLost reports whether a run of a request was lost at a target.
func (t *Tracker) HasLost(now time.Time, fingerprint uint64, target uint32) bool {
	return slices.ContainsFunc(t.verdicts[fingerprint].runs, func(r LostRun) bool { return r.Target == target && r.counts(now) })
}

// OpenSince returns the end of the latest lost run whose target's fate is not known, or zero.
func (t *Tracker) OpenSince(now time.Time, fingerprint uint64) (at time.Time) {
	for _, r := range t.verdicts[fingerprint].runs {
		if r.Fate == FateOpen && r.counts(now) && r.At.After(at) {
			at = r.At
		}
	}
	return at
}
