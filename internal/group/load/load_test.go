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
	experts = site.Experts{Sets: 2, Count: 4, Places: 3, Spare: 2, Share: 0.85}
)

func TestTally(t *testing.T) {
	is := is.New(t)
	var c Tally
	c.Add(hold.Counts{Epoch: 1, Chosen: []uint64{100, 200}})
	is.Equal(c.Take(), []uint32{0, 0}) // what was counted before the first reading has no time
	c.Add(hold.Counts{Epoch: 1, Chosen: []uint64{110, 200}})
	c.Add(hold.Counts{Epoch: 1, Chosen: []uint64{110, 205}})
	is.Equal(c.Take(), []uint32{10, 5})
	is.Equal(c.Take(), []uint32{0, 0})
	c.Add(hold.Counts{Epoch: 2, Chosen: []uint64{3, 4}})
	is.Equal(c.Take(), []uint32{0, 0}) // the engine counts anew
}

// newPlanner returns a planner that knows two ranks and has counted load on the experts of the first.
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
		{"ranks that tell of another map", skewed, 6, false},
		{"counts of another shape", []uint32{1000}, 5, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			d, ok := newPlanner(5, v.counts).Decide(start, 1, v.version, 2)
			is.Equal(ok, v.decided)
			is.Equal(ok, d.Next < d.Skew && d.Loaded > 0 && len(d.Map) == 2 && ok)
		})
	}
}

// TestDecideAfterASwitch checks that the decided map is known once its version is in use, and not when the switch was given up.
func TestDecideAfterASwitch(t *testing.T) {
	is := is.New(t)
	p := newPlanner(5, []uint32{1000, 1000, 10, 10, 500, 500, 500, 500})
	d, ok := p.Decide(start, 1, 5, 2)
	is.True(ok)
	p.SwitchBegun(6)
	is.Equal(p.placements(1, 6, 2)[0].Ranks, d.Map[0])
	is.Equal(p.placements(1, 5, 2)[0].Ranks, [][]int{{0, 1}, {2, 3}})
	is.Equal(p.placements(1, 7, 2), nil)
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
	is.Equal(NoOpMap(site.Experts{Sets: 1, Count: 9, Places: 3}, 0, 2, [][]int{{0}}), nil) // no room for the rest
}

// The world of TestFollowsShifts: a group of the users' size, whose demand shifts as on their days.
const (
	worldRanks  = 12
	worldTick   = 100 * time.Millisecond
	worldShift  = 3 * time.Second
	worldLength = 30 * time.Second
	// worldLoad is the time in which a rank loads one expert, and worldArm that from the last load to the new map.
	worldLoad = 100 * time.Millisecond
	worldArm  = 100 * time.Millisecond
	// worldShare is the part of the sets whose demand changes at a shift, and worldSkew the exponent of Zipf's law that
	// gives the most wanted expert the quarter of a set's tokens that it has on those days.
	worldShare = 0.54
	worldSkew  = 1.1
	// worldTokens is the number of choices in one tick and set.
	worldTokens = 100_000
)

var worldExperts = site.Experts{Sets: 4, Count: 72, Places: 8, Spare: 3, Share: 0.85}

// shift lets the demand for some sets go to other experts: a few are chosen much more often than others.
func shift(random *rand.Rand, counts []uint32, share float64) {
	sum := 0.0
	for i := range worldExperts.Count {
		sum += math.Pow(float64(i+1), -worldSkew)
	}
	for s := range worldExperts.Sets {
		if random.Float64() >= share {
			continue
		}
		for i, e := range random.Perm(worldExperts.Count) {
			counts[s*worldExperts.Count+e] = uint32(worldTokens * math.Pow(float64(i+1), -worldSkew) / sum)
		}
	}
}

// inTurn returns the map that assigns experts in turn.
func inTurn() (maps [][][]int) {
	for range worldExperts.Sets {
		ranks := make([][]int, worldRanks)
		for e := range worldExperts.Count {
			ranks[e%worldRanks] = append(ranks[e%worldRanks], e)
		}
		maps = append(maps, ranks)
	}
	return maps
}

// meanSkew returns the load of the busiest rank over the mean, as a mean of the sets.
func meanSkew(maps [][][]int, counts []uint32) (skew float64) {
	for s, ranks := range maps {
		loads := make([]float64, worldExperts.Count)
		for e := range loads {
			loads[e] = float64(counts[s*worldExperts.Count+e])
		}
		p := &balance.Placement{Ranks: ranks}
		skew += balance.Skew(p.Times(loads, nil)) / float64(worldExperts.Sets)
	}
	return skew
}

// TestFollowsShifts plays the demand of the users' calm days: every three seconds other experts are in demand. The aim for
// such a day is that the busiest rank has at most 1.4 times the mean load.
func TestFollowsShifts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPlanner(worldExperts)
	maps, version := inTurn(), uint64(1)
	var next [][][]int
	var inForce time.Time
	sum, ticks, loaded := 0.0, 0, 0
	counts := make([]uint32, worldExperts.Sets*worldExperts.Count)
	shift(random, counts, 1)
	for at := time.Duration(0); at < worldLength; at += worldTick {
		now := start.Add(at)
		if at%worldShift == 0 {
			shift(random, counts, worldShare)
		}
		if next != nil && !now.Before(inForce) {
			maps, next = next, nil
			version++
		}
		sum += meanSkew(maps, counts)
		ticks++
		for r := range worldRanks {
			held := make([][]int, worldExperts.Sets)
			for s := range held {
				held[s] = maps[s][r]
			}
			p.SetRankExperts(r, 1, hold.RankExperts{MapVersion: version, Experts: held})
		}
		p.Count(counts)
		p.Decay(now)
		if next != nil {
			continue
		}
		if d, ok := p.Decide(now, 1, version, worldRanks); ok {
			next, inForce = d.Map, now.Add(worldArm+time.Duration(mostLoads(maps, d.Map))*worldLoad)
			loaded += d.Loaded
			p.SwitchBegun(version + 1)
		}
	}
	t.Logf("busiest rank over mean %.3f, %d experts loaded in %v", sum/float64(ticks), loaded, worldLength)
	is.True(sum/float64(ticks) <= 1.4)
}

// mostLoads returns the largest number of experts that a rank loads from one map to another.
func mostLoads(from, to [][][]int) (most int) {
	for r := range worldRanks {
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

// TestForgetsAtAShift checks that the first map after a shift fits the new demand: the counts of one tick weigh more than
// all those before.
func TestForgetsAtAShift(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	p := NewPlanner(worldExperts)
	counts := make([]uint32, worldExperts.Sets*worldExperts.Count)
	shift(random, counts, 1)
	now := start
	for range 20 {
		now = now.Add(worldTick)
		p.Count(counts)
		p.Decay(now)
	}
	shift(random, counts, 1)
	now = now.Add(worldTick)
	p.Count(counts)
	p.Decay(now)
	maps := inTurn()
	for r := range worldRanks {
		held := make([][]int, worldExperts.Sets)
		for s := range held {
			held[s] = maps[s][r]
		}
		p.SetRankExperts(r, 1, hold.RankExperts{MapVersion: 1, Experts: held})
	}
	d, ok := p.Decide(now, 1, 1, worldRanks)
	is.True(ok)
	for s, ranks := range d.Map {
		set := counts[s*worldExperts.Count : (s+1)*worldExperts.Count]
		wanted := slices.Index(set, slices.Max(set))
		copies := 0
		for _, held := range ranks {
			if slices.Contains(held, wanted) {
				copies++
			}
		}
		is.True(copies >= 2) // the most wanted expert has a quarter of the tokens, three times the mean of a rank
	}
}

// TestKeepsCountsWithoutAShift checks that counts which differ by chance only are not forgotten.
func TestKeepsCountsWithoutAShift(t *testing.T) {
	is := is.New(t)
	p := newPlanner(5, []uint32{500, 500, 500, 500, 500, 500, 500, 500})
	before := sum(p.loads[0])
	p.Count([]uint32{300, 260, 250, 240, 10, 10, 10, 10})
	p.Decay(start)
	is.Equal(sum(p.loads[0]), before+1050)
	is.Equal(sum(p.loads[1]), before+40) // too few counts to tell a shift
}
