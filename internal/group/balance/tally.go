package balance

import "slices"

// tally keeps the loads of a placement's ranks while a search tries changes of it.
type tally struct {
	*Placement
	// loads are those of the experts.
	loads []float64
	// slowness of each rank; one for an ordinary rank.
	slowness []float64
	// n is the number of replicas of each expert.
	n []int
	// holders lists the ranks of each expert.
	holders [][]int
	// times are those of the ranks.
	times []float64
	// mean is the mean time at the start.
	mean float64
	// potential weighs a time, so that a change is judged by more than the slowest rank.
	potential func(time float64) float64
	// scratch holds the changed times of a candidate, by rank.
	scratch []float64
	touched []int
}

// newTally returns the tally of a copy of a placement; potential is still to be set.
func newTally(p *Placement, loads, slowness []float64) *tally {
	t := &tally{Placement: p.Clone(), loads: loads, slowness: slowness, n: p.Replicas(len(loads))}
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
	t.scratch = slices.Clone(t.times)
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

// shift notes that a rank's load changes in the candidate.
func (t *tally) shift(rank int, load float64) {
	if !slices.Contains(t.touched, rank) {
		t.touched = append(t.touched, rank)
	}
	t.scratch[rank] += load * t.slowness[rank]
}

// exchange notes that two ranks exchange two experts.
func (t *tally) exchange(from, to, expert, other int) {
	difference := t.loads[expert]/float64(t.n[expert]) - t.loads[other]/float64(t.n[other])
	t.shift(from, -difference)
	t.shift(to, difference)
}

// settle returns the fall of the potential and forgets the candidate.
func (t *tally) settle() (gain float64) {
	for _, r := range t.touched {
		gain += t.potential(t.times[r]) - t.potential(t.scratch[r])
		t.scratch[r] = t.times[r]
	}
	t.touched = t.touched[:0]
	return gain
}

// refresh takes the times of the placement as it is now.
func (t *tally) refresh() {
	copy(t.times, t.Times(t.loads, t.slowness))
	copy(t.scratch, t.times)
}
