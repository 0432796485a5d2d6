package balance

import (
	"cmp"
	"math"
	"slices"
)

// VerySlow is the slowness from which a rank gives up all experts, as far as the places of the other ranks allow. What such a
// rank could still hold is at most a third of the mean load, and it would delay every step as soon as demand shifts to it.
const VerySlow = 3

// SlowSkew returns the largest time of a rank divided by the mean time of equally fast ranks. Slowness may be nil.
func SlowSkew(p *Placement, loads, slowness []float64) float64 {
	if slowness == nil {
		return Skew(p.Times(loads, nil))
	}
	mean := meanLoad(p.Times(loads, nil))
	if mean == 0 {
		return 1
	}
	return slices.Max(p.Times(loads, slowness)) / mean
}

func meanLoad(times []float64) (mean float64) {
	for _, t := range times {
		mean += t / float64(len(times))
	}
	return mean
}

func (s *reliefSearch) verySlow(rank int) bool {
	return s.slowness[rank] >= VerySlow
}

// Vacate moves the experts of very slow ranks to other ranks, unless the group would become slower by it. It returns the new map
// and the number of loaded experts.
func Vacate(o ReliefOptions, current *Placement, loads []float64) (next *Placement, loaded int) {
	s := newReliefSearch(o, current, loads)
	if s.mean == 0 {
		return current, 0
	}
	for rank := range s.Ranks {
		if s.verySlow(rank) {
			s.vacate(rank)
		}
	}
	for _, held := range s.Ranks {
		slices.Sort(held)
	}
	return s.Placement, Moves(current, s.Placement)
}

func (s *reliefSearch) vacate(rank int) {
	for _, expert := range s.byLoad(rank) {
		if s.KeepOne && len(s.Ranks[rank]) == 1 {
			return
		}
		if c, ok := s.bestExit(rank, expert); ok {
			s.apply(c)
		}
	}
}

// byLoad returns the experts of a rank, those with the largest load first.
func (s *reliefSearch) byLoad(rank int) []int {
	experts := slices.Clone(s.Ranks[rank])
	slices.SortFunc(experts, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.loads[b]/float64(s.replicas[b]), s.loads[a]/float64(s.replicas[a])), a-b)
	})
	return experts
}

// bestExit returns the change by which a very slow rank gives up an expert with the least cost for the others, and whether there
// is one that makes no rank slower than the slowest is now. A drop is preferred, because it loads no expert.
func (s *reliefSearch) bestExit(from, expert int) (best reliefChange, ok bool) {
	best.gain = math.Inf(-1)
	if s.replicas[expert] > 1 {
		s.setReplicas(expert, s.replicas[expert]-1, from)
		s.addLoad(from, -s.loads[expert]/float64(s.replicas[expert]))
		s.considerExit(&best, reliefChange{from: from, expert: expert, to: -1, other: -1})
		if !math.IsInf(best.gain, -1) {
			return best, true
		}
	}
	for _, to := range s.receivers() {
		if slices.Contains(s.Ranks[to], expert) || !s.canAdd(to) {
			continue
		}
		if len(s.Ranks[to]) < s.Capacity {
			s.considerMove(&best, from, expert, to, -1)
			continue
		}
		for _, other := range s.Ranks[to] {
			if s.replicas[other] > 1 {
				s.considerMove(&best, from, expert, to, other)
			}
		}
	}
	return best, !math.IsInf(best.gain, -1)
}

func (s *reliefSearch) considerMove(best *reliefChange, from, expert, to, other int) {
	load := s.loads[expert] / float64(s.replicas[expert])
	s.addLoad(from, -load)
	s.addLoad(to, load)
	if other >= 0 {
		s.setReplicas(other, s.replicas[other]-1, to)
		s.addLoad(to, -s.loads[other]/float64(s.replicas[other]))
	}
	s.considerExit(best, reliefChange{from: from, expert: expert, to: to, other: other, move: true})
}

// considerExit takes the candidate if it is better than the best change and makes no rank slower than the slowest is now.
func (s *reliefSearch) considerExit(best *reliefChange, c reliefChange) {
	worst := 0.0
	for _, r := range s.changedRanks {
		worst = max(worst, s.candidateTimes[r])
	}
	c.gain = s.takeGain()
	if worst <= s.maxTime() && c.gain > best.gain {
		*best = c
	}
}
