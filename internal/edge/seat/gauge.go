// Package seat decides how many streams a group of engines takes, and who gets a seat under overload.
package seat

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// aimShare is the mean pause between events that is aimed at, as a part of the longest one on time:
	// the rest is for passes that are longer than the mean.
	aimShare = 0.66
	// memory is the time in which the estimate of the pause forgets most of what it knew.
	memory = 700 * time.Millisecond
	// staleAfter is the age at which the newest pause says nothing of the present.
	staleAfter = 1500 * time.Millisecond
	// usualSkew is the load of the busiest rank over the mean that is assumed without a measurement.
	usualSkew = 1.9
)

// Gauge estimates how many streams a group can have so that their pauses are on time. It is not safe for concurrent use.
type Gauge struct {
	// pause is the smoothed time between two events of a stream.
	pause float64
	// running is the smoothed number of streams while pause was measured.
	running float64
	// seen is the time of the newest pause.
	seen time.Time
}

// Observe takes the time between two events of one stream while so many streams ran in the group.
func (g *Gauge) Observe(now time.Time, pause time.Duration, running int) {
	if now.Sub(g.seen) > staleAfter {
		g.pause, g.running, g.seen = pause.Seconds(), float64(running), now
		return
	}
	// Each stream sees the same passes, so the weight of one pause falls with the number of streams.
	elapsed := pause.Seconds() / math.Max(1, float64(running)/observers)
	weight := 1 - math.Exp(-elapsed/memory.Seconds())
	g.pause += weight * (pause.Seconds() - g.pause)
	g.running += weight * (float64(running) - g.running)
	g.seen = now
}

// observers is a usual number of entries that share the streams of a group.
const observers = 9

// Pause returns the estimated pause, or zero without a recent one.
func (g *Gauge) Pause(now time.Time) time.Duration {
	if now.Sub(g.seen) > staleAfter {
		return 0
	}
	return time.Duration(g.pause * float64(time.Second))
}

// Seats returns the number of streams at which the mean pause reaches its aim.
// A pass grows with the streams from the time of its bare token steps.
func (g *Gauge) Seats(now time.Time, s *site.Service, gap time.Duration, ranks int) int {
	bare := (time.Duration(s.Stride) * s.Step).Seconds()
	each := usualSkew * float64(s.Stride) * s.Sequence.Seconds() / float64(max(ranks, 1))
	if now.Sub(g.seen) <= staleAfter && g.running >= 1 {
		each = math.Max(g.pause-bare, 0) / g.running
	}
	least := float64(s.Stride) * s.Sequence.Seconds() / float64(max(ranks, 1)) / 2
	seats := (aimShare*gap.Seconds() - bare) / math.Max(each, least)
	return max(int(seats), ranks)
}
