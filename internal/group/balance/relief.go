package balance

import (
	"math"
	"slices"
)

// Relief are the inputs of Relieve.
type Relief struct {
	// Places is the number of experts that a rank has room for.
	Places int
	// Fresh is the largest number of experts that one switch may add to a rank.
	Fresh int
	// Room limits that for each rank further; it may be nil.
	Room []int
	// Loads is the largest number of experts that all ranks load together; zero means any.
	Loads int
	// Price is the fall of the busiest rank's load, in mean loads, that one loaded expert must bring.
	Price float64
}

// reliefPatience is the number of changes without a better net saving after which a search ends.
const reliefPatience = 6

// Relieve takes load off the busiest ranks of one set of layers, for loads that change within seconds:
// it loads few experts, never more than Fresh to a rank, and leaves everything else where it is.
// It returns the new map and the number of loaded experts, or the same map and zero.
func Relieve(o Relief, current *Placement, loads []float64) (next *Placement, loaded int) {
	s := newReliefSearch(o, current, loads)
	if s.mean == 0 {
		return current, 0
	}
	first, best, bestNet, since := s.worst(), current.Clone(), 0.0, 0
	spent := 0
	for since < reliefPatience {
		c, ok := s.best()
		if !ok {
			break
		}
		if o.Loads > 0 && spent+c.cost() > o.Loads {
			break
		}
		s.apply(c)
		spent += c.cost()
		since++
		net := (first-s.worst())/s.mean - o.Price*float64(spent)
		if net > bestNet {
			best, bestNet, since = s.Clone(), net, 0
		}
	}
	for _, held := range best.Ranks {
		slices.Sort(held)
	}
	return best, Moves(current, best)
}

// reliefSearch is a map that is changed step by step; its ranks are equally fast.
type reliefSearch struct {
	*tally
	Relief
	// fresh is the number of experts that were added to each rank.
	fresh []int
}

func newReliefSearch(o Relief, p *Placement, loads []float64) *reliefSearch {
	equal := slices.Repeat([]float64{1}, len(p.Ranks))
	s := &reliefSearch{tally: newTally(p, loads, equal), Relief: o, fresh: make([]int, len(p.Ranks))}
	s.potential = s.eighth
	return s
}

// roomy reports whether the switch may add one more expert to a rank.
func (s *reliefSearch) roomy(rank int) bool {
	return s.fresh[rank] < s.Fresh && (s.Room == nil || s.fresh[rank] < s.Room[rank])
}

func (s *reliefSearch) worst() float64 {
	return slices.Max(s.times)
}

// reliefChange adds an expert to a rank in the place of another one, or swaps two, or drops a replica.
type reliefChange struct {
	// from is the busiest rank, which holds expert.
	from, expert int
	// to gets expert, or is negative when from only drops it.
	to int
	// other leaves to, or is negative where there is a free place.
	other int
	// swap tells that from gives expert away for other; otherwise both keep it.
	swap bool
	gain float64
}

// cost returns the number of experts that the change loads.
func (c reliefChange) cost() int {
	switch {
	case c.to < 0:
		return 0
	case c.swap:
		return 2
	}
	return 1
}

// eighth is the eighth power, so that the busiest ranks weigh most.
func (s *reliefSearch) eighth(time float64) float64 {
	return math.Pow(time/s.mean, 8)
}

// spread changes the loads of an expert's holders from n to m replicas.
func (s *reliefSearch) spread(expert, m int, without int) {
	for _, r := range s.holders[expert] {
		if r != without {
			s.shift(r, s.loads[expert]/float64(m)-s.loads[expert]/float64(s.n[expert]))
		}
	}
}

// best returns the change of the busiest rank with the largest gain for its cost.
func (s *reliefSearch) best() (best reliefChange, ok bool) {
	from := s.slowest()
	for _, expert := range s.Ranks[from] {
		if s.n[expert] > 1 {
			s.considerDrop(&best, from, expert)
		}
		for to := range s.Ranks {
			if to != from && !slices.Contains(s.Ranks[to], expert) && s.roomy(to) {
				s.considerTo(&best, from, expert, to)
			}
		}
	}
	return best, best.gain > 0
}

func (s *reliefSearch) considerDrop(best *reliefChange, from, expert int) {
	s.spread(expert, s.n[expert]-1, from)
	s.shift(from, -s.loads[expert]/float64(s.n[expert]))
	if gain := 2 * s.settle(); gain > best.gain {
		*best = reliefChange{from: from, expert: expert, to: -1, other: -1, gain: gain}
	}
}

func (s *reliefSearch) considerTo(best *reliefChange, from, expert, to int) {
	if len(s.Ranks[to]) < s.Places {
		s.considerCopy(best, from, expert, to, -1)
		return
	}
	for _, other := range s.Ranks[to] {
		if s.n[other] > 1 {
			s.considerCopy(best, from, expert, to, other)
		}
		if s.roomy(from) && !slices.Contains(s.Ranks[from], other) {
			s.considerSwap(best, from, expert, to, other)
		}
	}
}

func (s *reliefSearch) considerCopy(best *reliefChange, from, expert, to, other int) {
	s.spread(expert, s.n[expert]+1, -1)
	s.shift(to, s.loads[expert]/float64(s.n[expert]+1))
	if other >= 0 {
		s.spread(other, s.n[other]-1, to)
		s.shift(to, -s.loads[other]/float64(s.n[other]))
	}
	if gain := s.settle(); gain > best.gain {
		*best = reliefChange{from: from, expert: expert, to: to, other: other, gain: gain}
	}
}

func (s *reliefSearch) considerSwap(best *reliefChange, from, expert, to, other int) {
	s.exchange(from, to, expert, other)
	if gain := s.settle() / 2; gain > best.gain {
		*best = reliefChange{from: from, expert: expert, to: to, other: other, swap: true, gain: gain}
	}
}

// apply makes a change.
func (s *reliefSearch) apply(c reliefChange) {
	if c.to < 0 {
		s.drop(c.from, c.expert)
	} else {
		if c.other >= 0 {
			s.drop(c.to, c.other)
		}
		s.add(c.to, c.expert)
		if c.swap {
			s.drop(c.from, c.expert)
			s.add(c.from, c.other)
		}
	}
	s.refresh()
}

func (s *reliefSearch) drop(rank, expert int) {
	s.Ranks[rank] = slices.DeleteFunc(s.Ranks[rank], func(e int) bool { return e == expert })
	s.holders[expert] = slices.DeleteFunc(s.holders[expert], func(r int) bool { return r == rank })
	s.n[expert] = len(s.holders[expert])
}

func (s *reliefSearch) add(rank, expert int) {
	s.Ranks[rank] = append(s.Ranks[rank], expert)
	s.holders[expert] = append(s.holders[expert], rank)
	s.n[expert] = len(s.holders[expert])
	s.fresh[rank]++
}
