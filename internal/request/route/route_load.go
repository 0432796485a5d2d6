package route

import "math"

// pool is the mean over the candidates.
type pool struct {
	// load is the reported load relative to the width.
	load float64
	// own is the number of the entry's own requests in flight at a target.
	own float64
	// peers is the weight of an own request in flight: the root of the number of requests at the
	// targets for each of the entry's own, because what other entries do is only partly the same.
	peers float64
}

func (p *Picker) poolOf(candidates []Candidate) (v pool) {
	for i := range candidates {
		v.load += candidates[i].reported()
		v.own += float64(candidates[i].Own)
	}
	all := 0
	for i := range candidates {
		all += candidates[i].Running + candidates[i].Queued
	}
	n := float64(len(candidates))
	return pool{load: v.load / n, own: v.own / n, peers: math.Sqrt(max(float64(all)/max(v.own, 1), 1))}
}

// reported returns the reported load relative to the width.
func (c *Candidate) reported() float64 {
	return float64(c.Running+c.Queued) / float64(max(c.Width, 1))
}

// load returns the expected load relative to the width. A fresh report counts in full, with what the
// entry has sent since; an old one gives way to the mean of the pool and the entry's own requests in flight.
func (p *Picker) load(c *Candidate, v pool) float64 {
	width := float64(max(c.Width, 1))
	worth := math.Exp(-c.Age.Seconds() / p.relaxation.Seconds())
	fresh := c.reported() + float64(c.Since)/width
	stale := v.load + v.peers*(float64(c.Own)-v.own)/width
	return worth*fresh + (1-worth)*stale
}

// cost returns what speaks against a candidate, in loads relative to the width.
func (p *Picker) cost(c *Candidate, v pool, prefix uint64) float64 {
	cost := p.load(c, v)
	if c.Failing {
		cost += failingCost
	}
	if !c.Near {
		cost += farCost
	}
	if prefix != 0 && !c.Warm {
		cost += coldCost
	}
	return cost
}
