// Package weights decides which expert a rank loads next from a rate-limited weight store, and when.
package weights

import (
	"math"
	"slices"
	"time"
)

const (
	// additiveIncrease is the fraction of its fair share by which a loader raises its rate after each load.
	additiveIncrease = 0.25
	// multiplicativeDecrease is the factor applied to the rate after a refusal.
	multiplicativeDecrease = 0.5
)

// Options are the inputs of New.
type Options struct {
	// StoreRate is the store's limit for the whole data centre, in experts per second.
	StoreRate float64
	// Loaders is the number of ranks in the data centre that may load; each has an equal share of StoreRate.
	Loaders int
}

// Loader limits the load rate of one rank. The rate never falls below the rank's fair share of the store's rate.
// Above that it adapts by additive increase and multiplicative decrease, so loaders share no state.
type Loader struct {
	Options
	// rate is the current rate in experts per second, never below the fair share.
	rate float64
	// earliest is the time before which no load starts.
	earliest time.Time
	// wanted lists the missing experts, most urgent first.
	wanted []int
	// loaded is the set of experts that are completely loaded for the wanted map.
	loaded map[int]bool
	// loading is the expert being loaded, or negative.
	loading int
}

// New returns a Loader without wanted experts.
func New(o Options) *Loader {
	l := &Loader{Options: o, loaded: map[int]bool{}, loading: -1}
	l.rate = l.fairShare()
	return l
}

// fairShare returns an equal share of the store's rate.
func (l *Loader) fairShare() float64 {
	return l.StoreRate / float64(max(1, l.Loaders))
}

// SetWanted sets the experts that a new map needs in addition to those in use, with the load that each takes off the
// slowest rank. Experts already loaded for an earlier map that was never used are not loaded again.
func (l *Loader) SetWanted(experts []int, relief []float64) {
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
	reused := map[int]bool{}
	l.wanted = l.wanted[:0]
	for _, i := range order {
		e := experts[i]
		if l.loaded[e] {
			reused[e] = true
			continue
		}
		l.wanted = append(l.wanted, e)
	}
	l.loaded = reused
}

// Complete reports whether all wanted experts are loaded. The new map must not be used before that.
func (l *Loader) Complete() bool {
	return len(l.wanted) == 0
}

// Next returns the expert to load now, if any, and marks it as loading.
func (l *Loader) Next(now time.Time) (expert int, ok bool) {
	if l.loading >= 0 || len(l.wanted) == 0 || now.Before(l.earliest) {
		return 0, false
	}
	l.loading = l.wanted[0]
	l.earliest = now.Add(l.interval())
	return l.loading, true
}

func (l *Loader) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.rate)
}

// LoadDone handles the end of a load. Only an incomplete load is retried, in its turn.
func (l *Loader) LoadDone(complete bool) {
	if l.loading < 0 {
		return
	}
	if complete {
		l.loaded[l.loading] = true
		l.wanted = slices.DeleteFunc(l.wanted, func(e int) bool { return e == l.loading })
		l.rate = math.Min(l.StoreRate, l.rate+additiveIncrease*l.fairShare())
	}
	l.loading = -1
}

// LoadRefused handles a refusal by the store, which is at its rate limit.
func (l *Loader) LoadRefused(now time.Time) {
	l.rate = math.Max(l.fairShare(), l.rate*multiplicativeDecrease)
	l.earliest = now.Add(l.interval())
	l.loading = -1
}
