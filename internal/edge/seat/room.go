package seat

import (
	"math"
	"time"
)

const (
	// defaultNewsAge is the usual age of what an entry knows of the others.
	defaultNewsAge = 100 * time.Millisecond
	// maxNewsAges is the time, in news ages, after which unchanged news counts as new.
	maxNewsAges = 3
	// evenShare is the fraction of the difference to its even part by which an entry moves at each news while no seat is free. Without
	// it the parts drift apart, since each entry replaces its own streams, and one that has just started would get no seat.
	evenShare = 0.2
	// yieldStep is the rise of the yield at each news without a free seat.
	yieldStep = 0.05
	// trendTime is the time constant of the trend of the others' streams, and maxTrendGap the age of news that says nothing of it.
	trendTime   = time.Second
	maxTrendGap = 10 * time.Second
	// spread is the step by which the fractions of successive news are rounded: multiples of the golden ratio fill the unit interval
	// evenly. phases of the entries differ, so that they do not all take the same seat.
	spread = 0.6180339887498949
)

// room is the part of a service's seats that an entry may use.
//
// Entries learn late of each other. Each one therefore replaces its own ended streams at once, and of the seats that news shows as
// free takes all if the others can't fill them before the next news, and otherwise its part of them.
type room struct {
	// own is the number of the entry's own streams, and entries that of live entries; zero or one means that it is alone.
	own, entries int
	// age is the usual age of what is known of the others.
	age time.Duration
	// known is the number of the others' streams as last seen, others that in the latest news that was taken over, at newsAt.
	known, others int
	newsAt        time.Time
	// limit is the number of own streams up to which a request gets a seat until the next news.
	limit int
	// boost multiplies the entry's part of free seats. It rises while seats stay free, since some entries have no use for their part.
	boost float64
	// yield is the part of evenShare by which the entry moves, from zero to one. It falls while seats stay free, since the others then
	// do not need what this entry has given up.
	yield float64
	// assumed is the number of seats that all entries together have probably taken and that news does not show yet.
	assumed float64
	// trend is the growth of the others' streams in a second.
	trend float64
	// phase rounds fractions of seats.
	phase float64
}

// SetPart sets the number of the entry's own streams, the number of live entries, the usual age of what is known of the others,
// and a phase in [0,1) that differs between the entries.
func (r *room) SetPart(own, entries int, age time.Duration, phase float64) {
	r.own, r.entries, r.age = own, entries, age
	if r.newsAt.IsZero() {
		r.phase = phase
	}
}

// refreshRoom takes over news of the other entries, if there is any.
func (q *Queue) refreshRoom(now time.Time, running, seats, waiting int) {
	r := &q.room
	if r.entries <= 1 {
		return
	}
	r.known = running - r.own
	age := r.age
	if age <= 0 {
		age = defaultNewsAge
	}
	elapsed := now.Sub(r.newsAt)
	if elapsed < age/2 || r.known == r.others && elapsed < maxNewsAges*age {
		return
	}
	r.assumed *= math.Exp(-max(elapsed.Seconds(), 0) / age.Seconds())
	if !r.newsAt.IsZero() && elapsed < maxTrendGap {
		r.trend += min(elapsed.Seconds()/trendTime.Seconds(), 1) * (float64(r.known-r.others)/elapsed.Seconds() - r.trend)
	} else {
		r.trend = 0
	}
	r.others, r.newsAt = r.known, now
	part := float64(seats) / float64(r.entries)
	free := float64(seats-running) - r.assumed
	hungry := waiting > 0 || now.Sub(q.scarceAt) < scarceTime
	switch {
	case free <= 0:
		r.boost = max(r.boost/2, 1)
		over := float64(max(running-seats, 0))
		change := -over * float64(r.own) / float64(max(running, 1))
		if float64(r.own) > part || hungry {
			change += evenShare * r.yield * (part - float64(r.own))
		}
		r.yield = min(r.yield+yieldStep, 1)
		r.limit = r.own + r.round(change)
	case !hungry:
		r.boost = 1
		r.limit = r.own + max(int(free-max(r.trend, 0)*age.Seconds()), r.round(free/float64(r.entries)))
	default:
		r.boost = min(max(r.boost, 1)*2, float64(r.entries))
		if float64(r.own) > part {
			r.yield /= 2
		}
		own := free * r.boost / float64(r.entries)
		take := min(max(own, free-float64(r.entries-1)*q.growth(age)-float64(r.entries*waiting)), free)
		if take < free {
			r.assumed += min(own*float64(r.entries), free)
		}
		r.limit = r.own + r.round(take)
	}
}

// round rounds a number of seats up or down, such that the mean of many is right.
func (r *room) round(v float64) int {
	r.phase = math.Mod(r.phase+spread, 1)
	return int(math.Floor(v + r.phase))
}

// hasRoom reports whether the entry may use one more seat.
func (r *room) hasRoom(running, seats int) bool {
	_, free := r.ownSeats(running, seats)
	return free > 0
}

// ownSeats returns the number of seats that the entry may use, and how many of them are free.
func (r *room) ownSeats(running, seats int) (total, free int) {
	if r.entries <= 1 {
		return seats, seats - running
	}
	return r.limit, r.limit - (running - r.known)
}
