// Package policy measures the routing, limits and retries with small seeded fakes.
package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

// Times of the fake targets.
const (
	coldPrefill = 120 * time.Millisecond
	warmPrefill = 12 * time.Millisecond
	// stepBase is the time between tokens of an empty target; a full one takes twice as long.
	stepBase   = 10 * time.Millisecond
	meanTokens = 60
	// reportPeriod is the time between two reports of all targets.
	reportPeriod = 250 * time.Millisecond
	// cacheLag is the age of cache events; cacheLoss of them never come.
	cacheLag  = time.Second
	cacheLoss = 0.2
	// hop is the extra time to a target in another data centre and back.
	hop = 3 * time.Millisecond
	// nearDegree and farDegree are the entries of the own and of other data centres that watch a target.
	nearDegree, farDegree = 12, 8
)

// workload describes the requests and the fleet that serves them.
type workload struct {
	name string
	// centres, entries and targets are counts; entries and targets are spread evenly over the centres.
	centres, entries, targets int
	// width is that of each target; cache is the number of prefixes that each keeps.
	width, cache int
	// prefixes is the number of distinct prefixes; zero means none. zipf is their skew.
	prefixes int
	zipf     float64
	// load is the share of the fleet's capacity that is asked for.
	load float64
	// skew is the share of arrivals at the first data centre; zero means an even spread.
	skew float64
	// slow is the number of targets at half the speed.
	slow int
	// lag is the age of a report when it arrives.
	lag time.Duration
	// span is the time of arrivals; the first quarter is not measured.
	span time.Duration
}

// fakeTarget is a queueing model of a target.
type fakeTarget struct {
	name   string
	index  int
	centre int
	// watchers are the entries that hear of the cache.
	watchers []*fakeEntry
	speed    float64
	running  int
	queue    []*fakeRequest
	// cache holds the prefixes, the newest last.
	cache []uint64
	// arrivals counts the requests since the newest report.
	arrivals, served int
	// busy is the time integral of running.
	busy float64
}

// fakeRequest is one request.
type fakeRequest struct {
	entry   *fakeEntry
	target  int
	at      time.Duration
	sent    time.Duration
	tokens  int
	prefix  uint64
	far     bool
	counted bool
}

// fakeEntry is an entry with its own view of the fleet.
type fakeEntry struct {
	centre  int
	watched []int
	// flight and since count own requests by target: all, and those sent after the newest report.
	flight []int
	sends  []map[*fakeRequest]bool
	// warm holds the known holders of a prefix.
	warm map[uint64]map[int]bool
	next int
	// candidates is reused between requests.
	candidates []route.Candidate
	choose     strategy
}

// strategy chooses an index of the entry's watched targets.
type strategy func(now time.Duration, e *fakeEntry, prefix uint64) int

// report is what the entries know of a target.
type report struct {
	made            time.Duration
	running, queued int
}

type timed struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)   { *a = append(*a, v.(timed)) }
func (a *agenda) Pop() any {
	old := *a
	v := old[len(old)-1]
	*a = old[:len(old)-1]
	return v
}

// figures are the results of one run.
type figures struct {
	first, between []float64
	hits, asked    int
	imbalance      float64
	// herd is the mean over the reports of the largest number of arrivals at a target until the
	// next report, over the mean.
	herd float64
}

// fleet is a running fake.
type fleet struct {
	workload
	random  *rand.Rand
	now     time.Duration
	agenda  agenda
	order   int
	targets []*fakeTarget
	entries []*fakeEntry
	reports []report
	figures figures
	herds   []float64
	zipf    []float64
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.agenda, timed{f.now + d, f.order, do})
}

// run plays a workload with a strategy for each entry.
func run(w workload, seed uint64, build func(*rand.Rand, *fleet) strategy) figures {
	f := &fleet{workload: w, random: rand.New(rand.NewPCG(seed, 7)), reports: nil}
	f.build(build)
	f.after(0, f.arrive)
	f.after(0, f.report)
	for f.agenda.Len() > 0 && f.now < w.span {
		v := heap.Pop(&f.agenda).(timed)
		f.now = v.at
		v.do()
	}
	return f.finish()
}

func (f *fleet) build(build func(*rand.Rand, *fleet) strategy) {
	names := []string{}
	for i := range f.workload.targets {
		t := &fakeTarget{index: i, name: "target-" + strconv.Itoa(i), centre: i % f.centres, speed: 1}
		if i < f.slow {
			t.speed = 0.5
		}
		f.targets = append(f.targets, t)
		names = append(names, t.name)
	}
	f.reports = append(f.reports, slices.Repeat([]report{{}}, len(f.targets))...)
	f.zipf = zipf(f.prefixes, f.workload.zipf)
	entryNames := []string{}
	for i := range f.workload.entries {
		entryNames = append(entryNames, "entry-"+strconv.Itoa(i))
	}
	for i := range f.workload.entries {
		f.entries = append(f.entries, f.newEntry(i, entryNames, names, build))
	}
}

func (f *fleet) newEntry(i int, entryNames, names []string, build func(*rand.Rand, *fleet) strategy) *fakeEntry {
	e := &fakeEntry{centre: i % f.centres, warm: map[uint64]map[int]bool{}, next: i}
	for centre := range f.centres {
		f.watch(e, centre, entryNames[i], entryNames, names)
	}
	slices.Sort(e.watched)
	e.flight = slices.Repeat([]int{0}, len(names))
	e.sends = slices.Repeat([]map[*fakeRequest]bool{nil}, len(names))
	e.candidates = slices.Repeat([]route.Candidate{{}}, len(e.watched))
	e.choose = build(rand.New(rand.NewPCG(f.random.Uint64(), 1)), f)
	return e
}

// watch adds an entry's subset of a data centre's targets.
func (f *fleet) watch(e *fakeEntry, centre int, name string, entryNames, names []string) {
	var rivals, targets []string
	for i, v := range entryNames {
		if (i%f.centres == centre) == (e.centre == centre) {
			rivals = append(rivals, v)
		}
	}
	for i, v := range names {
		if i%f.centres == centre {
			targets = append(targets, v)
		}
	}
	degree, least := farDegree, 2
	if e.centre == centre {
		degree, least = nearDegree, 8
	}
	for _, v := range route.Subset(name, rivals, targets, degree, least) {
		t := slices.Index(names, v)
		e.watched = append(e.watched, t)
		f.targets[t].watchers = append(f.targets[t].watchers, e)
	}
}

// zipf returns the cumulative shares of n values.
func zipf(n int, skew float64) (shares []float64) {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -skew)
		shares = append(shares, sum)
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// rate returns the arrivals a second that make the workload's load, prefixes being warm.
func (f *fleet) rate() float64 {
	prefill := coldPrefill
	if f.prefixes > 0 {
		prefill = (coldPrefill + 3*warmPrefill) / 4
	}
	service := prefill.Seconds() + meanTokens*2*stepBase.Seconds()
	capacity := 0.0
	for _, t := range f.targets {
		capacity += t.speed * float64(f.width) / service
	}
	return f.load * capacity
}

func (f *fleet) arrive() {
	f.after(time.Duration(f.random.ExpFloat64()/f.rate()*float64(time.Second)), f.arrive)
	r := &fakeRequest{at: f.now, tokens: 1 + int(f.random.ExpFloat64()*meanTokens), counted: f.now > f.span/4}
	if f.prefixes > 0 {
		at, _ := slices.BinarySearch(f.zipf, f.random.Float64())
		r.prefix = uint64(min(at, f.prefixes-1) + 1)
	}
	e := f.entries[f.random.IntN(len(f.entries))]
	if f.skew > 0 && f.random.Float64() < f.skew {
		e = f.entries[f.random.IntN(len(f.entries)/f.centres)*f.centres]
	}
	f.send(e, r)
}

func (f *fleet) send(e *fakeEntry, r *fakeRequest) {
	i := e.watched[e.choose(f.now, e, r.prefix)]
	t := f.targets[i]
	r.entry, r.target, r.sent, r.far = e, i, f.now, t.centre != e.centre
	e.flight[i]++
	if e.sends[i] == nil {
		e.sends[i] = map[*fakeRequest]bool{}
	}
	e.sends[i][r] = true
	t.arrivals++
	if t.running < f.width {
		f.start(t, r)
		return
	}
	t.queue = append(t.queue, r)
}

// start runs a request at a target.
func (f *fleet) start(t *fakeTarget, r *fakeRequest) {
	t.running++
	t.served++
	step := stepBase.Seconds() * (1 + float64(t.running)/float64(f.width)) / t.speed
	prefill := coldPrefill
	if r.prefix != 0 && f.touch(t, r.prefix) {
		prefill = warmPrefill
		f.hit(r)
	}
	wait := prefill.Seconds() / t.speed
	service := wait + float64(r.tokens)*step
	if r.counted {
		first := (f.now - r.at).Seconds() + wait + step
		if r.far {
			first += hop.Seconds()
		}
		f.figures.asked++
		f.figures.first = append(f.figures.first, first)
		f.figures.between = append(f.figures.between, step)
		t.busy += service
	}
	f.after(time.Duration(service*float64(time.Second)), func() { f.end(t, r) })
}

func (f *fleet) hit(r *fakeRequest) {
	if r.counted {
		f.figures.hits++
	}
}

func (f *fleet) end(t *fakeTarget, r *fakeRequest) {
	t.running--
	r.entry.flight[r.target]--
	delete(r.entry.sends[r.target], r)
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		f.start(t, next)
	}
}

// touch puts a prefix into the cache and reports whether it was there; entries hear of changes late or never.
func (f *fleet) touch(t *fakeTarget, prefix uint64) (hit bool) {
	at := slices.Index(t.cache, prefix)
	if at >= 0 {
		t.cache = append(slices.Delete(t.cache, at, at+1), prefix)
		return true
	}
	t.cache = append(t.cache, prefix)
	f.publish(t, prefix, true)
	if len(t.cache) > f.cache {
		f.publish(t, t.cache[0], false)
		t.cache = t.cache[1:]
	}
	return false
}

func (f *fleet) publish(t *fakeTarget, prefix uint64, present bool) {
	if f.random.Float64() < cacheLoss {
		return
	}
	f.after(cacheLag, func() {
		for _, e := range t.watchers {
			if e.warm[prefix] == nil {
				e.warm[prefix] = map[int]bool{}
			}
			if present {
				e.warm[prefix][t.index] = true
			} else {
				delete(e.warm[prefix], t.index)
			}
		}
	})
}

// report hands the state of all targets to all entries after the lag.
func (f *fleet) report() {
	f.after(reportPeriod, f.report)
	reports := make([]report, len(f.targets))
	most, sum := 0, 0
	for i, t := range f.targets {
		reports[i] = report{made: f.now, running: t.running, queued: len(t.queue)}
		most, sum = max(most, t.arrivals), sum+t.arrivals
		t.arrivals = 0
	}
	if sum > 0 && f.now > f.span/4 {
		f.herds = append(f.herds, float64(most)*float64(len(f.targets))/float64(sum))
	}
	f.after(f.lag, func() { f.reports = reports })
}

func (f *fleet) finish() figures {
	most, sum := 0.0, 0.0
	for _, t := range f.targets {
		most, sum = max(most, t.busy), sum+t.busy
	}
	v := f.figures
	v.imbalance = most * float64(len(f.targets)) / sum
	for _, h := range f.herds {
		v.herd += h / float64(len(f.herds))
	}
	slices.Sort(v.first)
	slices.Sort(v.between)
	return v
}

// quantile returns a quantile of sorted values in milliseconds.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return 1000 * sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
