package queue

import (
	"math"
	"time"
)

// Room is what a target can do now.
type Room struct {
	// Width is the number of requests that the target runs at once; it is above zero.
	Width int
	// Running is the number of requests that it runs.
	Running int
	// Limit is the largest number of waiting items.
	Limit int
}

// Shed takes out and returns the items that cannot be on time, and the last ones beyond the limit.
// The newest item must be on time with its margin too.
func (q *Queue) Shed(now time.Time, r Room) (dropped []Item) {
	var ahead time.Duration
	kept := 0
	for at := 0; at < len(q.items); {
		v := q.items[at]
		need := v.Service + v.Margin/2
		if v.sequence == q.sequence {
			need += v.Margin / 2
		}
		end := now.Add(wait(ahead, v.Service, kept, r) + need)
		if end.After(v.Deadline) {
			dropped = append(dropped, *v)
			q.remove(at)
			continue
		}
		ahead += v.Service
		kept++
		at++
	}
	for len(q.items) > r.Limit {
		last := len(q.items) - 1
		dropped = append(dropped, *q.items[last])
		q.remove(last)
	}
	return dropped
}

// wait returns the expected time to the start of an item behind others.
func wait(ahead, service time.Duration, position int, r Room) time.Duration {
	width := max(r.Width, 1)
	if position < width-r.Running {
		return 0
	}
	return (ahead + service) / time.Duration(width)
}

// Drain returns the expected time until nothing waits.
func (q *Queue) Drain(r Room) (d time.Duration) {
	for _, v := range q.items {
		d += v.Service
	}
	return d / time.Duration(max(r.Width, 1))
}

// Estimate is a moving average of service times with their spread.
type Estimate struct {
	// mean and spread are in seconds; they are zero until the first observation.
	mean, spread float64
}

const (
	// meanGain and spreadGain are the weights of a new observation.
	meanGain   = 1.0 / 8
	spreadGain = 1.0 / 4
	// marginSpreads is the margin in spreads.
	marginSpreads = 2
)

// Observe takes in a service time.
func (e *Estimate) Observe(d time.Duration) {
	v := d.Seconds()
	if e.mean == 0 {
		e.mean, e.spread = v, v/4
		return
	}
	e.spread += spreadGain * (math.Abs(v-e.mean) - e.spread)
	e.mean += meanGain * (v - e.mean)
}

// Service returns the expected service time; zero means that none is known.
func (e *Estimate) Service() time.Duration {
	return time.Duration(e.mean * float64(time.Second))
}

// Margin returns the time beyond Service that most requests stay within.
func (e *Estimate) Margin() time.Duration {
	return time.Duration(marginSpreads * e.spread * float64(time.Second))
}
