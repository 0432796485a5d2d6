package seat

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// offer queues requests at full seats and returns them.
func offer(q *Queue, now time.Time, list ...Waiter) (out []*Waiter) {
	for _, w := range list {
		w.Arrived, w.Goal, w.Done = now, goal, make(chan bool, 1)
		q.Offer(&w, 64, 64)
		out = append(out, &w)
	}
	return out
}

// TestQueueServesUrgentFirst checks that the waiter with the highest priority gets the first seat, and that the others, which could
// expect a seat, get the next ones and are not refused after their wait.
func TestQueueServesUrgentFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var q Queue
	waiters := offer(&q, now, Waiter{Priority: 2}, Waiter{}, Waiter{Priority: 1})
	is.Equal(q.Dispatch(now, 63, 64), 1)
	is.True(<-waiters[1].Done)
	is.Equal(q.Dispatch(now.Add(goal/8), 64, 64), 0)
	is.Equal(q.Dispatch(now.Add(goal/7), 63, 64), 1)
	is.True(<-waiters[2].Done)
	is.Equal(q.Dispatch(now.Add(goal/6), 63, 64), 1)
	is.True(<-waiters[0].Done)
	is.Equal(q.Waiting(), 0)
}

// TestReviewRefusesWhatCannotBeServed checks that waiters whose seat is no longer expected in time are told within an eighth of
// their goal (RULES: a later refusal has a price), and that no request is refused after that.
func TestReviewRefusesWhatCannotBeServed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var q Queue
	waiters := offer(&q, now, Waiter{}, Waiter{}, Waiter{}, Waiter{})
	is.Equal(q.Waiting(), 4)
	// The number of seats has fallen: the excess of streams must end first.
	q.Dispatch(now.Add(goal/10), 120, 64)
	for _, w := range waiters {
		is.True(!<-w.Done)
	}
	is.Equal(q.Waiting(), 0)
}

// TestDecisionsAreCheap checks that a decision takes less than 20 us while 2,000 workspaces wait, and that the accounts are bounded
// and dropped when idle.
func TestDecisionsAreCheap(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var q Queue
	const seats = 8000
	names := make([]string, 2000)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	// The fastest tick is one in which no other process took the processor: the bound is on the work of a decision.
	var ticks []time.Duration
	for tick := range 20 {
		decisions, began := 0, time.Now()
		now = now.Add(15 * time.Millisecond)
		for i := range names {
			w := &Waiter{Workspace: names[(i*7+tick)%len(names)], Arrived: now, Goal: goal, Cost: 1 + float64(i%5), Done: make(chan bool, 1)}
			q.Offer(w, seats, seats)
			decisions++
		}
		decisions += q.Dispatch(now, seats-60, seats)
		ticks = append(ticks, time.Since(began)/time.Duration(decisions))
	}
	cost := slices.Min(ticks)
	t.Logf("%d waiting of %d accounts, %v for a decision", q.Waiting(), len(q.classes[0].accounts), cost)
	is.True(q.Waiting() > 1000)
	is.True(cost < raceFactor*20*time.Microsecond)
	for i := range 3 * maxAccounts {
		q.Offer(&Waiter{Workspace: fmt.Sprint("x", i), Priority: i % 3, Arrived: now, Goal: goal, Done: make(chan bool, 1)}, seats, seats)
	}
	accounts := 0
	for i := range q.classes {
		accounts += len(q.classes[i].accounts)
	}
	is.True(accounts <= maxAccounts)
	now = now.Add(2 * time.Minute)
	q.Dispatch(now, 0, seats)
	for i := range 3 {
		q.Offer(&Waiter{Priority: i, Arrived: now, Goal: goal, Done: make(chan bool, 1)}, 0, seats)
		is.Equal(len(q.classes[i].accounts), 1)
	}
}

// TestPromises checks that returns are promised in the earliest time slots with free seats, within the bounds that a caller can use.
func TestPromises(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var q Queue
	// 80 seats become free in a second, 60 of which arriving requests take, so a time slot has two for returned callers.
	q.arrivals, q.at = 60*paceTime.Seconds(), now
	counts := map[time.Duration]int{}
	for range 40 {
		wait := q.Promise(now, 9*time.Second, 160, 160, 0.5)
		is.True(wait >= minReturn && wait <= 3*time.Second)
		counts[wait.Truncate(returnSlot)]++
	}
	is.Equal(counts[minReturn], 2)
	is.Equal(counts[minReturn+returnSlot], 2)
	for _, n := range counts {
		is.True(n <= 2)
	}
	is.Equal(q.Promise(now, 600*time.Millisecond, 160, 160, 0.5), 200*time.Millisecond) // a third of the time left
	is.True(q.Promise(now, 0, 160, 160, 0.5) > 0)
	is.True(q.Promise(now, time.Hour, 160, 160, 0.9) <= maxReturn)
	// While arriving requests take all seats, callers are told to return late, and not all at once.
	var full Queue
	full.arrivals, full.at = 200*paceTime.Seconds(), now
	counts = map[time.Duration]int{}
	for range 26 {
		wait := full.Promise(now, 9*time.Second, 160, 160, 0.5)
		is.True(wait >= time.Second)
		counts[wait.Truncate(returnSlot)]++
	}
	is.True(len(counts) >= 13)
	// The promises of the past do not count.
	is.Equal(q.Promise(now.Add(time.Minute), 9*time.Second, 160, 160, 0).Truncate(returnSlot), minReturn)
}

// TestThawedQueue checks that the requests which waited through a pause of the process are decided by the present time.
func TestThawedQueue(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var q Queue
	waiters := offer(&q, now, Waiter{}, Waiter{Workspace: "b"})
	q.Dispatch(now.Add(4*time.Second), 0, 64)
	for _, w := range waiters {
		is.True(!<-w.Done)
	}
	is.Equal(q.Waiting(), 0)
}

// TestReturnedCallers checks that a caller that returns at once is no returned caller, and that one that returns as told goes
// before new ones for a quarter of the seats only.
func TestReturnedCallers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	is.Equal(ReturnTime(8*time.Second), minReturn)
	is.Equal(ReturnTime(600*time.Millisecond), 200*time.Millisecond)
	var q Queue
	q.returnCredit = 1
	waiters := offer(&q, now, Waiter{}, Waiter{}, Waiter{Returned: true}, Waiter{Returned: true})
	is.Equal(q.Dispatch(now, 62, 64), 2)
	is.True(<-waiters[2].Done)
	is.True(<-waiters[0].Done)
	is.Equal(q.Waiting(), 2)
}
