// Package pair tests the cores of entries and slots together, in simulated time and under seeded schedules of faults.
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
	// connectionTimeout bounds the wait for a sign of life of a connection and for a handover's receipt.
	connectionTimeout = 500 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	// faultPeriod is the time in which faults occur; callers start up to 10 s before its end.
	faultPeriod = 30 * time.Second
	// idleInterval replaces the intervals of ticks and heartbeats after the fault period.
	idleInterval = 5 * time.Second
	tickInterval = 50 * time.Millisecond
	entryCount   = 3
	slotCount    = 3
	maxRetries   = 4
)

// faults holds the probabilities and the limits of the faults of a schedule.
type faults struct {
	// loss, duplicate and slow apply to each message; crash applies to each run, before and after its execution.
	loss, duplicate, slow, crash float64
	// restart, pause and cut apply to each process and second.
	restart, pause, cut float64
	// maxServiceTime bounds the time of one execution.
	maxServiceTime time.Duration
	// plannedStop applies to each slot and second.
	plannedStop float64
	// fewRecords gives slots a small capacity for records.
	fewRecords bool
	// removeTargets takes all targets but the first out of the configuration for 7 s.
	removeTargets bool
	// maxClockOffset bounds the difference between a process's clock and the true time.
	maxClockOffset time.Duration
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
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// process is the state that entries and slots have in common.
type process struct {
	name string
	// incarnation rises with each restart; scheduled actions of earlier incarnations are dropped.
	incarnation int
	// pausedUntil is the time until which the process does nothing.
	pausedUntil time.Duration
	// clockOffset is added to the true time.
	clockOffset time.Duration
	// cutUntil is the time until which the network carries nothing to or from the process.
	cutUntil time.Duration
}

// world is the simulation of one schedule.
type world struct {
	faults
	random  *rand.Rand
	now     time.Duration
	order   int
	events  eventQueue
	entries []*entryProcess
	slots   []*slotProcess
	config  *configuration.Configuration
	callers []*caller
	// executions counts the executions by key.
	executions map[string]int
	// toldNotRun holds the keys that were reported to a caller as not run.
	toldNotRun map[string]bool
	// firstAnswers holds the complete answer of each key's first execution.
	firstAnswers map[string]string
	// outcomes counts the outcomes that callers were told.
	outcomes   map[string]int
	violations []string
}

func newWorld(seed uint64, f faults) *world {
	w := &world{
		faults: f, random: rand.New(rand.NewPCG(seed, 1)), executions: map[string]int{}, toldNotRun: map[string]bool{},
		firstAnswers: map[string]string{}, outcomes: map[string]int{},
	}
	w.config = &configuration.Configuration{
		Format: "1.0", Revision: 1, Centres: []configuration.Centre{{Name: "c1"}, {Name: "c2"}},
		Workspaces: []configuration.Workspace{{Name: "school"}, {Name: "council"}},
		Routes: []configuration.Route{{
			Name: "hold", Prefix: "/v1/holds", Pool: "hold", Once: true, Timeout: configuration.Duration(4 * time.Second),
		}},
	}
	for i := range slotCount {
		w.config.Targets = append(w.config.Targets, configuration.Target{
			Name: fmt.Sprintf("hold-%d", i), Centre: fmt.Sprintf("c%d", i%2+1), Pool: "hold", Kind: configuration.KindService,
			Address: netip.MustParseAddrPort("127.0.0.1:1"), Width: 2,
		})
	}
	for i := range slotCount {
		w.slots = append(w.slots, &slotProcess{w: w, process: w.newProcess(w.config.Targets[i].Name)})
	}
	for i := range entryCount {
		w.entries = append(w.entries, &entryProcess{w: w, process: w.newProcess(fmt.Sprintf("entry-%d", i))})
	}
	for _, s := range w.slots {
		s.start()
	}
	for _, e := range w.entries {
		e.start()
	}
	return w
}

func (w *world) newProcess(name string) process {
	p := process{name: name}
	if w.maxClockOffset > 0 {
		p.clockOffset = time.Duration(w.random.Int64N(int64(2*w.maxClockOffset))) - w.maxClockOffset
	}
	return p
}

// after schedules an action that does not depend on the state of a process.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, do: do})
}

// afterOn schedules an action of a process: it waits while the process is paused and is dropped on a restart.
func (w *world) afterOn(p *process, d time.Duration, do func()) {
	incarnation := p.incarnation
	var run func()
	run = func() {
		switch {
		case p.incarnation != incarnation:
		case w.now < p.pausedUntil:
			w.after(p.pausedUntil-w.now, run)
		default:
			do()
		}
	}
	w.after(d, run)
}

// clock returns the current time by the clock of a process.
func (w *world) clock(p *process) time.Time {
	return time.Unix(1_700_000_000, 0).Add(w.now + p.clockOffset)
}

// maybePause pauses a process at times between a decision of its core and the action.
func (w *world) maybePause(p *process) {
	if w.withProbability(w.pause / 4) {
		p.pausedUntil = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	}
}

// maxRecords returns the capacity for records of a slot.
func (w *world) maxRecords() int {
	if w.fewRecords {
		return 16
	}
	return 60
}

func (w *world) withProbability(p float64) bool { return w.random.Float64() < p }

func (w *world) randomDelay() time.Duration {
	if w.withProbability(w.slow) {
		return time.Duration(w.random.Int64N(int64(2 * time.Second)))
	}
	return time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
}

// transmit delivers a message to a process; it may be lost, duplicated, reordered or delayed.
func (w *world) transmit(from, to *process, do func()) {
	copies := 1
	if w.withProbability(w.duplicate) {
		copies = 2
	}
	for range copies {
		if w.now < from.cutUntil || w.now < to.cutUntil || w.withProbability(w.loss) {
			continue
		}
		w.afterOn(to, w.randomDelay(), do)
	}
}

// run handles all events up to a time.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = until
}

// every repeats an action of a process, at idleInterval once the fault period is over.
func (w *world) every(p *process, d time.Duration, do func()) {
	w.afterOn(p, d, func() {
		do()
		if w.now > faultPeriod {
			d = idleInterval
		}
		w.every(p, d, do)
	})
}

// injectFaults schedules the faults of processes for each second and the removal of targets.
func (w *world) injectFaults() {
	for second := range int(faultPeriod / time.Second) {
		w.after(time.Duration(second)*time.Second+w.randomDelay(), func() {
			for _, s := range w.slots {
				w.injectProcessFaults(&s.process, s.start)
				if w.withProbability(w.plannedStop) {
					w.afterOn(&s.process, 0, func() { s.handle(slot.Event{Stop: &slot.Stop{}}) })
				}
			}
			for _, e := range w.entries {
				w.injectProcessFaults(&e.process, e.start)
			}
		})
	}
	if w.removeTargets {
		w.after(5*time.Second, func() { w.publish(w.config.Targets[:1]) })
		w.after(12*time.Second, func() { w.publish(w.config.Targets) })
	}
}

func (w *world) injectProcessFaults(p *process, restart func()) {
	if w.withProbability(w.pause) {
		p.pausedUntil = w.now + time.Duration(w.random.Int64N(int64(8*time.Second)))
	}
	if w.withProbability(w.cut) {
		p.cutUntil = w.now + time.Duration(w.random.Int64N(int64(5*time.Second)))
	}
	if w.withProbability(w.restart) {
		p.pausedUntil = 0
		restart()
	}
}

// publish puts a new revision in force, at a different time in each process.
func (w *world) publish(targets []configuration.Target) {
	next := *w.config
	next.Revision = int64(w.now) + 2
	next.Targets = targets
	for _, s := range w.slots {
		w.afterOn(&s.process, w.randomDelay(), func() { s.handle(slot.Event{Configuration: &next}) })
	}
	for _, e := range w.entries {
		w.afterOn(&e.process, w.randomDelay(), func() { e.handle(entry.Event{Configuration: &next}) })
	}
}

// recordViolation records a violated invariant.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

// checkExecutions compares the executions with what callers were told.
func (w *world) checkExecutions() {
	for keyText, n := range w.executions {
		if n > 1 {
			w.recordViolation("key %s was executed %d times", keyText, n)
		}
		if w.toldNotRun[keyText] {
			w.recordViolation("key %s was told not run and was executed", keyText)
		}
		if _, err := key.Parse(keyText); err != nil {
			w.recordViolation("a request with the invalid key %q was executed", keyText)
		}
	}
}
