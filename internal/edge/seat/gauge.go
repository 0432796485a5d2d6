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
	meanShare  = 0.85
	worstShare = 0.95
	// meanMemory and passMemory are the times in which the estimates of the mean and of the newest passes
	// forget most of what they knew.
	meanMemory = 700 * time.Millisecond
	passMemory = 80 * time.Millisecond
	// worstHalfLife is the time in which the slowest pass counts half: demand shifts every few seconds, passes are slow
	// from each shift to the next map, and between two shifts the estimate must not forget that.
	worstHalfLife = 60 * time.Second
	// worstFactor is the largest time of a pass, over that of an even group, which is put down to a shift of demand:
	// about 2.3 from the skew, and the rest from prompts and copies. What is above it is a fault, such as a slow engine,
	// which only counts while it lasts.
	worstFactor = 2.9
	// staleAfter is the age at which the newest pause says nothing of the present.
	staleAfter = 1500 * time.Millisecond
	// stallGaps is the pause, in longest pauses on time, from which it is a fault and not load that delays a stream.
	stallGaps = 3
	// usualFactor is the time of a pass over that of an even group that is assumed without a measurement.
	usualFactor = 1.9
	// observers is a usual number of entries that share the streams of a group.
	observers = 9
)

// Estimator estimates how many streams a group can have so that their pauses are on time. It is not safe for concurrent use.
// All work of a pass takes longer by the same factor while the experts' loads are uneven.
type Estimator struct {
	// pause is the smoothed time between two events of a stream.
	pause float64
	// mean and pass are the smoothed factors of all passes and of the newest ones only.
	mean, pass float64
	// worst is the largest factor, which fades.
	worst float64
	// seen is the time of the newest pause.
	seen time.Time
}

// Observe takes the time between two events of one stream while so many streams ran in the group.
func (g *Estimator) Observe(now time.Time, pause time.Duration, running, ranks int, s *site.Service, gap time.Duration) {
	if running < 1 || pause > stallGaps*gap {
		return
	}
	seconds := pause.Seconds()
	factor := seconds / (bare(s) + each(s, ranks)*float64(running))
	if now.Sub(g.seen) > staleAfter {
		g.pause, g.mean, g.pass = seconds, factor, factor
	}
	g.worst = g.faded(now)
	g.seen = now
	// Each stream sees the same passes, so the weight of one pause falls with the number of streams.
	elapsed := seconds / math.Max(1, float64(running)/observers)
	g.pause += weight(elapsed, meanMemory) * (seconds - g.pause)
	g.mean += weight(elapsed, meanMemory) * (factor - g.mean)
	g.pass += weight(elapsed, passMemory) * (factor - g.pass)
	g.worst = math.Min(math.Max(g.worst, g.pass), worstFactor)
}

// faded returns the largest factor as it counts now.
func (g *Estimator) faded(now time.Time) float64 {
	return g.worst * math.Exp2(-now.Sub(g.seen).Seconds()/worstHalfLife.Seconds())
}

func weight(elapsed float64, memory time.Duration) float64 {
	return 1 - math.Exp(-elapsed/memory.Seconds())
}

// bare returns the time of a pass without streams, in seconds.
func bare(s *site.Service) float64 {
	return (time.Duration(s.Stride) * s.Step).Seconds()
}

// each returns the time that one stream adds to a pass of an even group, in seconds.
func each(s *site.Service, ranks int) float64 {
	return float64(s.Stride) * s.Sequence.Seconds() / float64(max(ranks, 1))
}

// Pause returns the estimated pause, or zero without a recent one.
func (g *Estimator) Pause(now time.Time) time.Duration {
	if now.Sub(g.seen) > staleAfter {
		return 0
	}
	return time.Duration(g.pause * float64(time.Second))
}

// Seats returns the number of streams at which the mean pause, or that of the slowest passes, reaches its aim.
func (g *Estimator) Seats(now time.Time, s *site.Service, gap time.Duration, ranks int) int {
	mean := usualFactor
	if now.Sub(g.seen) <= staleAfter {
		mean = math.Max(g.mean, 1)
	}
	pass := meanShare * gap.Seconds() / mean
	if worst := g.faded(now); worst > 1 {
		pass = math.Min(pass, worstShare*gap.Seconds()/worst)
	}
	return max(int((pass-bare(s))/each(s, ranks)), ranks)
}
