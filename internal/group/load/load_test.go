package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	experts = site.Experts{Sets: 2, Count: 4, Capacity: 3, MaxAdded: 2, Share: 0.85}
)

func TestTally(t *testing.T) {
	is := is.New(t)
	var c Tally
	c.Add(hold.Counts{Epoch: 1, Chosen: []uint64{100, 200}})
	is.Equal(c.Take(), []uint32{0, 0}) // counts before the first reading have no known time
	c.Add(hold.Counts{Epoch: 1, Chosen: []uint64{110, 200}})
	c.Add(hold.Counts{Epoch: 1, Chosen: []uint64{110, 205}})
	is.Equal(c.Take(), []uint32{10, 5})
	is.Equal(c.Take(), []uint32{0, 0})
	c.Add(hold.Counts{Epoch: 2, Chosen: []uint64{3, 4}})
	is.Equal(c.Take(), []uint32{0, 0}) // a restarted engine counts from zero
}

// newPlanner returns a planner with the experts of two ranks under a version and the given counts.
func newPlanner(version uint64, counts []uint32) *Planner {
	p := NewPlanner(experts)
	p.SetRankExperts(0, 1, hold.RankExperts{MapVersion: version, Experts: [][]int{{0, 1}, {0, 1}}})
	p.SetRankExperts(1, 1, hold.RankExperts{MapVersion: version, Experts: [][]int{{2, 3}, {2, 3}}})
	p.Count(counts)
	p.Decay(start)
	return p
}

func TestDecide(t *testing.T) {
	skewed := []uint32{1000, 1000, 10, 10, 500, 500, 500, 500}
	even := []uint32{500, 500, 500, 500, 500, 500, 500, 500}
	tests := []struct {
		name    string
		counts  []uint32
		version uint64
		decided bool
	}{
		{"uneven load", skewed, 5, true},
		{"even load", even, 5, false},
		{"too few counts", []uint32{9, 9, 0, 0, 5, 5, 5, 5}, 5, false},
		{"ranks that report another map", skewed, 6, false},
		{"counts of the wrong length", []uint32{1000}, 5, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			d, ok := newPlanner(5, v.counts).Decide(start, 1, v.version, 2)
			is.Equal(ok, v.decided)
			is.Equal(ok, d.NextStepTime < d.StepTime && d.Loaded > 0 && len(d.Map) == 2 && ok)
		})
	}
}

// TestDecideAfterASwitch checks that the planner uses the decided map only while its version is in use, not after the
// switch was given up.
func TestDecideAfterASwitch(t *testing.T) {
	is := is.New(t)
	p := newPlanner(5, []uint32{1000, 1000, 10, 10, 500, 500, 500, 500})
	d, ok := p.Decide(start, 1, 5, 2)
	is.True(ok)
	p.SwitchBegun(6)
	is.Equal(p.currentMaps(1, 6, 2)[0].Ranks, d.Map[0])
	is.Equal(p.currentMaps(1, 5, 2)[0].Ranks, [][]int{{0, 1}, {2, 3}})
	is.Equal(p.currentMaps(1, 7, 2), nil)
}

func TestNoOpMap(t *testing.T) {
	is := is.New(t)
	sets := NoOpMap(experts, 0, 2, [][]int{{0, 2, 3}, {1}})
	is.Equal(sets, [][][]int{{{0, 2, 3}, {1}}, {{1}, {0, 2, 3}}})
	for _, ranks := range sets {
		all := slices.Concat(ranks...)
		slices.Sort(all)
		is.Equal(all, []int{0, 1, 2, 3})
	}
	is.Equal(NoOpMap(site.Experts{Sets: 1, Count: 9, Capacity: 3}, 0, 2, [][]int{{0}}), nil) // the rest exceeds the capacity
}

// The groups of TestFollowsShifts have the sizes of the users' groups, and their demand shifts as theirs does.
const (
	tick          = 100 * time.Millisecond
	shiftInterval = 3 * time.Second
	duration      = 30 * time.Second
	// armTime is the time from the last load to the use of the new map.
	armTime = 100 * time.Millisecond
	// shiftFraction is the fraction of the sets whose demand changes at a shift. zipfExponent gives the most demanded
	// expert of a small group a quarter of a set's tokens, as on the users' days.
	shiftFraction = 0.54
	zipfExponent  = 1.1
	// setTokens is the number of expert choices per set and tick.
	setTokens = 100_000
)

// group is a group whose demand shifts.
type group struct {
	site.Experts
	ranks int
	// exponent is that of the demand by Zipf's law.
	exponent float64
}

var smallGroup = group{site.Experts{Sets: 4, Count: 72, Capacity: 8, MaxAdded: 3, Share: 0.85, LoadTime: 98 * time.Millisecond}, 12, zipfExponent}

// shiftDemand moves the demand of a random fraction of the sets to other experts, by Zipf's law.
func (g *group) shiftDemand(random *rand.Rand, counts []uint32, share float64) {
	sum := 0.0
	for i := range g.Count {
		sum += math.Pow(float64(i+1), -g.exponent)
	}
	for s := range g.Sets {
		if random.Float64() >= share {
			continue
		}
		for i, e := range random.Perm(g.Count) {
			counts[s*g.Count+e] = uint32(setTokens * math.Pow(float64(i+1), -g.exponent) / sum)
		}
	}
}

// roundRobin returns maps that assign the experts to the ranks in turn.
func (g *group) roundRobin() (maps [][][]int) {
	for range g.Sets {
		ranks := make([][]int, g.ranks)
		for e := range g.Count {
			ranks[e%g.ranks] = append(ranks[e%g.ranks], e)
		}
		maps = append(maps, ranks)
	}
	return maps
}

// meanSkew returns the mean over all sets of the busiest rank's load relative to the mean load.
func (g *group) meanSkew(maps [][][]int, counts []uint32) (skew float64) {
	for s, ranks := range maps {
		loads := make([]float64, g.Count)
		for e := range loads {
			loads[e] = float64(counts[s*g.Count+e])
		}
		p := &balance.Placement{Ranks: ranks}
		skew += balance.Skew(p.Times(loads, nil)) / float64(g.Sets)
	}
	return skew
}

// report tells the planner the experts of all ranks.
func (g *group) report(p *Planner, maps [][][]int, version uint64) {
	for r := range g.ranks {
		held := make([][]int, g.Sets)
		for s := range held {
			held[s] = maps[s][r]
		}
		p.SetRankExperts(r, 1, hold.RankExperts{MapVersion: version, Experts: held})
	}
}

// TestFollowsShifts replays the demand of the users' calm days, in which other experts are in demand every three seconds.
// The busiest rank must have at most 1.4 times the mean load, the goal for such a day.
func TestFollowsShifts(t *testing.T) {
	tests := []struct {
		name string
		group
	}{
		{"12 ranks", smallGroup},
		{"129 ranks", group{site.Experts{Sets: 16, Count: 258, Capacity: 3, MaxAdded: 2, Share: 0.85, LoadTime: 7 * time.Millisecond}, 129, 0.45}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			skew, loaded := v.play()
			t.Logf("busiest rank over mean %.3f, %d experts loaded in %v", skew, loaded, duration)
			is.True(skew <= 1.4)
		})
	}
}

// play lets a planner follow the shifts and returns the mean skew and the number of loaded experts.
func (g *group) play() (skew float64, loaded int) {
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPlanner(g.Experts)
	maps, version := g.roundRobin(), uint64(1)
	var next [][][]int
	var inForce time.Time
	sum, ticks := 0.0, 0
	counts := make([]uint32, g.Sets*g.Count)
	g.shiftDemand(random, counts, 1)
	for at := time.Duration(0); at < duration; at += tick {
		now := start.Add(at)
		if at%shiftInterval == 0 {
			g.shiftDemand(random, counts, shiftFraction)
		}
		if next != nil && !now.Before(inForce) {
			maps, next = next, nil
			version++
		}
		sum += g.meanSkew(maps, counts)
		ticks++
		g.report(p, maps, version)
		p.Count(counts)
		p.Measure(now, version)
		p.Decay(now)
		if next != nil {
			continue
		}
		if d, ok := p.Decide(now, 1, version, g.ranks); ok {
			next, inForce = d.Map, now.Add(armTime+time.Duration(g.maxLoads(maps, d.Map))*g.LoadTime)
			loaded += d.Loaded
			p.SwitchBegun(version + 1)
		}
	}
	return sum / float64(ticks), loaded
}

// maxLoads returns the maximum number of experts that a rank loads for a switch between two maps.
func (g *group) maxLoads(from, to [][][]int) (most int) {
	for r := range g.ranks {
		n := 0
		for s := range to {
			for _, e := range to[s][r] {
				if !slices.Contains(from[s][r], e) {
					n++
				}
			}
		}
		most = max(most, n)
	}
	return most
}

// TestDropsCountsAtShift checks that the first map after a shift fits the new demand, since older counts are dropped.
func TestDropsCountsAtShift(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	p := NewPlanner(smallGroup.Experts)
	counts := make([]uint32, smallGroup.Sets*smallGroup.Count)
	smallGroup.shiftDemand(random, counts, 1)
	now := start
	for range 20 {
		now = now.Add(tick)
		p.Count(counts)
		p.Decay(now)
	}
	smallGroup.shiftDemand(random, counts, 1)
	now = now.Add(tick)
	p.Count(counts)
	p.Decay(now)
	maps := smallGroup.roundRobin()
	for r := range smallGroup.ranks {
		held := make([][]int, smallGroup.Sets)
		for s := range held {
			held[s] = maps[s][r]
		}
		p.SetRankExperts(r, 1, hold.RankExperts{MapVersion: 1, Experts: held})
	}
	d, ok := p.Decide(now, 1, 1, smallGroup.ranks)
	is.True(ok)
	for s, ranks := range d.Map {
		set := counts[s*smallGroup.Count : (s+1)*smallGroup.Count]
		mostDemanded := slices.Index(set, slices.Max(set))
		replicas := 0
		for _, held := range ranks {
			if slices.Contains(held, mostDemanded) {
				replicas++
			}
		}
		is.True(replicas >= 2) // the most demanded expert has a quarter of the tokens, three times the mean of a rank
	}
}

// TestKeepsCountsWithoutShift checks that counts are not dropped for random variation.
func TestKeepsCountsWithoutShift(t *testing.T) {
	is := is.New(t)
	p := newPlanner(5, []uint32{500, 500, 500, 500, 500, 500, 500, 500})
	before := sum(p.loads[0])
	p.Count([]uint32{300, 260, 250, 240, 10, 10, 10, 10})
	p.Decay(start)
	is.Equal(sum(p.loads[0]), before+1050)
	is.Equal(sum(p.loads[1]), before+40) // too few counts to detect a shift
}

// BenchmarkDecide measures a decision after a shift of all demand in a large group.
func BenchmarkDecide(b *testing.B) {
	g := group{site.Experts{Sets: 16, Count: 258, Capacity: 3, MaxAdded: 2, Share: 0.85, LoadTime: 7 * time.Millisecond}, 129, 0.45}
	counts := make([]uint32, g.Sets*g.Count)
	g.shiftDemand(rand.New(rand.NewPCG(1, 2)), counts, 1)
	p := NewPlanner(g.Experts)
	maps := g.roundRobin()
	g.report(p, maps, 1)
	p.Count(counts)
	p.Decay(start)
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		p.Decide(now, 1, 1, g.ranks)
	}
}
