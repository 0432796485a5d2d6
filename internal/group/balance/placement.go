// Package balance decides which experts each rank of a group holds, and when a move to a new expert map saves more
// than it costs.
package balance

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Placement is an expert map: it lists the experts that each rank holds.
type Placement struct {
	// Ranks lists the experts of each rank in ascending order, without duplicates.
	Ranks [][]int `json:"ranks"`
}

// ID returns a hash that identifies the map; it is never zero.
func (p *Placement) ID() uint64 {
	data, err := p.Encode()
	if err != nil {
		return 1
	}
	return xxhash.Sum64(data) | 1
}

// Encode returns the map in the JSON form that is sent to ranks and engines.
func (p *Placement) Encode() ([]byte, error) {
	return json.Marshal(p)
}

// Decode reads an encoded map.
func Decode(data []byte) (p *Placement, err error) {
	p = &Placement{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, merry.Prepend(err, "decode expert map")
	}
	return p, nil
}

// Clone returns a deep copy.
func (p *Placement) Clone() *Placement {
	c := &Placement{Ranks: make([][]int, len(p.Ranks))}
	for r, held := range p.Ranks {
		c.Ranks[r] = slices.Clone(held)
	}
	return c
}

// Replicas returns the number of ranks that hold each expert.
func (p *Placement) Replicas(experts int) []int {
	n := make([]int, experts)
	for _, held := range p.Ranks {
		for _, e := range held {
			n[e]++
		}
	}
	return n
}

// Times returns the step time of each rank: its share of the loads, multiplied by its slowness.
// The load of an expert is spread evenly over its replicas. Slowness may be nil.
func (p *Placement) Times(loads, slowness []float64) []float64 {
	n := p.Replicas(len(loads))
	times := make([]float64, len(p.Ranks))
	for r, held := range p.Ranks {
		for _, e := range held {
			times[r] += loads[e] / float64(n[e])
		}
		if slowness != nil {
			times[r] *= slowness[r]
		}
	}
	return times
}

// Skew returns the largest time divided by the mean; it is 1 for an evenly loaded group.
func Skew(times []float64) float64 {
	sum := 0.0
	for _, t := range times {
		sum += t
	}
	if sum == 0 {
		return 1
	}
	return slices.Max(times) * float64(len(times)) / sum
}

// Moves returns the number of experts that ranks must load to switch from one map to another.
func Moves(from, to *Placement) (n int) {
	for r, held := range to.Ranks {
		n += CountMissing(held, from.Ranks[r])
	}
	return n
}

// CountMissing returns the number of experts of the first list that are not in the second.
func CountMissing(list, other []int) (n int) {
	for _, e := range list {
		if !slices.Contains(other, e) {
			n++
		}
	}
	return n
}

// SkewLowerBound returns a lower bound of the skew of any placement of width experts per rank: the load of the heaviest
// replica over the mean load of a rank, with the best choice of replicas, and at least 1.
func SkewLowerBound(loads []float64, ranks, width int) float64 {
	sum := 0.0
	for _, v := range loads {
		sum += v
	}
	if sum == 0 {
		return 1
	}
	n := replicaCounts(loads, ranks, width)
	heaviest := 0.0
	for e, v := range loads {
		heaviest = max(heaviest, v/float64(n[e]))
	}
	return max(1, heaviest*float64(ranks)/sum)
}

// replicaCounts returns how many replicas each expert gets. It gives each free place to the expert whose replicas
// carry the most load.
func replicaCounts(loads []float64, ranks, width int) []int {
	n := make([]int, len(loads))
	for e := range n {
		n[e] = 1
	}
	for range ranks*width - len(loads) {
		heaviest := -1
		for e, v := range loads {
			if n[e] < ranks && (heaviest < 0 || v/float64(n[e]) > loads[heaviest]/float64(n[heaviest])) {
				heaviest = e
			}
		}
		if heaviest < 0 {
			break
		}
		n[heaviest]++
	}
	return n
}

// Pack places replicas by the longest-processing-time rule: heaviest first, each on the least loaded rank with a free place.
func Pack(loads []float64, ranks, width int) *Placement {
	n := replicaCounts(loads, ranks, width)
	var order []int
	for e := range loads {
		for range n[e] {
			order = append(order, e)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch x, y := loads[a]/float64(n[a]), loads[b]/float64(n[b]); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return a - b
	})
	p := &Placement{Ranks: make([][]int, ranks)}
	times := make([]float64, ranks)
	for _, e := range order {
		best := -1
		for r := range p.Ranks {
			fits := len(p.Ranks[r]) < width && !slices.Contains(p.Ranks[r], e)
			if fits && (best < 0 || times[r] < times[best]) {
				best = r
			}
		}
		if best < 0 {
			continue
		}
		p.Ranks[best] = append(p.Ranks[best], e)
		times[best] += loads[e] / float64(n[e])
	}
	p.placeMissing(len(loads))
	return p
}

// placeMissing places experts that no rank holds, and sorts the experts of each rank.
func (p *Placement) placeMissing(experts int) {
	n := p.Replicas(experts)
	for e := range n {
		if n[e] == 0 {
			p.replaceSpare(n, e)
		}
	}
	for _, held := range p.Ranks {
		slices.Sort(held)
	}
}

// replaceSpare replaces a spare replica of another expert by expert e.
func (p *Placement) replaceSpare(n []int, e int) {
	for _, held := range p.Ranks {
		for i, f := range held {
			if n[f] > 1 {
				n[f]--
				n[e]++
				held[i] = e
				return
			}
		}
	}
}

// Spread returns the map of a group without load reports, which assumes equal loads.
func Spread(experts, ranks, width int) *Placement {
	loads := make([]float64, experts)
	for e := range loads {
		loads[e] = 1
	}
	return Pack(loads, ranks, width)
}
