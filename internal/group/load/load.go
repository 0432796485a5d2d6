// Package load tracks which experts a group's requests choose, and plans the expert maps of all sets of layers.
package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

// Tally converts an engine's running totals into increments. The zero value is ready to use.
type Tally struct {
	// epoch and totals are those of the latest reading.
	epoch  uint64
	totals []uint64
	// unread is the increments since the last call of Take.
	unread []uint32
}

// Add adds a reading. Totals that decrease are ignored: the engine has restarted.
func (t *Tally) Add(c hold.Counts) {
	if len(t.unread) != len(c.Chosen) {
		t.unread = make([]uint32, len(c.Chosen))
	}
	if len(t.totals) == len(c.Chosen) && t.epoch == c.Epoch {
		for i, total := range c.Chosen {
			if total > t.totals[i] {
				t.unread[i] += uint32(total - t.totals[i])
			}
		}
	}
	t.epoch, t.totals = c.Epoch, c.Chosen
}

// Take returns the increments since the last call, set after set, and clears them.
func (t *Tally) Take() []uint32 {
	counts := t.unread
	t.unread = make([]uint32, len(counts))
	return counts
}

const (
	// halfLife is the age at which the weight of a count has decayed to half: demand shifts every few seconds and must
	// be followed at once.
	halfLife = 300 * time.Millisecond
	// shiftDistance is the fraction of a set's demand that must move to other experts for older counts to be dropped.
	shiftDistance = 0.25
	// minCounts is the mean weight of counts per expert of a set, below which random variation dominates.
	minCounts = 20
	// maxRankLoadTime is the time for which a rank may load experts in one switch, over all sets, if it is enough for one:
	// meanwhile the old map stays in use, and a few replicas of the most demanded experts relieve most.
	maxRankLoadTime = 100 * time.Millisecond
	// maxRankLoads is the largest number of experts that a rank loads in one switch, over all sets.
	maxRankLoads = 8
	// defaultLoadTime is the time to load one expert if the configuration does not tell it.
	defaultLoadTime = 100 * time.Millisecond
	// searchInterval is the time between two searches for a better map while the step time grows by less than searchGrowth and
	// none was found: a search in a large group takes a part of the slot's processor.
	searchInterval = 300 * time.Millisecond
	searchGrowth   = 0.02
	// minSwitchInterval is the minimum time between two decisions to switch.
	minSwitchInterval = 300 * time.Millisecond
	// maxMeasured is the longest time between two measurements whose counts are of the same demand.
	maxMeasured = 500 * time.Millisecond
)

// Planner decides when a group changes its maps. It is not safe for concurrent use.
type Planner struct {
	site.Experts
	// loads holds exponentially decayed counts by set and expert.
	loads [][]float64
	// decayedAt is the time of the latest decay of loads, and recent holds the counts since then.
	decayedAt time.Time
	recent    [][]float64
	// rankExperts holds the latest reported experts of each rank.
	rankExperts map[int]reportedExperts
	// decidedMap is the latest decided map, by set and rank, and decided the decision.
	decidedMap [][][]int
	decided    Decision
	// decidedVersion is the version of decidedMap.
	decidedVersion uint64
	// decidedAt is the time of the latest decision to switch.
	decidedAt time.Time
	// futile keeps the same search from being repeated at once.
	futile futileSearch
	paces  paces
	// savings estimates for how long the gain of a switch lasts.
	savings savings
}

type reportedExperts struct {
	hold.RankExperts
	epoch uint64
}

// Decision is a new map for all sets.
type Decision struct {
	// Map holds the experts by set and rank.
	Map [][][]int
	// Loaded is the number of experts that the ranks must load.
	Loaded int
	// StepTime and NextStepTime are the step times before and after the switch, relative to that of an evenly loaded group
	// without slow ranks. Of a slow rank, they contain the time of its experts only: no map changes that of its own requests.
	StepTime, NextStepTime float64
	// Slow is the number of slow ranks.
	Slow int
	// expected is what switches were expected to save, and before and after are the maps.
	expected      expectation
	before, after []*balance.Placement
}

// NewPlanner returns a Planner without counts.
func NewPlanner(e site.Experts) *Planner {
	p := &Planner{
		Experts: e, loads: make([][]float64, e.Sets), recent: make([][]float64, e.Sets), rankExperts: map[int]reportedExperts{},
		paces: paces{reported: map[int]reportedPace{}},
	}
	for s := range p.loads {
		p.loads[s], p.recent[s] = make([]float64, e.Count), make([]float64, e.Count)
	}
	return p
}

// Count adds the increments of a rank's counts, set after set.
func (p *Planner) Count(counts []uint32) {
	if len(counts) != p.Sets*p.Experts.Count {
		return
	}
	for i, n := range counts {
		p.recent[i/p.Experts.Count][i%p.Experts.Count] += float64(n)
	}
}

// SetRankExperts records the experts that a rank holds in an epoch.
func (p *Planner) SetRankExperts(rank int, epoch uint64, h hold.RankExperts) {
	p.rankExperts[rank] = reportedExperts{RankExperts: h, epoch: epoch}
}

// SwitchBegun records the version of the map under which a switch to the latest decision has begun.
func (p *Planner) SwitchBegun(version uint64) {
	p.decidedVersion = version
	if d := &p.decided; d.Slow == 0 && d.StepTime > 0 {
		p.savings.begin(trackedSwitch{measuredSwitch: measuredSwitch{gain: d.gain(), loaded: float64(d.Loaded)}, version: version, before: d.before, after: d.after})
	}
	if hasEmptyRank(p.decidedMap) {
		p.paces.emptyVersion = version
	}
}

// Measure measures what the latest switches have saved since the latest decay, given the version of the map in use.
func (p *Planner) Measure(now time.Time, version uint64) {
	elapsed := now.Sub(p.decayedAt)
	if elapsed <= 0 || elapsed > maxMeasured {
		return
	}
	minimum := minCounts * float64(p.Experts.Count)
	p.savings.measure(now, version, elapsed, func(maps []*balance.Placement) float64 {
		skew := 0.0
		for s, m := range maps {
			if sum(p.recent[s]) < minimum {
				return 0
			}
			skew += balance.SlowSkew(m, p.recent[s], nil) / float64(p.Sets)
		}
		return p.relativeStepTime(skew)
	})
}

// Decay applies the exponential decay to older counts, or drops those of a set whose demand has shifted, and adds the
// recent ones.
func (p *Planner) Decay(now time.Time) {
	factor := math.Exp2(-now.Sub(p.decayedAt).Seconds() / halfLife.Seconds())
	p.decayedAt = now
	for s, set := range p.loads {
		recent := p.recent[s]
		if demandShifted(set, recent, minCounts*float64(p.Experts.Count)) {
			clear(set)
		}
		for e := range set {
			set[e] = set[e]*factor + recent[e]
		}
		clear(recent)
	}
}

// demandShifted reports whether the demand for one set's experts differs by more than shiftDistance between two counts.
func demandShifted(before, recent []float64, minimum float64) bool {
	b, r := sum(before), sum(recent)
	if b < minimum || r < minimum {
		return false
	}
	distance := 0.0
	for e := range before {
		distance += math.Abs(before[e]/b-recent[e]/r) / 2
	}
	return distance > shiftDistance
}

// currentMaps returns the maps of a version by set: the decided map if the version is its own, otherwise the experts that
// the ranks reported, or nil while some rank has not reported them.
func (p *Planner) currentMaps(epoch, version uint64, size int) (maps []*balance.Placement) {
	if version == p.decidedVersion && len(p.decidedMap) == p.Sets {
		for _, set := range p.decidedMap {
			maps = append(maps, &balance.Placement{Ranks: set})
		}
		return maps
	}
	for s := range p.Sets {
		m := &balance.Placement{Ranks: make([][]int, size)}
		for r := range size {
			h, ok := p.rankExperts[r]
			if !ok || h.epoch != epoch || h.MapVersion != version || s >= len(h.Experts) {
				return nil
			}
			m.Ranks[r] = h.Experts[s]
		}
		maps = append(maps, m)
	}
	return maps
}

// Decide returns new maps if they save more than it costs to load their experts.
func (p *Planner) Decide(now time.Time, epoch, version uint64, size int) (d Decision, ok bool) {
	if now.Sub(p.decidedAt) < minSwitchInterval {
		return d, false
	}
	maps := p.currentMaps(epoch, version, size)
	if maps == nil {
		return d, false
	}
	p.paces.recordEmpty(epoch, version)
	slowness := p.Slowness(now, epoch, size)
	minimum := p.minLoad(slowness)
	d.Slow = countSlow(slowness)
	for _, loads := range p.loads {
		if sum(loads) < minimum {
			return d, false
		}
	}
	skew := 0.0
	for s, m := range maps {
		skew += balance.SlowSkew(m, p.loads[s], slowness) / float64(p.Sets)
	}
	d.StepTime = p.relativeStepTime(skew)
	if p.futile.covers(now, version, d.StepTime) {
		return d, false
	}
	next := 0.0
	better := p.improve(now, maps, size, slowness)
	for s, m := range better {
		next += balance.SlowSkew(m, p.loads[s], slowness) / float64(p.Sets)
		d.Loaded += balance.Moves(maps[s], m)
		d.Map = append(d.Map, m.Ranks)
	}
	d.NextStepTime = p.relativeStepTime(next)
	d.expected, d.before, d.after = p.expect(size), maps, better
	loading := time.Duration(d.rankLoads()) * p.loadTime()
	if (d.Loaded == 0 || !d.expected.worth(d.gain(), loading)) && !vacates(&d, maps, better, slowness) {
		p.futile = futileSearch{at: now, version: version, stepTime: d.StepTime}
		return d, false
	}
	p.decidedAt, p.decidedMap, p.decided = now, d.Map, d
	return d, true
}

// futileSearch is the latest search that found no map worth a switch.
type futileSearch struct {
	at       time.Time
	version  uint64
	stepTime float64
}

// covers reports whether another search would find none either: the map is the same, and the step time has hardly grown.
func (f *futileSearch) covers(now time.Time, version uint64, stepTime float64) bool {
	return f.version == version && now.Sub(f.at) < searchInterval && stepTime < f.stepTime*(1+searchGrowth)
}

// improve returns better maps. Very slow ranks give up their experts first. Every step waits for the busiest rank of each set, so
// each set may then load its share of the experts of a switch. In the last round any set may use what remains.
func (p *Planner) improve(now time.Time, maps []*balance.Placement, size int, slowness []float64) []*balance.Placement {
	better := slices.Clone(maps)
	loads := max(p.rankLoads(), p.vacateLoads(maps, slowness))
	remaining := slices.Repeat([]int{loads}, size)
	for r := range remaining {
		remaining[r] = max(loads, p.returnLoads(now, maps, r))
	}
	if slowness != nil {
		p.improveSets(balance.Vacate, better, maps, remaining, 0, slowness)
	}
	for _, limit := range []int{max(1, loads*size/p.Sets), 0} {
		p.improveSets(balance.Relieve, better, maps, remaining, limit, slowness)
	}
	return better
}

// relief is a function that takes load off the busiest ranks of one set.
type relief func(o balance.ReliefOptions, current *balance.Placement, loads []float64) (next *balance.Placement, loaded int)

// improveSets applies a function to the maps of all sets, those with the largest skew first, and deducts the loads.
func (p *Planner) improveSets(f relief, better, maps []*balance.Placement, remaining []int, limit int, slowness []float64) {
	for _, s := range p.bySkew(better, slowness) {
		o := balance.ReliefOptions{
			Capacity: p.Capacity, MaxAdded: p.MaxAdded, InUse: maps[s], MaxAddedByRank: remaining,
			MaxLoads: limit, MinReduction: p.requiredSkewReduction(len(maps[s].Ranks)),
			Slowness: slowness, KeepOne: p.paces.emptyFailures >= maxEmptyFailures,
		}
		m, _ := f(o, better[s], p.loads[s])
		deductLoads(remaining, better[s], m)
		better[s] = m
	}
}

// loadTime returns the time in which a rank loads one expert.
func (p *Planner) loadTime() time.Duration {
	if p.LoadTime > 0 {
		return p.LoadTime
	}
	return defaultLoadTime
}

// rankLoads returns the number of experts that a rank may load in one switch.
func (p *Planner) rankLoads() int {
	return min(max(int(maxRankLoadTime/p.loadTime()), 1), maxRankLoads)
}

// bySkew returns the sets in descending order of their skew.
func (p *Planner) bySkew(maps []*balance.Placement, slowness []float64) []int {
	skews := make([]float64, p.Sets)
	sets := make([]int, p.Sets)
	for s, m := range maps {
		skews[s], sets[s] = balance.SlowSkew(m, p.loads[s], slowness), s
	}
	slices.SortStableFunc(sets, func(a, b int) int { return cmp.Compare(skews[b], skews[a]) })
	return sets
}

// deductLoads subtracts the number of experts that each rank loads from its remaining loads.
func deductLoads(remaining []int, from, to *balance.Placement) {
	for r, held := range to.Ranks {
		for _, e := range held {
			if !slices.Contains(from.Ranks[r], e) {
				remaining[r]--
			}
		}
	}
}

// requiredSkewReduction returns the reduction of a set's skew that is worth the cost of loading one expert.
func (p *Planner) requiredSkewReduction(size int) float64 {
	return p.expect(size).gainForExpert(p.loadTime()) * float64(p.Sets) / p.Share
}

// relativeStepTime returns the time of a step relative to that of an evenly loaded group, given the mean skew of the sets.
func (p *Planner) relativeStepTime(skew float64) float64 {
	return 1 - p.Share + p.Share*skew
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// NoOpMap returns a map under which a rank keeps its experts; the remaining experts are assigned to the other ranks in turn.
// It returns nil if they exceed the other ranks' capacity.
func NoOpMap(e site.Experts, rank, size int, held [][]int) (sets [][][]int) {
	for _, own := range held {
		ranks := make([][]int, size)
		ranks[rank] = own
		next := 0
		for expert := range e.Count {
			if slices.Contains(own, expert) {
				continue
			}
			if next%size == rank {
				next++
			}
			ranks[next%size] = append(ranks[next%size], expert)
			next++
		}
		for _, experts := range ranks {
			if len(experts) > e.Capacity {
				return nil
			}
		}
		sets = append(sets, ranks)
	}
	return sets
}
