package balance

import "slices"

// searchState tracks the step times of a placement's ranks while a search evaluates candidate changes.
type searchState struct {
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

// newSearchState returns the state for a copy of a placement. The caller sets potential.
func newSearchState(p *Placement, loads, slowness []float64) *searchState {
	s := &searchState{Placement: p.Clone(), loads: loads, slowness: slowness, replicas: p.Replicas(len(loads))}
	s.holders = make([][]int, len(loads))
	for r, held := range s.Ranks {
		for _, e := range held {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	s.times = s.Times(loads, slowness)
	for _, v := range s.times {
		s.mean += v / float64(len(s.times))
	}
	s.candidateTimes = slices.Clone(s.times)
	return s
}

// slowest returns the rank with the largest time.
func (s *searchState) slowest() (rank int) {
	for r, v := range s.times {
		if v > s.times[rank] {
			rank = r
		}
	}
	return rank
}

// addLoad adds load to a rank in the candidate; it may be negative.
func (s *searchState) addLoad(rank int, load float64) {
	if !slices.Contains(s.changedRanks, rank) {
		s.changedRanks = append(s.changedRanks, rank)
	}
	s.candidateTimes[rank] += load * s.slowness[rank]
}

// swapLoads adds to the candidate a swap: rank from gives expert to rank to and gets other in exchange.
func (s *searchState) swapLoads(from, to, expert, other int) {
	difference := s.loads[expert]/float64(s.replicas[expert]) - s.loads[other]/float64(s.replicas[other])
	s.addLoad(from, -difference)
	s.addLoad(to, difference)
}

// takeGain returns by how much the candidate lowers the potential, and resets the candidate.
func (s *searchState) takeGain() (gain float64) {
	for _, r := range s.changedRanks {
		gain += s.potential(s.times[r]) - s.potential(s.candidateTimes[r])
		s.candidateTimes[r] = s.times[r]
	}
	s.changedRanks = s.changedRanks[:0]
	return gain
}

// recompute sets the times to those of the changed placement.
func (s *searchState) recompute() {
	copy(s.times, s.Times(s.loads, s.slowness))
	copy(s.candidateTimes, s.times)
}
