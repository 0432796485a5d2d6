package power

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fakeIdle and fakeDraw are in watts.
const (
	fakeIdle = 100
	fakeDraw = 100
)

// tick is the simulated time between two steps.
const tick = 20 * time.Millisecond

// fakeSite simulates slots over a faulty network, with engines whose requests always end by their deadlines.
type fakeSite struct {
	random *rand.Rand
	now    time.Time
	cap    int64
	limits Limits
	slots  []*fakeSlot
	// packets holds the messages in flight by the number of the tick in which they arrive.
	packets map[int64][]packet
	// lost, duplicated and delayed are the probabilities of each fault in percent for each message.
	lost, duplicated, delayed int
	// manual is set when the test starts requests itself.
	manual bool
	// reachable reports whether a message is delivered now; nil means always.
	reachable func(from, to int) bool
}

type packet struct {
	from, to    int
	incarnation uint64
	message     Message
}

// fakeSlot is a slot with its engine.
type fakeSlot struct {
	ledger      *Ledger
	plan        Plan
	width       int
	incarnation uint64
	// paused is set while the slot process is paused; its engine keeps running.
	paused bool
	// work holds the end times of the running requests.
	work  []time.Time
	queue []testRequest
	// started counts the started requests by priority.
	started map[int]int
}

type testRequest struct {
	arrived  time.Time
	duration time.Duration
	priority int
}

func newFakeSite(seed uint64, shares []int64, width int, limits Limits) *fakeSite {
	s := &fakeSite{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), limits: limits, packets: map[int64][]packet{}}
	for _, share := range shares {
		s.cap += share
		s.slots = append(s.slots, &fakeSlot{width: width, plan: Plan{Share: share, Idle: fakeIdle, Draw: fakeDraw}, started: map[int]int{}})
	}
	for i := range s.slots {
		for j := range s.slots {
			if i != j {
				s.slots[i].plan.Peers = append(s.slots[i].plan.Peers, fmt.Sprint(j))
			}
		}
		s.restart(i)
	}
	return s
}

// restart replaces the slot; the engine keeps running its requests.
func (s *fakeSite) restart(i int) {
	slot := s.slots[i]
	slot.incarnation++
	slot.paused = false
	slot.ledger = NewLedger(s.now, Options{Limits: s.limits, Random: rand.New(rand.NewPCG(s.random.Uint64(), 2))})
	slot.ledger.Configure(s.now, slot.plan)
}

func (s *fakeSite) load(slot *fakeSlot) Load {
	l := Load{Running: len(slot.work), Queued: min(len(slot.queue), slot.width-len(slot.work))}
	for _, request := range slot.queue {
		l.Priority = max(l.Priority, request.priority)
	}
	return l
}

func (s *fakeSite) send(from int, sends []Send) {
	for _, v := range sends {
		var to int
		_, _ = fmt.Sscan(v.Peer, &to)
		for range 1 + s.withProbability(s.duplicated) {
			if s.withProbability(s.lost) == 1 {
				continue
			}
			delay := time.Duration(1+s.random.IntN(5)) * time.Millisecond
			if s.withProbability(s.delayed) == 1 {
				delay = time.Duration(s.random.IntN(30_000)) * time.Millisecond
			}
			at := s.ticks() + 1 + int64(delay/tick)
			s.packets[at] = append(s.packets[at], packet{from, to, s.slots[from].incarnation, v.Message})
		}
	}
}

func (s *fakeSite) withProbability(percent int) int {
	if s.random.IntN(100) < percent {
		return 1
	}
	return 0
}

// step advances the simulation by one tick.
func (s *fakeSite) step() {
	s.now = s.now.Add(tick)
	for _, slot := range s.slots {
		slot.work = slices.DeleteFunc(slot.work, func(end time.Time) bool { return !end.After(s.now) })
	}
	s.deliver()
	for i, slot := range s.slots {
		if slot.paused {
			continue
		}
		if !s.manual {
			s.send(i, slot.ledger.Tick(s.now, s.load(slot)))
			s.admit(slot)
		}
	}
}

// ticks returns the number of the current tick.
func (s *fakeSite) ticks() int64 {
	return int64(s.now.Sub(time.Unix(0, 0)) / tick)
}

func (s *fakeSite) deliver() {
	now := s.ticks()
	ready := s.packets[now]
	delete(s.packets, now)
	for _, p := range ready {
		slot := s.slots[p.to]
		if slot.paused || s.reachable != nil && !s.reachable(p.from, p.to) {
			// Messages to a paused or unreachable slot wait for it.
			s.packets[now+1] = append(s.packets[now+1], p)
			continue
		}
		s.send(p.to, slot.ledger.Receive(s.now, fmt.Sprint(p.from), p.incarnation, p.message, s.load(slot)))
	}
}

// admit starts queued requests, the highest priority first.
func (s *fakeSite) admit(slot *fakeSlot) {
	slices.SortStableFunc(slot.queue, func(a, b testRequest) int { return b.priority - a.priority })
	for len(slot.queue) > 0 && len(slot.work) < slot.width {
		request := slot.queue[0]
		if !slot.ledger.Admit(s.now, len(slot.work), request.duration) {
			return
		}
		slot.queue = slot.queue[1:]
		slot.work = append(slot.work, s.now.Add(request.duration))
		slot.started[request.priority]++
	}
}

// draw returns the total draw of the site.
func (s *fakeSite) draw() (watts int64) {
	for _, slot := range s.slots {
		watts += slot.plan.Idle + int64(len(slot.work))*slot.plan.Draw
	}
	return watts
}
