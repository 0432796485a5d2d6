package balance

import (
	"cmp"
	"slices"
)

// ReliefOptions are the inputs of Relieve.
type ReliefOptions struct {
	// Capacity is the maximum number of experts on a rank.
	Capacity int
	// MaxAdded is the maximum number of experts that one switch adds to a rank.
	MaxAdded int
	// InUse is the map from which the added experts are counted; nil means the current one.
	InUse *Placement
	// MaxAddedByRank limits the additions further for each rank; it may be nil.
	MaxAddedByRank []int
	// MaxLoads is the maximum number of experts that all ranks together load; zero means no limit.
	MaxLoads int
	// MinReduction is the reduction of the busiest rank's load, in mean loads, that each loaded expert must bring.
	MinReduction float64
	// Slowness is the factor on the step time of each rank, at least 1; nil if no rank is slow.
	Slowness []float64
	// KeepOne keeps at least one expert on each very slow rank.
	KeepOne bool
}

const (
	// minReliefPatience is the least number of consecutive changes without a better net saving after which a search ends, and
	// ranksPerChange the number of ranks for each: in a large group many ranks may be about as busy as the busiest one.
	minReliefPatience = 6
	ranksPerChange    = 8
	// maxReceivers is the number of ranks, the least loaded ones, to which a search may copy or swap an expert of the busiest
	// rank: in a large group the work for each change must not grow with the number of ranks.
	maxReceivers = 16
)

// Relieve takes load off the busiest ranks of one set of layers whose loads change within seconds.
// It therefore loads few experts, at most MaxAdded per rank, and leaves all others where they are.
// It returns the new map and the number of loaded experts, or the current map and zero.
func Relieve(o ReliefOptions, current *Placement, loads []float64) (next *Placement, loaded int) {
	s := newReliefSearch(o, current, loads)
	if s.mean == 0 {
		return current, 0
	}
	initial, best, bestNet, stale := s.maxTime(), current.Clone(), 0.0, 0
	cost := 0
	patience := s.patience()
	for stale < patience {
		c, ok := s.bestChange()
		if !ok {
			break
		}
		if o.MaxLoads > 0 && cost+c.cost() > o.MaxLoads {
			break
		}
		s.apply(c)
		cost += c.cost()
		stale++
		net := (initial-s.maxTime())/s.mean - o.MinReduction*float64(cost)
		if net > bestNet {
			best, bestNet, stale = s.Clone(), net, 0
		}
	}
	for _, held := range best.Ranks {
		slices.Sort(held)
	}
	return best, Moves(current, best)
}

// reliefSearch improves a map by greedy changes.
type reliefSearch struct {
	*searchState
	ReliefOptions
	// added counts the experts added to each rank, and addedBefore those by which the current map differs from that in use.
	added, addedBefore []int
}

func newReliefSearch(o ReliefOptions, p *Placement, loads []float64) *reliefSearch {
	slowness := o.Slowness
	if slowness == nil {
		slowness = slices.Repeat([]float64{1}, len(p.Ranks))
	}
	s := &reliefSearch{searchState: newSearchState(p, loads, slowness), ReliefOptions: o, added: make([]int, len(p.Ranks)), addedBefore: make([]int, len(p.Ranks))}
	s.potential = s.eighthPower
	if o.InUse != nil {
		for r, held := range p.Ranks {
			s.addedBefore[r] = CountMissing(held, o.InUse.Ranks[r])
		}
	}
	if o.Slowness != nil {
		s.mean = meanLoad(p.Times(loads, nil))
	}
	return s
}

// patience returns the number of consecutive changes without a better net saving after which the search ends. The time of a
// slow rank may fall only with the last of its experts.
func (s *reliefSearch) patience() int {
	patience := max(minReliefPatience, len(s.Ranks)/ranksPerChange)
	for r, held := range s.Ranks {
		if s.slowness[r] > 1 {
			patience += len(held)
		}
	}
	return patience
}

// canAdd reports whether one more expert may be added to a rank.
func (s *reliefSearch) canAdd(rank int) bool {
	return s.addedBefore[rank]+s.added[rank] < s.MaxAdded && (s.MaxAddedByRank == nil || s.added[rank] < s.MaxAddedByRank[rank])
}

func (s *reliefSearch) maxTime() float64 {
	return slices.Max(s.times)
}

// reliefChange copies an expert to another rank, swaps two experts, or drops a replica.
type reliefChange struct {
	// from is the busiest rank, which holds expert.
	from, expert int
	// to is the rank that gets expert, or negative if from only drops its replica.
	to int
	// move means that from drops expert when to gets it.
	move bool
	// other is the expert that to gives up, or negative if to has a free place.
	other int
	// swap means that from gets other in exchange for expert; otherwise both ranks hold expert.
	swap bool
	// gain is the reduction of the potential, doubled for a drop, which loads no expert, and halved for a swap, which
	// loads two.
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

// eighthPower is a potential that the busiest ranks dominate.
func (s *reliefSearch) eighthPower(time float64) float64 {
	x := time / s.mean
	x *= x
	x *= x
	return x * x
}

// receivers returns the least loaded ranks that are not very slow.
func (s *reliefSearch) receivers() []int {
	var ranks []int
	for r := range s.times {
		if !s.verySlow(r) {
			ranks = append(ranks, r)
		}
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Or(cmp.Compare(s.times[a], s.times[b]), a-b) })
	return ranks[:min(len(ranks), maxReceivers)]
}

// setReplicas adjusts the candidate loads of an expert's holders to a new number of replicas. It skips the rank except,
// or none if except is negative.
func (s *reliefSearch) setReplicas(expert, count int, except int) {
	for _, r := range s.holders[expert] {
		if r != except {
			s.addLoad(r, s.loads[expert]/float64(count)-s.loads[expert]/float64(s.replicas[expert]))
		}
	}
}

// bestChange returns the change at the busiest rank with the largest gain, and whether it gains anything.
func (s *reliefSearch) bestChange() (best reliefChange, ok bool) {
	from, receivers := s.slowest(), s.receivers()
	for _, expert := range s.Ranks[from] {
		if s.replicas[expert] > 1 {
			s.considerDrop(&best, from, expert)
		}
		for _, to := range receivers {
			if to != from && !slices.Contains(s.Ranks[to], expert) && s.canAdd(to) {
				s.considerReceiver(&best, from, expert, to)
			}
		}
	}
	return best, best.gain > 0
}

func (s *reliefSearch) considerDrop(best *reliefChange, from, expert int) {
	s.setReplicas(expert, s.replicas[expert]-1, from)
	s.addLoad(from, -s.loads[expert]/float64(s.replicas[expert]))
	if gain := 2 * s.takeGain(); gain > best.gain {
		*best = reliefChange{from: from, expert: expert, to: -1, other: -1, gain: gain}
	}
}

func (s *reliefSearch) considerReceiver(best *reliefChange, from, expert, to int) {
	if len(s.Ranks[to]) < s.Capacity {
		s.considerCopy(best, from, expert, to, -1)
		return
	}
	for _, other := range s.Ranks[to] {
		if s.replicas[other] > 1 {
			s.considerCopy(best, from, expert, to, other)
		}
		if s.canAdd(from) && !s.verySlow(from) && !slices.Contains(s.Ranks[from], other) {
			s.considerSwap(best, from, expert, to, other)
		}
	}
}

func (s *reliefSearch) considerCopy(best *reliefChange, from, expert, to, other int) {
	s.setReplicas(expert, s.replicas[expert]+1, -1)
	s.addLoad(to, s.loads[expert]/float64(s.replicas[expert]+1))
	if other >= 0 {
		s.setReplicas(other, s.replicas[other]-1, to)
		s.addLoad(to, -s.loads[other]/float64(s.replicas[other]))
	}
	if gain := s.takeGain(); gain > best.gain {
		*best = reliefChange{from: from, expert: expert, to: to, other: other, gain: gain}
	}
}

func (s *reliefSearch) considerSwap(best *reliefChange, from, expert, to, other int) {
	s.swapLoads(from, to, expert, other)
	if gain := s.takeGain() / 2; gain > best.gain {
		*best = reliefChange{from: from, expert: expert, to: to, other: other, swap: true, gain: gain}
	}
}

// apply applies a change to the map.
func (s *reliefSearch) apply(c reliefChange) {
	if c.to < 0 {
		s.drop(c.from, c.expert)
	} else {
		if c.other >= 0 {
			s.drop(c.to, c.other)
		}
		s.add(c.to, c.expert)
		if c.swap || c.move {
			s.drop(c.from, c.expert)
		}
		if c.swap {
			s.add(c.from, c.other)
		}
	}
	s.recompute()
}

func (s *reliefSearch) drop(rank, expert int) {
	s.Ranks[rank] = slices.DeleteFunc(s.Ranks[rank], func(e int) bool { return e == expert })
	s.holders[expert] = slices.DeleteFunc(s.holders[expert], func(r int) bool { return r == rank })
	s.replicas[expert] = len(s.holders[expert])
}

func (s *reliefSearch) add(rank, expert int) {
	s.Ranks[rank] = append(s.Ranks[rank], expert)
	s.holders[expert] = append(s.holders[expert], rank)
	s.replicas[expert] = len(s.holders[expert])
	s.added[rank]++
}
