package suspect

import (
	"slices"
	"time"
)

// maxEnds is the largest number of ends that are remembered.
const maxEnds = 512

// survivedTime is the time from a lost run to the end of its target from which the target has not ended under it. Within that time a
// silent end is noticed.
const survivedTime = 3 * time.Second

// end is the end of a target that did not leave as planned. The time is that of the latest run that was lost at it.
type end struct {
	target uint32
	at     time.Time
}

// ends holds the latest ends of targets, the oldest first.
type ends []end

// add records that a target has ended at a time. Of several times the latest one counts.
func (l *ends) add(target uint32, at time.Time) {
	if i := l.index(target); i >= 0 {
		if !at.After((*l)[i].at) {
			return
		}
		*l = slices.Delete(*l, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(*l, at, func(e end, at time.Time) int { return e.at.Compare(at) })
	*l = slices.Insert(*l, i, end{target, at})
	if len(*l) > maxEnds {
		*l = slices.Delete(*l, 0, 1)
	}
}

// remove forgets the end of a target that is back.
func (l *ends) remove(target uint32) {
	if i := l.index(target); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// survived reports whether a target ended so much later than a run was lost at it that it did not end under the run.
func (l ends) survived(r *LostRun) bool {
	i := l.index(r.Target)
	return i >= 0 && l[i].at.Sub(r.At) > survivedTime
}

func (l *ends) index(target uint32) int {
	return slices.IndexFunc(*l, func(e end) bool { return e.target == target })
}

// others reports whether a target ended within quietTime of a time that has not lost a run of the evidence.
func (l ends) others(at time.Time, evidence *evidence) bool {
	first, _ := slices.BinarySearchFunc(l, at.Add(-quietTime), func(e end, at time.Time) int { return e.at.Compare(at) })
	for _, e := range l[first:] {
		if e.at.After(at.Add(quietTime)) {
			break
		}
		if !evidence.lostAt(e.target) {
			return true
		}
	}
	return false
}
