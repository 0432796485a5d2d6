// Package load follows which experts a group's requests choose, and plans the maps of all sets of layers.
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

// Tally turns an engine's running totals into what is new. The zero value is ready.
type Tally struct {
	// epoch and totals are those of the newest reading.
	epoch  uint64
	totals []uint64
	// fresh is what was counted and not taken yet.
	fresh []uint32
}

// Add takes a reading. Totals that fall are those of a restarted engine.
func (t *Tally) Add(c hold.Counts) {
	if len(t.fresh) != len(c.Chosen) {
		t.fresh = make([]uint32, len(c.Chosen))
	}
	if len(t.totals) == len(c.Chosen) && t.epoch == c.Epoch {
		for i, total := range c.Chosen {
			if total > t.totals[i] {
				t.fresh[i] += uint32(total - t.totals[i])
			}
		}
	}
	t.epoch, t.totals = c.Epoch, c.Chosen
}

// Take returns what was counted since the last call, set after set, and forgets it.
func (t *Tally) Take() []uint32 {
	fresh := t.fresh
	t.fresh = make([]uint32, len(fresh))
	return fresh
}

const (
	// halfLife is the age at which a count weighs half: demand shifts every few seconds and must be followed at once.
	halfLife = 300 * time.Millisecond
	// shiftDistance is the part of the demand for a set that must go to other experts for older counts to be forgotten.
	shiftDistance = 0.25
	// fewest is the weight of counts, for each expert of a set, below which chance decides what is seen.
	fewest = 20
	// horizon is the time for which a map is expected to fit: demand shifts every three seconds or so.
	horizon = 2 * time.Second
	// copyPrice is the time of the whole group's work that loading one expert is worth.
	copyPrice = 14 * time.Millisecond
	// rankLoads is the number of experts that a rank loads in one switch over all sets: each takes a tenth of a second,
	// in which the old map stays in use, and a few copies of the experts that are in demand most relieve the most.
	rankLoads = 1
	// leastGain is the part of a pass that a switch must save, so that noise moves nothing.
	leastGain = 0.10
	// pause is the shortest time between two switches.
	pause = 300 * time.Millisecond
)

// Planner decides when a group changes its maps. It is not safe for concurrent use.
type Planner struct {
	site.Experts
	// loads are faded counts by set and expert.
	loads [][]float64
	// faded is when loads were faded last, and recent are the counts since then.
	faded  time.Time
	recent [][]float64
	// ranks are the experts that each rank holds, as told in an epoch.
	ranks map[int]holding
	// decided is the newest map that was decided on, by set and rank.
	decided [][][]int
	// begunVersion is the version of decided.
	begunVersion uint64
	// begun is the time of the newest decision to switch.
	begun time.Time
}

type holding struct {
	hold.RankExperts
	epoch uint64
}

// Decision is a new map for all sets.
type Decision struct {
	// Map holds the experts by set and rank.
	Map [][][]int
	// Loaded is the number of experts that ranks load.
	Loaded int
	// Skew and Next are the time of a pass over that of an even group, before and after.
	Skew, Next float64
}

// NewPlanner returns a Planner that has counted nothing.
func NewPlanner(e site.Experts) *Planner {
	p := &Planner{Experts: e, loads: make([][]float64, e.Sets), recent: make([][]float64, e.Sets), ranks: map[int]holding{}}
	for s := range p.loads {
		p.loads[s], p.recent[s] = make([]float64, e.Count), make([]float64, e.Count)
	}
	return p
}

// Count takes what a rank counted, set after set.
func (p *Planner) Count(fresh []uint32) {
	if len(fresh) != p.Sets*p.Experts.Count {
		return
	}
	for i, n := range fresh {
		p.recent[i/p.Experts.Count][i%p.Experts.Count] += float64(n)
	}
}

// SetRankExperts takes the experts that a rank holds.
func (p *Planner) SetRankExperts(rank int, epoch uint64, h hold.RankExperts) {
	p.ranks[rank] = holding{RankExperts: h, epoch: epoch}
}

// SwitchBegun notes under which version the newest decision is being put in force.
func (p *Planner) SwitchBegun(version uint64) {
	p.begunVersion = version
}

// Decay lets older counts weigh less.
func (p *Planner) Decay(now time.Time) {
	factor := math.Exp2(-now.Sub(p.faded).Seconds() / halfLife.Seconds())
	p.faded = now
	for s, set := range p.loads {
		recent := p.recent[s]
		if shifted(set, recent, fewest*float64(p.Experts.Count)) {
			clear(set)
		}
		for e := range set {
			set[e] = set[e]*factor + recent[e]
		}
		clear(recent)
	}
}

// shifted reports whether demand has changed between two counts of one set.
func shifted(before, recent []float64, least float64) bool {
	b, r := sum(before), sum(recent)
	if b < least || r < least {
		return false
	}
	distance := 0.0
	for e := range before {
		distance += math.Abs(before[e]/b-recent[e]/r) / 2
	}
	return distance > shiftDistance
}

// placements returns the present maps by set, or nil while some rank's experts are not known.
func (p *Planner) placements(epoch, version uint64, size int) (maps []*balance.Placement) {
	if version == p.begunVersion && len(p.decided) == p.Sets {
		for _, set := range p.decided {
			maps = append(maps, &balance.Placement{Ranks: set})
		}
		return maps
	}
	for s := range p.Sets {
		m := &balance.Placement{Ranks: make([][]int, size)}
		for r := range size {
			h, ok := p.ranks[r]
			if !ok || h.epoch != epoch || h.MapVersion != version || s >= len(h.Experts) {
				return nil
			}
			m.Ranks[r] = h.Experts[s]
		}
		maps = append(maps, m)
	}
	return maps
}

// Decide returns new maps when their saving pays for the experts to load.
func (p *Planner) Decide(now time.Time, epoch, version uint64, size int) (d Decision, ok bool) {
	if now.Sub(p.begun) < pause {
		return d, false
	}
	maps := p.placements(epoch, version, size)
	if maps == nil {
		return d, false
	}
	for _, loads := range p.loads {
		if sum(loads) < fewest*float64(p.Experts.Count) {
			return d, false
		}
	}
	better := p.relieve(maps, size)
	skew, next := 0.0, 0.0
	for s, m := range maps {
		skew += balance.Skew(m.Times(p.loads[s], nil)) / float64(p.Sets)
		next += balance.Skew(better[s].Times(p.loads[s], nil)) / float64(p.Sets)
		d.Loaded += balance.Moves(m, better[s])
		d.Map = append(d.Map, better[s].Ranks)
	}
	d.Skew, d.Next = p.pass(skew), p.pass(next)
	if d.Loaded == 0 || (d.Skew-d.Next)/d.Skew < leastGain {
		return d, false
	}
	p.begun, p.decided = now, d.Map
	return d, true
}

// relieve returns better maps. Every pass waits for the busiest rank of each set, so each set may first load its part of
// the experts of a switch; what a set does not use goes to the others.
func (p *Planner) relieve(maps []*balance.Placement, size int) []*balance.Placement {
	better := slices.Clone(maps)
	room := slices.Repeat([]int{rankLoads}, size)
	for _, limit := range []int{max(1, rankLoads*size/p.Sets), 0} {
		for _, s := range p.order(better) {
			o := balance.Relief{Places: p.Places, Fresh: p.Spare, Room: room, Loads: limit, Price: p.price()}
			m, _ := balance.Relieve(o, better[s], p.loads[s])
			spend(room, better[s], m)
			better[s] = m
		}
	}
	return better
}

// order returns the sets, the one with the largest skew first.
func (p *Planner) order(maps []*balance.Placement) []int {
	skews := make([]float64, p.Sets)
	order := make([]int, p.Sets)
	for s, m := range maps {
		skews[s], order[s] = balance.Skew(m.Times(p.loads[s], nil)), s
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(skews[b], skews[a]) })
	return order
}

// spend takes the experts that each rank loads from the room that it has.
func spend(room []int, from, to *balance.Placement) {
	for r, held := range to.Ranks {
		for _, e := range held {
			if !slices.Contains(from.Ranks[r], e) {
				room[r]--
			}
		}
	}
}

// price returns the fall of a set's skew that pays for one loaded expert.
func (p *Planner) price() float64 {
	return copyPrice.Seconds() / horizon.Seconds() * float64(p.Sets) / p.Share
}

// pass returns the time of a pass over that of an even group, for a mean skew of the sets.
func (p *Planner) pass(skew float64) float64 {
	return 1 - p.Share + p.Share*skew
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// NoOpMap returns a map under which a rank keeps what it holds; the other ranks get the remaining experts in turn.
// It returns nil where the remaining experts have no room.
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
			if len(experts) > e.Places {
				return nil
			}
		}
		sets = append(sets, ranks)
	}
	return sets
}
