package seat

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// waitShare is the part of its goal that a request may wait for a seat: with the time until the line is looked at
	// again, a refusal comes within an eighth of the goal (RULES: a later one has a price).
	waitShare = 0.09
	// lateShare is the part of the seats up to which requests that can no longer be on time are taken.
	lateShare = 0.85
	// leastAdvice and mostAdvice bound the time after which a refused caller may come back:
	// about as long as the streams take that hold the seats.
	leastAdvice = 1500 * time.Millisecond
	mostAdvice  = 3500 * time.Millisecond
)

// Waiter is a request that wants a seat.
type Waiter struct {
	// Priority is the rank of the request; zero is first.
	Priority int
	// Late tells that the answer can no longer be on time.
	Late bool
	// Arrived is when the request came.
	Arrived time.Time
	// Goal is the time within which the answer is on time, and Gap the longest pause between its events.
	Goal, Gap time.Duration
	// Done takes the decision; it has room for one.
	Done chan bool
}

// Queue holds the requests that wait for a seat of one service. It is not safe for concurrent use.
type Queue struct {
	// waiters are sorted: urgent ones first, then in order of arrival.
	waiters []*Waiter
}

// fits reports whether a request may take a seat now.
func fits(w *Waiter, running, seats int) bool {
	if w.Late {
		return float64(running) < lateShare*float64(seats)
	}
	return running < seats
}

// Offer decides on a new request: it gets a seat, waits, or is refused at once.
func (l *Queue) Offer(w *Waiter, running, seats int) (decided, admitted bool) {
	if len(l.waiters) == 0 && fits(w, running, seats) {
		return true, true
	}
	if w.Late || !l.hopeful(w, running, seats) {
		return true, false
	}
	i, _ := slices.BinarySearchFunc(l.waiters, w, compare)
	l.waiters = slices.Insert(l.waiters, i, w)
	return false, false
}

// hopeful reports whether a seat may become free within the time that a request may wait:
// streams that hold the seats leave one by one, so only a short line has a chance.
func (l *Queue) hopeful(w *Waiter, running, seats int) bool {
	ahead := 0
	for _, v := range l.waiters {
		if compare(v, w) <= 0 {
			ahead++
		}
	}
	// A stream lasts a few seconds at most, so about one seat in sixteen becomes free within a wait.
	return running-seats+ahead < max(1, seats/16)
}

func compare(a, b *Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.Arrived.Compare(b.Arrived)
}

// Dispatch gives free seats to waiters and refuses those that waited too long. It returns how many got a seat.
func (l *Queue) Dispatch(now time.Time, running, seats int) (admitted int) {
	rest := l.waiters[:0]
	for _, w := range l.waiters {
		switch {
		case fits(w, running+admitted, seats):
			admitted++
			w.Done <- true
		case now.Sub(w.Arrived) >= time.Duration(waitShare*float64(w.Goal)):
			w.Done <- false
		default:
			rest = append(rest, w)
		}
	}
	clear(l.waiters[len(rest):])
	l.waiters = rest
	return admitted
}

// Remove takes back a waiter whose caller went away; a decision that was already made stands.
func (l *Queue) Remove(w *Waiter) {
	l.waiters = slices.DeleteFunc(l.waiters, func(v *Waiter) bool { return v == w })
}

// Gap returns the shortest pause that a waiter allows, or zero without waiters.
func (l *Queue) Gap() (gap time.Duration) {
	for _, w := range l.waiters {
		if gap == 0 || w.Gap < gap {
			gap = w.Gap
		}
	}
	return gap
}

// Waiting returns the number of waiters.
func (l *Queue) Waiting() int {
	return len(l.waiters)
}

// RetryAfter returns when a refused caller may come back.
func RetryAfter(random *rand.Rand) time.Duration {
	return leastAdvice + time.Duration(random.Int64N(int64(mostAdvice-leastAdvice)))
}
