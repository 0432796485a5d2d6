package mapswitch

import (
	"encoding/binary"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	checkRanks = 3
	checkSteps = 3
	// patience is the lead's limit: ticks come at early, before it, or at late, after it.
	patience = time.Second
)

var (
	early = time.Unix(1000, 0)
	late  = early.Add(patience)
)

// checkOptions bound an exhaustive check.
type checkOptions struct {
	hold bool
	// fenced tells that engines refuse old fencing numbers.
	fenced bool
	// leads begin one attempt each.
	leads int
	// faults is the number of crashes and of orders whose answer is lost.
	faults int
	// victim limits the faults to crashes between events of one rank; zero means no limit.
	victim int
	// refusals is the number of loads that fail.
	refusals int
	// stale lets orders of a crashed slot reach the engine after the new slot has read it.
	stale bool
	// states stops the check; zero means no limit.
	states int
	// progress checks progress from one in so many states; zero means from none.
	progress int
	rules    rules
}

// world is a state of the whole group. The network may lose, repeat, delay and reorder what was sent.
type world struct {
	slots   [checkRanks]*Switch
	engines [checkRanks]Engine
	// sent holds the numbers of all messages that were ever sent.
	sent [24]uint64
	// used holds the map of each step that was started.
	used [checkSteps + 1]uint64
	// working marks the ranks with requests; only for engines that cannot hold.
	working  [checkRanks]bool
	begun    int
	faults   int
	refusals int
	lives    uint64
	// ghost is an order of a crashed slot that is still under way, with its rank.
	ghost     *Order
	ghostRank int
	broken    string
}

// checker explores worlds breadth-first.
type checker struct {
	o       checkOptions
	numbers map[string]int
	letters []letter
	seen    map[uint64]bool
	queue   []*world
	broken  string
	stuck   string
}

type letter struct {
	rank    int
	message Message
}

func newChecker(o checkOptions) *checker {
	return &checker{o: o, numbers: map[string]int{}, seen: map[uint64]bool{}}
}

func (c *checker) start() *world {
	w := &world{faults: c.o.faults, refusals: c.o.refusals}
	for rank := range checkRanks {
		w.engines[rank] = Engine{Step: 1, Map: 1}
		w.slots[rank] = c.slot(w, rank)
	}
	w.used[1] = 1
	return c.prepare(w)
}

// prepare lets all slots read their engines and compare maps, which every exploration begins with.
func (c *checker) prepare(w *world) *world {
	faults, refusals := w.faults, w.refusals
	w.faults, w.refusals = 0, 0
	for range 3 {
		for rank := range checkRanks {
			w = c.handle(w, rank, early, Event{Tick: &Tick{}})[0]
		}
		w = c.deliverAll(c.deliverAll(w))
	}
	w.sent = [len(w.sent)]uint64{}
	w.faults, w.refusals = faults, refusals
	return w
}

func (c *checker) slot(w *world, rank int) *Switch {
	w.lives++
	rules := c.o.rules
	if w.lives <= checkRanks {
		rules.reads = safeRules.reads
	}
	return newSwitch(Options{
		Group: "g", Rank: rank, Ranks: checkRanks, Incarnation: w.lives, EnginesCanHold: c.o.hold, Margin: 1, AttemptTimeout: patience,
	}, rules)
}

// clone copies a world; the copies share their slots until one is changed.
func (w *world) clone() *world {
	v := *w
	return &v
}

// own gives the world a slot of its own, which may be changed.
func (w *world) own(rank int) *Switch {
	s := w.slots[rank]
	t := *s
	t.votes, t.agreed = maps.Clone(s.votes), maps.Clone(s.agreed)
	t.lead.lives, t.lead.armed = maps.Clone(s.lead.lives), maps.Clone(s.lead.armed)
	w.slots[rank] = &t
	return &t
}

func appendBallot(b []byte, v Ballot) []byte {
	return append(b, byte(v.Attempt), byte(v.LeaderRank), byte(v.LeaderIncarnation))
}

func appendSet[V any](b []byte, set map[int]V, value func(V) byte) []byte {
	for rank := range checkRanks {
		v, ok := set[rank]
		if !ok {
			b = append(b, 0xff)
			continue
		}
		b = append(b, value(v))
	}
	return b
}

func appendEngine(b []byte, e *Engine) []byte {
	b = append(b, byte(e.Step), byte(e.Map), byte(e.Staged), byte(e.Fence), flag(e.Idle))
	b = appendBallot(b, e.Decided)
	if e.Armed == nil {
		return append(b, 0)
	}
	b = appendBallot(append(b, 1, byte(e.Armed.Step), byte(e.Armed.Map), flag(e.Armed.Committed)), e.Armed.Ballot)
	return b
}

func flag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// key digests a world. Times are left out: every due time is early.
func (w *world) key() uint64 {
	b := make([]byte, 0, 512)
	for i, s := range w.slots {
		b = append(append(b, s.state...), s.lead.state...)
		b = append(b, flag(s.busy), flag(s.confirmed), byte(s.target), byte(s.seen), byte(s.loading), byte(s.Incarnation))
		b = appendBallot(appendBallot(appendEngine(b, &s.engine), s.ballot), s.promised)
		b = appendSet(appendSet(b, s.votes, flag), s.agreed, flag)
		if s.lead.state != stateResting {
			b = append(appendBallot(b, s.lead.ballot), byte(s.lead.step))
			b = appendSet(b, s.lead.lives, func(v uint64) byte { return byte(v) })
			b = appendSet(b, s.lead.armed, flag)
		}
		b = append(appendEngine(b, &w.engines[i]), flag(w.working[i]))
	}
	for _, v := range w.sent {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, v := range w.used {
		b = append(b, byte(v))
	}
	b = append(b, byte(w.begun), byte(w.faults), byte(w.refusals), byte(w.lives))
	if w.ghost != nil {
		b = append(append(b, byte(w.ghostRank), byte(w.ghost.Fence), byte(w.ghost.Step)), w.ghost.Kind...)
		b = appendBallot(b, w.ghost.Ballot)
	}
	return xxhash.Sum64(b)
}

// send adds a message to the network.
func (c *checker) send(w *world, s *Send) {
	m := s.Message
	m.Reason, m.Plan = "", nil
	key := fmt.Sprint(s.Rank, m)
	n, ok := c.numbers[key]
	if !ok {
		n = len(c.letters)
		c.numbers[key] = n
		c.letters = append(c.letters, letter{rank: s.Rank, message: m})
	}
	w.sent[n/64] |= 1 << (n % 64)
}

// execute makes an engine obey an order.
func (c *checker) execute(w *world, rank int, o Order, fail bool) OrderResult {
	e := &w.engines[rank]
	d := OrderResult{Order: o}
	switch {
	case o.Kind == OrderClaim:
		if c.o.fenced {
			e.Fence++
		}
	case c.o.fenced && o.Fence != e.Fence:
		d.Refusal = "old fencing number"
	case fail:
		d.Refusal = "load failed"
	default:
		d.Refusal = obey(e, o, c.o.hold, w.working[rank])
	}
	state := *e
	state.Idle = !w.working[rank]
	d.Engine = &state
	return d
}

// obey carries out an order and returns why it is refused, or nothing.
func obey(e *Engine, o Order, hold, working bool) string {
	same := e.Armed != nil && e.Armed.Ballot == o.Ballot
	switch o.Kind {
	case OrderLoad:
		e.Staged = o.Map
	case OrderArm:
		if e.Armed != nil || e.Staged != o.Map && e.Map != o.Map || hold && e.Step >= o.Step || !hold && working {
			return "cannot arm"
		}
		e.Armed = &Armed{Ballot: o.Ballot, Step: o.Step, Map: o.Map}
	case OrderCommit:
		if !same {
			return "not armed"
		}
		e.Decided = o.Ballot
		if !hold {
			e.Map, e.Staged, e.Armed = o.mapOf(e), 0, nil
			return ""
		}
		committed := *e.Armed
		committed.Committed = true
		e.Armed = &committed
	case OrderAbort:
		if !same || e.Armed.Committed {
			return "not armed"
		}
		e.Armed = nil
	}
	return ""
}

func (o Order) mapOf(e *Engine) uint64 { return e.Armed.Map }

// handle passes an event to a slot and returns all worlds that can follow.
func (c *checker) handle(w *world, rank int, now time.Time, e Event) []*world {
	v := w.clone()
	actions := v.own(rank).Handle(now, e)
	return c.follow(v, rank, now, actions)
}

func (c *checker) follow(v *world, rank int, now time.Time, actions []Action) (out []*world) {
	var order *Order
	for _, a := range actions {
		if a.Send != nil {
			c.send(v, a.Send)
		}
		if a.Order != nil {
			order = a.Order
		}
	}
	if order == nil {
		return []*world{v}
	}
	if v.faults > 0 && c.o.victim == 0 {
		out = append(out, c.interrupt(v, rank, now, *order)...)
	}
	if order.Kind == OrderLoad && v.refusals > 0 {
		u := v.clone()
		u.refusals--
		d := c.execute(u, rank, *order, true)
		out = append(out, c.follow(u, rank, now, u.own(rank).Handle(now, Event{Done: &d}))...)
	}
	d := c.execute(v, rank, *order, false)
	return append(out, c.follow(v, rank, now, v.own(rank).Handle(now, Event{Done: &d}))...)
}

// interrupt returns the worlds in which the slot dies or hears nothing before or after an order takes effect.
func (c *checker) interrupt(w *world, rank int, now time.Time, o Order) (out []*world) {
	for _, done := range []bool{false, true} {
		v := w.clone()
		v.faults--
		if done {
			c.execute(v, rank, o, false)
		}
		lost := v.clone()
		out = append(out, c.follow(lost, rank, now, lost.own(rank).Handle(now, Event{Done: &OrderResult{Order: o}}))...)
		v.slots[rank] = c.slot(v, rank)
		if !done && c.o.stale && o.Kind != OrderClaim {
			v.ghost, v.ghostRank = &o, rank
		}
		out = append(out, v)
	}
	return out
}
