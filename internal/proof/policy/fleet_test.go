// Package policy measures the routing and the rate limits in small seeded simulations.
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

// Parameters of the simulation.
const (
	// coldPrefill is the prefill time of an uncached prompt prefix, warmPrefill that of a cached one.
	coldPrefill = 120 * time.Millisecond
	warmPrefill = 12 * time.Millisecond
	// stepBase is the time between tokens at an idle target; at a full one it is twice as long.
	stepBase   = 10 * time.Millisecond
	meanTokens = 60
	// reportPeriod is the time between two reports of all targets.
	reportPeriod = 250 * time.Millisecond
	// cacheLag is the delay of cache events; cacheLoss is the share of them that is lost.
	cacheLag  = time.Second
	cacheLoss = 0.2
	// remoteRoundTrip is the additional round-trip time to a target in another data centre.
	remoteRoundTrip = 3 * time.Millisecond
	// nearDegree is the number of entries in the target's data centre that watch it, farDegree that of entries in others.
	nearDegree, farDegree = 12, 8
)

// workload describes the requests and the fleet that serves them.
type workload struct {
	name string
	// centres, entries and targets are counts; entries and targets are distributed evenly over the data centres.
	centres, entries, targets int
	// width is the capacity of each target for running requests; cacheSize is the number of prefixes that it caches.
	width, cacheSize int
	// prefixes is the number of distinct prefixes; zero means none. zipf is the exponent of their popularity.
	prefixes int
	zipf     float64
	// load is the offered load as a share of the fleet's capacity.
	load float64
	// skew is the share of arrivals at the first data centre; zero means an even spread.
	skew float64
	// slowTargets is the number of targets at half speed.
	slowTargets int
	// reportLag is the age of a report when it arrives.
	reportLag time.Duration
	// duration is the simulated time; requests that arrive in the first quarter are not measured.
	duration time.Duration
}

// fakeTarget is a queueing model of a target.
type fakeTarget struct {
	name   string
	index  int
	centre int
	// watchers are the entries that receive the target's cache events.
	watchers []*fakeEntry
	speed    float64
	running  int
	queue    []*fakeRequest
	// cache holds the cached prefixes, the most recently used last.
	cache []uint64
	// arrivals counts the requests since the latest report, served all that have started.
	arrivals, served int
	// busyTime is the sum of the service times of measured requests in seconds.
	busyTime float64
}

// fakeRequest is a request; remote means that its target is in another data centre than its entry.
type fakeRequest struct {
	entry     *fakeEntry
	target    int
	arrivedAt time.Duration
	sentAt    time.Duration
	tokens    int
	prefix    uint64
	remote    bool
	measured  bool
}

// fakeEntry is an entry with its own view of the fleet.
type fakeEntry struct {
	centre  int
	watched []int
	// inFlight counts the entry's requests in flight by target; attempts holds them.
	inFlight []int
	attempts []map[*fakeRequest]bool
	// holders holds, by prefix, the targets that are known to cache it.
	holders map[uint64]map[int]bool
	// next is the position of the round robin.
	next int
	// candidates is reused for every request.
	candidates []route.Candidate
	choose     strategy
}

// strategy returns the index of a target among those that the entry watches.
type strategy func(now time.Duration, e *fakeEntry, prefix uint64) int

// report is the load report of a target.
type report struct {
	madeAt          time.Duration
	running, queued int
}

// event is an action at a simulated time; events at the same time run in the order in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// figures are the measurements of one run; firstToken and betweenTokens are in seconds.
type figures struct {
	firstToken, betweenTokens []float64
	hits, requests            int
	imbalance                 float64
	// herd is the largest number of arrivals at a target between two reports, divided by the mean over the targets
	// and averaged over the reports.
	herd float64
}

// fleet is the simulation of one run.
type fleet struct {
	workload
	random      *rand.Rand
	now         time.Duration
	events      eventQueue
	order       int
	targets     []*fakeTarget
	entries     []*fakeEntry
	reports     []report
	figures     figures
	herdSamples []float64
	// zipf holds the cumulative shares of the prefixes in the requests.
	zipf []float64
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{f.now + d, f.order, do})
}

// run simulates a workload with a strategy for each entry.
func run(w workload, seed uint64, newStrategy func(*rand.Rand, *fleet) strategy) figures {
	f := &fleet{workload: w, random: rand.New(rand.NewPCG(seed, 7)), reports: nil}
	f.newStrategy(newStrategy)
	f.after(0, f.arrive)
	f.after(0, f.publishReports)
	for f.events.Len() > 0 && f.now < w.duration {
		v := heap.Pop(&f.events).(event)
		f.now = v.at
		v.do()
	}
	return f.finish()
}

func (f *fleet) newStrategy(newStrategy func(*rand.Rand, *fleet) strategy) {
	names := []string{}
	for i := range f.workload.targets {
		t := &fakeTarget{index: i, name: "target-" + strconv.Itoa(i), centre: i % f.centres, speed: 1}
		if i < f.slowTargets {
			t.speed = 0.5
		}
		f.targets = append(f.targets, t)
		names = append(names, t.name)
	}
	f.reports = append(f.reports, slices.Repeat([]report{{}}, len(f.targets))...)
	f.zipf = zipfShares(f.prefixes, f.workload.zipf)
	entryNames := []string{}
	for i := range f.workload.entries {
		entryNames = append(entryNames, "entry-"+strconv.Itoa(i))
	}
	for i := range f.workload.entries {
		f.entries = append(f.entries, f.newEntry(i, entryNames, names, newStrategy))
	}
}

func (f *fleet) newEntry(i int, entryNames, names []string, newStrategy func(*rand.Rand, *fleet) strategy) *fakeEntry {
	e := &fakeEntry{centre: i % f.centres, holders: map[uint64]map[int]bool{}, next: i}
	for centre := range f.centres {
		f.watch(e, centre, entryNames[i], entryNames, names)
	}
	slices.Sort(e.watched)
	e.inFlight = slices.Repeat([]int{0}, len(names))
	e.attempts = slices.Repeat([]map[*fakeRequest]bool{nil}, len(names))
	e.candidates = slices.Repeat([]route.Candidate{{}}, len(e.watched))
	e.choose = newStrategy(rand.New(rand.NewPCG(f.random.Uint64(), 1)), f)
	return e
}

// watch adds the entry's subset of a data centre's targets to those that it watches.
func (f *fleet) watch(e *fakeEntry, centre int, name string, entryNames, names []string) {
	var entries, targets []string
	for i, v := range entryNames {
		if (i%f.centres == centre) == (e.centre == centre) {
			entries = append(entries, v)
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
	for _, v := range route.Subset(name, entries, targets, degree, least) {
		t := slices.Index(names, v)
		e.watched = append(e.watched, t)
		f.targets[t].watchers = append(f.targets[t].watchers, e)
	}
}

// zipfShares returns the cumulative shares of n values in a Zipf distribution.
func zipfShares(n int, skew float64) (shares []float64) {
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

// rate returns the arrivals per second that offer the workload's load if three of four prefixes are cached.
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
	r := &fakeRequest{arrivedAt: f.now, tokens: 1 + int(f.random.ExpFloat64()*meanTokens), measured: f.now > f.duration/4}
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
	r.entry, r.target, r.sentAt, r.remote = e, i, f.now, t.centre != e.centre
	e.inFlight[i]++
	if e.attempts[i] == nil {
		e.attempts[i] = map[*fakeRequest]bool{}
	}
	e.attempts[i][r] = true
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
	if r.prefix != 0 && f.lookUpPrefix(t, r.prefix) {
		prefill = warmPrefill
		f.countHit(r)
	}
	wait := prefill.Seconds() / t.speed
	service := wait + float64(r.tokens)*step
	if r.measured {
		first := (f.now - r.arrivedAt).Seconds() + wait + step
		if r.remote {
			first += remoteRoundTrip.Seconds()
		}
		f.figures.requests++
		f.figures.firstToken = append(f.figures.firstToken, first)
		f.figures.betweenTokens = append(f.figures.betweenTokens, step)
		t.busyTime += service
	}
	f.after(time.Duration(service*float64(time.Second)), func() { f.end(t, r) })
}

func (f *fleet) countHit(r *fakeRequest) {
	if r.measured {
		f.figures.hits++
	}
}

func (f *fleet) end(t *fakeTarget, r *fakeRequest) {
	t.running--
	r.entry.inFlight[r.target]--
	delete(r.entry.attempts[r.target], r)
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		f.start(t, next)
	}
}

// lookUpPrefix puts a prefix into the target's LRU cache and reports whether it was there. Entries receive cache events
// delayed or not at all.
func (f *fleet) lookUpPrefix(t *fakeTarget, prefix uint64) (hit bool) {
	at := slices.Index(t.cache, prefix)
	if at >= 0 {
		t.cache = append(slices.Delete(t.cache, at, at+1), prefix)
		return true
	}
	t.cache = append(t.cache, prefix)
	f.publishCacheEvent(t, prefix, true)
	if len(t.cache) > f.cacheSize {
		f.publishCacheEvent(t, t.cache[0], false)
		t.cache = t.cache[1:]
	}
	return false
}

func (f *fleet) publishCacheEvent(t *fakeTarget, prefix uint64, present bool) {
	if f.random.Float64() < cacheLoss {
		return
	}
	f.after(cacheLag, func() {
		for _, e := range t.watchers {
			if e.holders[prefix] == nil {
				e.holders[prefix] = map[int]bool{}
			}
			if present {
				e.holders[prefix][t.index] = true
			} else {
				delete(e.holders[prefix], t.index)
			}
		}
	})
}

// publishReports makes the current state of all targets visible to all entries after reportLag.
func (f *fleet) publishReports() {
	f.after(reportPeriod, f.publishReports)
	reports := make([]report, len(f.targets))
	most, sum := 0, 0
	for i, t := range f.targets {
		reports[i] = report{madeAt: f.now, running: t.running, queued: len(t.queue)}
		most, sum = max(most, t.arrivals), sum+t.arrivals
		t.arrivals = 0
	}
	if sum > 0 && f.now > f.duration/4 {
		f.herdSamples = append(f.herdSamples, float64(most)*float64(len(f.targets))/float64(sum))
	}
	f.after(f.reportLag, func() { f.reports = reports })
}

func (f *fleet) finish() figures {
	most, sum := 0.0, 0.0
	for _, t := range f.targets {
		most, sum = max(most, t.busyTime), sum+t.busyTime
	}
	v := f.figures
	v.imbalance = most * float64(len(f.targets)) / sum
	for _, h := range f.herdSamples {
		v.herd += h / float64(len(f.herdSamples))
	}
	slices.Sort(v.firstToken)
	slices.Sort(v.betweenTokens)
	return v
}

// quantile returns a quantile of sorted values in milliseconds.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return 1000 * sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
