package load

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
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
	p.Fade(start)
	p.Hold(0, 1, hold.Held{Map: version, Experts: [][]int{{0, 1}, {0, 1}}})
	p.Hold(1, 1, hold.Held{Map: version, Experts: [][]int{{2, 3}, {2, 3}}})
	p.Count(counts)
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
	p.Begun(6)
	is.Equal(p.placements(1, 6, 2)[0].Ranks, d.Map[0])
	is.Equal(p.placements(1, 5, 2)[0].Ranks, [][]int{{0, 1}, {2, 3}})
	is.Equal(p.placements(1, 7, 2), nil)
}

func TestKeep(t *testing.T) {
	is := is.New(t)
	sets := Keep(experts, 0, 2, [][]int{{0, 2, 3}, {1}})
	is.Equal(sets, [][][]int{{{0, 2, 3}, {1}}, {{1}, {0, 2, 3}}})
	for _, ranks := range sets {
		all := slices.Concat(ranks...)
		slices.Sort(all)
		is.Equal(all, []int{0, 1, 2, 3})
	}
	is.Equal(Keep(site.Experts{Sets: 1, Count: 9, Places: 3}, 0, 2, [][]int{{0}}), nil) // no room for the rest
}
