package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

// rival is a named way to route.
type rival struct {
	name string
	make func(random *rand.Rand, f *fleet) strategy
}

var rivals = []rival{
	{"random", func(random *rand.Rand, _ *fleet) strategy {
		return func(_ time.Duration, e *fakeEntry, _ uint64) int { return random.IntN(len(e.watched)) }
	}},
	{"round-robin", func(*rand.Rand, *fleet) strategy {
		return func(_ time.Duration, e *fakeEntry, _ uint64) int {
			e.next++
			return e.next % len(e.watched)
		}
	}},
	{"least-reported", func(random *rand.Rand, f *fleet) strategy {
		return func(_ time.Duration, e *fakeEntry, _ uint64) int { return leastReported(random, f, e) }
	}},
	{"prefix-hash", func(random *rand.Rand, f *fleet) strategy {
		return func(_ time.Duration, e *fakeEntry, prefix uint64) int { return prefixHash(random, f, e, prefix) }
	}},
	{"ours", func(random *rand.Rand, f *fleet) strategy {
		p := route.NewPicker(route.Options{Random: random})
		return func(now time.Duration, e *fakeEntry, prefix uint64) int {
			return p.Pick(f.view(now, e, prefix), prefix)
		}
	}},
}

// leastReported returns the target with the least reported load; equals are chosen between at random.
func leastReported(random *rand.Rand, f *fleet, e *fakeEntry) int {
	best, least, equals := 0, math.MaxInt, 0
	for i, t := range e.watched {
		load := f.reports[t].running + f.reports[t].queued
		if load > least {
			continue
		}
		if load < least {
			equals = 0
		}
		least = load
		equals++
		if random.IntN(equals) == 0 {
			best = i
		}
	}
	return best
}

// prefixHash returns the target that ranks highest for the prefix, or a random one without a prefix.
func prefixHash(random *rand.Rand, f *fleet, e *fakeEntry, prefix uint64) int {
	if prefix == 0 {
		return random.IntN(len(e.watched))
	}
	best, bestScore := 0, uint64(0)
	for i, t := range e.watched {
		if score := rendezvous.Score(strconv.FormatUint(prefix, 16), f.targets[t].name); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// view returns an entry's candidates for a request.
func (f *fleet) view(now time.Duration, e *fakeEntry, prefix uint64) []route.Candidate {
	holders := e.warm[prefix]
	for i, t := range e.watched {
		r := &f.reports[t]
		since := 0
		for s := range e.sends[t] {
			if s.sent > r.made {
				since++
			}
		}
		e.candidates[i] = route.Candidate{
			Name: f.targets[t].name, Near: f.targets[t].centre == e.centre, Width: f.width, Running: r.running, Queued: r.queued,
			Age: now - r.made, Own: e.flight[t], Since: since, Warm: prefix != 0 && holders[t],
		}
	}
	return e.candidates
}

var small = workload{centres: 3, entries: 9, targets: 12, width: 16, cache: 40, load: 0.8, span: 60 * time.Second}

var large = workload{
	centres: 9, entries: 630, targets: 369, width: 16, cache: 40, load: 0.8, span: 8 * time.Second,
}

// with returns a changed copy.
func (w workload) with(name string, change func(*workload)) workload {
	w.name = name
	change(&w)
	return w
}

func workloads() (list []workload) {
	for _, lag := range []time.Duration{0, 250 * time.Millisecond, time.Second, 5 * time.Second} {
		list = append(list, small.with(fmt.Sprintf("plain/lag=%v", lag), func(w *workload) { w.lag = lag }))
	}
	for _, lag := range []time.Duration{250 * time.Millisecond, 5 * time.Second} {
		list = append(list, small.with(fmt.Sprintf("prefixes/lag=%v", lag), func(w *workload) { w.lag, w.prefixes, w.zipf = lag, 300, 0.9 }))
		list = append(list, small.with(fmt.Sprintf("hot-prefix/lag=%v", lag), func(w *workload) { w.lag, w.prefixes, w.zipf = lag, 300, 1.6 }))
	}
	list = append(list, small.with("slow-targets", func(w *workload) { w.lag, w.slow, w.load = time.Second, 2, 0.75 }))
	list = append(list, small.with("busy-centre", func(w *workload) { w.lag, w.skew, w.load = 250*time.Millisecond, 0.4, 0.7 }))
	list = append(list, large.with("large/lag=1s", func(w *workload) { w.lag = time.Second }))
	list = append(list, large.with("large-prefixes/lag=1s", func(w *workload) { w.lag, w.prefixes, w.zipf = time.Second, 9000, 0.9 }))
	return list
}

const routeSeeds = 3

// BenchmarkRoute reports milliseconds to the first token and between tokens, cache hits, imbalance and herd.
func BenchmarkRoute(b *testing.B) {
	for _, w := range workloads() {
		for _, r := range rivals {
			b.Run(w.name+"/"+r.name, func(b *testing.B) {
				var sum figures
				for b.Loop() {
					sum = figures{}
					for seed := range uint64(routeSeeds) {
						sum.add(run(w, seed, r.make))
					}
				}
				sum.show(b)
			})
		}
	}
}

// add joins the figures of another seed.
func (v *figures) add(w figures) {
	v.first = append(v.first, w.first...)
	v.between = append(v.between, w.between...)
	v.hits, v.asked = v.hits+w.hits, v.asked+w.asked
	v.imbalance += w.imbalance / routeSeeds
	v.herd += w.herd / routeSeeds
}

func (v *figures) show(b *testing.B) {
	slices.Sort(v.first)
	slices.Sort(v.between)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(quantile(v.first, 0.5), "first50_ms")
	b.ReportMetric(quantile(v.first, 0.95), "first95_ms")
	b.ReportMetric(quantile(v.first, 0.99), "first99_ms")
	b.ReportMetric(quantile(v.between, 0.95), "between95_ms")
	b.ReportMetric(100*float64(v.hits)/float64(max(v.asked, 1)), "hits_%")
	b.ReportMetric(v.imbalance, "imbalance")
	b.ReportMetric(v.herd, "herd")
}
