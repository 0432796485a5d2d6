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
	// attemptTimeout is the leader's timeout; ticks come either before or after it.
	attemptTimeout = time.Second
)

var (
	beforeDeadline = time.Unix(1000, 0)
	afterDeadline  = beforeDeadline.Add(attemptTimeout)
)

// checkOptions configures an exhaustive check.
type checkOptions struct {
	// hold means that the engines can hold at a given step.
	hold bool
	// fenced makes engines refuse old fencing numbers.
	fenced bool
	// leaders is the number of ranks that begin one attempt each.
	leaders int
	// faults is the number of crashes and lost answers to orders.
	faults int
	// victim limits the faults to crashes of one rank between events; zero means no limit.
	victim int
	// refusals is the number of loads that fail.
	refusals int
	// delayedOrders lets orders of a crashed slot reach the engine after the new slot has read it.
	delayedOrders bool
	// states is the number of states after which the check stops; zero means no limit.
	states int
	// progress is the interval, in states, at which recovery is checked; zero means never.
	progress int
	rules    rules
}

// world is a state of the whole group. The network may lose, duplicate, delay and reorder messages.
type world struct {
	slots   [checkRanks]*Switch
	engines [checkRanks]Engine
	// sent is a bit set of the messages ever sent, by their index in checker.messages.
	sent [24]uint64
	// used is the map that each started step uses.
	used [checkSteps + 1]uint64
	// hasRequests marks the ranks with requests; it is used only if engines cannot hold.
	hasRequests  [checkRanks]bool
	begun        int
	faults       int
	refusals     int
	incarnations uint64
	// delayedOrder is an order of a crashed slot that has not reached the engine of delayedRank yet.
	delayedOrder *Order
	delayedRank  int
	violation    string
}

// checker explores the reachable worlds breadth-first.
type checker struct {
	o            checkOptions
	messageIndex map[string]int
	messages     []sentMessage
	seen         map[uint64]bool
	queue        []*world
	violation    string
	stuck        string
}

type sentMessage struct {
	rank    int
	message Message
}

func newChecker(o checkOptions) *checker {
	return &checker{o: o, messageIndex: map[string]int{}, seen: map[uint64]bool{}}
}

func (c *checker) start() *world {
	w := &world{faults: c.o.faults, refusals: c.o.refusals}
	for rank := range checkRanks {
		w.engines[rank] = Engine{Step: 1, Map: 1}
		w.slots[rank] = c.slot(w, rank)
	}
	w.used[1] = 1
	return c.initialise(w)
}

// initialise lets all slots read their engines and compare maps, the starting point of every exploration.
func (c *checker) initialise(w *world) *world {
	faults, refusals := w.faults, w.refusals
	w.faults, w.refusals = 0, 0
	for range 3 {
		for rank := range checkRanks {
			w = c.handle(w, rank, beforeDeadline, Event{Tick: &Tick{}})[0]
		}
		w = c.deliverAll(c.deliverAll(w))
	}
	w.sent = [len(w.sent)]uint64{}
	w.faults, w.refusals = faults, refusals
	return w
}

func (c *checker) slot(w *world, rank int) *Switch {
	w.incarnations++
	rules := c.o.rules
	if w.incarnations <= checkRanks {
		rules.readsEngine = safeRules.readsEngine
	}
	return newSwitch(Options{
		Group: "g", Rank: rank, Ranks: checkRanks, Incarnation: w.incarnations, EnginesCanHold: c.o.hold, StepMargin: 1, AttemptTimeout: attemptTimeout,
	}, rules)
}

// clone returns a shallow copy; the copies share their slots until ownSlot replaces one.
func (w *world) clone() *world {
	v := *w
	return &v
}

// ownSlot replaces a slot of the world by a copy that may be changed, and returns it.
func (w *world) ownSlot(rank int) *Switch {
	s := w.slots[rank]
	t := *s
	t.armedPeers, t.agreeingPeers = maps.Clone(s.armedPeers), maps.Clone(s.agreeingPeers)
	t.leader.incarnations, t.leader.armed = maps.Clone(s.leader.incarnations), maps.Clone(s.leader.armed)
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

// hash returns a hash of the world without its times: the leader's deadline is always afterDeadline, and all other
// intervals are zero, so their timers are taken as due.
func (w *world) hash() uint64 {
	b := make([]byte, 0, 512)
	for i, s := range w.slots {
		b = append(append(b, s.state...), s.leader.state...)
		b = append(b, flag(s.orderInFlight), flag(s.awaitingPendingOrders), byte(s.newMap), byte(s.highestAttempt), byte(s.loading), byte(s.Incarnation))
		b = appendBallot(appendBallot(appendEngine(b, &s.engine), s.ballot), s.promised)
		b = appendSet(appendSet(b, s.armedPeers, flag), s.agreeingPeers, flag)
		if s.leader.state != stateResting {
			b = append(appendBallot(b, s.leader.ballot), byte(s.leader.step))
			b = appendSet(b, s.leader.incarnations, func(v uint64) byte { return byte(v) })
			b = appendSet(b, s.leader.armed, flag)
		}
		b = append(appendEngine(b, &w.engines[i]), flag(w.hasRequests[i]))
	}
	for _, v := range w.sent {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, v := range w.used {
		b = append(b, byte(v))
	}
	b = append(b, byte(w.begun), byte(w.faults), byte(w.refusals), byte(w.incarnations))
	if w.delayedOrder != nil {
		b = append(append(b, byte(w.delayedRank), byte(w.delayedOrder.Fence), byte(w.delayedOrder.Step)), w.delayedOrder.Kind...)
		b = appendBallot(b, w.delayedOrder.Ballot)
	}
	return xxhash.Sum64(b)
}

// send adds a message to the network.
func (c *checker) send(w *world, s *Send) {
	m := s.Message
	m.Reason, m.Plan = "", nil
	key := fmt.Sprint(s.Rank, m)
	n, ok := c.messageIndex[key]
	if !ok {
		n = len(c.messages)
		c.messageIndex[key] = n
		c.messages = append(c.messages, sentMessage{rank: s.Rank, message: m})
	}
	w.sent[n/64] |= 1 << (n % 64)
}

// execute carries out an order at an engine and returns its result.
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
		d.Refusal = applyOrder(e, o, c.o.hold, w.hasRequests[rank])
	}
	state := *e
	state.Idle = !w.hasRequests[rank]
	d.Engine = &state
	return d
}

// applyOrder carries out an order and returns the reason for a refusal, or an empty string.
func applyOrder(e *Engine, o Order, hold, working bool) string {
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

// handle passes an event to a slot and returns all worlds that this can lead to.
func (c *checker) handle(w *world, rank int, now time.Time, e Event) []*world {
	v := w.clone()
	actions := v.ownSlot(rank).Handle(now, e)
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
		out = append(out, c.interruptOrder(v, rank, now, *order)...)
	}
	if order.Kind == OrderLoad && v.refusals > 0 {
		u := v.clone()
		u.refusals--
		d := c.execute(u, rank, *order, true)
		out = append(out, c.follow(u, rank, now, u.ownSlot(rank).Handle(now, Event{OrderResult: &d}))...)
	}
	d := c.execute(v, rank, *order, false)
	return append(out, c.follow(v, rank, now, v.ownSlot(rank).Handle(now, Event{OrderResult: &d}))...)
}

// interruptOrder returns the worlds in which the slot crashes, or loses the answer, before or after an order takes effect.
func (c *checker) interruptOrder(w *world, rank int, now time.Time, o Order) (out []*world) {
	for _, done := range []bool{false, true} {
		v := w.clone()
		v.faults--
		if done {
			c.execute(v, rank, o, false)
		}
		lost := v.clone()
		out = append(out, c.follow(lost, rank, now, lost.ownSlot(rank).Handle(now, Event{OrderResult: &OrderResult{Order: o}}))...)
		v.slots[rank] = c.slot(v, rank)
		if !done && c.o.delayedOrders && o.Kind != OrderClaim {
			v.delayedOrder, v.delayedRank = &o, rank
		}
		out = append(out, v)
	}
	return out
}
