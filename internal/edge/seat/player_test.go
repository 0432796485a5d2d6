package seat

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// load is a load on a service of several entries. The times of streams and the numbers of callers are those of a site with hard
// load: 24 workspaces, most callers of a few of them, and a wave of demand.
type load struct {
	entries, seats int
	// news is the interval at which the entries learn of each other.
	news time.Duration
	// demand is the mean demand as a part of the capacity, and heavy that of workspace 0 beside it.
	demand, heavy float64
	// wave is the swing of the demand, burst the factor of demand in the bursts, and hasty the part of callers that retry at once.
	wave, burst, hasty float64
	// sole is set if all callers use one entry.
	sole bool
}

// rules is the order of a queue to compare.
type rules int

const (
	byArrival  rules = iota // the order of arrival, a wait of 0.09 of the goal and random returns, as before this queue
	byDeadline              // one account for all
	byCount                 // an account for each workspace, each request costs the same
	byCost
)

const (
	playTick    = 5 * time.Millisecond
	playTime    = 40 * time.Second
	warmUp      = 6 * time.Second
	callTimeout = 8 * time.Second
	wavePeriod  = 13 * time.Second
	workspaces  = 24
	meanHold    = 2.0
	firstEvent  = 120 * time.Millisecond
)

// caller is a request with its retries.
type playCaller struct {
	workspace, entry, priority, refusals int
	began, at                            time.Time
	hold, hint                           float64
	hasty                                bool
	w                                    *Waiter
}

// entryQueue is one entry: its queue, or the list of waiters in order of arrival.
type entryQueue struct {
	queue        Queue
	list         []*playCaller
	own, assumed int
	ending       []*playCaller
}

// tally counts the ends of callers.
type tally struct{ calls, onTime, late, waited, refusedOnce, refusedAgain, gaveUp int }

type player struct {
	load
	rules
	random  *rand.Rand
	start   time.Time
	now     time.Time
	entry   []entryQueue
	pending map[int64][]*playCaller
	// running is the number of streams, and idle and over are the seat seconds that were free while callers were refused, or taken
	// beyond the seats. refusedAt is when a caller was last refused.
	running           int
	idle, over, spent float64
	refusedAt         time.Time
	all, heavyTally   tally
	// queued counts the requests that had to wait.
	queued int
	// starved counts the requests of the less urgent priority that were served.
	starved int
}

func (p *player) schedule(c *playCaller, at time.Time) {
	slot := at.Sub(p.start)/playTick + 1
	p.pending[int64(slot)] = append(p.pending[int64(slot)], c)
}

func (p *player) count(c *playCaller, add func(*tally)) {
	if c.began.Sub(p.start) < warmUp {
		return
	}
	if c.workspace == 0 {
		add(&p.heavyTally)
		return
	}
	add(&p.all)
}

func (p *player) arrive() {
	t := p.now.Sub(p.start).Seconds()
	rate := float64(p.seats) / meanHold * (1 + p.wave*math.Sin(2*math.Pi*t/wavePeriod.Seconds()))
	if p.burst > 1 && math.Mod(t, 7) < 1 {
		rate *= p.burst
	}
	mean := rate * playTick.Seconds()
	for n := int(mean*(p.demand+p.heavy) + p.random.Float64()); n > 0; n-- {
		c := &playCaller{began: p.now, hold: meanHold * math.Exp(0.5*p.random.NormFloat64()-0.125), hasty: p.random.Float64() < p.hasty}
		c.hint = c.hold * math.Exp(0.4*p.random.NormFloat64())
		if p.random.Float64() < p.demand/(p.demand+p.heavy) {
			// The workspaces differ in size: the largest asks for about five times as much as the smallest.
			c.workspace = 1 + int(float64(workspaces-1)*math.Pow(p.random.Float64(), 1.5))
			// A quarter of them ask for long answers; the mean over all is meanHold.
			factor := 0.69
			if c.workspace%4 == 3 {
				factor = 2
			}
			c.hold, c.hint = c.hold*factor, c.hint*factor
		}
		if p.heavy == 0 && p.random.Float64() < 0.1 {
			c.priority = 1
		}
		p.count(c, func(t *tally) { t.calls++ })
		p.ask(c)
	}
	for _, c := range p.pending[int64(p.now.Sub(p.start)/playTick)] {
		p.ask(c)
	}
	delete(p.pending, int64(p.now.Sub(p.start)/playTick))
}

// ask sends a request to any entry.
func (p *player) ask(c *playCaller) {
	c.entry, c.at = p.random.IntN(p.entries), p.now
	if p.sole {
		c.entry = 0
	}
	e := &p.entry[c.entry]
	elapsed := p.now.Sub(c.began)
	c.w = &Waiter{
		Priority: c.priority, Late: elapsed > goal, Returned: c.refusals > 0 && elapsed >= ReturnTime(callTimeout), Arrived: p.now, Goal: goal, Gap: gap,
		Until: c.began.Add(goal - firstEvent), Ends: c.began.Add(callTimeout), Done: make(chan bool, 1),
	}
	if c.w.Late {
		c.w.Until = p.now.Add(min(goal, callTimeout-elapsed-time.Duration(meanHold*float64(time.Second))))
	}
	known := e.own + e.assumed
	if p.rules == byArrival {
		if len(e.list) == 0 && known < p.seats && (!c.w.Late || known < int(lateSeatShare*float64(p.seats))) {
			p.admit(c)
		} else if !c.w.Late && known-p.seats+len(e.list) < max(1, p.seats/16) {
			e.list = append(e.list, c)
		} else {
			p.refuse(c)
		}
		return
	}
	if p.rules != byDeadline {
		c.w.Workspace = fmt.Sprint(c.workspace)
	}
	if p.rules == byCost {
		c.w.Cost = c.hint
	}
	e.queue.SetPart(e.own, p.entries, p.news, float64(c.entry)/float64(p.entries))
	decided, admitted := e.queue.Offer(c.w, known, p.seats)
	switch {
	case decided && admitted:
		p.admit(c)
	case decided:
		p.refuse(c)
	default:
		p.queued++
		e.list = append(e.list, c)
	}
}

func (p *player) admit(c *playCaller) {
	p.running++
	e := &p.entry[c.entry]
	e.own++
	c.at = p.now
	e.ending = append(e.ending, c)
	onTime := p.now.Add(firstEvent).Sub(c.began) <= goal
	p.count(c, func(t *tally) {
		if onTime {
			t.onTime++
		} else {
			t.late++
			if c.refusals == 0 {
				t.waited++
			}
		}
	})
	if c.priority == 1 && c.began.Sub(p.start) >= warmUp {
		p.starved++
	}
}

func (p *player) refuse(c *playCaller) {
	p.refusedAt = p.now
	c.refusals++
	p.count(c, func(t *tally) {
		switch c.refusals {
		case 1:
			t.refusedOnce++
		case 2:
			t.refusedAgain++
		}
	})
	left := callTimeout - p.now.Sub(c.began)
	wait := minReturn*5 + time.Duration(p.random.Float64()*2*float64(time.Second))
	if e := &p.entry[c.entry]; p.rules != byArrival {
		wait = e.queue.Promise(p.now, left, e.own+e.assumed, p.seats, p.random.Float64())
	}
	wait = min(wait, left/returnPart)
	if c.hasty {
		wait = 20 * time.Millisecond
	}
	if c.refusals >= 4 || left < time.Second {
		p.count(c, func(t *tally) { t.gaveUp++ })
		return
	}
	p.schedule(c, p.now.Add(wait))
}

// decide ends streams, passes on news and gives seats to waiters.
func (p *player) decide() {
	for i := range p.entry {
		e := &p.entry[i]
		rest := e.ending[:0]
		for _, c := range e.ending {
			if p.now.Sub(c.at).Seconds() < c.hold {
				rest = append(rest, c)
				continue
			}
			e.own--
			p.running--
			if p.rules == byCount {
				c.w.Cost = p.now.Sub(c.at).Seconds() // without a correction
			}
			if p.rules != byArrival {
				e.queue.Ended(p.now, c.w, p.now.Sub(c.at))
			}
		}
		e.ending = rest
	}
	for i := range p.entry {
		e := &p.entry[i]
		// The entries learn of each other at different times.
		if (p.now.Sub(p.start)+time.Duration(i)*p.news/time.Duration(p.entries)).Truncate(playTick)%p.news < playTick {
			e.assumed = p.running - e.own
		}
		if p.now.Sub(p.start)%(3*playTick) == 0 {
			e.queue.SetPart(e.own, p.entries, p.news, 0)
			e.queue.Dispatch(p.now, e.own+e.assumed, p.seats)
		}
		p.collect(e)
	}
}

func (p *player) collect(e *entryQueue) {
	list := e.list
	e.list = nil
	for _, c := range list {
		known := e.own + e.assumed
		switch {
		case p.rules == byArrival && known < p.seats:
			p.admit(c)
			continue
		case p.rules == byArrival && p.now.Sub(c.at) >= time.Duration(reviewShare*float64(goal)):
			p.refuse(c)
			continue
		}
		select {
		case admitted := <-c.w.Done:
			if admitted {
				p.admit(c)
			} else {
				p.refuse(c)
			}
		default:
			e.list = append(e.list, c)
		}
	}
}

func play(l load, r rules) *player {
	p := &player{load: l, rules: r, random: rand.New(rand.NewPCG(5, 6)), start: time.Unix(1_700_000_000, 0), pending: map[int64][]*playCaller{}}
	p.entry = make([]entryQueue, l.entries)
	for p.now = p.start; p.now.Sub(p.start) < playTime; p.now = p.now.Add(playTick) {
		p.arrive()
		p.decide()
		if p.now.Sub(p.start) >= warmUp {
			p.spent += float64(p.seats)
			p.over += float64(max(p.running-p.seats, 0))
			if p.now.Sub(p.refusedAt) < 50*time.Millisecond {
				p.idle += float64(max(p.seats-p.running, 0))
			}
		}
	}
	return p
}

func (t tally) String() string {
	f := func(n int) float64 { return 100 * float64(n) / float64(max(t.calls, 1)) }
	return fmt.Sprintf("%5d calls: on time %5.1f late %4.1f (%4.1f without refusal) refused once %5.1f again %4.1f gave up %4.1f", t.calls, f(t.onTime), f(t.late), f(t.waited), f(t.refusedOnce), f(t.refusedAgain), f(t.gaveUp))
}

// TestLoads prints how each order serves each load; figures are in 100 callers, or in 100 seats.
func TestLoads(t *testing.T) {
	tests := []struct {
		name string
		load load
	}{
		{"wave, 9 entries", load{9, 130, 150 * time.Millisecond, 0.75, 0, 0.55, 1, 0, false}},
		{"wave, 35 entries", load{35, 450, 500 * time.Millisecond, 0.75, 0, 0.55, 1, 0, false}},
		{"high wave, 35 entries", load{35, 450, 500 * time.Millisecond, 0.85, 0, 0.55, 1, 0, false}},
		{"wave and bursts, 35 entries", load{35, 450, 150 * time.Millisecond, 0.7, 0, 0.55, 2, 0, false}},
		{"hasty callers, 35 entries", load{35, 450, 150 * time.Millisecond, 0.75, 0, 0.55, 1, 0.3, false}},
		{"steady overload, 18 entries", load{18, 540, 150 * time.Millisecond, 1.3, 0, 0, 1, 0, false}},
		{"heavy workspace, 18 entries", load{18, 540, 150 * time.Millisecond, 0.6, 2, 0, 1, 0, false}},
		{"heavy workspace, 35 entries", load{35, 540, 500 * time.Millisecond, 0.6, 2, 0, 1, 0, false}},
		{"one entry of nine used", load{9, 130, 150 * time.Millisecond, 1.3, 0, 0, 1, 0, true}},
		{"room for all, 35 entries", load{35, 450, 500 * time.Millisecond, 0.6, 0, 0.3, 1, 0, false}},
		{"wave, 149 entries", load{149, 1900, 3 * time.Second, 0.75, 0, 0.55, 1, 0, false}},
	}
	names := []string{"arrival", "deadline", "count", "cost"}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for r := byArrival; r <= byCost; r++ {
				p := play(v.load, r)
				t.Logf("%-8s %v idle %.2f over %.2f less urgent served %d", names[r], p.all, 100*p.idle/p.spent, 100*p.over/p.spent, p.starved)
				if p.heavy > 0 {
					t.Logf("%-8s %v (heavy)", names[r], p.heavyTally)
				}
				if r != byCost {
					continue
				}
				is.True(p.heavy > 0 || p.starved > 0)
				if p.demand < 0.7 && p.heavy == 0 {
					is.Equal(p.all.refusedOnce, 0) // though there is room
					is.Equal(p.queued, 0)          // though there is room
				}
				if v.load.entries > 35 {
					continue
				}
				is.True(p.idle < 0.02*p.spent) // idle seats while callers are rejected
				is.True(p.over < 0.03*p.spent) // admitted beyond the seats
				if p.wave > 0 {
					is.True(float64(p.all.refusedAgain) < 0.05*float64(p.all.calls))
				}
				// With 15 seats an entry the seats that become free within the time for waiting are too few for the order to decide.
				if p.heavy > 0 && p.entries <= 18 {
					is.True(float64(p.all.onTime+p.all.late) > 0.95*float64(p.all.calls)) // served beside the heavy workspace
				}
			}
		})
	}
}
