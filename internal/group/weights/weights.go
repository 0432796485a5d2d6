// Package weights decides when a rank loads which expert from a rate-limited weight store.
package weights

import (
	"math"
	"slices"
	"time"
)

const (
	// increase is the share of the own part by which a loader speeds up after each load.
	increase = 0.25
	// decrease is the factor by which a loader slows down after a refusal.
	decrease = 0.5
)

// Options are the inputs of New.
type Options struct {
	// Rate is the number of experts a second that the store gives to the whole data centre.
	Rate float64
	// Loaders is the number of ranks in the data centre that may load; each has an equal part of Rate.
	Loaders int
}

// Loader paces the loads of one rank. Its own part of the store's rate is always its to use;
// beyond that it takes what the store gives and yields at each refusal, so no state is shared.
type Loader struct {
	Options
	// rate is the present pace in experts a second, never below the own part.
	rate float64
	// next is the earliest time of the next load.
	next time.Time
	// wanted lists the missing experts, the most urgent first.
	wanted []int
	// held is the set of experts that are loaded whole for the wanted map.
	held map[int]bool
	// loading is the expert that is being loaded, or negative.
	loading int
}

// New returns a Loader that wants nothing.
func New(o Options) *Loader {
	l := &Loader{Options: o, held: map[int]bool{}, loading: -1}
	l.rate = l.part()
	return l
}

// part returns the loader's own part of the store's rate.
func (l *Loader) part() float64 {
	return l.Rate / float64(max(1, l.Loaders))
}

// Want sets the experts that a new map needs beside those in use, with the load that each takes off the slowest rank.
// Experts that were loaded for an earlier map that never came into use are not loaded again.
func (l *Loader) Want(experts []int, relief []float64) {
	order := make([]int, len(experts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case relief[a] > relief[b]:
			return -1
		case relief[a] < relief[b]:
			return 1
		}
		return 0
	})
	keep := map[int]bool{}
	l.wanted = l.wanted[:0]
	for _, i := range order {
		e := experts[i]
		if l.held[e] {
			keep[e] = true
			continue
		}
		l.wanted = append(l.wanted, e)
	}
	l.held = keep
}

// Whole reports whether all wanted experts are loaded. Only then may the new map be used.
func (l *Loader) Whole() bool {
	return len(l.wanted) == 0
}

// Next returns the expert to load now, if any.
func (l *Loader) Next(now time.Time) (expert int, ok bool) {
	if l.loading >= 0 || len(l.wanted) == 0 || now.Before(l.next) {
		return 0, false
	}
	l.loading = l.wanted[0]
	l.next = now.Add(l.gap())
	return l.loading, true
}

func (l *Loader) gap() time.Duration {
	return time.Duration(float64(time.Second) / l.rate)
}

// Loaded takes the end of a load. One that failed half way is repeated in its turn; no other is.
func (l *Loader) Loaded(whole bool) {
	if l.loading < 0 {
		return
	}
	if whole {
		l.held[l.loading] = true
		l.wanted = slices.DeleteFunc(l.wanted, func(e int) bool { return e == l.loading })
		l.rate = math.Min(l.Rate, l.rate+increase*l.part())
	}
	l.loading = -1
}

// Refused takes a refusal by the store, which is busy with others.
func (l *Loader) Refused(now time.Time) {
	l.rate = math.Max(l.part(), l.rate*decrease)
	l.next = now.Add(l.gap())
	l.loading = -1
}
