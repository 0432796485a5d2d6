package balance

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestRelieve changes the loads of a group repeatedly and checks the invariants of every map.
func TestRelieve(t *testing.T) {
	const experts, ranks, capacity, maxAdded = 72, 12, 8, 3
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	current := &Placement{Ranks: make([][]int, ranks)}
	for e := range experts {
		current.Ranks[e%ranks] = append(current.Ranks[e%ranks], e)
	}
	before, after := 0.0, 0.0
	const shifts = 60
	for range shifts {
		loads := make([]float64, experts)
		for e := range loads {
			loads[e] = 1 + 30*random.Float64()*random.Float64()*random.Float64()
		}
		next, loaded := Relieve(ReliefOptions{Capacity: capacity, MaxAdded: maxAdded, MinReduction: 0.01}, current, loads)
		is.Equal(loaded, Moves(current, next))
		for r, held := range next.Ranks {
			is.True(len(held) <= capacity)
			is.Equal(len(slices.Compact(slices.Clone(held))), len(held))
			added := 0
			for _, e := range held {
				if !slices.Contains(current.Ranks[r], e) {
					added++
				}
			}
			is.True(added <= maxAdded)
		}
		is.True(slices.Min(next.Replicas(experts)) >= 1)
		before += Skew(current.Times(loads, nil)) / shifts
		after += Skew(next.Times(loads, nil)) / shifts
		current = next
	}
	t.Logf("mean skew %.2f before and %.2f after", before, after)
	is.True(after-1 < (before-1)/2)
}

func TestRelieveMovesNothing(t *testing.T) {
	even := &Placement{Ranks: [][]int{{0, 1}, {2, 3}}}
	tests := []struct {
		name   string
		relief ReliefOptions
		loads  []float64
	}{
		{"even load", ReliefOptions{Capacity: 3, MaxAdded: 2, MinReduction: 0.01}, []float64{1, 1, 1, 1}},
		{"no load", ReliefOptions{Capacity: 3, MaxAdded: 2, MinReduction: 0.01}, []float64{0, 0, 0, 0}},
		{"a required reduction above the gain", ReliefOptions{Capacity: 3, MaxAdded: 2, MinReduction: 1}, []float64{1.2, 1, 1, 1}},
		{"no loads allowed", ReliefOptions{Capacity: 3, MaxAdded: 2, MaxAddedByRank: []int{0, 0}, MinReduction: 0.01}, []float64{5, 1, 1, 1}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			next, loaded := Relieve(v.relief, even, v.loads)
			is.Equal(loaded, 0)
			is.Equal(Moves(even, next), 0)
		})
	}
}
