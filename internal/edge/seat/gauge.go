// Package seat decides how many streams a group of engines takes, and who gets a seat under overload.
package seat

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// meanShare is the mean pause between events that is aimed at, and worstShare that of the slowest passes
	// that are expected, as parts of the longest pause on time. One longer pass makes every stream late.
	meanShare  = 0.75
	worstShare = 0.95
	// meanMemory and passMemory are the times in which the estimates of the mean and of the newest passes
	// forget most of what they knew.
	meanMemory = 700 * time.Millisecond
	passMemory = 80 * time.Millisecond
	// worstHalfLife is the time in which the slowest pass counts half: demand shifts every few seconds, passes are slow
	// from each shift to the next map, and between two shifts the estimate must not forget that.
	worstHalfLife = 20 * time.Second
	// worstSkew is the largest time that one stream adds to a pass, over that in an even group, which is put down to a
	// shift of demand: about three times from the skew, and the rest from prompts and copies. What is above it is a fault,
	// such as a slow engine, which only counts while it lasts.
	worstSkew = 4.5
	// staleAfter is the age at which the newest pause says nothing of the present.
	staleAfter = 1500 * time.Millisecond
	// stallGaps is the pause, in longest pauses on time, from which it is a fault and not load that delays a stream.
	stallGaps = 3
	// usualSkew is the time of a pass over that of an even group that is assumed without a measurement.
	usualSkew = 1.9
	// observers is a usual number of entries that share the streams of a group.
	observers = 9
)

// Gauge estimates how many streams a group can have so that their pauses are on time. It is not safe for concurrent use.
type Gauge struct {
	// pause and running are the smoothed time between two events of a stream, and the streams meanwhile.
	pause, running float64
	// pass is the same for the newest passes only.
	pass float64
	// worst is the largest time that one stream added to a pass, which fades.
	worst float64
	// seen is the time of the newest pause.
	seen time.Time
}

// Observe takes the time between two events of one stream while so many streams ran in the group.
func (g *Gauge) Observe(now time.Time, pause time.Duration, running, ranks int, s *site.Service, gap time.Duration) {
	if running < 1 || pause > stallGaps*gap {
		return
	}
	seconds := pause.Seconds()
	if now.Sub(g.seen) > staleAfter {
		g.pause, g.pass, g.running = seconds, seconds, float64(running)
	}
	g.worst *= math.Exp2(-now.Sub(g.seen).Seconds() / worstHalfLife.Seconds())
	g.seen = now
	// Each stream sees the same passes, so the weight of one pause falls with the number of streams.
	elapsed := seconds / math.Max(1, float64(running)/observers)
	g.pause += weight(elapsed, meanMemory) * (seconds - g.pause)
	g.running += weight(elapsed, meanMemory) * (float64(running) - g.running)
	g.pass += weight(elapsed, passMemory) * (seconds - g.pass)
	g.worst = math.Max(g.worst, (g.pass-bare(s))/float64(max(running, fewest)))
	g.worst = math.Min(g.worst, worstSkew*even(s, ranks))
}

// fewest is the number of streams below which the time that one adds is not told apart from that of the prompts.
const fewest = 24

func weight(elapsed float64, memory time.Duration) float64 {
	return 1 - math.Exp(-elapsed/memory.Seconds())
}

// bare returns the time of a pass without streams, in seconds.
func bare(s *site.Service) float64 {
	return (time.Duration(s.Stride) * s.Step).Seconds()
}

// even returns the time that one stream adds to a pass of an even group, in seconds.
func even(s *site.Service, ranks int) float64 {
	return float64(s.Stride) * s.Sequence.Seconds() / float64(max(ranks, 1))
}

// Pause returns the estimated pause, or zero without a recent one.
func (g *Gauge) Pause(now time.Time) time.Duration {
	if now.Sub(g.seen) > staleAfter {
		return 0
	}
	return time.Duration(g.pause * float64(time.Second))
}

// Seats returns the number of streams at which the mean pause, or that of the slowest passes, reaches its aim.
// A pass grows with the streams from the time of its bare token steps.
func (g *Gauge) Seats(now time.Time, s *site.Service, gap time.Duration, ranks int) int {
	mean := usualSkew * even(s, ranks)
	if now.Sub(g.seen) <= staleAfter && g.running >= 1 {
		mean = math.Max((g.pause-bare(s))/g.running, even(s, ranks)/2)
	}
	seats := (meanShare*gap.Seconds() - bare(s)) / mean
	faded := g.worst * math.Exp2(-now.Sub(g.seen).Seconds()/worstHalfLife.Seconds())
	if faded > mean {
		seats = math.Min(seats, (worstShare*gap.Seconds()-bare(s))/faded)
	}
	return max(int(seats), ranks)
}
