package balance

import "slices"

// tally tracks the step times of a placement's ranks while a search evaluates candidate changes.
type tally struct {
	*Placement
	// loads is the load of each expert.
	loads []float64
	// slowness is the factor on the step time of each rank; 1 for an ordinary rank.
	slowness []float64
	// replicas counts the replicas of each expert.
	replicas []int
	// holders lists the ranks that hold each expert.
	holders [][]int
	// times is the step time of each rank.
	times []float64
	// mean is the mean step time before any change.
	mean float64
	// potential is the cost of a step time. Summed over the ranks, it rates a change by more than the slowest rank.
	potential func(time float64) float64
	// candidateTimes is times with the candidate change applied, which affects changedRanks.
	candidateTimes []float64
	changedRanks   []int
}

// newTally returns a tally of a copy of a placement. The caller sets potential.
func newTally(p *Placement, loads, slowness []float64) *tally {
	t := &tally{Placement: p.Clone(), loads: loads, slowness: slowness, replicas: p.Replicas(len(loads))}
	t.holders = make([][]int, len(loads))
	for r, held := range t.Ranks {
		for _, e := range held {
			t.holders[e] = append(t.holders[e], r)
		}
	}
	t.times = t.Times(loads, slowness)
	for _, v := range t.times {
		t.mean += v / float64(len(t.times))
	}
	t.candidateTimes = slices.Clone(t.times)
	return t
}

// slowest returns the rank with the largest time.
func (t *tally) slowest() (rank int) {
	for r, v := range t.times {
		if v > t.times[rank] {
			rank = r
		}
	}
	return rank
}

// addLoad adds load to a rank in the candidate; it may be negative.
func (t *tally) addLoad(rank int, load float64) {
	if !slices.Contains(t.changedRanks, rank) {
		t.changedRanks = append(t.changedRanks, rank)
	}
	t.candidateTimes[rank] += load * t.slowness[rank]
}

// swapLoads adds to the candidate a swap: rank from gives expert to rank to and gets other in exchange.
func (t *tally) swapLoads(from, to, expert, other int) {
	difference := t.loads[expert]/float64(t.replicas[expert]) - t.loads[other]/float64(t.replicas[other])
	t.addLoad(from, -difference)
	t.addLoad(to, difference)
}

// takeGain returns by how much the candidate lowers the potential, and resets the candidate.
func (t *tally) takeGain() (gain float64) {
	for _, r := range t.changedRanks {
		gain += t.potential(t.times[r]) - t.potential(t.candidateTimes[r])
		t.candidateTimes[r] = t.times[r]
	}
	t.changedRanks = t.changedRanks[:0]
	return gain
}

// recompute sets the times to those of the changed placement.
func (t *tally) recompute() {
	copy(t.times, t.Times(t.loads, t.slowness))
	copy(t.candidateTimes, t.times)
}
