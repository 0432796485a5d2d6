package balance

import (
	"math"
	"slices"
)

// search improves a placement by single changes, each from the slowest rank.
type search struct {
	*Placement
	// loads are shares of the whole load.
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
	// scratch holds the changed times of a candidate, by rank.
	scratch []float64
	touched []int
}

func newSearch(p *Placement, loads, slowness []float64) *search {
	s := &search{Placement: p.Clone(), loads: loads, slowness: slowness, n: p.Replicas(len(loads))}
	s.holders = make([][]int, len(loads))
	for r, held := range s.Ranks {
		for _, e := range held {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	s.times = s.Times(loads, slowness)
	for _, t := range s.times {
		s.mean += t / float64(len(s.times))
	}
	s.scratch = slices.Clone(s.times)
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

// potential is the sixteenth power, so that the slowest ranks weigh most.
func (s *search) potential(time float64) float64 {
	x := time / s.mean
	x *= x
	x *= x
	x *= x
	return x * x
}

// shift notes that a rank's time changes in the candidate.
func (s *search) shift(rank int, load float64) {
	if !slices.Contains(s.touched, rank) {
		s.touched = append(s.touched, rank)
	}
	s.scratch[rank] += load * s.slowness[rank]
}

// settle returns the fall of the potential and forgets the candidate.
func (s *search) settle() (gain float64) {
	for _, r := range s.touched {
		gain += s.potential(s.times[r]) - s.potential(s.scratch[r])
		s.scratch[r] = s.times[r]
	}
	s.touched = s.touched[:0]
	return gain
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
	difference := s.loads[expert]/float64(s.n[expert]) - s.loads[other]/float64(s.n[other])
	s.shift(from, -difference)
	s.shift(rank, difference)
	return s.settle()
}

// best returns the change with the largest gain for its cost.
func (s *search) best() (best step, ok bool) {
	slowest := 0
	for r, t := range s.times {
		if t > s.times[slowest] {
			slowest = r
		}
	}
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
	copy(s.times, s.Times(s.loads, s.slowness))
	copy(s.scratch, s.times)
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
