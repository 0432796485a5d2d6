package seat

import (
	"math"
	"time"
)

const (
	// paceTime is the time constant of the rates and of the usual time for which a seat is held.
	paceTime = 3 * time.Second
	// defaultHold is the usual time for which a seat is held while no request has ended.
	defaultHold = 2.0
	// minHold keeps the rate finite for services that answer at once.
	minHold = 0.001
)

// pace estimates how fast the seats of a service become free.
type pace struct {
	// hold is the moving average of the time for which a seat is held in seconds, or zero if no request has ended.
	hold float64
	// first is the moving average of the time from a seat to the first event or the answer in seconds.
	first float64
	// arrivals, admissions and ends count requests, with exponential decay by paceTime, as of at.
	arrivals, admissions, ends float64
	at                         time.Time
	// scarceAt is when a request was last refused.
	scarceAt time.Time
}

func (p *pace) decay(now time.Time) {
	if elapsed := now.Sub(p.at); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / paceTime.Seconds())
		p.arrivals, p.admissions, p.ends, p.at = p.arrivals*f, p.admissions*f, p.ends*f, now
	}
}

func (p *pace) countArrival(now time.Time) {
	p.decay(now)
	p.arrivals++
}

func (p *pace) countAdmitted() { p.admissions++ }

// countEnded records that a seat was given back. Each ended request has a weight of its part of paceTime.
func (p *pace) countEnded(now time.Time, held time.Duration) {
	p.decay(now)
	p.ends++
	if p.hold == 0 {
		p.hold = held.Seconds()
	}
	p.hold += (held.Seconds() - p.hold) / max(p.ends, 1)
}

// Answered records the time from a seat to the first event of a stream, or to the end of a plain answer.
func (p *pace) Answered(took time.Duration) {
	const weight = 0.1
	if p.first == 0 {
		p.first = took.Seconds()
	}
	p.first += weight * (took.Seconds() - p.first)
}

// Usual returns the usual times from a seat to the first event and for which a seat is held.
func (p *pace) Usual() (first, held time.Duration) {
	return seconds(p.first), seconds(p.usualHold())
}

// usualHold returns the usual time for which a seat is held in seconds.
func (p *pace) usualHold() float64 {
	if p.hold == 0 {
		return defaultHold
	}
	return max(p.hold, minHold)
}

// totalRate returns the seats a second that become free to all entries together.
func (p *pace) totalRate(running, seats int) float64 {
	return float64(max(min(running, seats), 1)) / p.usualHold()
}

// rate returns the seats a second that become free to this entry: those of its own streams, but at least an even part. An entry
// that has just started has no streams.
func (p *pace) rate(own, running, seats, entries int) float64 {
	all := p.totalRate(running, seats)
	if entries <= 1 {
		return all
	}
	return max(float64(own)/p.usualHold(), all/float64(entries))
}

// growth returns the requests by which demand exceeds the seats that become free to this entry, over a time.
func (p *pace) growth(over time.Duration) float64 {
	return max(p.arrivals-p.ends, 0) * over.Seconds() / paceTime.Seconds()
}
