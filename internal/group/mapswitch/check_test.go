package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// successors returns all worlds that one event can lead to.
func (c *checker) successors(w *world) (out []*world) {
	for rank := range checkRanks {
		out = append(out, c.reportEngine(w, rank)...)
		out = append(out, c.handle(w, rank, beforeDeadline, Event{Tick: &Tick{}})...)
		if w.slots[rank].leader.state != stateResting {
			out = append(out, c.handle(w, rank, afterDeadline, Event{Tick: &Tick{}})...)
		}
		out = append(out, c.begin(w, rank)...)
		out = append(out, c.crash(w, rank)...)
		out = append(out, c.advance(w, rank)...)
	}
	for n, l := range c.messages {
		if w.sent[n/64]&(1<<(n%64)) != 0 {
			m := l.message
			out = append(out, c.handle(w, l.rank, beforeDeadline, Event{Message: &m})...)
		}
	}
	if w.delayedOrder != nil {
		v := w.clone()
		c.execute(v, v.delayedRank, *v.delayedOrder, false)
		v.delayedOrder = nil
		out = append(out, v)
	}
	return out
}

// reportEngine passes a report to a slot only if it waits for one, so that all others learn of steps as late as possible.
func (c *checker) reportEngine(w *world, rank int) []*world {
	state := w.engines[rank]
	state.Idle = !w.hasRequests[rank]
	switch s := w.slots[rank]; {
	case s.unbound() && state.Armed != nil && !s.armedOrDecided(state.Armed.Ballot):
		return c.handle(w, rank, beforeDeadline, Event{Engine: &state})
	case s.state == stateCommitted && state.Step >= s.engine.Armed.Step, s.state == stateDraining && state.Idle:
		return c.handle(w, rank, beforeDeadline, Event{Engine: &state})
	}
	return nil
}

func (c *checker) begin(w *world, rank int) []*world {
	if rank >= c.o.leaders || w.begun&(1<<rank) != 0 || !w.slots[rank].Ready() {
		return nil
	}
	v := w.clone()
	v.begun |= 1 << rank
	return c.follow(v, rank, beforeDeadline, v.ownSlot(rank).Handle(beforeDeadline, Event{Begin: &Begin{Map: uint64(rank + 2)}}))
}

func (c *checker) crash(w *world, rank int) []*world {
	if w.faults == 0 || c.o.victim != 0 && c.o.victim != rank {
		return nil
	}
	v := w.clone()
	v.faults--
	v.slots[rank] = c.slot(v, rank)
	return []*world{v}
}

// advance starts a step at one rank; if the engines cannot hold, it starts or ends a request instead.
func (c *checker) advance(w *world, rank int) []*world {
	if !c.o.hold {
		return c.toggleRequest(w, rank)
	}
	v := w.clone()
	if v.engines[rank].Step >= checkSteps || !v.startStep(rank) {
		return nil
	}
	return []*world{v}
}

// startStep starts the next step at one rank; no rank is more than one step ahead.
func (w *world) startStep(rank int) bool {
	e := &w.engines[rank]
	for i := range w.engines {
		if w.engines[i].Step < e.Step {
			return false
		}
	}
	next := e.Step + 1
	if a := e.Armed; a != nil && a.Step == next {
		if !a.Committed {
			return false
		}
		e.Map, e.Armed = a.Map, nil
		if e.Staged == a.Map {
			e.Staged = 0
		}
	}
	e.Step = next
	if next > checkSteps {
		return true
	}
	if w.used[next] != 0 && w.used[next] != e.Map {
		w.violation = fmt.Sprintf("step %d ran with the maps %d and %d", next, w.used[next], e.Map)
	}
	w.used[next] = e.Map
	return true
}

// toggleRequest starts an admitted request at a rank or ends it; all ranks step while any of them has a request.
func (c *checker) toggleRequest(w *world, rank int) []*world {
	v := w.clone()
	v.hasRequests[rank] = !w.hasRequests[rank]
	if v.hasRequests[rank] && !v.slots[rank].Open() {
		return nil
	}
	v.checkMaps()
	return []*world{v}
}

func (w *world) checkMaps() {
	for i := range w.engines {
		if slices.Contains(w.hasRequests[:], true) && w.engines[i].Map != w.engines[0].Map {
			w.violation = fmt.Sprintf("a step ran with the maps %d and %d", w.engines[0].Map, w.engines[i].Map)
		}
	}
}

// explore searches until all worlds are seen, one breaks a rule or makes no progress, or the bound is reached.
func (c *checker) explore() {
	first := c.start()
	c.seen[first.hash()] = true
	c.queue = append(c.queue, first)
	for head := 0; head < len(c.queue); head++ {
		w := c.queue[head]
		c.queue[head] = nil
		if c.o.states > 0 && len(c.seen) >= c.o.states {
			return
		}
		if c.o.progress > 0 && head%c.o.progress == 0 && !c.recovers(w) {
			return
		}
		for _, v := range c.successors(w) {
			if !c.o.hold {
				v.checkMaps()
			}
			if v.violation != "" {
				c.violation = v.violation
				return
			}
			if key := v.hash(); !c.seen[key] {
				c.seen[key] = true
				c.queue = append(c.queue, v)
			}
		}
	}
}

// recoveryRounds is the number of rounds within which a world must recover once faults have ended.
const recoveryRounds = 12

// recovers reports whether a world decides all ballots and continues to step once faults have ended.
func (c *checker) recovers(w *world) bool {
	v := w.clone()
	v.faults, v.refusals, v.delayedOrder = 0, 0, nil
	goal := v.engines[0].Step + 3
	for round := range recoveryRounds {
		v = c.round(v, round)
		if v.violation != "" {
			c.stuck = v.violation
			return false
		}
		if v.recovered(c.o.hold, goal) {
			return true
		}
	}
	c.stuck = fmt.Sprintf("undecided after %d rounds: %s", recoveryRounds, v.describe())
	return false
}

func (w *world) recovered(hold bool, goal uint64) bool {
	for i := range w.engines {
		if w.engines[i].Armed != nil || w.slots[i].leader.state != stateResting || w.engines[i].Map != w.engines[0].Map {
			return false
		}
		if hold && w.engines[i].Step < goal || !w.slots[i].Open() {
			return false
		}
	}
	return true
}

func (w *world) describe() (text string) {
	for i, s := range w.slots {
		text += fmt.Sprintf("[%d %s/%s %+v %v]", i, s.state, s.leader.state, w.engines[i], s.agreeingPeers)
	}
	return text
}

// round runs each slot and engine once and delivers the messages sent meanwhile.
func (c *checker) round(w *world, round int) *world {
	now := beforeDeadline
	if round%4 == 3 {
		now = afterDeadline
	}
	v := w.clone()
	v.sent = [len(v.sent)]uint64{}
	v.hasRequests = [checkRanks]bool{}
	for rank := range checkRanks {
		state := v.engines[rank]
		state.Idle = true
		v = c.handle(v, rank, now, Event{Engine: &state})[0]
		v = c.handle(v, rank, now, Event{Tick: &Tick{}})[0]
	}
	for range 8 {
		v = c.deliverAll(v)
	}
	for rank := range checkRanks {
		if c.o.hold {
			v.startStep(rank)
		}
	}
	return v
}

func (c *checker) deliverAll(w *world) *world {
	sent := w.sent
	v := w.clone()
	v.sent = [len(v.sent)]uint64{}
	for n := 0; n < len(c.messages); n++ {
		if sent[n/64]&(1<<(n%64)) != 0 {
			m := c.messages[n].message
			v = c.handle(v, c.messages[n].rank, beforeDeadline, Event{Message: &m})[0]
		}
	}
	return v
}

// randomWalks follows random paths, which reach deeper than the bounded search.
func (c *checker) randomWalks(seed uint64, paths, length int) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range paths {
		w := c.start()
		for range length {
			options := c.successors(w)
			w = options[random.IntN(len(options))]
			if !c.o.hold {
				w.checkMaps()
			}
			if w.violation != "" {
				c.violation = w.violation
				return
			}
		}
		if !c.recovers(w) {
			return
		}
	}
}
