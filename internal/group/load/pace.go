package load

import (
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

const (
	// paceLifetime is the time for which the last report of a pace counts.
	paceLifetime = 3 * time.Second
	// maxVacateTime is the time for which a rank may load experts of very slow ranks in one switch. One rank of 12 that is twelve
	// times slower holds two experts for each other rank; a switch for each would keep the group slow for another half second.
	maxVacateTime = 400 * time.Millisecond
	// returnTime is the time after a rank was very slow in which it may load more experts than usual in one switch.
	returnTime = 5 * time.Second
	// maxEmptyFailures is the number of consecutive switches to a map with a rank without experts that may fail before each rank
	// keeps at least one expert of each set, in case the engines refuse such maps.
	maxEmptyFailures = 2
)

// paces tracks how slow the ranks are.
type paces struct {
	reported map[int]reportedPace
	// emptyFailures counts the consecutive failed switches to a map with a rank without experts, in emptyEpoch.
	emptyFailures int
	emptyEpoch    uint64
	// emptyVersion is the version of the latest such map, or zero once its switch has ended.
	emptyVersion uint64
}

type reportedPace struct {
	epoch uint64
	pace  float64
	at    time.Time
	// slowAt is when the rank was last very slow.
	slowAt time.Time
}

// SetPace records the pace that the engine of a rank reported in an epoch.
func (p *Planner) SetPace(now time.Time, rank int, epoch uint64, pace float64) {
	v := reportedPace{epoch: epoch, pace: hold.BoundPace(pace), at: now, slowAt: p.paces.reported[rank].slowAt}
	if v.pace >= hold.VerySlowPace {
		v.slowAt = now
	}
	p.paces.reported[rank] = v
}

// Slowness returns the factor by which each rank is slower than the fastest, or nil if no rank is slow.
func (p *Planner) Slowness(now time.Time, epoch uint64, size int) []float64 {
	slowness := slices.Repeat([]float64{1}, size)
	for r := range slowness {
		v, ok := p.paces.reported[r]
		if ok && v.epoch == epoch && v.pace >= hold.SlowPace && now.Sub(v.at) <= paceLifetime {
			slowness[r] = v.pace
		}
	}
	if size == 0 || slices.Max(slowness) == slices.Min(slowness) {
		return nil
	}
	// The loads of ranks of the same pace are comparable without it, also if all are slow.
	fastest := slices.Min(slowness)
	for r := range slowness {
		slowness[r] /= fastest
	}
	return slowness
}

func countSlow(slowness []float64) (n int) {
	for _, v := range slowness {
		if v > 1 {
			n++
		}
	}
	return n
}

// minLoad returns the weight of a set's counts that a decision needs. A slow rank delays all ranks, so fewer requests are counted
// while its effect exceeds random variation of the counts by far.
func (p *Planner) minLoad(slowness []float64) float64 {
	minimum := minCounts * float64(p.Experts.Count)
	if slowness == nil {
		return minimum
	}
	return minimum / slices.Max(slowness)
}

// vacateLoads returns the number of experts that a rank may load in one switch so that very slow ranks can give up theirs: the
// part of each other rank and one more, because not every rank has places for its part.
func (p *Planner) vacateLoads(maps []*balance.Placement, slowness []float64) int {
	experts := heldBySlow(maps, slowness)
	if experts == 0 {
		return 0
	}
	others := 0
	for _, v := range slowness {
		if v < balance.VerySlow {
			others++
		}
	}
	needed := (experts+others-1)/max(1, others) + 1
	return min(needed, max(1, int(maxVacateTime/p.loadTime())))
}

// returnLoads returns the number of experts that a rank may load in one switch after it was very slow, or zero if it has not been:
// one of each set of which it holds none.
func (p *Planner) returnLoads(now time.Time, maps []*balance.Placement, rank int) (loads int) {
	if now.Sub(p.paces.reported[rank].slowAt) > returnTime {
		return 0
	}
	for _, m := range maps {
		if len(m.Ranks[rank]) == 0 {
			loads++
		}
	}
	return min(loads, max(1, int(maxVacateTime/p.loadTime())))
}

// heldBySlow returns the number of experts of all sets that very slow ranks hold.
func heldBySlow(maps []*balance.Placement, slowness []float64) (experts int) {
	for r, v := range slowness {
		if v < balance.VerySlow {
			continue
		}
		for _, m := range maps {
			experts += len(m.Ranks[r])
		}
	}
	return experts
}

// vacates reports whether a decision moves experts off very slow ranks without making steps longer.
func vacates(d *Decision, before, after []*balance.Placement, slowness []float64) bool {
	return heldBySlow(after, slowness) < heldBySlow(before, slowness) && d.NextStepTime <= d.StepTime
}

// recordEmpty records the outcome of the latest switch to a map with a rank without experts, given the version in use.
func (p *paces) recordEmpty(epoch, version uint64) {
	if p.emptyEpoch != epoch {
		p.emptyEpoch, p.emptyVersion, p.emptyFailures = epoch, 0, 0
	}
	if p.emptyVersion == 0 {
		return
	}
	if p.emptyVersion == version {
		p.emptyFailures = 0
	} else {
		p.emptyFailures++
	}
	p.emptyVersion = 0
}

// hasEmptyRank reports whether a rank holds no expert of a set.
func hasEmptyRank(sets [][][]int) bool {
	return slices.ContainsFunc(sets, func(set [][]int) bool {
		return slices.ContainsFunc(set, func(experts []int) bool { return len(experts) == 0 })
	})
}
