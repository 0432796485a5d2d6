package limit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	worldTick, viewTick = 5 * time.Millisecond, 50 * time.Millisecond
	worldTime           = 12 * time.Second
	// viewLife is the silence after which an entry is no longer live, askTimeout the time that an entry waits for permits.
	viewLife, askTimeout, unanswered = 1800 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond
	coldTargets                      = 6
)

// scene is a fault in a world of entries. The functions get the number of an entry, the number of all and the time.
type scene struct {
	name string
	// part is the part of a partition in which an entry is; frozen and down say whether it is.
	part         func(e, n int, at time.Duration) int
	frozen, down func(e, n int, at time.Duration) bool
	// least is the least use of the rate: 0.8 is required while a tenth of the entries fail. The parts of a partition may use their
	// share; half of the rate shows that they do.
	least float64
}

// during is set for a tenth of the entries for a time that begins at a different time for each.
func during(length time.Duration) func(e, n int, at time.Duration) bool {
	return func(e, n int, at time.Duration) bool {
		begin := 3*time.Second + time.Duration(e)*137*time.Millisecond%(4*time.Second)
		return e%10 == 3 && at >= begin && at < begin+length
	}
}

func never(int, int, time.Duration) bool { return false }

func together(int, int, time.Duration) int { return 0 }

var scenes = []scene{
	{"no fault", together, never, never, 0.9},
	{"a tenth frozen", together, during(4 * time.Second), never, 0.8},
	{"a tenth cut off", func(e, n int, at time.Duration) int {
		if during(5*time.Second)(e, n, at) {
			return e
		}
		return 0
	}, never, never, 0.8},
	{"a tenth restarted", together, never, during(time.Second), 0.8},
	{"cut in halves", func(e, n int, at time.Duration) int {
		if at > 4*time.Second && at < 8*time.Second && e%2 == 0 {
			return 2
		}
		return 0
	}, never, never, 0.5},
	{"cut in thirds", func(e, _ int, at time.Duration) int {
		if at > 4*time.Second && at < 8*time.Second {
			return e % 3
		}
		return 0
	}, never, never, 0.5},
	{"cut in halves for moments", func(e, _ int, at time.Duration) int {
		if at > 4*time.Second && at < 9*time.Second && at/(700*time.Millisecond)%2 == 0 {
			return e % 2
		}
		return 0
	}, never, never, 0.5},
	{"restarted in turn", together, never, func(e, n int, at time.Duration) bool {
		begin := 3*time.Second + time.Duration(e)*8*time.Second/time.Duration(n)
		return at >= begin && at < begin+500*time.Millisecond
	}, 0.5},
	{"all alone", func(e, _ int, at time.Duration) int {
		if at > 4*time.Second && at < 9*time.Second {
			return e
		}
		return 0
	}, never, never, 0},
	{"all frozen at once", together, func(_, _ int, at time.Duration) bool { return at > 4*time.Second && at < 8*time.Second }, never, 0},
	{"all started at once and cut off", func(e, _ int, at time.Duration) int {
		if at < 8*time.Second {
			return e
		}
		return 0
	}, never, never, 0},
}

type worldEntry struct {
	name    string
	roster  *Roster
	issuer  *Issuer
	holders [coldTargets]Holder
	// asked is the number of the request for permits that is outstanding for each target, or zero.
	asked        [coldTargets]int
	lag          time.Duration
	paused, down bool
	inbox        []func(now time.Time)
}

// world plays entries that send requests to cold targets.
type world struct {
	scene
	rate    float64
	mutate  func(r *Roster)
	random  *rand.Rand
	at      time.Duration
	entries []*worldEntry
	events  map[time.Duration][]func()
	asks    int
	// heard holds when each entry was last heard in each part, and lists the live entries of each part at each viewTick.
	heard    map[int][]time.Duration
	lists    []map[int][]string
	arrivals [coldTargets][]time.Duration
}

var worldBound = Bound{Over: 1.5, Slack: 5}

func (w *world) now() time.Time { return start.Add(w.at) }

// after calls a function after some ticks.
func (w *world) after(delay time.Duration, f func()) {
	at := (w.at + delay).Truncate(worldTick) + worldTick
	w.events[at] = append(w.events[at], f)
}

func (w *world) delay() time.Duration { return time.Duration(w.random.IntN(20)) * time.Millisecond }

// send delivers a message unless the sender and the receiver are in different parts; a frozen one gets it at its thaw.
func (w *world) send(from, to int, f func(now time.Time)) {
	n := len(w.entries)
	if w.part(from, n, w.at) != w.part(to, n, w.at) {
		return
	}
	w.after(w.delay(), func() {
		e := w.entries[to]
		switch {
		case e.down:
		case e.paused:
			e.inbox = append(e.inbox, f)
		default:
			f(w.now())
		}
	})
}

func (w *world) start(e *worldEntry) {
	e.roster, e.issuer, e.holders, e.asked = NewRoster(w.now(), e.name, false), NewIssuer(), [coldTargets]Holder{}, [coldTargets]int{}
}

// observe updates the live entries of all parts and then of all entries.
func (w *world) observe() {
	n := len(w.entries)
	parts := map[int]bool{}
	for i := range w.entries {
		parts[w.part(i, n, w.at)] = true
	}
	lists := map[int][]string{}
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		if w.heard[part] == nil {
			w.heard[part] = slices.Clone(w.heard[0])
			if w.at == 0 || w.heard[part] == nil {
				w.heard[part] = slices.Repeat([]time.Duration{-time.Hour}, n)
			}
		}
		var list []string
		for i, e := range w.entries {
			if !e.paused && !e.down && w.part(i, n, w.at) == part {
				w.heard[part][i] = w.at
			}
			if w.at-w.heard[part][i] <= viewLife {
				list = append(list, e.name)
			}
		}
		lists[part] = list
		if len(w.lists) > 0 {
			if before := w.lists[len(w.lists)-1][part]; slices.Equal(before, list) {
				lists[part] = before
			}
		}
	}
	w.lists = append(w.lists, lists)
	for i, e := range w.entries {
		if e.paused || e.down {
			continue
		}
		at := max(w.at-e.lag, 0)
		view := w.lists[at/viewTick][w.part(i, n, at)]
		if !slices.Contains(view, e.name) || w.at < e.lag {
			view = []string{e.name}
		}
		e.roster.Observe(w.now(), view)
		if w.mutate != nil {
			w.mutate(e.roster)
		}
	}
}

// step applies the faults and lets thawed entries read what they have missed.
func (w *world) step() {
	n := len(w.entries)
	for i, e := range w.entries {
		down, paused := w.down(i, n, w.at), w.frozen(i, n, w.at)
		if e.down && !down {
			w.start(e)
		}
		if e.paused && !paused {
			e.paused = false
			for _, f := range e.inbox {
				f(w.now())
			}
			e.inbox = nil
			e.roster.Resume(w.now())
		}
		e.down, e.paused = down, paused
	}
	for _, f := range w.events[w.at] {
		f()
	}
	delete(w.events, w.at)
}

// request sends a request of an entry to a target if it gets a permit.
func (w *world) request(i, target int, asks int) {
	e, now := w.entries[i], w.now()
	h := &e.holders[target]
	switch {
	case e.paused || e.down:
	case h.TakePermit(now):
		w.after(w.delay(), func() { w.arrivals[target] = append(w.arrivals[target], w.at) })
	case asks > 0 || !h.DeniedUntil(now, 0).IsZero() || e.asked[target] != 0:
	default:
		w.ask(i, target)
		w.after(askTimeout, func() { w.request(i, target, asks+1) })
	}
}

func (w *world) ask(i, target int) {
	e, now, key := w.entries[i], w.now(), fmt.Sprint(target)
	r := PermitRequest{Target: uint32(target), Rate: w.rate, Count: 1, Cold: true}
	owner := e.roster.Owner(now, key)
	if owner == e.name {
		e.holders[target].ApplyColdPermits(now, now, e.issuer.IssueCold(now, r, e.name, worldBound, e.roster.Standing(now, key)), 0)
		w.request(i, target, 1)
		return
	}
	w.asks++
	number, sentAt, roster := w.asks, now, e.roster
	e.asked[target] = number
	var to int
	_, _ = fmt.Sscan(owner[1:], &to)
	w.send(i, to, func(now time.Time) {
		o := w.entries[to]
		if !o.roster.MayIssue(now) {
			return
		}
		p := o.issuer.IssueCold(now, r, e.name, worldBound, o.roster.Standing(now, key))
		w.send(to, i, func(now time.Time) {
			if e.asked[target] != number || e.roster != roster {
				return
			}
			e.asked[target] = 0
			e.roster.NoteAnswer(now, owner, true)
			e.holders[target].ApplyColdPermits(now, sentAt, p, 0)
			w.request(i, target, 1)
		})
	})
	w.after(askTimeout, func() {
		if e.asked[target] == number && e.roster == roster && !e.paused {
			e.asked[target] = 0
			e.roster.NoteAnswer(w.now(), owner, false)
			e.holders[target].ApplyPermits(w.now(), Permits{Wait: unanswered}, 0)
		}
	})
}

// play returns the largest number of requests of a target in a second, the use of the rate from three seconds on, and the requests
// for permits for each permit of the rate.
func (w *world) play(n int, seed uint64) (most int, use, asks float64) {
	w.random, w.events, w.heard = rand.New(rand.NewPCG(seed, uint64(n))), map[time.Duration][]func(){}, map[int][]time.Duration{}
	for i := range n {
		e := &worldEntry{name: fmt.Sprintf("e%d", i), lag: time.Duration(1+w.random.IntN(12)) * viewTick}
		w.entries = append(w.entries, e)
		w.start(e)
	}
	for ; w.at < worldTime; w.at += worldTick {
		w.step()
		if w.at%viewTick == 0 {
			w.observe()
		}
		for target := range coldTargets {
			for due := 4 * w.rate * worldTick.Seconds(); due > w.random.Float64(); due-- {
				w.request(w.random.IntN(n), target, 0)
			}
		}
	}
	used := 0
	for _, list := range w.arrivals {
		slices.Sort(list)
		for i, from := range list {
			j, _ := slices.BinarySearch(list, from+time.Second)
			most = max(most, j-i)
			if from >= 3*time.Second {
				used++
			}
		}
	}
	total := coldTargets * w.rate
	return most, float64(used) / (total * (worldTime - 3*time.Second).Seconds()), float64(w.asks) / (total * worldTime.Seconds())
}

// TestColdTargetsGetNoMoreThanTheirBound counts what reaches cold targets in each sliding second while entries fail, of which each
// decides with what it knows.
func TestColdTargetsGetNoMoreThanTheirBound(t *testing.T) {
	for _, n := range []int{9, 35, 149, 630} {
		for _, s := range scenes {
			for _, rate := range []float64{15, 2, 60} {
				if rate != 15 && n != 35 {
					continue
				}
				t.Run(fmt.Sprintf("%d/%s/%v", n, s.name, rate), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					w := &world{scene: s, rate: rate}
					most, use, asks := w.play(n, 1)
					t.Logf("%s: at most %d in a second (allowed %v), use %.2f, %.1f requests for permits for each", t.Name(), most, worldBound.Over*rate+worldBound.Slack, use, asks)
					is.True(float64(most) <= worldBound.Over*rate+worldBound.Slack)
					is.True(use >= s.least)
				})
			}
		}
	}
}

// TestWorldDetectsFaultyRosters checks that the world fails with rosters that know less than they should.
func TestWorldDetectsFaultyRosters(t *testing.T) {
	tests := []struct {
		name, scene string
		mutate      func(r *Roster)
	}{
		{"counts only entries that it hears", "all alone", func(r *Roster) { r.known = len(r.live) }},
		{"counts only entries that it hears, in halves", "cut in halves", func(r *Roster) { r.known, r.lowest = len(r.live), [2]int{len(r.live), len(r.live)} }},
		{"issues before it has met others", "all started at once and cut off", func(r *Roster) { r.alone, r.startedAt = true, start.Add(-time.Hour) }},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			for _, s := range scenes {
				if s.name != v.scene {
					continue
				}
				w := &world{scene: s, rate: 15, mutate: v.mutate}
				most, _, _ := w.play(35, 1)
				t.Logf("at most %d in a second", most)
				is.True(float64(most) > worldBound.Over*15+worldBound.Slack)
			}
		})
	}
}
