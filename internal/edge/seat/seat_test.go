package seat

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// The engines and streams of the sheets: twelve ranks, 24 events a stream, a pause of at most 120 ms, a goal of 500 ms.
var desk = &site.Service{Name: "desk", Step: 4550 * time.Microsecond, Sequence: 905 * time.Microsecond, Stride: 4}

const (
	ranks  = 12
	events = 24
	gap    = 120 * time.Millisecond
	goal   = 500 * time.Millisecond
)

// play is a group under a steady load, pass by pass, with demand that shifts every three seconds.
type play struct {
	random *rand.Rand
	gauge  Estimator
	line   Queue
	now    time.Time
	// streams are the events left of each stream, and late marks those with a pause that was too long.
	streams []stream
	// onTime, late and refused count ended requests, and slowest is the longest wait for a refusal.
	onTime, late, refused int
	slowest               time.Duration
	waiting               []*Waiter
}

type stream struct {
	left int
	late bool
}

// skew returns the time of a pass over that of an even group: high from each shift until the next map, a second later.
func (p *play) skew(start time.Time) float64 {
	if p.now.Sub(start)%(3*time.Second) < time.Second {
		return 2.3
	}
	return 1.1
}

// run plays a number of arrivals a second for a time; measured tells whether to count from the second shift on.
func (p *play) run(perSecond float64, span time.Duration, seats func(now time.Time) int) {
	start := p.now
	for p.now.Sub(start) < span {
		even := float64(desk.Stride) * (desk.Step.Seconds() + desk.Sequence.Seconds()*float64(len(p.streams))/ranks)
		pass := time.Duration(1.25 * p.skew(start) * even * float64(time.Second))
		p.arrive(perSecond*pass.Seconds(), pass, seats)
		p.now = p.now.Add(pass)
		p.step(pass)
	}
}

func (p *play) arrive(expected float64, span time.Duration, seats func(now time.Time) int) {
	for n := int(expected + p.random.Float64()); n > 0; n-- {
		w := &Waiter{Arrived: p.now.Add(time.Duration(p.random.Int64N(int64(span)))), Goal: goal, Gap: gap, Done: make(chan bool, 1)}
		switch decided, admitted := p.line.Offer(w, len(p.streams), seats(w.Arrived)); {
		case decided && admitted:
			p.streams = append(p.streams, stream{left: events})
		case decided:
			p.refused++
		default:
			p.waiting = append(p.waiting, w)
		}
	}
	const tick = 15 * time.Millisecond
	for at := time.Duration(0); at < span; at += tick {
		p.line.Dispatch(p.now.Add(at), len(p.streams), seats(p.now.Add(at)))
		p.collect(p.now.Add(at))
	}
}

// collect takes the decisions on waiting requests.
func (p *play) collect(now time.Time) {
	rest := p.waiting[:0]
	for _, w := range p.waiting {
		select {
		case admitted := <-w.Done:
			if admitted {
				p.streams = append(p.streams, stream{left: events})
				continue
			}
			p.refused++
			p.slowest = max(p.slowest, now.Sub(w.Arrived))
		default:
			rest = append(rest, w)
		}
	}
	p.waiting = rest
}

// step gives each stream an event after a pass.
func (p *play) step(pass time.Duration) {
	running := len(p.streams)
	rest := p.streams[:0]
	for i, s := range p.streams {
		// This entry sees the pauses of its own streams only.
		if i%observers == 0 {
			p.gauge.Observe(p.now, pass, running, ranks, desk, gap)
		}
		s.left--
		s.late = s.late || pass > gap
		switch {
		case s.left > 0:
			rest = append(rest, s)
		case s.late:
			p.late++
		default:
			p.onTime++
		}
	}
	p.streams = rest
}

func newPlay() *play {
	return &play{random: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1_700_000_000, 0)}
}

// TestSeatsUnderShiftingDemand plays half as many arrivals again as the group can serve on time through shifts of demand.
// Callers get answers on time, or a refusal within an eighth of their goal (RULES: a later one has a price).
func TestSeatsUnderShiftingDemand(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	seats := func(now time.Time) int { return p.gauge.Seats(now, desk, gap, ranks) }
	// The first shift teaches the gauge what a shift does.
	p.run(60, 3*time.Second, seats)
	p.onTime, p.late, p.refused, p.slowest = 0, 0, 0, 0
	p.run(60, 27*time.Second, seats)
	t.Logf("on time %d, late %d, refused %d, slowest refusal %v", p.onTime, p.late, p.refused, p.slowest)
	is.True(p.onTime > 10*p.late)
	is.True(p.slowest <= goal/8)

	// Without a limit the same load makes nearly all answers late.
	all := newPlay()
	all.run(60, 30*time.Second, func(time.Time) int { return 1 << 20 })
	t.Logf("without a limit: on time %d, late %d", all.onTime, all.late)
	is.True(p.onTime > 2*all.onTime)
}

// TestSeatsOfAQuietGroup checks that nobody is refused where the group can serve all on time.
func TestSeatsOfAQuietGroup(t *testing.T) {
	is := is.New(t)
	p := newPlay()
	p.run(25, 30*time.Second, func(now time.Time) int { return p.gauge.Seats(now, desk, gap, ranks) })
	t.Logf("on time %d, late %d, refused %d", p.onTime, p.late, p.refused)
	is.Equal(p.refused, 0)
	is.Equal(p.late, 0)
}

// TestStallIsNoLoad checks that a stalled group does not lose its seats.
func TestStallIsNoLoad(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var g Estimator
	for range 50 {
		now = now.Add(40 * time.Millisecond)
		g.Observe(now, 40*time.Millisecond, 40, ranks, desk, gap)
	}
	before := g.Seats(now, desk, gap, ranks)
	now = now.Add(1500 * time.Millisecond)
	g.Observe(now, 1500*time.Millisecond, 40, ranks, desk, gap)
	is.Equal(g.Seats(now, desk, gap, ranks), before)
}

func TestQueueOrder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name      string
		w         Waiter
		running   int
		decided   bool
		admitted  bool
		hasWaiter bool
	}{
		{"free seat", Waiter{}, 10, true, true, false},
		{"full, a seat may come", Waiter{}, 64, false, false, false},
		{"far beyond the seats", Waiter{}, 90, true, false, false},
		{"late request on the last seats", Waiter{Late: true}, 60, true, false, false},
		{"late request while there is room", Waiter{Late: true}, 30, true, true, false},
		{"behind one that waits", Waiter{Priority: 1}, 63, false, false, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var l Queue
			if v.hasWaiter {
				l.Offer(&Waiter{Arrived: now, Goal: goal, Done: make(chan bool, 1)}, 64, 64)
			}
			w := v.w
			w.Arrived, w.Goal, w.Done = now, goal, make(chan bool, 1)
			decided, admitted := l.Offer(&w, v.running, 64)
			is.Equal(decided, v.decided)
			is.Equal(admitted, v.admitted)
		})
	}
}

// TestQueueServesUrgentFirst checks that a seat goes to the most urgent waiter, and that nobody waits for ever.
func TestQueueServesUrgentFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var l Queue
	var waiters []*Waiter
	for _, priority := range []int{2, 0, 1} {
		w := &Waiter{Priority: priority, Arrived: now, Goal: goal, Done: make(chan bool, 1)}
		waiters = append(waiters, w)
		l.Offer(w, 64, 64)
	}
	is.Equal(l.Dispatch(now, 63, 64), 1)
	is.True(<-waiters[1].Done)
	is.Equal(l.Dispatch(now.Add(goal/8), 64, 64), 0)
	is.True(!<-waiters[0].Done)
	is.True(!<-waiters[2].Done)
	is.Equal(l.Waiting(), 0)
}
