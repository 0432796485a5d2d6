package suspect

import (
	"cmp"
	"slices"
	"time"
)

// HasNews reports whether News would return a change of the last newsTime.
func (t *Tracker) HasNews(now time.Time) bool {
	for _, e := range t.verdicts {
		if e.soundIsNews(now) || slices.ContainsFunc(e.runs, func(r LostRun) bool { return r.isNews(now) }) {
			return true
		}
	}
	return false
}

// soundIsNews reports whether the other processes should learn that the part is sound.
func (e *evidence) soundIsNews(now time.Time) bool {
	return !e.soundNewsAt.IsZero() && now.Sub(e.soundNewsAt) < newsTime
}

func (r *LostRun) isNews(now time.Time) bool {
	return r.Fate >= FateOpen && !r.changedAt.IsZero() && now.Sub(r.changedAt) < newsTime
}

// News returns what the other processes should learn: the latest changes that this one found itself, and some of the
// other runs in turn, for processes that have missed them.
func (t *Tracker) News(now time.Time) []LostRun {
	if len(t.verdicts) == 0 {
		return nil
	}
	var news []LostRun
	for f, e := range t.verdicts {
		if e.soundIsNews(now) {
			news = append(news, soundRecord(f, e.soundAt))
		}
		for _, r := range e.runs {
			if r.isNews(now) {
				news = append(news, r)
			}
		}
	}
	slices.SortFunc(news, func(x, y LostRun) int {
		return cmp.Or(y.changedAt.Compare(x.changedAt), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return append(news[:min(len(news), maxNews)], t.repeated(now)...)
}

// soundRecord returns the record that tells that a prompt with a part has completed.
func soundRecord(part uint64, at time.Time) LostRun {
	return LostRun{Fingerprint: part, Target: soundTarget, Fate: FateAlive, At: at, changedAt: at}
}

// repeated returns about maxRepeated runs that count, those after the ones that it returned last.
func (t *Tracker) repeated(now time.Time) (runs []LostRun) {
	fingerprints := t.counted(now)
	if len(fingerprints) == 0 {
		return nil
	}
	slices.Sort(fingerprints)
	first, _ := slices.BinarySearch(fingerprints, t.cursor)
	for i := range fingerprints {
		f := fingerprints[(first+i)%len(fingerprints)]
		t.cursor = f
		if len(runs) >= maxRepeated {
			break
		}
		runs = append(runs, t.countedRuns(now, f)...)
	}
	return runs
}

// Runs returns the runs that a process which has just started should know: those of the requests with most ended targets
// first.
func (t *Tracker) Runs(now time.Time) (runs []LostRun) {
	fingerprints := t.counted(now)
	slices.SortFunc(fingerprints, func(x, y uint64) int {
		endedX, endedY := endedRuns(now, t.verdicts[x].runs), endedRuns(now, t.verdicts[y].runs)
		return cmp.Or(cmp.Compare(endedY, endedX), t.verdicts[y].updatedAt.Compare(t.verdicts[x].updatedAt), cmp.Compare(x, y))
	})
	for _, f := range fingerprints {
		if len(runs) >= maxRuns {
			break
		}
		runs = append(runs, t.countedRuns(now, f)...)
	}
	return runs
}

// counted returns the fingerprints with a lost run that counts.
func (t *Tracker) counted(now time.Time) (fingerprints []uint64) {
	for f, e := range t.verdicts {
		if slices.ContainsFunc(e.runs, func(r LostRun) bool { return r.counts(now) }) {
			fingerprints = append(fingerprints, f)
		}
	}
	return fingerprints
}

// countedRuns returns the runs of a request that count.
func (t *Tracker) countedRuns(now time.Time, fingerprint uint64) (runs []LostRun) {
	e := t.verdicts[fingerprint]
	for _, r := range e.runs {
		if r.counts(now) {
			runs = append(runs, r)
		}
	}
	if !e.soundAt.IsZero() {
		runs = append(runs, soundRecord(fingerprint, e.soundAt))
	}
	return runs
}
