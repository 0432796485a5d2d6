// Package seat limits the streams of a group of engines and decides which requests get a seat under overload.
package seat

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// meanGapShare limits the mean gap between events, and slowGapShare the gap in the slowest recent passes,
	// as fractions of the longest gap on time. A single pass above the longest gap makes every stream late.
	meanGapShare = 0.85
	slowGapShare = 0.95
	// meanTimeConstant and recentTimeConstant are the time constants of the moving averages meanBase and recentBase.
	meanTimeConstant   = 700 * time.Millisecond
	recentTimeConstant = 80 * time.Millisecond
	// slowHalfLife is the half-life of the excess of slowBase over meanBase. Demand shifts every few seconds, and passes are
	// slow from each shift until the next expert map.
	slowHalfLife = 5 * time.Second
	// streamSkew is the load of the busiest rank relative to the mean one, by which the time that a stream adds to a pass exceeds
	// its time in a balanced group.
	streamSkew = 2
	// staleAfter is the age above which the latest observation no longer counts as current.
	staleAfter = 1500 * time.Millisecond
	// defaultBase is the base time of a pass, relative to the time of its steps, that is assumed without a recent observation:
	// prompts are read in between.
	defaultBase = 1.3
)

// Estimator estimates how many streams a group can run with gaps on time. It is not safe for concurrent use.
//
// A pass is a run of Stride token steps, after which each stream gets an event, so the gap between two events is
// the time of a pass. It consists of a base time, which does not depend on the streams that run (the steps themselves, the reading of
// prompts, waits of the whole group), and a time for each stream. Only the latter becomes less when fewer streams are admitted.
//
// The load that it answers: more streams than the group can serve on time, while passes are also slow for other reasons.
type Estimator struct {
	// meanGap is the moving average of the gap between two events of a stream, in seconds.
	meanGap float64
	// meanBase and recentBase are moving averages of the base time in seconds over a longer and a shorter time.
	meanBase, recentBase float64
	// slowBase is the largest recentBase, which decays towards meanBase by slowHalfLife.
	slowBase float64
	// observedAt is the time of the latest observation.
	observedAt time.Time
}

// Occupancy is the number of streams that run in a group.
type Occupancy struct {
	// Own streams are those of this entry, and Running ones those of all.
	Own, Running int
	Ranks        int
}

// Observe records the gap between two events of a stream and the streams that were running in the group. A pass that would be
// late without any stream is delayed by a fault, of which the number of seats must not depend: refusals would not make the
// others' answers on time.
func (e *Estimator) Observe(now time.Time, gap time.Duration, o Occupancy, s *site.Service, maxGap time.Duration) {
	if o.Running < 1 {
		return
	}
	seconds := gap.Seconds()
	base := max(seconds-streamPassTime(s, o.Ranks)*float64(o.Running), emptyPassTime(s))
	if base > slowGapShare*maxGap.Seconds() {
		return
	}
	if now.Sub(e.observedAt) > staleAfter {
		e.meanGap, e.meanBase, e.recentBase, e.slowBase = seconds, base, base, base
	}
	e.slowBase = e.decayedSlowBase(now)
	e.observedAt = now
	// The own streams observe the same passes, so the weight of a gap decreases with their number.
	elapsed := seconds / float64(max(o.Own, 1))
	e.meanGap += smoothingWeight(elapsed, meanTimeConstant) * (seconds - e.meanGap)
	e.meanBase += smoothingWeight(elapsed, meanTimeConstant) * (base - e.meanBase)
	e.recentBase += smoothingWeight(elapsed, recentTimeConstant) * (base - e.recentBase)
	e.slowBase = math.Max(e.slowBase, e.recentBase)
}

// decayedSlowBase returns slowBase with the decay since the latest observation.
func (e *Estimator) decayedSlowBase(now time.Time) float64 {
	decay := math.Exp2(-now.Sub(e.observedAt).Seconds() / slowHalfLife.Seconds())
	return e.meanBase + math.Max(e.slowBase-e.meanBase, 0)*decay
}

func smoothingWeight(elapsed float64, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed/timeConstant.Seconds())
}

// emptyPassTime returns the time of a pass without streams, in seconds.
func emptyPassTime(s *site.Service) float64 {
	return (time.Duration(s.Stride) * s.Step).Seconds()
}

// streamPassTime returns the time that each stream adds to a pass, in seconds.
func streamPassTime(s *site.Service, ranks int) float64 {
	return streamSkew * float64(s.Stride) * s.Sequence.Seconds() / float64(max(ranks, 1))
}

// MeanGap returns the mean gap between events, or zero without a recent observation.
func (e *Estimator) MeanGap(now time.Time) time.Duration {
	if now.Sub(e.observedAt) > staleAfter {
		return 0
	}
	return time.Duration(e.meanGap * float64(time.Second))
}

// Seats returns the number of streams at which the mean gap or the gap in the slowest passes reaches its limit;
// it is at least the number of ranks.
func (e *Estimator) Seats(now time.Time, s *site.Service, maxGap time.Duration, ranks int) int {
	meanBase := defaultBase * emptyPassTime(s)
	slowBase := meanBase
	if now.Sub(e.observedAt) <= staleAfter {
		meanBase, slowBase = e.meanBase, e.decayedSlowBase(now)
	}
	streamTime := math.Min(meanGapShare*maxGap.Seconds()-meanBase, slowGapShare*maxGap.Seconds()-slowBase)
	return max(int(streamTime/streamPassTime(s, ranks)), ranks)
}
