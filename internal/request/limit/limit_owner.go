package limit

import (
	"math"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
)

// Owner returns the entry that divides a workspace's rate.
func Owner(workspace string, entries []string) string {
	best, bestScore := "", uint64(0)
	for _, e := range entries {
		if score := rendezvous.Score(workspace, e); best == "" || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// claim is the demand that one entry told last.
type claim struct {
	rate float64
	at   time.Time
}

const (
	// minFactor bounds how far grants are cut for what entries admit without one.
	minFactor = 0.02
	// correction is the weight of one interval's error.
	correction = 0.3
)

// division is the state of one workspace at its owner.
type division struct {
	// claims holds the entries that told a demand within term.
	claims map[string]claim
	// admitted is the fading number of admitted requests.
	admitted float64
	// factor is the part of the rate that is granted, so that what is admitted meets the rate.
	factor float64
	// at is the time of the newest change of admitted and adjusted that of factor.
	at, adjusted time.Time
}

// Allocator divides the rates of the workspaces that an entry owns. It is not safe for concurrent use.
type Allocator struct {
	// divisions holds the workspaces with claims.
	divisions map[string]*division
}

// NewAllocator returns an empty Allocator.
func NewAllocator() *Allocator {
	return &Allocator{divisions: map[string]*division{}}
}

// Allocate takes in an entry's demand and returns its share. While the demand of all is below the rate,
// what is left is added evenly; else each entry gets the same part of its demand.
func (l *Allocator) Allocate(now time.Time, entry string, s Share, r Rate) Share {
	d := l.divisions[s.Workspace]
	if d == nil {
		d = &division{claims: map[string]claim{}, factor: 1, at: now, adjusted: now}
		l.divisions[s.Workspace] = d
	}
	d.claims[entry] = claim{s.Rate, now}
	d.adjust(now, s.Admitted, r.Rate)
	sum := d.sum(now)
	if sum <= r.Rate {
		return Share{Workspace: s.Workspace, Rate: s.Rate + (r.Rate-sum)/float64(len(d.claims))}
	}
	return Share{Workspace: s.Workspace, Rate: d.factor * r.Rate * s.Rate / sum}
}

// sum returns the demand of all entries and drops old claims.
func (d *division) sum(now time.Time) (sum float64) {
	for name, v := range d.claims {
		if now.Sub(v.at) > term {
			delete(d.claims, name)
			continue
		}
		sum += v.rate
	}
	return sum
}

// adjust takes in admitted requests and, once an interval, corrects the factor:
// entries admit a little without a grant, and many entries a lot.
func (d *division) adjust(now time.Time, admitted int, rate float64) {
	d.admitted = d.admitted*math.Exp(-now.Sub(d.at).Seconds()/memory.Seconds()) + float64(admitted)
	d.at = now
	if now.Sub(d.adjusted) < ReportInterval {
		return
	}
	d.adjusted = now
	seen := max(d.admitted/memory.Seconds(), rate/10)
	d.factor = min(max(d.factor*math.Pow(rate/seen, correction), minFactor), 1)
}

// Expire drops the workspaces that nobody asks for any more.
func (l *Allocator) Expire(now time.Time) {
	for workspace, d := range l.divisions {
		d.sum(now)
		if len(d.claims) == 0 {
			delete(l.divisions, workspace)
		}
	}
}
