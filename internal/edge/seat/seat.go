package seat

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxWaitShare is the fraction of its goal that a request may wait for a seat. Including the time until the queue is
	// checked again, a refusal is sent within an eighth of the goal (RULES: a later refusal has a price).
	maxWaitShare = 0.09
	// lateSeatShare is the fraction of taken seats below which requests that can no longer be on time are admitted.
	lateSeatShare = 0.85
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may retry:
	// about the duration of the streams that hold the seats.
	minRetryAfter = 1500 * time.Millisecond
	maxRetryAfter = 3500 * time.Millisecond
)

// Waiter is a request that waits for a seat.
type Waiter struct {
	// Priority is the priority of the request; zero is the highest.
	Priority int
	// Late is set if the answer can no longer be on time; such a request does not wait.
	Late bool
	// Arrived is when the request arrived.
	Arrived time.Time
	// Goal is the time within which the answer is on time, and Gap the longest gap between its events.
	Goal, Gap time.Duration
	// Done receives whether the request was admitted; its buffer size must be at least one.
	Done chan bool
}

// Queue holds the requests that wait for a seat of a service. It is not safe for concurrent use.
type Queue struct {
	// waiters are sorted by priority, then by arrival.
	waiters []*Waiter
}

// fits reports whether a request may get a seat now.
func fits(w *Waiter, running, seats int) bool {
	if w.Late {
		return float64(running) < lateSeatShare*float64(seats)
	}
	return running < seats
}

// Offer admits, queues or refuses a new request. A request that was queued is not decided yet.
func (q *Queue) Offer(w *Waiter, running, seats int) (decided, admitted bool) {
	if len(q.waiters) == 0 && fits(w, running, seats) {
		return true, true
	}
	if w.Late || !q.mayGetSeat(w, running, seats) {
		return true, false
	}
	i, _ := slices.BinarySearchFunc(q.waiters, w, compare)
	q.waiters = slices.Insert(q.waiters, i, w)
	return false, false
}

// mayGetSeat reports whether a seat may become free within the time that a request may wait:
// the streams that hold the seats end one by one, so only a short queue can be served in time.
func (q *Queue) mayGetSeat(w *Waiter, running, seats int) bool {
	ahead := 0
	for _, v := range q.waiters {
		if compare(v, w) <= 0 {
			ahead++
		}
	}
	// A stream lasts a few seconds at most, so about one seat in sixteen becomes free within the longest wait.
	return running-seats+ahead < max(1, seats/16)
}

func compare(a, b *Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return a.Arrived.Compare(b.Arrived)
}

// Dispatch gives free seats to waiters and refuses those that waited too long. It returns the number of admitted waiters.
func (q *Queue) Dispatch(now time.Time, running, seats int) (admitted int) {
	rest := q.waiters[:0]
	for _, w := range q.waiters {
		switch {
		case fits(w, running+admitted, seats):
			admitted++
			w.Done <- true
		case now.Sub(w.Arrived) >= time.Duration(maxWaitShare*float64(w.Goal)):
			w.Done <- false
		default:
			rest = append(rest, w)
		}
	}
	clear(q.waiters[len(rest):])
	q.waiters = rest
	return admitted
}

// Remove removes a waiter whose caller disconnected; it does not revoke a decision that was already made.
func (q *Queue) Remove(w *Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(v *Waiter) bool { return v == w })
}

// Gap returns the shortest Gap of the waiters, or zero without waiters.
func (q *Queue) Gap() (gap time.Duration) {
	for _, w := range q.waiters {
		if gap == 0 || w.Gap < gap {
			gap = w.Gap
		}
	}
	return gap
}

// Waiting returns the number of waiters.
func (q *Queue) Waiting() int {
	return len(q.waiters)
}

// RetryAfter returns the time after which a refused caller may retry.
func RetryAfter(random *rand.Rand) time.Duration {
	return minRetryAfter + time.Duration(random.Int64N(int64(maxRetryAfter-minRetryAfter)))
}
