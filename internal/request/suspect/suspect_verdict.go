package suspect

import (
	"slices"
	"time"
)

const (
	// occasionGap is the least time between two lost runs that count separately. Targets that end at once, for example in a power cut, are
	// one occasion.
	occasionGap = 300 * time.Millisecond
	// quietTime is the time before and after an occasion within which the end of a target that did not run the request shows a common
	// cause. The removal of its record may be all that tells of the end.
	quietTime = 5 * time.Second
	// minOccasions is the number of occasions from which something that has completed before is suspected, and from which a request or
	// part that is not convicted waits for a trial. A common part is in the prompts of nearly every target that ends.
	minOccasions = 2
	// maxEndedAtOnce is the number of targets that end at one occasion from which a part is convicted that no completed prompt had.
	maxEndedAtOnce = 5
	// undecidedPause and convictedPause are the times from the latest lost run to the first trial. Each further occasion multiplies them by
	// undecidedGrowth and convictedGrowth.
	undecidedPause, undecidedGrowth = 5 * time.Second, 3
	convictedPause, convictedGrowth = time.Minute, 2
)

// findings sum up the lost runs of a request or part that count.
type findings struct {
	// part is set for a part of prompts, completed if something with the fingerprint has completed, and sound for a part of which that is
	// so.
	part, completed, sound bool
	// open and ended are the numbers of runs.
	open, ended int
	// times is the number of occasions, and endedTimes that of occasions at which a target ended.
	times, endedTimes int
	// telling is the number of occasions at which targets ended after the request or part was suspected, so that it ran at one target
	// only, while no other target ended. By chance alone they are rare, however common the request or part is.
	telling int
	// endedAtOnce is the largest number of targets that ended at one occasion while no other did.
	endedAtOnce int
	// lastAt is the time of the latest run.
	lastAt time.Time
}

// find sums up the lost runs of a fingerprint.
func (t *Tracker) find(now time.Time, e *evidence) (f findings) {
	if len(e.runs) == 0 {
		return f
	}
	f.part, f.completed = IsPart(e.runs[0].Fingerprint), !e.soundAt.IsZero()
	f.sound = f.part && f.completed
	var counted [maxLostRuns]*LostRun
	runs := counted[:0]
	for i := range e.runs {
		if r := &e.runs[i]; r.counts(now) && (r.Fate != FateEnded || !t.ends.survived(r)) {
			runs = append(runs, &e.runs[i])
		}
	}
	slices.SortFunc(runs, func(x, y *LostRun) int { return x.At.Compare(y.At) })
	before := 1
	if f.sound {
		before = minOccasions
	}
	for len(runs) > 0 {
		n := 1
		for n < len(runs) && runs[n].At.Sub(runs[0].At) < occasionGap {
			n++
		}
		ended := 0
		for _, r := range runs[:n] {
			if r.Fate == FateEnded {
				ended++
			}
		}
		f.times++
		f.ended, f.open = f.ended+ended, f.open+n-ended
		f.lastAt = runs[n-1].At
		if ended > 0 {
			f.endedTimes++
			if !t.ends.others(runs[0].At, e) {
				f.endedAtOnce = max(f.endedAtOnce, ended)
				if f.endedTimes > before {
					f.telling++
				}
			}
		}
		runs = runs[n:]
	}
	return f
}

// verdict returns the verdict that follows from lost runs.
func (f *findings) verdict() Verdict {
	switch {
	case f.convicts():
		return Convicted
	case f.sound:
		return f.verdictOfSound()
	case f.open > 0 && f.open+f.ended >= maxUndecided, f.awaitsTrial():
		return Undecided
	case f.open+f.ended > 0:
		return Suspected
	}
	return Unknown
}

// verdictOfSound returns the verdict on a part that prompts have completed with: only separate occasions count.
func (f *findings) verdictOfSound() Verdict {
	switch {
	case f.open > 0 && f.times >= MaxEnded:
		return Undecided
	case f.times >= minOccasions:
		return Suspected
	}
	return Unknown
}

// convicts reports whether the targets ended because of the request or part.
func (f *findings) convicts() bool {
	switch {
	case f.sound:
		return f.endedTimes >= MaxEnded && (f.telling >= minOccasions || f.telling > 0 && f.endedAtOnce >= MaxEnded)
	case f.part && f.endedAtOnce >= maxEndedAtOnce:
		return true
	}
	return f.ended >= MaxEnded && f.telling > 0
}

// awaitsTrial reports whether as many targets have ended as may, at occasions that a common cause may explain. A request that has completed
// before is not kept from running: popular ones are lost at each crash.
func (f *findings) awaitsTrial() bool {
	return !f.completed && f.ended >= MaxEnded && f.endedTimes >= minOccasions
}

// trialAt returns the time of the next trial, or false if the verdict needs none.
func (f *findings) trialAt() (at time.Time, needed bool) {
	pause, growth := undecidedPause, time.Duration(undecidedGrowth)
	switch v := f.verdict(); {
	case v == Convicted:
		pause, growth = convictedPause, convictedGrowth
	case v != Undecided || f.open > 0:
		return at, false
	}
	for i := minOccasions; i < f.endedTimes && pause < VerdictLifetime; i++ {
		pause *= growth
	}
	return f.lastAt.Add(pause), true
}

// Judge returns the verdict on a request and on the shared parts of its prompt as it applies at one process, and the fingerprints that have
// it. What has been convicted, or has ended as many targets as it may, is suspected where its trial is due: if it completes, the verdict was
// wrong. The function reports whether the process is the one that may run trials of a fingerprint. If none of them has to wait for the fate
// of its targets, at is the time of the next trial.
func (t *Tracker) Judge(now time.Time, fingerprint uint64, parts []uint64, owns func(fingerprint uint64) bool) (verdict Verdict, by []uint64, at time.Time) {
	verdict, by = t.Check(now, fingerprint, parts)
	switch {
	case verdict == Suspected && t.runsAlone(now, by[0]) && !owns(by[0]):
		return Undecided, by, now
	case verdict < Undecided:
		return verdict, by, at
	}
	for _, f := range by {
		e := t.verdicts[f]
		found := t.find(now, &e)
		next, needed := found.trialAt()
		if !needed {
			return verdict, by, time.Time{}
		}
		if next.After(at) {
			at = next
		}
	}
	if !at.After(now) && owns(by[0]) {
		return Suspected, by, at
	}
	return verdict, by, at
}

// runsAlone reports whether only one process may run a suspected request or part, because as many targets have ended at one occasion as
// it may end.
func (t *Tracker) runsAlone(now time.Time, fingerprint uint64) bool {
	e := t.verdicts[fingerprint]
	f := t.find(now, &e)
	return !f.completed && f.ended >= MaxEnded && f.endedTimes < minOccasions
}
