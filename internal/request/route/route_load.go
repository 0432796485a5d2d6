package route

import "math"

// poolMean holds means over the candidates.
type poolMean struct {
	// load is the mean reported load relative to the width.
	load float64
	// ownInFlight is the mean number of the entry's own requests in flight at a target.
	ownInFlight float64
	// ownWeight is the weight of an own request in flight as an estimate of all entries' load: the square root of the
	// ratio of all requests at the targets to the entry's own, because other entries only partly choose alike.
	ownWeight float64
}

func (p *Picker) meanOf(candidates []Candidate) (v poolMean) {
	for i := range candidates {
		v.load += candidates[i].reportedLoad()
		v.ownInFlight += float64(candidates[i].OwnInFlight)
	}
	all := 0
	for i := range candidates {
		all += candidates[i].Running + candidates[i].Queued
	}
	n := float64(len(candidates))
	return poolMean{load: v.load / n, ownInFlight: v.ownInFlight / n, ownWeight: math.Sqrt(max(float64(all)/max(v.ownInFlight, 1), 1))}
}

// reportedLoad returns the reported load relative to the width.
func (c *Candidate) reportedLoad() float64 {
	return float64(c.Running+c.Queued) / float64(max(c.Width, 1))
}

// load returns the expected load relative to the width. A fresh report counts in full, with the requests that the
// entry has sent since; as it ages, the pool's mean and the entry's own requests in flight replace it.
func (p *Picker) load(c *Candidate, v poolMean) float64 {
	width := float64(max(c.Width, 1))
	weight := math.Exp(-c.Age.Seconds() / p.decayTime.Seconds())
	fresh := c.reportedLoad() + float64(c.SentSinceReport)/width
	stale := v.load + v.ownWeight*(float64(c.OwnInFlight)-v.ownInFlight)/width
	return weight*fresh + (1-weight)*stale
}

// cost returns a candidate's expected load plus its penalties, in loads relative to the width.
func (p *Picker) cost(c *Candidate, v poolMean, prefix uint64) float64 {
	cost := p.load(c, v)
	if c.Failing {
		cost += failingCost
	}
	if !c.SameCentre {
		cost += farCost
	}
	if prefix != 0 && !c.PrefixCached {
		cost += prefixMissCost
	}
	return cost
}
