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

// routingPolicy is a named strategy to compare.
type routingPolicy struct {
	name        string
	newStrategy func(random *rand.Rand, f *fleet) strategy
}

var routingPolicies = []routingPolicy{
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
			return p.Pick(f.candidatesFor(now, e, prefix), prefix)
		}
	}},
}

// leastReported returns the target with the least reported load; ties are broken at random.
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

// prefixHash returns the target that rendezvous hashing ranks highest for the prefix, or a random one without a prefix.
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

// candidatesFor returns an entry's candidates for a request.
func (f *fleet) candidatesFor(now time.Duration, e *fakeEntry, prefix uint64) []route.Candidate {
	holders := e.holders[prefix]
	for i, t := range e.watched {
		r := &f.reports[t]
		since := 0
		for s := range e.attempts[t] {
			if s.sentAt > r.madeAt {
				since++
			}
		}
		e.candidates[i] = route.Candidate{
			Name: f.targets[t].name, SameCentre: f.targets[t].centre == e.centre, Width: f.width, Running: r.running, Queued: r.queued,
			Age: now - r.madeAt, OwnInFlight: e.inFlight[t], SentSinceReport: since, PrefixCached: prefix != 0 && holders[t],
		}
	}
	return e.candidates
}

var smallFleet = workload{centres: 3, entries: 9, targets: 12, width: 16, cacheSize: 40, load: 0.8, duration: 60 * time.Second}

var largeFleet = workload{
	centres: 9, entries: 630, targets: 369, width: 16, cacheSize: 40, load: 0.8, duration: 8 * time.Second,
}

// with returns a copy with another name and a change.
func (w workload) with(name string, change func(*workload)) workload {
	w.name = name
	change(&w)
	return w
}

func workloads() (list []workload) {
	for _, lag := range []time.Duration{0, 250 * time.Millisecond, time.Second, 5 * time.Second} {
		list = append(list, smallFleet.with(fmt.Sprintf("plain/lag=%v", lag), func(w *workload) { w.reportLag = lag }))
	}
	for _, lag := range []time.Duration{250 * time.Millisecond, 5 * time.Second} {
		list = append(list, smallFleet.with(fmt.Sprintf("prefixes/lag=%v", lag), func(w *workload) { w.reportLag, w.prefixes, w.zipf = lag, 300, 0.9 }))
		list = append(list, smallFleet.with(fmt.Sprintf("hot-prefix/lag=%v", lag), func(w *workload) { w.reportLag, w.prefixes, w.zipf = lag, 300, 1.6 }))
	}
	list = append(list, smallFleet.with("slow-targets", func(w *workload) { w.reportLag, w.slowTargets, w.load = time.Second, 2, 0.75 }))
	list = append(list, smallFleet.with("busy-centre", func(w *workload) { w.reportLag, w.skew, w.load = 250*time.Millisecond, 0.4, 0.7 }))
	list = append(list, largeFleet.with("large/lag=1s", func(w *workload) { w.reportLag = time.Second }))
	list = append(list, largeFleet.with("large-prefixes/lag=1s", func(w *workload) { w.reportLag, w.prefixes, w.zipf = time.Second, 9000, 0.9 }))
	return list
}

const routeSeeds = 3

// BenchmarkRoute measures the milliseconds to the first token and between tokens, cache hits, imbalance and herd.
func BenchmarkRoute(b *testing.B) {
	for _, w := range workloads() {
		for _, r := range routingPolicies {
			b.Run(w.name+"/"+r.name, func(b *testing.B) {
				var sum figures
				for b.Loop() {
					sum = figures{}
					for seed := range uint64(routeSeeds) {
						sum.merge(run(w, seed, r.newStrategy))
					}
				}
				sum.reportMetrics(b)
			})
		}
	}
}

// merge adds the figures of another seed.
func (v *figures) merge(w figures) {
	v.firstToken = append(v.firstToken, w.firstToken...)
	v.betweenTokens = append(v.betweenTokens, w.betweenTokens...)
	v.hits, v.requests = v.hits+w.hits, v.requests+w.requests
	v.imbalance += w.imbalance / routeSeeds
	v.herd += w.herd / routeSeeds
}

func (v *figures) reportMetrics(b *testing.B) {
	slices.Sort(v.firstToken)
	slices.Sort(v.betweenTokens)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(quantile(v.firstToken, 0.5), "first50_ms")
	b.ReportMetric(quantile(v.firstToken, 0.95), "first95_ms")
	b.ReportMetric(quantile(v.firstToken, 0.99), "first99_ms")
	b.ReportMetric(quantile(v.betweenTokens, 0.95), "between95_ms")
	b.ReportMetric(100*float64(v.hits)/float64(max(v.requests, 1)), "hits_%")
	b.ReportMetric(v.imbalance, "imbalance")
	b.ReportMetric(v.herd, "herd")
}
