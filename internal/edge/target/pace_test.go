package target

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// rank is a target of a group in a test.
type rank struct {
	group   uint32
	pace    float64
	running int
}

// newRanks returns a registry with targets of six requests at once, all in data centre a, and their IDs in order.
func newRanks(ranks []rank) *Registry {
	r := NewRegistry()
	var list []site.Target
	for i, v := range ranks {
		t := testTarget(fmt.Sprintf("%03d", i), 1, false)
		t.Group, t.Pace = v.group, v.pace
		list = append(list, t)
	}
	r.Apply(start, list)
	for i, v := range ranks {
		r.members[fmt.Sprintf("%03d", i)].Others = v.running
	}
	return r
}

// TestChooseAvoidsSlowRanksAndStalledGroups checks which targets may be chosen, over all random values.
func TestChooseAvoidsSlowRanksAndStalledGroups(t *testing.T) {
	tests := []struct {
		name    string
		ranks   []rank
		stalled map[uint32]bool
		// chosen lists the targets that are chosen.
		chosen []int
	}{
		{"nothing is known", []rank{{0, 0, 1}, {0, 0, 1}, {0, 0, 2}}, nil, []int{0, 1}},
		{"a pace that is not known", []rank{{7, 0, 1}, {7, 1, 1}}, nil, []int{0, 1}},
		{"a slow idle one is as one with half a request", []rank{{7, 1.5, 0}, {7, 1, 0}, {7, 1, 1}}, nil, []int{1}},
		{"a slow one before busier ones", []rank{{7, 1.5, 1}, {7, 1, 3}}, nil, []int{0}},
		{"its load counts times its pace", []rank{{7, 2, 1}, {7, 1, 2}}, nil, []int{1}},
		{"very slow", []rank{{7, 12, 0}, {7, 1, 5}}, nil, []int{1}},
		{"very slow, no room elsewhere", []rank{{7, 3, 0}, {7, 1, 6}}, nil, []int{0}},
		{"very slow and full elsewhere", []rank{{7, 12, 0}, {7, 1, 6}}, nil, []int{1}},
		{"all very slow", []rank{{7, 12, 1}, {7, 12, 2}}, nil, []int{0}},
		{"a stalled group", []rank{{7, 1, 0}, {7, 1, 0}, {8, 1, 5}}, map[uint32]bool{7: true}, []int{2}},
		{"a stalled group, no room elsewhere", []rank{{7, 1, 5}, {8, 1, 6}}, map[uint32]bool{7: true}, []int{0}},
		{"all groups stalled", []rank{{7, 1, 1}, {8, 1, 2}}, map[uint32]bool{7: true, 8: true}, []int{0}},
		{"a stalled group and a very slow rank of another", []rank{{7, 1, 0}, {8, 12, 0}, {8, 1, 5}}, map[uint32]bool{7: true}, []int{2}},
		{"a group with a very slow rank", []rank{{7, 12, 0}, {7, 1, 0}, {8, 1, 5}}, nil, []int{2}},
		{"a group with a very slow rank, no room elsewhere", []rank{{7, 12, 0}, {7, 1, 5}, {8, 1, 6}}, nil, []int{1}},
		{"targets without a group", []rank{{0, 0, 5}, {7, 1, 0}}, map[uint32]bool{7: true}, []int{0}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r := newRanks(v.ranks)
			chosen := map[string]bool{}
			for i := range 100 {
				m := r.Choose(start, Choice{Service: "holds", Centre: "a", Stalled: v.stalled}, float64(i)/100)
				chosen[m.ID] = true
			}
			is.Equal(len(chosen), len(v.chosen))
			for _, i := range v.chosen {
				is.True(chosen[fmt.Sprintf("%03d", i)])
			}
		})
	}
}

// TestUsualPacesChooseAsBefore guards against any change of the choice where no target is slow: with and without groups and usual
// paces the same target must be chosen for the same random value.
func TestUsualPacesChooseAsBefore(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		known, unknown := make([]rank, 1+random.IntN(40)), []rank(nil)
		for i := range known {
			running := random.IntN(9)
			known[i] = rank{uint32(1 + random.IntN(3)), 1 + 0.2*random.Float64(), running}
			unknown = append(unknown, rank{running: running})
		}
		a, b := newRanks(known), newRanks(unknown)
		for _, r := range []*Registry{a, b} {
			if len(known) > 3 {
				r.members["001"].Leaving = true
				r.members["002"].Block(start)
				r.Rest(start, r.members["003"], start.Add(time.Second))
			}
		}
		c := Choice{Service: "holds", Centre: "a", Unknown: float64(random.IntN(3)) * 2.5}
		value := random.Float64()
		x, y := a.Choose(start, c, value), b.Choose(start, c, value)
		is.Equal(x == nil, y == nil)
		if x != nil {
			is.Equal(x.ID, y.ID)
		}
		o := a.Occupancy("holds", nil)
		is.Equal([]int{o.Running, o.Ranks, o.Width}, []int{b.Running("holds"), b.Available("holds"), b.Width("holds")})
	}
}

// TestRankStaysKnown checks that a list without groups, as the store has it, takes back nothing, and a new incarnation all.
func TestRankStaysKnown(t *testing.T) {
	is := is.New(t)
	r := newRanks([]rank{{7, 12, 0}, {7, 1, 0}})
	is.Equal(len(r.TakePaceChanges()), 1)
	r.Apply(start, []site.Target{testTarget("000", 1, false), testTarget("001", 1, false)})
	is.Equal(r.members["000"].Pace, 12.0)
	is.Equal(len(r.TakePaceChanges()), 0)
	silent := testTarget("000", 1, false)
	silent.Group = 7 // the last report of the pace is too old
	r.Apply(start, []site.Target{silent, testTarget("001", 1, false)})
	is.Equal(r.members["000"].Pace, 0.0)
	is.Equal(r.members["000"].Group, uint32(7))
	is.Equal(len(r.TakePaceChanges()), 1)
	r.Apply(start, []site.Target{testTarget("000", 2, false), testTarget("001", 1, false)})
	is.Equal(r.members["000"].Group, uint32(0))
	is.Equal(r.members["001"].Group, uint32(7))
}

// TestOccupancyLeavesOutDelayedGroups checks that the streams of a stalled or very slow group take no seats from the others, and that its own
// ranks offer none.
func TestOccupancyLeavesOutDelayedGroups(t *testing.T) {
	is := is.New(t)
	r := newRanks([]rank{{7, 1, 4}, {7, 1, 4}, {8, 1, 3}, {8, 1, 2}})
	o := r.Occupancy("holds", map[uint32]bool{7: true})
	is.Equal([]int{o.Running, o.Ranks, o.Width}, []int{5, 2, 12})
	o = r.Occupancy("holds", map[uint32]bool{7: true, 8: true})
	is.Equal([]int{o.Running, o.Ranks, o.Width}, []int{13, 4, 24})
	o = r.Occupancy("holds", map[uint32]bool{9: true})
	is.Equal([]int{o.Running, o.Ranks, o.Width}, []int{13, 4, 24})
	r = newRanks([]rank{{7, 12, 0}, {7, 1, 4}, {8, 1, 3}, {8, 1, 2}})
	o = r.Occupancy("holds", nil)
	is.Equal([]int{o.Running, o.Ranks, o.Width}, []int{5, 2, 12})
	o = r.Occupancy("holds", map[uint32]bool{8: true})
	is.Equal([]int{o.Running, o.Ranks, o.Width}, []int{4, 2, 12})
}

// TestGroupOccupancy checks that the estimate of a group's passes does not count the streams and ranks of others: a slow group
// keeps its streams long, and the passes of the others do not depend on them.
func TestGroupOccupancy(t *testing.T) {
	is := is.New(t)
	r := newRanks([]rank{{7, 12, 4}, {7, 1, 4}, {8, 1, 3}, {8, 1, 2}, {0, 0, 1}})
	is.Equal(r.GroupOccupancy("holds", 8), seat.Occupancy{Running: 5, Ranks: 2})
	is.Equal(r.GroupOccupancy("holds", 0), seat.Occupancy{Running: 14, Ranks: 5})
}

// TestSlowRanksUnderLoad places requests at 72 ranks of three groups, of which two are twelve times slower. They must get nothing
// at two thirds of what the targets can run, which is more than the third group can run.
func TestSlowRanksUnderLoad(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	ranks := make([]rank, 72)
	for i := range ranks {
		ranks[i] = rank{uint32(1 + i/24), 1 + 0.1*random.Float64(), 0}
	}
	ranks[5].pace, ranks[30].pace = 12, 12
	r := newRanks(ranks)
	for range 72 * 6 * 2 / 3 {
		m := r.Choose(start, Choice{Service: "holds", Centre: "a", Unknown: 10}, random.Float64())
		m.Others++
	}
	is.Equal(r.members["005"].Others+r.members["030"].Others, 0)
	most := 0.0
	for _, m := range r.members {
		most = math.Max(most, float64(m.Others))
	}
	is.True(most <= 6)
}
