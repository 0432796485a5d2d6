package balance

import (
	"math"
	"slices"
)

// search improves a placement by greedy changes, each of which takes load off the slowest rank.
type search struct {
	*searchState
}

func newSearch(p *Placement, loads, slowness []float64) *search {
	s := &search{searchState: newSearchState(p, loads, slowness)}
	s.potential = s.sixteenthPower
	return s
}

// change replaces other by expert on rank; in a swap, from gets other in exchange.
type change struct {
	rank, expert, other int
	// from is the rank that swaps expert for other, or negative if expert gets one more replica.
	from int
	// gain is the reduction of the potential per loaded expert.
	gain float64
}

// cost returns the number of experts that the change loads.
func (c change) cost() int {
	if c.from >= 0 {
		return 2
	}
	return 1
}

// sixteenthPower is a potential that the slowest ranks dominate.
func (s *search) sixteenthPower(time float64) float64 {
	x := time / s.mean
	x *= x
	x *= x
	x *= x
	return x * x
}

// replaceGain returns the gain if rank replaces a spare replica of other by one more replica of expert.
func (s *search) replaceGain(rank, expert, other int) float64 {
	e, o := s.loads[expert], s.loads[other]
	for _, r := range s.holders[expert] {
		s.addLoad(r, e/float64(s.replicas[expert]+1)-e/float64(s.replicas[expert]))
	}
	for _, r := range s.holders[other] {
		if r != rank {
			s.addLoad(r, o/float64(s.replicas[other]-1)-o/float64(s.replicas[other]))
		}
	}
	s.addLoad(rank, e/float64(s.replicas[expert]+1)-o/float64(s.replicas[other]))
	return s.takeGain()
}

// swapGain returns the gain if expert on from and other on rank are swapped.
func (s *search) swapGain(from, rank, expert, other int) float64 {
	s.swapLoads(from, rank, expert, other)
	return s.takeGain()
}

// bestChange returns the change at the slowest rank with the largest gain per loaded expert, and whether it gains anything.
func (s *search) bestChange() (best change, ok bool) {
	slowest := s.slowest()
	for _, expert := range s.Ranks[slowest] {
		for rank, held := range s.Ranks {
			if rank == slowest || slices.Contains(held, expert) {
				continue
			}
			for _, other := range held {
				s.considerChanges(&best, slowest, rank, expert, other)
			}
		}
	}
	return best, best.gain > 0
}

func (s *search) considerChanges(best *change, slowest, rank, expert, other int) {
	if s.replicas[other] > 1 {
		t := change{rank: rank, expert: expert, other: other, from: -1, gain: s.replaceGain(rank, expert, other)}
		if t.gain > best.gain {
			*best = t
		}
	}
	if slices.Contains(s.Ranks[slowest], other) {
		return
	}
	t := change{rank: rank, expert: expert, other: other, from: slowest, gain: s.swapGain(slowest, rank, expert, other) / 2}
	if t.gain > best.gain {
		*best = t
	}
}

// apply applies a change to the placement.
func (s *search) apply(c change) {
	s.replaceExpert(c.rank, c.other, c.expert)
	if c.from >= 0 {
		s.replaceExpert(c.from, c.expert, c.other)
	}
	s.replicas[c.expert], s.replicas[c.other] = len(s.holders[c.expert]), len(s.holders[c.other])
	s.recompute()
}

func (s *search) replaceExpert(rank, old, expert int) {
	held := s.Ranks[rank]
	held[slices.Index(held, old)] = expert
	s.holders[old] = slices.DeleteFunc(s.holders[old], func(r int) bool { return r == rank })
	s.holders[expert] = append(s.holders[expert], rank)
}

// skew returns the largest time over the initial mean time, so that values before and after a change compare.
func (s *search) skew() float64 {
	worst := math.Inf(-1)
	for _, t := range s.times {
		worst = math.Max(worst, t)
	}
	return worst / s.mean
}
