// Package balance decides which experts a group's ranks hold and when a new expert map pays for its move.
package balance

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Placement is an expert map: the experts that each rank holds.
type Placement struct {
	// Ranks holds the experts of each rank in ascending order, none twice.
	Ranks [][]int `json:"ranks"`
}

// ID returns the identity of the map; it is never zero.
func (p *Placement) ID() uint64 {
	data, err := p.Encode()
	if err != nil {
		return 1
	}
	return xxhash.Sum64(data) | 1
}

// Encode returns the map as it is sent to ranks and engines.
func (p *Placement) Encode() ([]byte, error) {
	return json.Marshal(p)
}

// Decode reads an encoded map.
func Decode(data []byte) (p *Placement, err error) {
	p = &Placement{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, merry.Prepend(err, "expert map")
	}
	return p, nil
}

// Clone returns a copy that shares nothing.
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

// Times returns each rank's time for a step: its share of the loads, times its slowness.
// An expert's load is spread evenly over its replicas. Slowness may be nil.
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

// Skew returns the largest time over the mean; it is one for an even group.
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

// Moves returns the number of experts that ranks must load to go from one map to another.
func Moves(from, to *Placement) (n int) {
	for r, held := range to.Ranks {
		for _, e := range held {
			if !slices.Contains(from.Ranks[r], e) {
				n++
			}
		}
	}
	return n
}

// Bound returns the least skew that any placement with so many slots a rank can have:
// the heaviest replica over the mean, when replicas are spread as well as they can be, or one.
func Bound(loads []float64, ranks, width int) float64 {
	sum := 0.0
	for _, v := range loads {
		sum += v
	}
	if sum == 0 {
		return 1
	}
	n := replicate(loads, ranks, width)
	heaviest := 0.0
	for e, v := range loads {
		heaviest = max(heaviest, v/float64(n[e]))
	}
	return max(1, heaviest*float64(ranks)/sum)
}

// replicate gives each slot to the expert whose replicas are heaviest.
func replicate(loads []float64, ranks, width int) []int {
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

// Pack places replicas longest processing time first on the least loaded rank with room.
func Pack(loads []float64, ranks, width int) *Placement {
	n := replicate(loads, ranks, width)
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
			room := len(p.Ranks[r]) < width && !slices.Contains(p.Ranks[r], e)
			if room && (best < 0 || times[r] < times[best]) {
				best = r
			}
		}
		if best < 0 {
			continue
		}
		p.Ranks[best] = append(p.Ranks[best], e)
		times[best] += loads[e] / float64(n[e])
	}
	p.complete(len(loads))
	return p
}

// complete makes sure that each expert has a rank and sorts each rank's experts.
func (p *Placement) complete(experts int) {
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

// replaceSpare puts an expert in the place of one that another rank holds too.
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

// Spread is the map of a group that has seen no load: experts in turn.
func Spread(experts, ranks, width int) *Placement {
	loads := make([]float64, experts)
	for e := range loads {
		loads[e] = 1
	}
	return Pack(loads, ranks, width)
}
