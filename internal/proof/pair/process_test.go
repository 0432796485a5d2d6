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

// entryProcess runs an entry's core and carries out its actions in the world.
type entryProcess struct {
	process
	w    *world
	core *entry.Core
	// conns holds the latest connection of each request.
	conns map[string]*conn
}

// slotProcess runs a slot's core and carries out its actions in the world.
type slotProcess struct {
	process
	w    *world
	core *slot.Core
	// streams holds the connections by stream number.
	streams    map[uint64]*conn
	lastStream uint64
}

// conn is the connection of one attempt.
type conn struct {
	entry   *entryProcess
	slot    *slotProcess
	request call.Request
	// slotIncarnation is the slot's incarnation when the request reached it, or -1 before that.
	slotIncarnation int
	closed          bool
}

func (e *entryProcess) start() {
	w := e.w
	e.incarnation++
	e.conns = map[string]*conn{}
	e.core = entry.New(entry.Options{
		Name: e.name, Centre: "c1", HeartbeatInterval: heartbeatInterval, Random: rand.New(rand.NewPCG(w.random.Uint64(), 2)),
	})
	e.handle(entry.Event{Configuration: w.config})
	w.every(&e.process, tickInterval, func() { e.handle(entry.Event{Tick: &entry.Tick{}}) })
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

// send starts an attempt 1 ms after the core's decision; the process may be paused in between.
func (e *entryProcess) send(s *entry.Send) {
	w := e.w
	if before := e.conns[s.Request.ID]; before != nil {
		before.close()
	}
	k := &conn{entry: e, slot: w.slotOf(s.Target), request: s.Request, slotIncarnation: -1}
	e.conns[s.Request.ID] = k
	w.maybePause(&e.process)
	w.afterOn(&e.process, time.Millisecond, func() {
		remaining, ok := s.Remaining(w.clock(&e.process))
		if !ok || w.now < e.cutUntil || w.now < k.slot.cutUntil {
			k.lost(false)
			return
		}
		if remaining > s.Deadline.Sub(w.clock(&e.process)) {
			w.recordViolation("a request was sent with a timeout beyond its deadline")
		}
		request := s.Request
		request.Remaining = remaining
		w.transmit(&e.process, &k.slot.process, func() { k.slot.accept(k, request) })
		k.watchLiveness()
	})
}

// watchLiveness checks at each connectionTimeout that the slot's current incarnation has the request and is reachable.
func (k *conn) watchLiveness() {
	w := k.entry.w
	w.afterOn(&k.entry.process, connectionTimeout, func() {
		s := k.slot
		alive := k.slotIncarnation == s.incarnation && w.now >= s.pausedUntil && w.now >= s.cutUntil && w.now >= k.entry.cutUntil
		switch {
		case k.closed:
		case !alive:
			k.lost(true)
		default:
			k.watchLiveness()
		}
	})
}

// lost closes the connection and reports its loss to the entry.
func (k *conn) lost(sent bool) {
	if k.closed {
		return
	}
	k.close()
	k.entry.handle(entry.Event{ConnectionLost: &entry.ConnectionLost{
		ID: k.request.ID, Attempt: k.request.Attempt, Sent: sent, Reason: "broken",
	}})
}

// close closes the connection; the slot detaches its stream after a delay.
func (k *conn) close() {
	k.closed = true
	s := k.slot
	s.w.afterOn(&s.process, s.w.randomDelay(), func() {
		for number, v := range s.streams {
			if v == k {
				delete(s.streams, number)
				s.handle(slot.Event{Detach: &slot.Detach{ID: k.request.Identity(), Stream: number}})
			}
		}
	})
}

// sendChunk transmits a chunk of an answer to the entry; a lost chunk ends the connection.
func (k *conn) sendChunk(number uint64, c call.Chunk) {
	w := k.entry.w
	if w.withProbability(w.loss) {
		w.afterOn(&k.entry.process, connectionTimeout, func() { k.lost(true) })
		return
	}
	w.transmit(&k.slot.process, &k.entry.process, func() {
		if !c.Ping() {
			k.entry.handle(entry.Event{Chunk: &entry.Chunk{Chunk: c, Attempt: k.request.Attempt}})
		}
		if c.End {
			k.close()
		}
	})
	s := k.slot
	if !c.Ping() && !c.End {
		w.afterOn(&s.process, w.randomDelay(), func() {
			s.handle(slot.Event{ChunkSent: &slot.ChunkSent{ID: k.request.Identity(), Stream: number}})
		})
	}
}

func (s *slotProcess) start() {
	w := s.w
	for _, k := range s.streams {
		w.afterOn(&k.entry.process, w.randomDelay(), func() { k.lost(true) })
	}
	s.incarnation++
	s.streams = map[uint64]*conn{}
	limits := slot.DefaultLimits
	limits.MaxRecords = w.maxRecords()
	limits.MaxTotalAnswerBytes = 4 << 10
	s.core = slot.New(slot.Options{Name: s.name, Random: rand.New(rand.NewPCG(w.random.Uint64(), 3)), Limits: limits})
	s.handle(slot.Event{Configuration: w.config})
	s.handle(slot.Event{Report: &slot.Report{Alive: true}})
	w.every(&s.process, tickInterval, func() { s.handle(slot.Event{Tick: &slot.Tick{}}) })
	w.every(&s.process, heartbeatInterval, s.sendHeartbeats)
}

func (s *slotProcess) sendHeartbeats() {
	h := s.core.NextHeartbeat(s.w.clock(&s.process))
	for _, e := range s.w.entries {
		s.w.transmit(&s.process, &e.process, func() {
			e.handle(entry.Event{Heartbeat: &membership.Heartbeat{
				Target: h.Target, Incarnation: h.Incarnation, Sequence: h.Sequence, State: h.State, Width: h.Width,
				Successor: h.Successor,
			}})
		})
	}
}

func (s *slotProcess) accept(k *conn, request call.Request) {
	s.lastStream++
	k.slotIncarnation = s.incarnation
	s.streams[s.lastStream] = k
	s.handle(slot.Event{Arrival: &slot.Arrival{Request: request, Stream: s.lastStream, Entry: k.entry.name}})
}

func (s *slotProcess) handle(v slot.Event) {
	for _, a := range s.core.Handle(s.w.clock(&s.process), v) {
		switch {
		case a.Run != nil:
			s.w.maybePause(&s.process)
			s.w.afterOn(&s.process, time.Millisecond, func() { s.execute(a.Run) })
		case a.Deliver != nil:
			s.deliverHandover(a.Deliver)
		case a.Exit != nil:
			s.w.afterOn(&s.process, time.Millisecond, s.start)
		case a.Chunk != nil:
			if k := s.streams[a.Chunk.Stream]; k != nil {
				k.sendChunk(a.Chunk.Stream, a.Chunk.Chunk)
			}
		}
	}
}

// deliverHandover sends a handover to another slot and returns its receipt; without one in time the handover is refused.
func (s *slotProcess) deliverHandover(d *slot.Deliver) {
	w, to := s.w, s.w.slotOf(d.Target)
	answered := false
	reply := func(accepted bool) {
		if !answered {
			answered = true
			s.handle(slot.Event{HandoverReply: &slot.HandoverReply{Target: d.Target, Accepted: accepted}})
		}
	}
	w.transmit(&s.process, &to.process, func() {
		for _, a := range to.core.Handle(w.clock(&to.process), slot.Event{Message: &d.Message}) {
			if a.Receipt != nil {
				w.transmit(&to.process, &s.process, func() { reply(a.Receipt.Accepted) })
			}
		}
	})
	w.afterOn(&s.process, connectionTimeout, func() { reply(false) })
}

// execute runs a request at the target; its effect lasts even if the slot restarts before the result.
func (s *slotProcess) execute(r *slot.Run) {
	w := s.w
	result := func(d time.Duration, v slot.Result) {
		v.ID = r.ID
		w.afterOn(&s.process, d, func() { s.handle(slot.Event{Result: &v}) })
	}
	now := w.clock(&s.process)
	switch {
	case !r.CanStart(now), w.withProbability(w.crash):
		result(0, slot.Result{Outcome: call.OutcomeNotRun, Reason: "not connected"})
		return
	case !now.Before(r.Deadline):
		w.recordViolation("a run was started after its deadline")
	}
	w.executions[r.Request.Key]++
	answer := w.answerOf(r.Request)
	if w.withProbability(w.crash) {
		result(w.randomDelay(), slot.Result{Outcome: call.OutcomeFailed, Reason: "crashed"})
		return
	}
	d := w.randomDelay()
	if w.maxServiceTime > 0 {
		d += time.Duration(w.random.Int64N(int64(w.maxServiceTime)))
	}
	for i := 0; i < len(answer); i += 30 {
		part := []byte(answer[i:min(i+30, len(answer))])
		w.afterOn(&s.process, d, func() {
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
