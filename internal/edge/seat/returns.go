package seat

import (
	"time"
)

const (
	// returnSlot is the length of a time slot of promised returns, and returnSlots their number.
	returnSlot  = 100 * time.Millisecond
	returnSlots = int(maxReturn/returnSlot) + 1
	// minReturn and maxReturn bound the time after which a refused caller is told to return.
	minReturn = 300 * time.Millisecond
	maxReturn = 10 * time.Second
	// returnPart is the part of its time left after which a caller returns in any case.
	returnPart = 3
)

// returns holds the returns that an entry has promised to refused callers.
type returns struct {
	// promised counts the promises by time slot, modulo returnSlots. Those before the slot base are void.
	promised [returnSlots]float64
	base     int64
}

// ReturnTime returns the time after which a refused caller without other information is expected to return, given the time left to
// it: it can't have returned as told before that.
func ReturnTime(left time.Duration) time.Duration {
	return min(minReturn, left/returnPart)
}

// Promise returns the time after which a refused caller is told to return, given the time that it has left: the earliest time slot
// in which seats are expected to be free that are not promised yet. If there is none, it is the one with the fewest promises in the
// later half: a caller that returns into the same peak displaces a new one, which then returns too. The random value in [0,1)
// spreads the callers over the time slot.
func (q *Queue) Promise(now time.Time, left time.Duration, running, seats int, random float64) time.Duration {
	longest := min(maxReturn, left/returnPart)
	if longest <= minReturn {
		return max(longest, time.Millisecond)
	}
	current := now.UnixNano() / int64(returnSlot)
	q.advance(current)
	first := current + int64(minReturn/returnSlot)
	last := max(current+int64(longest/returnSlot)-1, first)
	expected := q.spareRate(running, seats) * returnSlot.Seconds()
	best := (first + last) / 2
	for slot := first; slot <= last; slot++ {
		if q.promised[slot%int64(returnSlots)]+1 <= expected {
			best = slot
			break
		}
		if slot > best && q.promised[slot%int64(returnSlots)] < q.promised[best%int64(returnSlots)] {
			best = slot
		}
	}
	q.promised[best%int64(returnSlots)]++
	wait := time.Duration(best-current)*returnSlot + time.Duration(random*float64(returnSlot))
	return min(max(wait, minReturn), longest)
}

// spareRate returns the seats a second that are expected to become free beyond those that arriving requests take.
func (q *Queue) spareRate(running, seats int) float64 {
	return max(q.rate(q.own, running, seats, q.entries)-q.arrivals/paceTime.Seconds(), 0)
}

// advance drops the promises of time slots that have passed.
func (r *returns) advance(current int64) {
	if current-r.base > int64(returnSlots) {
		r.promised, r.base = [returnSlots]float64{}, current
	}
	for ; r.base < current; r.base++ {
		r.promised[r.base%int64(returnSlots)] = 0
	}
}
