package limit

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
)

// Owner returns the entry that owns the rate with a key, which is the name of a workspace or identifies a target.
func Owner(key string, entries []string) string {
	best, bestScore := "", uint64(0)
	for _, e := range entries {
		if score := rendezvous.Score(key, e); best == "" || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// demand is the last reported demand of one entry.
type demand struct {
	rate     float64
	reported time.Time
}

const (
	// minFactor bounds how far grants are reduced to make up for requests that entries admit without one.
	minFactor = 0.02
	// adjustmentExponent is the weight of one interval's error in the factor.
	adjustmentExponent = 0.3
)

// allocation is the state of one workspace at its owner.
type allocation struct {
	// demands holds the entries that reported a demand within grantLifetime.
	demands map[string]demand
	// admitted is the exponentially decaying number of admitted requests.
	admitted float64
	// factor is the part of the rate that is granted, adjusted so that the admitted requests match the rate.
	factor float64
	// updated is the time of the latest change of admitted, and adjusted that of factor.
	updated, adjusted time.Time
}

// Allocator divides the rates of the workspaces that an entry owns. It is not safe for concurrent use.
type Allocator struct {
	// allocations holds the workspaces with demands.
	allocations map[string]*allocation
}

// NewAllocator returns an empty Allocator.
func NewAllocator() *Allocator {
	return &Allocator{allocations: map[string]*allocation{}}
}

// Allocate records an entry's demand and returns its share. While the total demand is at most the rate,
// the rest of the rate is divided evenly; else each entry gets the same fraction of its demand.
func (a *Allocator) Allocate(now time.Time, entry string, s Share, r Rate) Share {
	d := a.allocations[s.Workspace]
	if d == nil {
		d = &allocation{demands: map[string]demand{}, factor: 1, updated: now, adjusted: now}
		a.allocations[s.Workspace] = d
	}
	d.demands[entry] = demand{s.Rate, now}
	d.adjustFactor(now, s.Admitted, r.Rate)
	total := d.totalDemand(now)
	if total <= r.Rate {
		return Share{Workspace: s.Workspace, Rate: s.Rate + (r.Rate-total)/float64(len(d.demands))}
	}
	return Share{Workspace: s.Workspace, Rate: d.factor * r.Rate * s.Rate / total}
}

// totalDemand returns the demand of all entries and drops expired demands.
func (d *allocation) totalDemand(now time.Time) (sum float64) {
	for name, v := range d.demands {
		if now.Sub(v.reported) > grantLifetime {
			delete(d.demands, name)
			continue
		}
		sum += v.rate
	}
	return sum
}

// adjustFactor adds admitted requests and corrects the factor once per interval:
// each entry admits a little without a grant, which adds up with many entries.
func (d *allocation) adjustFactor(now time.Time, admitted int, rate float64) {
	d.admitted = d.admitted*decay(now.Sub(d.updated)) + float64(admitted)
	d.updated = now
	if now.Sub(d.adjusted) < ReportInterval {
		return
	}
	d.adjusted = now
	admittedRate := max(d.admitted/demandDecay.Seconds(), rate/10)
	d.factor = min(max(d.factor*math.Pow(rate/admittedRate, adjustmentExponent), minFactor), 1)
}

// Expire drops the workspaces without demands.
func (a *Allocator) Expire(now time.Time) {
	for workspace, d := range a.allocations {
		d.totalDemand(now)
		if len(d.demands) == 0 {
			delete(a.allocations, workspace)
		}
	}
}
