package seat

import (
	"math"
	"time"
)

const (
	// reviewShare is the fraction of its goal after which it is decided whether a waiter keeps its place. From then on it is not
	// refused any more: including the time until the queue is checked again, a refusal is sent within an eighth of the goal.
	reviewShare = 0.09
	// commitShare is the fraction of the time left to a waiter within which its seat must be expected at the review.
	commitShare = 0.65
	// lateSeatShare is the fraction of taken seats below which requests that can no longer be on time are admitted.
	lateSeatShare = 0.85
	// medianShare is the median time until the next seat becomes free as a fraction of the mean one: seats become free at random.
	medianShare = 0.69
	// priorities is the number of priorities that are told apart.
	priorities = 10
	// reservedShare is the part of the seats that become free which a less urgent priority gets at least.
	reservedShare = 1.0 / 20
	// returnedShare is the part of the seats that become free for which returned callers go before new ones.
	returnedShare = 1.0 / 4
	// maxCredit bounds the seats that a reservation accumulates while nobody uses it.
	maxCredit = 4
	// wantedTime is how long after its latest request a priority counts as one with demand.
	wantedTime = 2 * time.Second
)

// Waiter is a request that asks for a seat. A request for which Offer or Dispatch decided is not changed any more.
type Waiter struct {
	// Priority is the priority of the request; zero is the highest.
	Priority int
	// Late is set if the answer can no longer be on time.
	Late bool
	// Returned is set if the caller was refused before and has returned at the time that it was told.
	Returned bool
	// Arrived is when the request arrived.
	Arrived time.Time
	// Goal is the time within which the answer is on time, and Gap the longest gap between its events.
	Goal, Gap time.Duration
	// Until is the latest time at which a seat is of use to the request; zero means Goal after Arrived.
	Until time.Time
	// Ends is when the request ends in any case; zero means never.
	Ends time.Time
	// Workspace is the workspace that the seat is charged to; all requests without one share one account.
	Workspace string
	// Cost is the expected time for which the request holds its seat, in seconds; zero means that of the usual request.
	Cost float64
	// Done receives whether the request was admitted; its buffer size must be at least one.
	Done chan bool

	// Above is set by Offer if the workspace had more than its fair share while another lacked seats.
	Above bool
	// account is the account that the request is charged to; Offer sets it.
	account *account
	// committed is set once the review has kept the waiter in the queue.
	committed bool
}

// Queue decides which requests get the seats of a service, which wait and which are refused. It is not safe for concurrent use.
// The zero value is the queue of an entry that is alone.
//
// The load that it handles: demand above the capacity, steadily or in bursts, from workspaces of very different size, with callers
// that return after a refusal, at one of many entries that learn of each other late. In such load each seat that becomes free has
// several takers, and the order alone decides who is on time.
type Queue struct {
	pace
	room
	returns
	classes [priorities]class
	// waiting is the number of waiters.
	waiting int
	// returnCredit is the number of seats for which returned callers go before new ones.
	returnCredit float64
}

// class returns the class of a request's priority.
func (q *Queue) class(w *Waiter) *class {
	return &q.classes[min(max(w.Priority, 0), priorities-1)]
}

// Offer admits, queues or refuses a new request. A request that was queued is not decided yet.
func (q *Queue) Offer(w *Waiter, running, seats int) (decided, admitted bool) {
	now := w.Arrived
	if w.Until.IsZero() {
		w.Until = now.Add(w.Goal)
	}
	if w.Cost <= 0 {
		w.Cost = q.usualHold()
	}
	c := q.class(w)
	c.wantedAt = now
	q.refreshRoom(now, running, seats, q.waiting)
	ownSeats, free := q.ownSeats(running, seats)
	q.sweep(now, c, ownSeats)
	a := q.account(now, c, w.Workspace)
	w.account = a
	if !w.Late {
		a.demand += w.Cost
	}
	above := q.aboveShare(now, c, a, free, ownSeats)
	// A workspace that uses more than its share while another lacks seats gets no precedence by being refused more often.
	w.Above, w.Returned = above, w.Returned && !above
	q.countArrival(now)
	if q.waiting == 0 && q.fits(w, running, seats) && !above {
		q.serve(c, a, w)
		return true, true
	}
	if above || !w.Until.After(now) || w.Late && !w.Returned || q.expectedWait(w, running, seats) > w.Until.Sub(now) {
		q.scarceAt = now
		return true, false
	}
	c.insert(a, w)
	q.waiting++
	return false, false
}

// fits reports whether a request may get a seat now.
func (q *Queue) fits(w *Waiter, running, seats int) bool {
	if w.Late && !(w.Returned && q.returnCredit >= 1) && float64(running) >= lateSeatShare*float64(seats) {
		return false
	}
	return q.hasRoom(running, seats)
}

// expectedWait returns the time after which a request is expected to get a seat.
func (q *Queue) expectedWait(w *Waiter, running, seats int) time.Duration {
	rate := q.rate(q.own, running, seats, q.entries)
	wait := math.Inf(1)
	if !w.Late {
		wait = (float64(q.ahead(w, false)) + medianShare) / (rate * q.newShare())
	}
	if w.Returned {
		lacking := max(float64(q.class(w).returnedAhead(w)+1)-q.returnCredit, 0)
		wait = min(wait, max(lacking/returnedShare, float64(q.ahead(w, true))+medianShare)/rate)
	}
	return seconds(wait + float64(max(running-seats, 0))/q.totalRate(running, seats))
}

// newShare returns the part of the seats that become free which new callers get.
func (q *Queue) newShare() float64 {
	if q.returnCredit < 1 {
		return 1 - returnedShare
	}
	return 1
}

// ahead returns the number of waiters that get a seat before a request, which goes before new ones of its workspace if
// returnedFirst is set.
func (q *Queue) ahead(w *Waiter, returnedFirst bool) (n int) {
	c := q.class(w)
	if c.credit < float64(c.waiting+1) {
		for i := range q.classes {
			if &q.classes[i] == c {
				break
			}
			n += q.classes[i].waiting
		}
	}
	return n + c.ahead(w, returnedFirst)
}

// Dispatch gives free seats to waiters and refuses those that can't expect one any more. It returns the number of admitted waiters.
func (q *Queue) Dispatch(now time.Time, running, seats int) (admitted int) {
	q.expire(now)
	q.refreshRoom(now, running, seats, q.waiting)
	for q.waiting > 0 && q.hasRoom(running+admitted, seats) {
		c, a, w := q.next(running+admitted, seats)
		if w == nil {
			break
		}
		c.remove(a, w)
		q.waiting--
		q.serve(c, a, w)
		admitted++
		w.Done <- true
	}
	q.review(now, running+admitted, seats)
	return admitted
}

// review refuses waiters that have waited for reviewShare of their goal and can't expect a seat in time. Those that it keeps
// are served, if need be late: a refusal after a long wait is of less use to a caller than a late answer.
func (q *Queue) review(now time.Time, running, seats int) {
	for p := range q.classes {
		c := &q.classes[p]
		if c.waiting == 0 {
			continue
		}
		for _, a := range c.active {
			for i := len(a.waiters) - 1; i >= 0; i-- {
				w := a.waiters[i]
				if w.committed || now.Sub(w.Arrived) < time.Duration(reviewShare*float64(w.Goal)) {
					continue
				}
				left := time.Duration(commitShare * float64(w.Until.Sub(now)))
				if w.committed = q.expectedWait(w, running, seats) <= left; w.committed {
					continue
				}
				q.refuse(now, c, a, w)
			}
		}
		c.compact()
	}
}

// refuse removes a waiter and tells it so; the account stays in the list of active ones until the class is compacted.
func (q *Queue) refuse(now time.Time, c *class, a *account, w *Waiter) {
	a.drop(w)
	c.forget(w)
	q.waiting--
	q.scarceAt = now
	w.Done <- false
}

// expire refuses the waiters that a seat is of no use to any more, as after a pause of the process.
func (q *Queue) expire(now time.Time) {
	for p := range q.classes {
		c := &q.classes[p]
		for _, a := range c.active {
			for i := len(a.waiters) - 1; i >= 0; i-- {
				w := a.waiters[i]
				if !w.Ends.IsZero() && !now.Before(w.Ends) || !w.committed && now.After(w.Until) {
					q.refuse(now, c, a, w)
				}
			}
		}
		c.compact()
	}
}

// EndBy lets no waiter hold a seat for its usual time beyond a time, after which the process ends.
func (q *Queue) EndBy(at time.Time) {
	latest := at.Add(-seconds(q.usualHold()))
	for p := range q.classes {
		for _, a := range q.classes[p].active {
			for _, w := range a.waiters {
				w.committed = false
				if w.Until.After(latest) {
					w.Until = latest
				}
				if w.Ends.IsZero() || w.Ends.After(at) {
					w.Ends = at
				}
			}
		}
	}
}

// next returns the waiter that gets the next seat, or nil if none may have one.
func (q *Queue) next(running, seats int) (*class, *account, *Waiter) {
	for p := priorities - 1; p > 0; p-- {
		if c := &q.classes[p]; c.waiting > 0 && c.credit >= 1 {
			if a, w := c.next(q.returnCredit >= 1, q.lateFits(running, seats)); w != nil {
				return c, a, w
			}
		}
	}
	for p := range q.classes {
		c := &q.classes[p]
		if c.waiting == 0 {
			continue
		}
		if a, w := c.next(q.returnCredit >= 1, q.lateFits(running, seats)); w != nil {
			return c, a, w
		}
	}
	return nil, nil, nil
}

// lateFits reports whether a late request may get a seat beyond the part of returned callers.
func (q *Queue) lateFits(running, seats int) bool {
	return float64(running) < lateSeatShare*float64(seats)
}

// serve charges a seat to a request's account and to the reservations.
func (q *Queue) serve(c *class, a *account, w *Waiter) {
	c.charge(a, w.Cost)
	q.countAdmitted()
	q.returnCredit = min(q.returnCredit+returnedShare, maxCredit)
	if w.Returned {
		q.returnCredit = max(q.returnCredit-1, 0)
	}
	for p := priorities - 1; p > 0; p-- {
		d := &q.classes[p]
		switch {
		case d == c:
			d.credit = max(d.credit-1, 0)
			return
		case d.waiting > 0 || w.Arrived.Sub(d.wantedAt) < wantedTime:
			d.credit = min(d.credit+reservedShare, maxCredit)
		default:
			d.credit = 0
		}
	}
}

// Ended records that a request has given its seat back after it held it for a time. The use of its account is corrected; its
// virtual time is not, since the errors of a busy workspace would hide that it is ahead.
func (q *Queue) Ended(now time.Time, w *Waiter, held time.Duration) {
	a := w.account
	a.decay(now, q.class(w).virtual)
	a.use = max(a.use+held.Seconds()-w.Cost, 0)
	q.countEnded(now, held)
}

// Unused records that a request has given its seat back and that no target ran it. It is not charged, and its time says nothing about
// how long seats are held.
func (q *Queue) Unused(now time.Time, w *Waiter) {
	a := w.account
	a.decay(now, q.class(w).virtual)
	a.use = max(a.use-w.Cost, 0)
}

// Remove removes a waiter whose caller disconnected; it does not revoke a decision that was already made.
func (q *Queue) Remove(w *Waiter) {
	c := q.class(w)
	if a := w.account; a.holds(w) {
		c.remove(a, w)
		q.waiting--
	}
}

// Gap returns the shortest Gap of the waiters, or zero without waiters.
func (q *Queue) Gap() (gap time.Duration) {
	for p := range q.classes {
		for _, a := range q.classes[p].active {
			for _, w := range a.waiters {
				if gap == 0 || w.Gap < gap {
					gap = w.Gap
				}
			}
		}
	}
	return gap
}

// Waiting returns the number of waiters.
func (q *Queue) Waiting() int {
	return q.waiting
}

func seconds(v float64) time.Duration {
	const longest = 1e6
	return time.Duration(min(v, longest) * float64(time.Second))
}
