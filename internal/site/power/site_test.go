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

// tick is the time between two steps of the fake site.
const tick = 20 * time.Millisecond

// fakeSite drives ledgers over a faulty network, with engines whose work always ends by its deadline.
type fakeSite struct {
	random *rand.Rand
	now    time.Time
	cap    int64
	limits Limits
	nodes  []*fakeNode
	// packets holds the messages on their way by the number of the tick in which they arrive.
	packets map[int64][]packet
	// loss, repeat and late are chances in percent for each message.
	loss, repeat, late int
	// manual leaves the start of work to the driver of the site.
	manual bool
	// reachable tells whether a message passes now, or is nil.
	reachable func(from, to int) bool
}

type packet struct {
	from, to    int
	incarnation uint64
	message     Message
}

// fakeNode is a slot with its engine.
type fakeNode struct {
	ledger      *Ledger
	plan        Plan
	width       int
	incarnation uint64
	// frozen nodes handle nothing; their engine goes on.
	frozen bool
	// work holds the ends of the running requests.
	work []time.Time
	// queue holds the waiting requests, the oldest first.
	queue []job
	// done counts the requests started, by priority.
	done map[int]int
}

type job struct {
	arrived  time.Time
	lasts    time.Duration
	priority int
}

func newFakeSite(seed uint64, shares []int64, width int, limits Limits) *fakeSite {
	s := &fakeSite{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), limits: limits, packets: map[int64][]packet{}}
	for _, share := range shares {
		s.cap += share
		s.nodes = append(s.nodes, &fakeNode{width: width, plan: Plan{Share: share, Idle: fakeIdle, Draw: fakeDraw}, done: map[int]int{}})
	}
	for i := range s.nodes {
		for j := range s.nodes {
			if i != j {
				s.nodes[i].plan.Peers = append(s.nodes[i].plan.Peers, fmt.Sprint(j))
			}
		}
		s.restart(i)
	}
	return s
}

// restart replaces the slot; the engine's work goes on.
func (s *fakeSite) restart(i int) {
	n := s.nodes[i]
	n.incarnation++
	n.frozen = false
	n.ledger = NewLedger(s.now, Options{Limits: s.limits, Random: rand.New(rand.NewPCG(s.random.Uint64(), 2))})
	n.ledger.Configure(s.now, n.plan)
}

func (s *fakeSite) load(n *fakeNode) Load {
	l := Load{Running: len(n.work), Queued: min(len(n.queue), n.width-len(n.work))}
	for _, j := range n.queue {
		l.Priority = max(l.Priority, j.priority)
	}
	return l
}

func (s *fakeSite) send(from int, sends []Send) {
	for _, v := range sends {
		var to int
		_, _ = fmt.Sscan(v.Peer, &to)
		for range 1 + s.chance(s.repeat) {
			if s.chance(s.loss) == 1 {
				continue
			}
			delay := time.Duration(1+s.random.IntN(5)) * time.Millisecond
			if s.chance(s.late) == 1 {
				delay = time.Duration(s.random.IntN(30_000)) * time.Millisecond
			}
			at := s.ticks() + 1 + int64(delay/tick)
			s.packets[at] = append(s.packets[at], packet{from, to, s.nodes[from].incarnation, v.Message})
		}
	}
}

func (s *fakeSite) chance(percent int) int {
	if s.random.IntN(100) < percent {
		return 1
	}
	return 0
}

// step lets one tick pass.
func (s *fakeSite) step() {
	s.now = s.now.Add(tick)
	for _, n := range s.nodes {
		n.work = slices.DeleteFunc(n.work, func(end time.Time) bool { return !end.After(s.now) })
	}
	s.deliver()
	for i, n := range s.nodes {
		if n.frozen {
			continue
		}
		if !s.manual {
			s.send(i, n.ledger.Tick(s.now, s.load(n)))
			s.admit(n)
		}
	}
}

// ticks returns the number of the present tick.
func (s *fakeSite) ticks() int64 {
	return int64(s.now.Sub(time.Unix(0, 0)) / tick)
}

func (s *fakeSite) deliver() {
	now := s.ticks()
	ready := s.packets[now]
	delete(s.packets, now)
	for _, p := range ready {
		n := s.nodes[p.to]
		if n.frozen || s.reachable != nil && !s.reachable(p.from, p.to) {
			// What a frozen or cut-off process was sent waits for it.
			s.packets[now+1] = append(s.packets[now+1], p)
			continue
		}
		s.send(p.to, n.ledger.Receive(s.now, fmt.Sprint(p.from), p.incarnation, p.message, s.load(n)))
	}
}

// admit starts waiting requests, the highest priority first.
func (s *fakeSite) admit(n *fakeNode) {
	slices.SortStableFunc(n.queue, func(a, b job) int { return b.priority - a.priority })
	for len(n.queue) > 0 && len(n.work) < n.width {
		j := n.queue[0]
		if !n.ledger.Admit(s.now, len(n.work), j.lasts) {
			return
		}
		n.queue = n.queue[1:]
		n.work = append(n.work, s.now.Add(j.lasts))
		n.done[j.priority]++
	}
}

// draw returns the draw of the whole site.
func (s *fakeSite) draw() (watts int64) {
	for _, n := range s.nodes {
		watts += n.plan.Idle + int64(len(n.work))*n.plan.Draw
	}
	return watts
}
