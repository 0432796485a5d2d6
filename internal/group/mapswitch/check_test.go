package mapswitch

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// next returns all worlds that can follow in one event.
func (c *checker) next(w *world) (out []*world) {
	for rank := range checkRanks {
		out = append(out, c.hear(w, rank)...)
		out = append(out, c.handle(w, rank, early, Event{Tick: &Tick{}})...)
		if w.slots[rank].lead.state != stateResting {
			out = append(out, c.handle(w, rank, late, Event{Tick: &Tick{}})...)
		}
		out = append(out, c.begin(w, rank)...)
		out = append(out, c.crash(w, rank)...)
		out = append(out, c.advance(w, rank)...)
	}
	for n, l := range c.letters {
		if w.sent[n/64]&(1<<(n%64)) != 0 {
			m := l.message
			out = append(out, c.handle(w, l.rank, early, Event{Message: &m})...)
		}
	}
	if w.ghost != nil {
		v := w.clone()
		c.execute(v, v.ghostRank, *v.ghost, false)
		v.ghost = nil
		out = append(out, v)
	}
	return out
}

// hear passes a report to a slot that waits for one. Others learn of steps as late as can be.
func (c *checker) hear(w *world, rank int) []*world {
	state := w.engines[rank]
	state.Idle = !w.working[rank]
	switch s := w.slots[rank]; {
	case s.settled() && state.Armed != nil && !s.holds(state.Armed.Ballot):
		return c.handle(w, rank, early, Event{Engine: &state})
	case s.state == stateCommitted && state.Step >= s.engine.Armed.Step, s.state == stateDraining && state.Idle:
		return c.handle(w, rank, early, Event{Engine: &state})
	}
	return nil
}

func (c *checker) begin(w *world, rank int) []*world {
	if rank >= c.o.leads || w.begun&(1<<rank) != 0 || !w.slots[rank].Ready() {
		return nil
	}
	v := w.clone()
	v.begun |= 1 << rank
	return c.follow(v, rank, early, v.own(rank).Handle(early, Event{Begin: &Begin{Map: uint64(rank + 2)}}))
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

// advance starts a step at one rank, or work and its end for engines that cannot hold.
func (c *checker) advance(w *world, rank int) []*world {
	if !c.o.hold {
		return c.work(w, rank)
	}
	v := w.clone()
	if v.engines[rank].Step >= checkSteps || !v.step(rank) {
		return nil
	}
	return []*world{v}
}

// step starts the next step at one rank; no rank is more than one step ahead.
func (w *world) step(rank int) bool {
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
		w.broken = fmt.Sprintf("step %d ran with the maps %d and %d", next, w.used[next], e.Map)
	}
	w.used[next] = e.Map
	return true
}

// work lets an admitted request start or end; all ranks step while any of them works.
func (c *checker) work(w *world, rank int) []*world {
	v := w.clone()
	v.working[rank] = !w.working[rank]
	if v.working[rank] && !v.slots[rank].Open() {
		return nil
	}
	v.checkWork()
	return []*world{v}
}

func (w *world) checkWork() {
	for i := range w.engines {
		if slices.Contains(w.working[:], true) && w.engines[i].Map != w.engines[0].Map {
			w.broken = fmt.Sprintf("a step ran with the maps %d and %d", w.engines[0].Map, w.engines[i].Map)
		}
	}
}

// run explores until all worlds are seen, one is broken or stuck, or the bound is reached.
func (c *checker) run() {
	first := c.start()
	c.seen[first.key()] = true
	c.queue = append(c.queue, first)
	for head := 0; head < len(c.queue); head++ {
		w := c.queue[head]
		c.queue[head] = nil
		if c.o.states > 0 && len(c.seen) >= c.o.states {
			return
		}
		if c.o.progress > 0 && head%c.o.progress == 0 && !c.settles(w) {
			return
		}
		for _, v := range c.next(w) {
			if !c.o.hold {
				v.checkWork()
			}
			if v.broken != "" {
				c.broken = v.broken
				return
			}
			if key := v.key(); !c.seen[key] {
				c.seen[key] = true
				c.queue = append(c.queue, v)
			}
		}
	}
}

// fairRounds bounds the rounds in which a world decides once faults have ended.
const fairRounds = 12

// settles reports whether a world decides all ballots and steps on when faults have ended.
func (c *checker) settles(w *world) bool {
	v := w.clone()
	v.faults, v.refusals, v.ghost = 0, 0, nil
	goal := v.engines[0].Step + 3
	for round := range fairRounds {
		v = c.round(v, round)
		if v.broken != "" {
			c.stuck = v.broken
			return false
		}
		if v.settled(c.o.hold, goal) {
			return true
		}
	}
	c.stuck = fmt.Sprintf("undecided after %d rounds: %s", fairRounds, v.describe())
	return false
}

func (w *world) settled(hold bool, goal uint64) bool {
	for i := range w.engines {
		if w.engines[i].Armed != nil || w.slots[i].lead.state != stateResting || w.engines[i].Map != w.engines[0].Map {
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
		text += fmt.Sprintf("[%d %s/%s %+v %v]", i, s.state, s.lead.state, w.engines[i], s.agreed)
	}
	return text
}

// round lets each slot and engine act once and delivers what is sent meanwhile.
func (c *checker) round(w *world, round int) *world {
	now := early
	if round%4 == 3 {
		now = late
	}
	v := w.clone()
	v.sent = [len(v.sent)]uint64{}
	v.working = [checkRanks]bool{}
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
			v.step(rank)
		}
	}
	return v
}

func (c *checker) deliverAll(w *world) *world {
	sent := w.sent
	v := w.clone()
	v.sent = [len(v.sent)]uint64{}
	for n := 0; n < len(c.letters); n++ {
		if sent[n/64]&(1<<(n%64)) != 0 {
			m := c.letters[n].message
			v = c.handle(v, c.letters[n].rank, early, Event{Message: &m})[0]
		}
	}
	return v
}

// walk follows random paths, which reach deeper than a bounded search does.
func (c *checker) walk(seed uint64, paths, length int) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range paths {
		w := c.start()
		for range length {
			options := c.next(w)
			w = options[random.IntN(len(options))]
			if !c.o.hold {
				w.checkWork()
			}
			if w.broken != "" {
				c.broken = w.broken
				return
			}
		}
		if !c.settles(w) {
			return
		}
	}
}
