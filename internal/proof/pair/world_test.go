// Package pair drives the cores of entries and slots together under seeded schedules of faults.
package pair

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

const (
	silence   = 500 * time.Millisecond
	beat      = 200 * time.Millisecond
	busy      = 30 * time.Second
	slowTick  = 5 * time.Second
	fastTick  = 50 * time.Millisecond
	entries   = 3
	slots     = 3
	callerMax = 4
)

// faults are the probabilities of one schedule.
type faults struct {
	// lose, double and slow are for each message, crash for each run.
	lose, double, slow, crash float64
	// restart, pause and cut are for each process and second.
	restart, pause, cut float64
	// service is the longest time of one execution.
	service time.Duration
	// leave is the probability of a planned stop for each slot and second.
	leave float64
	// tight leaves little room for records.
	tight bool
	// remove takes a target out of the configuration for a while.
	remove bool
	// offset is the largest difference of a process's clock from the true time.
	offset time.Duration
}

// item is something that happens at a time.
type item struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)   { *a = append(*a, v.(item)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// process is what entries and slots share.
type process struct {
	name string
	// generation rises with each restart; what an older one was going to do is dropped.
	generation int
	// paused is the time until which the process does nothing.
	paused time.Duration
	// offset is added to the true time.
	offset time.Duration
	// cut is the time until which nothing reaches the process.
	cut time.Duration
}

// world is one schedule.
type world struct {
	faults
	random  *rand.Rand
	now     time.Duration
	order   int
	agenda  agenda
	entries []*entryProcess
	slots   []*slotProcess
	config  *configuration.Configuration
	callers []*caller
	// runs counts the executions by key.
	runs map[string]int
	// told holds the keys that a caller was told were not run.
	told map[string]bool
	// answers holds the whole answer that a key's first execution made.
	answers map[string]string
	// counts are the outcomes that callers were told.
	counts map[string]int
	broken []string
}

func newWorld(seed uint64, f faults) *world {
	w := &world{
		faults: f, random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}, told: map[string]bool{},
		answers: map[string]string{}, counts: map[string]int{},
	}
	w.config = &configuration.Configuration{
		Format: "1.0", Revision: 1, Centres: []configuration.Centre{{Name: "c1"}, {Name: "c2"}},
		Workspaces: []configuration.Workspace{{Name: "school"}, {Name: "council"}},
		Routes: []configuration.Route{{
			Name: "hold", Prefix: "/v1/holds", Pool: "hold", Once: true, Timeout: configuration.Duration(4 * time.Second),
		}},
	}
	for i := range slots {
		w.config.Targets = append(w.config.Targets, configuration.Target{
			Name: fmt.Sprintf("hold-%d", i), Centre: fmt.Sprintf("c%d", i%2+1), Pool: "hold", Kind: configuration.KindService,
			Address: netip.MustParseAddrPort("127.0.0.1:1"), Width: 2,
		})
	}
	for i := range slots {
		w.slots = append(w.slots, &slotProcess{w: w, process: w.process(w.config.Targets[i].Name)})
	}
	for i := range entries {
		w.entries = append(w.entries, &entryProcess{w: w, process: w.process(fmt.Sprintf("entry-%d", i))})
	}
	for _, s := range w.slots {
		s.start()
	}
	for _, e := range w.entries {
		e.start()
	}
	return w
}

func (w *world) process(name string) process {
	p := process{name: name}
	if w.offset > 0 {
		p.offset = time.Duration(w.random.Int64N(int64(2*w.offset))) - w.offset
	}
	return p
}

// after schedules what is done whatever becomes of the processes.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, item{at: w.now + d, order: w.order, do: do})
}

// on schedules what a process does, later if it is paused and never once it has restarted.
func (w *world) on(p *process, d time.Duration, do func()) {
	generation := p.generation
	var run func()
	run = func() {
		switch {
		case p.generation != generation:
		case w.now < p.paused:
			w.after(p.paused-w.now, run)
		default:
			do()
		}
	}
	w.after(d, run)
}

// clock returns the present time as a process sees it.
func (w *world) clock(p *process) time.Time {
	return time.Unix(1_700_000_000, 0).Add(w.now + p.offset)
}

// stall may pause a process between a decision and its act.
func (w *world) stall(p *process) {
	if w.chance(w.pause / 4) {
		p.paused = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	}
}

// records returns the largest number of records of a slot.
func (w *world) records() int {
	if w.tight {
		return 16
	}
	return 60
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) delay() time.Duration {
	if w.chance(w.slow) {
		return time.Duration(w.random.Int64N(int64(2 * time.Second)))
	}
	return time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
}

// wire carries a message to a process: it can be lost, doubled, reordered and held up.
func (w *world) wire(from, to *process, do func()) {
	copies := 1
	if w.chance(w.double) {
		copies = 2
	}
	for range copies {
		if w.now < from.cut || w.now < to.cut || w.chance(w.lose) {
			continue
		}
		w.on(to, w.delay(), do)
	}
}

// run does everything until a time.
func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		next := heap.Pop(&w.agenda).(item)
		w.now = next.at
		next.do()
	}
	w.now = until
}

// every repeats something a process does; it slows down once the busy time is over.
func (w *world) every(p *process, d time.Duration, do func()) {
	w.on(p, d, func() {
		do()
		if w.now > busy {
			d = slowTick
		}
		w.every(p, d, do)
	})
}

// disturb brings about the faults of the processes, second by second.
func (w *world) disturb() {
	for second := range int(busy / time.Second) {
		w.after(time.Duration(second)*time.Second+w.delay(), func() {
			for _, s := range w.slots {
				w.hurt(&s.process, s.start)
				if w.chance(w.leave) {
					w.on(&s.process, 0, func() { s.handle(slot.Event{Stop: &slot.Stop{}}) })
				}
			}
			for _, e := range w.entries {
				w.hurt(&e.process, e.start)
			}
		})
	}
	if w.remove {
		w.after(5*time.Second, func() { w.publish(w.config.Targets[:1]) })
		w.after(12*time.Second, func() { w.publish(w.config.Targets) })
	}
}

func (w *world) hurt(p *process, restart func()) {
	if w.chance(w.pause) {
		p.paused = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	}
	if w.chance(w.cut) {
		p.cut = w.now + time.Duration(w.random.Int64N(int64(5*time.Second)))
	}
	if w.chance(w.restart) {
		p.paused = 0
		restart()
	}
}

// publish puts a new revision in force at each process at another time.
func (w *world) publish(targets []configuration.Target) {
	next := *w.config
	next.Revision = int64(w.now) + 2
	next.Targets = targets
	for _, s := range w.slots {
		w.on(&s.process, w.delay(), func() { s.handle(slot.Event{Configuration: &next}) })
	}
	for _, e := range w.entries {
		w.on(&e.process, w.delay(), func() { e.handle(entry.Event{Configuration: &next}) })
	}
}

// fail notes a broken promise.
func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

// check compares what callers were told with what was executed.
func (w *world) check() {
	for text, n := range w.runs {
		if n > 1 {
			w.fail("key %s was executed %d times", text, n)
		}
		if w.told[text] {
			w.fail("key %s was told not run and was executed", text)
		}
		if _, err := key.Parse(text); err != nil {
			w.fail("%q was executed", text)
		}
	}
}
