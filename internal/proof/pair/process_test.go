package pair

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// entryProcess is an entry's core with a small shell.
type entryProcess struct {
	process
	w    *world
	core *entry.Core
	// conns holds the newest connection by request.
	conns map[string]*conn
}

// slotProcess is a slot's core with a small shell.
type slotProcess struct {
	process
	w    *world
	core *slot.Core
	// streams holds the connections by stream number.
	streams map[uint64]*conn
	last    uint64
}

// conn is the connection of one attempt.
type conn struct {
	entry   *entryProcess
	slot    *slotProcess
	request call.Request
	// generation is that of the slot when the request reached it, or -1.
	generation int
	closed     bool
}

func (e *entryProcess) start() {
	w := e.w
	e.generation++
	e.conns = map[string]*conn{}
	e.core = entry.New(entry.Options{
		Name: e.name, Centre: "c1", HeartbeatInterval: beat, Random: rand.New(rand.NewPCG(w.random.Uint64(), 2)),
	})
	e.handle(entry.Event{Configuration: w.config})
	w.every(&e.process, fastTick, func() { e.handle(entry.Event{Tick: &entry.Tick{}}) })
}

func (e *entryProcess) handle(v entry.Event) {
	for _, a := range e.core.Handle(e.w.clock(&e.process), v) {
		switch {
		case a.Send != nil:
			e.send(a.Send)
		case a.Cancel != nil:
			if k := e.conns[a.Cancel.ID]; k != nil && k.request.Attempt == a.Cancel.Attempt {
				k.close()
			}
		case a.Forward != nil:
			e.w.forward(a.Forward)
		case a.Finish != nil:
			e.w.finish(a.Finish)
		}
	}
}

// send starts an attempt after a moment in which the process may be paused.
func (e *entryProcess) send(s *entry.Send) {
	w := e.w
	if before := e.conns[s.Request.ID]; before != nil {
		before.close()
	}
	k := &conn{entry: e, slot: w.slotOf(s.Target), request: s.Request, generation: -1}
	e.conns[s.Request.ID] = k
	w.stall(&e.process)
	w.on(&e.process, time.Millisecond, func() {
		left, ok := s.Left(w.clock(&e.process))
		if !ok || w.now < e.cut || w.now < k.slot.cut {
			k.lose(false)
			return
		}
		if left > s.Deadline.Sub(w.clock(&e.process)) {
			w.fail("a request left with more time than is left")
		}
		request := s.Request
		request.Remaining = left
		w.wire(&e.process, &k.slot.process, func() { k.slot.accept(k, request) })
		k.watch()
	})
}

// watch breaks a connection that gives no sign of life.
func (k *conn) watch() {
	w := k.entry.w
	w.on(&k.entry.process, silence, func() {
		s := k.slot
		alive := k.generation == s.generation && w.now >= s.paused && w.now >= s.cut && w.now >= k.entry.cut
		switch {
		case k.closed:
		case !alive:
			k.lose(true)
		default:
			k.watch()
		}
	})
}

// lose tells the entry that a connection broke.
func (k *conn) lose(sent bool) {
	if k.closed {
		return
	}
	k.close()
	k.entry.handle(entry.Event{ConnectionLost: &entry.ConnectionLost{
		ID: k.request.ID, Attempt: k.request.Attempt, Sent: sent, Reason: "broken",
	}})
}

// close ends a connection; the slot learns of it later.
func (k *conn) close() {
	k.closed = true
	s := k.slot
	s.w.on(&s.process, s.w.delay(), func() {
		for number, v := range s.streams {
			if v == k {
				delete(s.streams, number)
				s.handle(slot.Event{Detach: &slot.Detach{ID: k.request.Identity(), Stream: number}})
			}
		}
	})
}

// chunk carries a part of an answer to the entry.
func (k *conn) chunk(number uint64, c call.Chunk) {
	w := k.entry.w
	if w.chance(w.lose) {
		w.on(&k.entry.process, silence, func() { k.lose(true) })
		return
	}
	w.wire(&k.slot.process, &k.entry.process, func() {
		if !c.Ping() {
			k.entry.handle(entry.Event{Chunk: &entry.Chunk{Chunk: c, Attempt: k.request.Attempt}})
		}
		if c.End {
			k.close()
		}
	})
	s := k.slot
	if !c.Ping() && !c.End {
		w.on(&s.process, w.delay(), func() {
			s.handle(slot.Event{ChunkSent: &slot.ChunkSent{ID: k.request.Identity(), Stream: number}})
		})
	}
}

func (s *slotProcess) start() {
	w := s.w
	for _, k := range s.streams {
		w.on(&k.entry.process, w.delay(), func() { k.lose(true) })
	}
	s.generation++
	s.streams = map[uint64]*conn{}
	limits := slot.DefaultLimits
	limits.Records = w.records()
	limits.TotalAnswerBytes = 4 << 10
	s.core = slot.New(slot.Options{Name: s.name, Random: rand.New(rand.NewPCG(w.random.Uint64(), 3)), Limits: limits})
	s.handle(slot.Event{Configuration: w.config})
	s.handle(slot.Event{Report: &slot.Report{Alive: true}})
	w.every(&s.process, fastTick, func() { s.handle(slot.Event{Tick: &slot.Tick{}}) })
	w.every(&s.process, beat, s.beat)
}

func (s *slotProcess) beat() {
	h := s.core.NextHeartbeat(s.w.clock(&s.process))
	for _, e := range s.w.entries {
		s.w.wire(&s.process, &e.process, func() {
			e.handle(entry.Event{Heartbeat: &membership.Heartbeat{
				Target: h.Target, Incarnation: h.Incarnation, Sequence: h.Sequence, State: h.State, Width: h.Width,
				Successor: h.Successor,
			}})
		})
	}
}

func (s *slotProcess) accept(k *conn, request call.Request) {
	s.last++
	k.generation = s.generation
	s.streams[s.last] = k
	s.handle(slot.Event{Arrival: &slot.Arrival{Request: request, Stream: s.last, Entry: k.entry.name}})
}

func (s *slotProcess) handle(v slot.Event) {
	for _, a := range s.core.Handle(s.w.clock(&s.process), v) {
		switch {
		case a.Run != nil:
			s.w.stall(&s.process)
			s.w.on(&s.process, time.Millisecond, func() { s.execute(a.Run) })
		case a.Deliver != nil:
			s.deliver(a.Deliver)
		case a.Exit != nil:
			s.w.on(&s.process, time.Millisecond, s.start)
		case a.Chunk != nil:
			if k := s.streams[a.Chunk.Stream]; k != nil {
				k.chunk(a.Chunk.Stream, a.Chunk.Chunk)
			}
		}
	}
}

// deliver carries a hand-over to another slot and its answer back, or gives it up.
func (s *slotProcess) deliver(d *slot.Deliver) {
	w, to := s.w, s.w.slotOf(d.Target)
	answered := false
	tell := func(accepted bool) {
		if !answered {
			answered = true
			s.handle(slot.Event{HandoverReply: &slot.HandoverReply{Target: d.Target, Accepted: accepted}})
		}
	}
	w.wire(&s.process, &to.process, func() {
		for _, a := range to.core.Handle(w.clock(&to.process), slot.Event{Message: &d.Message}) {
			if a.Receipt != nil {
				w.wire(&to.process, &s.process, func() { tell(a.Receipt.Accepted) })
			}
		}
	})
	w.on(&s.process, silence, func() { tell(false) })
}

// execute is one call at the target; what it does is done even when the slot dies.
func (s *slotProcess) execute(r *slot.Run) {
	w := s.w
	result := func(d time.Duration, v slot.Result) {
		v.ID = r.ID
		w.on(&s.process, d, func() { s.handle(slot.Event{Result: &v}) })
	}
	now := w.clock(&s.process)
	switch {
	case !r.CanStart(now), w.chance(w.crash):
		result(0, slot.Result{Outcome: call.OutcomeNotRun, Reason: "not connected"})
		return
	case !now.Before(r.Deadline):
		w.fail("a run was started after its deadline")
	}
	w.runs[r.Request.Key]++
	answer := w.answerOf(r.Request)
	if w.chance(w.crash) {
		result(w.delay(), slot.Result{Outcome: call.OutcomeFailed, Reason: "crashed"})
		return
	}
	d := w.delay()
	if w.service > 0 {
		d += time.Duration(w.random.Int64N(int64(w.service)))
	}
	for i := 0; i < len(answer); i += 30 {
		part := []byte(answer[i:min(i+30, len(answer))])
		w.on(&s.process, d, func() {
			s.handle(slot.Event{Output: &slot.Output{ID: r.ID, Data: part, Status: http.StatusOK}})
		})
		d += time.Millisecond
	}
	result(d, slot.Result{Outcome: call.OutcomeComplete, Status: http.StatusOK})
}

func (w *world) slotOf(name string) *slotProcess {
	for _, s := range w.slots {
		if s.name == name {
			return s
		}
	}
	return nil
}
