package balance

import (
	"math"
	"slices"
)

// search improves a placement by single changes, each from the slowest rank.
type search struct {
	*tally
}

func newSearch(p *Placement, loads, slowness []float64) *search {
	s := &search{tally: newTally(p, loads, slowness)}
	s.potential = s.sixteenth
	return s
}

// step is one change: rank gets expert in the place of other; from gets other back when it is swapped.
type step struct {
	rank, expert, other int
	// from is the rank that gives expert away for other, or negative when a replica is added.
	from int
	// gain is the fall of the potential.
	gain float64
}

// cost returns the number of experts that the change loads.
func (t step) cost() int {
	if t.from >= 0 {
		return 2
	}
	return 1
}

// sixteenth is the sixteenth power, so that the slowest ranks weigh most.
func (s *search) sixteenth(time float64) float64 {
	x := time / s.mean
	x *= x
	x *= x
	x *= x
	return x * x
}

// replace returns the gain when rank drops a spare replica of other for one more of expert.
func (s *search) replace(rank, expert, other int) float64 {
	e, o := s.loads[expert], s.loads[other]
	for _, r := range s.holders[expert] {
		s.shift(r, e/float64(s.n[expert]+1)-e/float64(s.n[expert]))
	}
	for _, r := range s.holders[other] {
		if r != rank {
			s.shift(r, o/float64(s.n[other]-1)-o/float64(s.n[other]))
		}
	}
	s.shift(rank, e/float64(s.n[expert]+1)-o/float64(s.n[other]))
	return s.settle()
}

// swap returns the gain when two ranks exchange two experts.
func (s *search) swap(from, rank, expert, other int) float64 {
	s.exchange(from, rank, expert, other)
	return s.settle()
}

// best returns the change with the largest gain for its cost.
func (s *search) best() (best step, ok bool) {
	slowest := s.slowest()
	for _, expert := range s.Ranks[slowest] {
		for rank, held := range s.Ranks {
			if rank == slowest || slices.Contains(held, expert) {
				continue
			}
			for _, other := range held {
				s.consider(&best, slowest, rank, expert, other)
			}
		}
	}
	return best, best.gain > 0
}

func (s *search) consider(best *step, slowest, rank, expert, other int) {
	if s.n[other] > 1 {
		t := step{rank: rank, expert: expert, other: other, from: -1, gain: s.replace(rank, expert, other)}
		if t.gain > best.gain {
			*best = t
		}
	}
	if slices.Contains(s.Ranks[slowest], other) {
		return
	}
	t := step{rank: rank, expert: expert, other: other, from: slowest, gain: s.swap(slowest, rank, expert, other) / 2}
	if t.gain > best.gain {
		*best = t
	}
}

// apply makes a change.
func (s *search) apply(t step) {
	s.put(t.rank, t.other, t.expert)
	if t.from >= 0 {
		s.put(t.from, t.expert, t.other)
	}
	s.n[t.expert], s.n[t.other] = len(s.holders[t.expert]), len(s.holders[t.other])
	s.refresh()
}

func (s *search) put(rank, old, expert int) {
	held := s.Ranks[rank]
	held[slices.Index(held, old)] = expert
	s.holders[old] = slices.DeleteFunc(s.holders[old], func(r int) bool { return r == rank })
	s.holders[expert] = append(s.holders[expert], rank)
}

// skew returns the largest time over the mean time of the start, so that gains compare.
func (s *search) skew() float64 {
	worst := math.Inf(-1)
	for _, t := range s.times {
		worst = math.Max(worst, t)
	}
	return worst / s.mean
}
