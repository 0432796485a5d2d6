package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// TestWishes checks which targets are chosen after what they have said and what the store lists.
func TestWishes(t *testing.T) {
	one, two := testTarget("1", 1, false), testTarget("2", 1, false)
	both := []site.Target{one, two}
	rest := func(until time.Duration) func(r *Registry, now time.Time) {
		return func(r *Registry, now time.Time) { r.Rest(now, r.members["1"], start.Add(until)) }
	}
	leave := func(r *Registry, now time.Time) { r.SetLeaving(now, r.members["1"]) }
	list := func(targets ...site.Target) func(r *Registry, now time.Time) {
		return func(r *Registry, now time.Time) { r.Apply(now, targets) }
	}
	wait := func(*Registry, time.Time) {}
	tests := []struct {
		name string
		// steps are a second apart.
		steps  []func(r *Registry, now time.Time)
		chosen bool
	}{
		{"nothing said", nil, true},
		{"it rests", []func(r *Registry, now time.Time){rest(3 * time.Second), wait}, false},
		{"it has rested", []func(r *Registry, now time.Time){rest(3 * time.Second), wait, wait}, true},
		{"a shorter rest does not end a longer one", []func(r *Registry, now time.Time){rest(9 * time.Second), rest(2 * time.Second), wait}, false},
		{"it rests, and its record is written again", []func(r *Registry, now time.Time){rest(9 * time.Second), list(two), list(one, two)}, false},
		{"it leaves", []func(r *Registry, now time.Time){leave, wait}, false},
		{"it leaves, and the store lists it as ready", []func(r *Registry, now time.Time){leave, list(both...)}, false},
		{"it leaves, and its record is written again", []func(r *Registry, now time.Time){leave, list(two), list(both...)}, false},
		{"it has left, and another incarnation joins", []func(r *Registry, now time.Time){leave, list(testTarget("1", 2, false), two)}, true},
		{"the store lists it as leaving and then as ready", []func(r *Registry, now time.Time){list(testTarget("1", 1, true), two), list(both...)}, false},
		{"the store listed it as leaving, and another incarnation joins", []func(r *Registry, now time.Time){list(testTarget("1", 1, true), two), list(testTarget("1", 2, false), two)}, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r, now := NewRegistry(), start
			r.Apply(now, both)
			for _, step := range v.steps {
				step(r, now)
				now = now.Add(time.Second)
			}
			c := Choice{Service: "holds", Tried: map[string]bool{"2": true}}
			is.Equal(r.Choose(now, c, 0) != nil, v.chosen)
			is.Equal(r.ChooseFixed(now, c, 7, func(uint32) bool { return false }) != nil, v.chosen)
		})
	}
}

func TestNextRested(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Apply(start, []site.Target{testTarget("1", 1, false), testTarget("2", 1, false), testTarget("3", 1, true)})
	c := Choice{Service: "holds"}
	is.True(r.NextRested(start, c).IsZero())
	for i, id := range []string{"1", "2", "3"} {
		r.Rest(start, r.members[id], start.Add(time.Duration(3-i)*time.Second))
	}
	is.Equal(r.NextRested(start, c), start.Add(2*time.Second))
	is.True(r.NextRested(start.Add(3*time.Second), c).IsZero())
}

// TestWishesAreBounded checks that the wishes of incarnations that are gone do not stay for ever.
func TestWishesAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	for i := range int64(3 * maxWishes) {
		r.Apply(start, []site.Target{testTarget("1", i, false)})
		r.SetLeaving(start, r.members["1"])
	}
	is.True(len(r.wishes) <= maxWishes+1)
}
