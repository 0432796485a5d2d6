package weights

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	storeRate = 40.0
	tickTime  = 5 * time.Millisecond
	loadTime  = 20 * time.Millisecond
)

// store is a token bucket of experts, with a burst of one second's worth.
type store struct {
	tokens float64
	last   time.Time
	random *rand.Rand
	// fail is the fraction of loads that fail half way.
	fail float64
}

func (s *store) allow(now time.Time) bool {
	s.tokens = min(storeRate, s.tokens+storeRate*now.Sub(s.last).Seconds())
	s.last = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// result summarises one simulation.
type result struct {
	// completed is the time at which each rank had all its experts, in seconds.
	completed []float64
	// loads, failed and refused count the loads at the store.
	loads, failed, refused int
}

// simulate lets the first active ranks of a data centre load concurrently; policy adjusts a loader before each load.
func simulate(ranks, active, experts int, seed uint64, fail float64, policy func(l *Loader)) (r result) {
	s := &store{random: rand.New(rand.NewPCG(seed, 3)), fail: fail}
	start := time.Unix(0, 0)
	s.last = start
	loaders := make([]*Loader, active)
	ends := make([]time.Time, active)
	r.completed = make([]float64, active)
	for i := range loaders {
		loaders[i] = New(Options{StoreRate: storeRate, Loaders: ranks})
		wanted := s.random.Perm(experts)
		loaders[i].SetWanted(wanted, make([]float64, experts))
	}
	for now := start; now.Sub(start) < 10*time.Minute; now = now.Add(tickTime) {
		done := 0
		for _, i := range s.random.Perm(active) {
			l := loaders[i]
			if !ends[i].IsZero() && !now.Before(ends[i]) {
				ends[i] = time.Time{}
				failed := s.random.Float64() < s.fail
				l.LoadDone(!failed)
				if failed {
					r.failed++
				}
			}
			if l.Complete() {
				if r.completed[i] == 0 {
					r.completed[i] = now.Sub(start).Seconds()
				}
				done++
				continue
			}
			policy(l)
			if _, ok := l.Next(now); !ok {
				continue
			}
			if !s.allow(now) {
				r.refused++
				l.LoadRefused(now)
				continue
			}
			r.loads++
			ends[i] = now.Add(loadTime)
		}
		if done == active {
			return r
		}
	}
	return r
}

func adaptive(*Loader) {}

func fixedRate(l *Loader) { l.rate = l.fairShare() }

func unlimited(l *Loader) { l.rate, l.earliest = 1000, time.Time{} }

func TestNoRepeatedLoadsNorStarvation(t *testing.T) {
	tests := []struct {
		name          string
		ranks, active int
		fail          float64
	}{
		{"all at once", 12, 12, 0},
		{"one group of three", 12, 4, 0},
		{"loads fail half way", 12, 12, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := simulate(test.ranks, test.active, 20, 1, test.fail, adaptive)
			is.Equal(r.loads, 20*test.active+r.failed)
			// Each rank completes within the time that its fair share takes, plus an allowance for failures.
			fairTime := 20 * float64(test.ranks) / storeRate
			is.True(slices.Max(r.completed) <= fairTime*(1+3*test.fail)+1)
		})
	}
}

func TestReusesLoadsOfUnusedMap(t *testing.T) {
	is := is.New(t)
	l := New(Options{StoreRate: 10, Loaders: 1})
	l.SetWanted([]int{3, 5}, []float64{1, 2})
	now := time.Unix(0, 0)
	e, ok := l.Next(now)
	is.True(ok)
	is.Equal(e, 5)
	l.LoadDone(true)
	l.SetWanted([]int{5, 7}, []float64{1, 1})
	is.True(!l.Complete())
	e, ok = l.Next(now.Add(time.Second))
	is.True(ok)
	is.Equal(e, 7)
	l.LoadDone(true)
	is.True(l.Complete())
}

func BenchmarkStore(b *testing.B) {
	policies := []struct {
		name string
		f    func(*Loader)
	}{{"fixed", fixedRate}, {"greedy", unlimited}, {"ours", adaptive}}
	for _, active := range []int{4, 8, 12} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%d-of-12/%s", active, p.name), func(b *testing.B) {
				for range b.N {
					var times []float64
					refused, loads := 0, 0
					for seed := range uint64(5) {
						r := simulate(12, active, 20, seed, 0.05, p.f)
						times = append(times, r.completed...)
						refused += r.refused
						loads += r.loads
					}
					b.ReportMetric(slices.Max(times), "worst-s")
					b.ReportMetric(slices.Min(times), "first-s")
					b.ReportMetric(float64(loads)/5/storeRate, "bound-s")
					b.ReportMetric(float64(refused)/float64(loads), "refused/load")
				}
			})
		}
	}
}
