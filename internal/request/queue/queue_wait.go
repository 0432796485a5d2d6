package queue

import (
	"math"
	"time"
)

// Capacity is a target's current width, load and queue limit.
type Capacity struct {
	// Width is the number of requests that the target runs at once; it is above zero.
	Width int
	// Running is the number of requests that are running.
	Running int
	// QueueLimit is the largest number of waiting items.
	QueueLimit int
	// Rate is the number of requests a second that the target takes, or zero if it has no limit. Wait is the time until the
	// limit lets the next one start.
	Rate float64
	Wait time.Duration
}

// startTime returns the time until the target's limit lets an item start that is behind others.
func (c *Capacity) startTime(others int) time.Duration {
	if c.Rate <= 0 {
		return 0
	}
	return c.Wait + time.Duration(float64(others)/c.Rate*float64(time.Second))
}

// Shed removes and returns the items that would miss their deadline, and the last ones beyond the limit.
// The last pushed item must meet its deadline with its full margin.
func (q *Queue) Shed(now time.Time, c Capacity) (dropped []Item) {
	var ahead time.Duration
	kept := 0
	for at := 0; at < len(q.items); {
		v := q.items[at]
		need := v.ServiceTime + v.Margin/2
		if v.sequence == q.sequence {
			need += v.Margin / 2
		}
		end := now.Add(expectedWait(ahead, v.ServiceTime, kept, c) + need)
		if end.After(v.Deadline) {
			dropped = append(dropped, *v)
			q.removeAt(at)
			continue
		}
		ahead += v.ServiceTime
		kept++
		at++
	}
	for len(q.items) > c.QueueLimit {
		last := len(q.items) - 1
		dropped = append(dropped, *q.items[last])
		q.removeAt(last)
	}
	return dropped
}

// expectedWait returns the expected time until an item behind others starts.
func expectedWait(ahead, service time.Duration, position int, c Capacity) time.Duration {
	width, limited := max(c.Width, 1), c.startTime(position)
	if position < width-c.Running {
		return limited
	}
	return max((ahead+service)/time.Duration(width), limited)
}

// DrainTime returns the expected time until the queue is empty.
func (q *Queue) DrainTime(c Capacity) (d time.Duration) {
	for _, v := range q.items {
		d += v.ServiceTime
	}
	return max(d/time.Duration(max(c.Width, 1)), c.startTime(len(q.items)))
}

// Estimate is a moving average of service times and of their mean deviation.
type Estimate struct {
	// mean and spread are in seconds; they are zero until the first observation.
	mean, spread float64
}

const (
	// meanGain and spreadGain are the weights of a new observation.
	meanGain   = 1.0 / 8
	spreadGain = 1.0 / 4
	// marginSpreads is the margin as a multiple of spread.
	marginSpreads = 2
)

// Observe adds a service time.
func (e *Estimate) Observe(d time.Duration) {
	v := d.Seconds()
	if e.mean == 0 {
		e.mean, e.spread = v, v/4
		return
	}
	e.spread += spreadGain * (math.Abs(v-e.mean) - e.spread)
	e.mean += meanGain * (v - e.mean)
}

// ServiceTime returns the expected service time; zero means that none is known.
func (e *Estimate) ServiceTime() time.Duration {
	return time.Duration(e.mean * float64(time.Second))
}

// Margin returns the time beyond ServiceTime that most requests stay within.
func (e *Estimate) Margin() time.Duration {
	return time.Duration(marginSpreads * e.spread * float64(time.Second))
}
