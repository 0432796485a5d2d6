package hold

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The size of the world of the checks.
const (
	worldRanks = 3
	// longestDelay is how late an order without an answer is carried out (PROTOCOL: 2 to 12 s).
	longestDelay = 12 * time.Second
)

// world is a group of engines that keep the platform's rules, with their slots, and a network that loses news.
type world struct {
	random *rand.Rand
	now    time.Time
	// engines and slots are by rank; had is the highest version that an engine ever had.
	engines [worldRanks]Engine
	had     [worldRanks]uint64
	slots   [worldRanks]*Core
	// sequence counts the news of each slot process, and seen what each slot has heard of each other.
	sequence [worldRanks]uint64
	seen     [worldRanks][worldRanks]heardNews
	news     []news
	late     []lateOrder
	lives    uint64
	// faults tells that orders lose their answers and slots restart.
	faults bool
	// weaken changes the rules of a new slot, or is nil.
	weaken func(*Core)
	// switches counts the maps that came into use, and broken says which rule the world broke.
	switches int
	broken   string
}

type heardNews struct{ life, sequence uint64 }

type news struct {
	from, to       int
	life, sequence uint64
	state          State
	attempt        *Attempt
}

type lateOrder struct {
	rank  int
	order Order
	due   time.Time
}

func newWorld(seed uint64, weaken func(*Core)) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_700_000_000, 0), faults: true, weaken: weaken}
	for r := range worldRanks {
		w.engines[r] = Engine{Group: "g", Epoch: 1, Rank: r, Size: worldRanks, Open: true, Step: 10}
		w.restart(r)
	}
	return w
}

// restart replaces a slot by a new process that knows nothing.
func (w *world) restart(rank int) {
	w.lives++
	c := New(w.now, w.lives)
	c.SetNoOpMap([][][]int{{{0}, {1}, {2}}})
	if w.weaken != nil {
		w.weaken(c)
	}
	w.slots[rank] = c
	w.sequence[rank] = 0
	w.seen[rank] = [worldRanks]heardNews{}
}

// execute carries out an order as an engine does, and reports whether it refuses.
func (w *world) execute(rank int, o Order) (refused bool) {
	e := &w.engines[rank]
	if o.Epoch != e.Epoch {
		return true
	}
	switch o.Kind {
	case OrderPrepare:
		if o.Version <= w.had[rank] || e.Armed != 0 {
			return true
		}
		w.had[rank], e.Prepared = o.Version, o.Version
	case OrderArm:
		if o.Version != e.Prepared || o.Step <= e.Step {
			return true
		}
		e.Armed, e.ArmedStep = o.Version, o.Step
	case OrderDisarm:
		if o.Version == e.MapVersion {
			return true
		}
		if e.Armed == o.Version {
			e.Armed, e.ArmedStep = 0, 0
		}
	case OrderHold:
		if o.Step <= e.Step || e.HeldStep != 0 && e.HeldStep != o.Step {
			return true
		}
		e.HeldStep = o.Step
	case OrderRelease:
		if e.HeldStep != o.Step {
			return true
		}
		e.HeldStep = 0
	}
	return false
}

// begin begins the next pass unless a rank holds it.
func (w *world) begin() {
	next := w.engines[0].Step + 1
	for r := range w.engines {
		if w.engines[r].HeldStep == next {
			return
		}
	}
	before := w.engines[0].MapVersion
	for r := range w.engines {
		e := &w.engines[r]
		e.Step = next
		if e.Armed != 0 && e.ArmedStep == next {
			e.MapVersion, e.Armed, e.ArmedStep = e.Armed, 0, 0
		}
	}
	for r := range w.engines {
		if w.engines[r].MapVersion != w.engines[0].MapVersion {
			w.broken = fmt.Sprintf("pass %d began with the maps %d and %d", next, w.engines[0].MapVersion, w.engines[r].MapVersion)
		}
	}
	if w.engines[0].MapVersion != before {
		w.switches++
	}
}

// form forms the group anew.
func (w *world) form() {
	for r := range w.engines {
		e := &w.engines[r]
		e.Epoch++
		e.MapVersion, e.Prepared, e.Armed, e.ArmedStep, e.HeldStep = 0, 0, 0, 0, 0
	}
}

// follow lets a slot read its engine and give the orders that it wants, at most a few.
func (w *world) follow(rank int) {
	c := w.slots[rank]
	c.UpdateEngine(w.now, w.engines[rank])
	for range 4 {
		o := c.NextOrder(w.now)
		if o == nil {
			break
		}
		refused, unknown := w.give(rank, *o)
		c.OrderDone(w.now, refused, unknown)
		c.UpdateEngine(w.now, w.engines[rank])
		if refused || unknown {
			break
		}
	}
	w.publish(rank)
}

// give carries an order out at once, late, or at once and without an answer.
func (w *world) give(rank int, o Order) (refused, unknown bool) {
	if w.faults && w.random.IntN(5) == 0 {
		switch w.random.IntN(3) {
		case 0:
			w.execute(rank, o)
		case 1:
			delay := time.Duration(w.random.Int64N(int64(longestDelay)))
			w.late = append(w.late, lateOrder{rank: rank, order: o, due: w.now.Add(delay)})
		}
		return false, true
	}
	return w.execute(rank, o), false
}

// publish puts a slot's news on the network.
func (w *world) publish(rank int) {
	c := w.slots[rank]
	w.sequence[rank]++
	for to := range worldRanks {
		if to != rank {
			w.news = append(w.news, news{
				from: rank, to: to, life: c.incarnation, sequence: w.sequence[rank], state: c.State(w.now), attempt: c.Published(),
			})
		}
	}
	if len(w.news) > 40 {
		w.news = slices.Delete(w.news, 0, len(w.news)-40)
	}
}

// deliver passes one datagram on; older ones than the newest of the same process are dropped by the mesh.
func (w *world) deliver(i int) {
	n := w.news[i]
	w.news = slices.Delete(w.news, i, i+1)
	known := &w.seen[n.to][n.from]
	if known.life > n.life || known.life == n.life && known.sequence >= n.sequence {
		return
	}
	*known = heardNews{life: n.life, sequence: n.sequence}
	w.slots[n.to].ReceiveState(w.now, n.state, n.attempt)
}

// pass lets time pass and carries out the late orders that are due.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool {
		due := !l.due.After(w.now)
		if due {
			w.execute(l.rank, l.order)
		}
		return due
	})
}

// act does one random thing.
func (w *world) act() {
	switch n := w.random.IntN(100); {
	case n < 35:
		w.follow(w.random.IntN(worldRanks))
	case n < 70 && len(w.news) > 0:
		w.deliver(w.random.IntN(len(w.news)))
	case n < 80:
		w.begin()
	case n < 88:
		w.pass(time.Duration(w.random.Int64N(int64(60 * time.Millisecond))))
	case n < 90:
		w.pass(time.Duration(w.random.Int64N(int64(3 * time.Second))))
	case n < 91 && w.faults:
		w.restart(w.random.IntN(worldRanks))
	case n == 91 && w.faults && w.random.IntN(20) == 0:
		w.form()
	case n < 97:
		w.slots[0].Begin(w.now, [][][]int{{{0}, {1}, {2}}})
	}
}

// settle ends all faults and lets everybody act in turn.
func (w *world) settle(rounds int) {
	w.faults = false
	for range rounds {
		for r := range worldRanks {
			w.follow(r)
		}
		for len(w.news) > 0 {
			w.deliver(0)
		}
		w.begin()
		w.pass(50 * time.Millisecond)
	}
}

// hurry lets one slot act after the other, with a pass and a few milliseconds after each.
func (w *world) hurry() {
	w.faults = false
	rank := w.random.IntN(worldRanks)
	w.follow(rank)
	if len(w.news) > 0 {
		w.deliver(w.random.IntN(len(w.news)))
	}
	w.begin()
	w.pass(5 * time.Millisecond)
}
