package seat

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// desk has the engines and streams of the specified load: twelve ranks, 24 events per stream, gaps up to 120 ms,
// a goal of 500 ms.
var desk = &site.Service{Name: "desk", Step: 4550 * time.Microsecond, Sequence: 905 * time.Microsecond, Stride: 4}

const (
	ranks  = 12
	events = 24
	gap    = 120 * time.Millisecond
	goal   = 500 * time.Millisecond
)

// simulation runs a group under a constant load, pass by pass, with demand that shifts every three seconds.
type simulation struct {
	random    *rand.Rand
	estimator Estimator
	queue     Queue
	now       time.Time
	// streams holds the running streams.
	streams []stream
	// onTime, late and refused count ended requests; slowestRefusal is the longest wait for a refusal.
	onTime, late, refused int
	slowestRefusal        time.Duration
	waiting               []*Waiter
	// stall is added to one pass each second, as by a switch of the expert map that holds the group.
	stall time.Duration
}

// delay returns the part of the next pass in which the group stands still.
func (p *simulation) delay(start time.Time) time.Duration {
	if p.now.Sub(start)%time.Second < 100*time.Millisecond {
		return p.stall
	}
	return 0
}

type stream struct {
	left int
	late bool
}

// skew returns the slowdown factor that uneven loads of the experts cause: high from each shift until the next expert
// map, a second later.
func (p *simulation) skew(start time.Time) float64 {
	if p.now.Sub(start)%(3*time.Second) < time.Second {
		return 2.3
	}
	return 1.1
}

// run simulates a number of arrivals per second for a time.
func (p *simulation) run(perSecond float64, span time.Duration, seats func(now time.Time) int) {
	start := p.now
	for p.now.Sub(start) < span {
		// The busiest rank slows the work for streams; the steps themselves take the same time, and prompts are read in between.
		streams := p.skew(start) * desk.Sequence.Seconds() * float64(len(p.streams)) / ranks
		pass := time.Duration(float64(desk.Stride)*(1.25*desk.Step.Seconds()+streams)*float64(time.Second)) + p.delay(start)
		p.arrive(perSecond*pass.Seconds(), pass, seats)
		p.now = p.now.Add(pass)
		p.step(pass)
	}
}

func (p *simulation) arrive(expected float64, span time.Duration, seats func(now time.Time) int) {
	for n := int(expected + p.random.Float64()); n > 0; n-- {
		w := &Waiter{Arrived: p.now.Add(time.Duration(p.random.Int64N(int64(span)))), Goal: goal, Gap: gap, Done: make(chan bool, 1)}
		switch decided, admitted := p.queue.Offer(w, len(p.streams), seats(w.Arrived)); {
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
		p.queue.Dispatch(p.now.Add(at), len(p.streams), seats(p.now.Add(at)))
		p.collect(p.now.Add(at))
	}
}

// collect receives the decisions on waiting requests.
func (p *simulation) collect(now time.Time) {
	rest := p.waiting[:0]
	for _, w := range p.waiting {
		select {
		case admitted := <-w.Done:
			if admitted {
				p.streams = append(p.streams, stream{left: events})
				continue
			}
			p.refused++
			p.slowestRefusal = max(p.slowestRefusal, now.Sub(w.Arrived))
		default:
			rest = append(rest, w)
		}
	}
	p.waiting = rest
}

// entries is the number of entries that share the streams.
const entries = 9

// step adds an event to each stream after a pass.
func (p *simulation) step(pass time.Duration) {
	running := len(p.streams)
	rest := p.streams[:0]
	for i, s := range p.streams {
		// An entry observes only the gaps of its own streams.
		if i%entries == 0 {
			p.estimator.Observe(p.now, pass, Occupancy{Own: (running + entries - 1) / entries, Running: running, Ranks: ranks}, desk, gap)
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

func newSimulation() *simulation {
	return &simulation{random: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1_700_000_000, 0)}
}

// overload is about 150% of the arrivals a second that the group can serve on time.
const overload = 120

// TestSeatsUnderShiftingDemand checks that under shifting demand and 150% of the load that the group can serve on time,
// most answers are on time and refusals are sent within an eighth of the goal (RULES: a later refusal has a price).
func TestSeatsUnderShiftingDemand(t *testing.T) {
	is := is.New(t)
	p := newSimulation()
	seats := func(now time.Time) int { return p.estimator.Seats(now, desk, gap, ranks) }
	// The first shift sets the estimator's base time of the slowest passes.
	p.run(overload, 3*time.Second, seats)
	p.onTime, p.late, p.refused, p.slowestRefusal = 0, 0, 0, 0
	p.run(overload, 27*time.Second, seats)
	t.Logf("on time %d, late %d, refused %d, slowest refusal %v", p.onTime, p.late, p.refused, p.slowestRefusal)
	is.True(p.onTime > 10*p.late)
	is.True(p.slowestRefusal <= goal/8)

	// Without a limit the same load makes nearly all answers late.
	unlimited := newSimulation()
	unlimited.run(overload, 30*time.Second, func(time.Time) int { return 1 << 20 })
	t.Logf("without a limit: on time %d, late %d", unlimited.onTime, unlimited.late)
	is.True(p.onTime > 2*unlimited.onTime)
}

// TestSeatsBelowCapacity checks that no request is refused while the group can serve all on time.
func TestSeatsBelowCapacity(t *testing.T) {
	is := is.New(t)
	p := newSimulation()
	p.run(25, 30*time.Second, func(now time.Time) int { return p.estimator.Seats(now, desk, gap, ranks) })
	t.Logf("on time %d, late %d, refused %d", p.onTime, p.late, p.refused)
	is.Equal(p.refused, 0)
	is.Equal(p.late, 0)
}

// largeSite has three groups of 24 ranks and 23 events of a stream with gaps up to 120 ms.
var largeSite = &site.Service{Name: "large", Step: 5850 * time.Microsecond, Sequence: 426 * time.Microsecond, Stride: 6}

// TestDelaysTakeNoSeats plays passes that are slow for other reasons than the running streams. Refusing callers would not make
// the others' answers on time, so the seats must stay above the streams that ran on time before.
func TestDelaysTakeNoSeats(t *testing.T) {
	const largeRanks, before = 72, 490
	tests := []struct {
		name    string
		pass    time.Duration
		running int
		span    time.Duration
	}{
		{"stall of the group", 1500 * time.Millisecond, before, 1500 * time.Millisecond},
		{"switch that holds the group", 300 * time.Millisecond, before, 300 * time.Millisecond},
		{"engine twelve times slower", 400 * time.Millisecond, before, 9 * time.Second},
		{"few streams beside prompts", 73 * time.Millisecond, 125, 10 * time.Second},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			var e Estimator
			play := func(pass time.Duration, running int, span time.Duration) {
				for end := now.Add(span); now.Before(end); {
					now = now.Add(pass)
					for range running / entries {
						e.Observe(now, pass, Occupancy{Own: running / entries, Running: running, Ranks: largeRanks}, largeSite, gap)
					}
				}
			}
			play(80*time.Millisecond, before, 3*time.Second)
			play(v.pass, v.running, v.span)
			t.Logf("%d seats", e.Seats(now, largeSite, gap, largeRanks))
			is.True(e.Seats(now, largeSite, gap, largeRanks) >= before)
		})
	}
}

// TestEntryWithFewStreamsFollowsThePasses gives an entry with five of 700 streams passes that become slower. Its estimate must
// follow within a second, like that of an entry with a ninth of all streams.
func TestEntryWithFewStreamsFollowsThePasses(t *testing.T) {
	const largeGroup, running = 129, 700
	tests := []struct {
		name string
		own  int
	}{{"five streams", 5}, {"a ninth", running / 9}}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			var e Estimator
			play := func(pass, duration time.Duration) {
				for end := now.Add(duration); now.Before(end); {
					now = now.Add(pass)
					for range v.own {
						e.Observe(now, pass, Occupancy{Own: v.own, Running: running, Ranks: largeGroup}, desk, gap)
					}
				}
			}
			play(50*time.Millisecond, 3*time.Second)
			play(100*time.Millisecond, time.Second)
			is.True(e.MeanGap(now) > 85*time.Millisecond)
		})
	}
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
		{"full, a seat may become free", Waiter{}, 64, false, false, false},
		{"far beyond the seats", Waiter{}, 90, true, false, false},
		{"late request on the last seats", Waiter{Late: true}, 60, true, false, false},
		{"late request with many free seats", Waiter{Late: true}, 30, true, true, false},
		{"behind a waiter", Waiter{Priority: 1}, 63, false, false, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			if v.hasWaiter {
				q.Offer(&Waiter{Arrived: now, Goal: goal, Done: make(chan bool, 1)}, 64, 64)
			}
			w := v.w
			w.Arrived, w.Goal, w.Done = now, goal, make(chan bool, 1)
			decided, admitted := q.Offer(&w, v.running, 64)
			is.Equal(decided, v.decided)
			is.Equal(admitted, v.admitted)
		})
	}
}
