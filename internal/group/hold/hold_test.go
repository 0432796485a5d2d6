package hold

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// walks is the number of random schedules of each test.
var walks = flag.Int("walks", 400, "random schedules of each test")

const (
	// length is the number of events in a schedule.
	length = 4000
	// settleRounds is the time, in rounds of 50 ms, in which a group must be at rest again once faults have ended:
	// until late orders are over, and a switch.
	settleRounds = 400
)

// TestEveryPassHasOneMap plays random schedules with late and lost orders, lost and overtaken news,
// restarted slots and groups that form anew.
func TestEveryPassHasOneMap(t *testing.T) {
	is := is.New(t)
	switches := 0
	for seed := range uint64(*walks) {
		w := newWorld(seed, nil)
		for range length {
			if w.act(); w.broken != "" {
				t.Fatalf("seed %d: %s", seed, w.broken)
			}
		}
		switches += w.switches
	}
	t.Logf("%d switches in %d schedules", switches, *walks)
	// Schedules without switches would prove nothing.
	is.True(2*switches > *walks)
}

// TestGroupGoesOnAfterFaults ends all faults at a random moment: no hold may stay, and the next switch must succeed.
func TestGroupGoesOnAfterFaults(t *testing.T) {
	for seed := range uint64(*walks) {
		w := newWorld(seed, nil)
		for range 200 + int(seed) {
			w.act()
		}
		w.settle(settleRounds)
		if held := w.engines[0].HeldStep; held != 0 || !w.slots[0].Ready(w.now) {
			t.Fatalf("seed %d: held at %d, lead %s, ready %v", seed, held, w.slots[0].lead.state, w.slots[0].Ready(w.now))
		}
		before := w.switches
		w.slots[0].Begin(w.now, [][][]int{{{0}, {1}, {2}}})
		w.settle(40)
		if w.switches != before+1 || w.broken != "" {
			t.Fatalf("seed %d: %d switches, lead %s, broken %q", seed, w.switches-before, w.slots[0].lead.state, w.broken)
		}
	}
}

// TestCheckFindsWeakRules weakens one rule at a time; the schedules must find each.
func TestCheckFindsWeakRules(t *testing.T) {
	tests := []struct {
		name   string
		weaken func(*Core)
	}{
		{"late arm orders are forgotten", func(c *Core) { c.rules.late = func(time.Duration) bool { return true } }},
		{"released while a rank is not armed", func(c *Core) { c.rules.unanimous = func(armed, ranks int) bool { return armed >= ranks-1 } }},
		{"silence proves that no release is on its way", func(c *Core) { c.rules.silence = func() bool { return true } }},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			for seed := range uint64(20 * *walks) {
				w := newWorld(seed, v.weaken)
				for range length {
					if w.act(); w.broken != "" {
						t.Logf("seed %d: %s", seed, w.broken)
						return
					}
				}
			}
			t.Error("not found")
		})
	}
}

// TestSwitchWithoutFaults counts what one switch takes.
func TestSwitchWithoutFaults(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	w.settle(5)
	is.True(w.slots[0].Begin(w.now, [][][]int{{{0}, {1}, {2}}}))
	w.settle(8)
	is.Equal(w.switches, 1)
	is.Equal(w.slots[0].lead.state, stateResting)
	is.Equal(w.engines[0].HeldStep, uint64(0))
}

// TestSeedsThatFailed plays schedules that broke the rule once.
func TestSeedsThatFailed(t *testing.T) {
	tests := []struct {
		name string
		seed uint64
	}{
		// A restarted slot armed for an attempt that its predecessor had seen given up.
		{"news for an earlier process", 5305},
		// A restarted lead released ranks of which one was still to be disarmed.
		{"late disarm order", 32824},
		// A restarted lead took a guard's hold for proof of an abort, though the guard was about to let armed ranks go.
		{"guard of an earlier release", 24604},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			w := newWorld(v.seed, nil)
			for range length {
				if w.act(); w.broken != "" {
					t.Fatal(w.broken)
				}
			}
		})
	}
}

// TestMapComesLate checks that a restarted rank prepares a map which the lead first left out, taking the rank for its predecessor.
func TestMapComesLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	c := New(now.Add(-time.Minute), 9)
	c.UpdateEngine(now, Engine{Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true, Step: 40, MapVersion: 5})
	lead := State{Incarnation: 7, Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true, Step: 40, MapVersion: 5}
	a := Attempt{Ballot: Ballot{Number: 3, LeaderIncarnation: 7}, Group: "g", Epoch: 1, Phase: PhasePrepare, Version: 6}
	c.ReceiveState(now, lead, &a)
	is.True(c.NextOrder(now) == nil)
	a.Map = [][][]int{{{0, 1}, {2, 3}}}
	c.ReceiveState(now, lead, &a)
	o := c.NextOrder(now)
	is.True(o != nil && o.Kind == OrderPrepare && o.Version == 6)
}

// longestStand is how long a group may stand at most: a caller leaves a stream after a pause of two seconds (PROTOCOL), and an engine
// whose group stands notices that only when it goes on.
const longestStand = 2 * time.Second

// newArmedWorld returns a world whose ranks are all armed and whose lead has not let them go yet.
func newArmedWorld(t *testing.T, weaken func(*Core)) *world {
	t.Helper()
	w := newWorld(1, weaken)
	w.settle(settleRounds)
	w.slots[0].Begin(w.now, [][][]int{{{0}, {1}, {2}}})
	armed := func() bool {
		for _, e := range w.engines {
			if e.Armed == 0 {
				return false
			}
		}
		return true
	}
	for round := 0; !armed(); round++ {
		if round == settleRounds {
			t.Fatal("the ranks are not armed")
		}
		w.follow(round % worldRanks)
		for len(w.news) > 0 {
			w.deliver(0)
		}
	}
	return w
}

// TestHeldGroupGoesOnSoon ends the processes of the lead and of another rank once all ranks are armed, before the lead lets
// them go. An order of the earlier processes may still come late.
func TestHeldGroupGoesOnSoon(t *testing.T) {
	w := newArmedWorld(t, nil)
	w.restart(0)
	w.restart(2)
	began := w.now
	held := func() bool { return slices.ContainsFunc(w.engines[:], func(e Engine) bool { return e.HeldStep != 0 }) }
	for held() && w.now.Sub(began) < longestDelay+longestStand {
		w.settle(1)
	}
	if stood := w.now.Sub(began); stood > longestStand || w.broken != "" {
		t.Errorf("the group stood for %v, broken %q", stood, w.broken)
	}
}

// TestNoGuardWithoutASteadyRank ends the processes of all ranks once all are armed: no slot knows that its engine cannot be let go
// late, so none may guard, and the lead must not order its own engine again and again.
func TestNoGuardWithoutASteadyRank(t *testing.T) {
	is := is.New(t)
	w := newArmedWorld(t, nil)
	for rank := range worldRanks {
		w.restart(rank)
	}
	w.settle(10)
	is.Equal(w.slots[0].lead.state, stateSettling)
	for rank := range worldRanks {
		is.True(!w.slots[rank].HasNextOrder(w.now))
	}
	w.settle(settleRounds)
	is.Equal(w.engines[0].HeldStep, uint64(0))
	is.Equal(w.broken, "")
}

// TestLateReleaseMeetsTheGuard lets the release of the ended lead be carried out at any moment while its successor aborts: the
// guard's hold must keep the group until no rank is armed. Without waiting for the guard, some moment must break the rule.
func TestLateReleaseMeetsTheGuard(t *testing.T) {
	tests := []struct {
		name   string
		weaken func(*Core)
		broken bool
	}{
		{"guarded", nil, false},
		{"aborted before the guard holds", func(c *Core) { c.rules.guarded = func(bool) bool { return true } }, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			broken := ""
			for delay := time.Duration(0); delay < longestStand; delay += 5 * time.Millisecond {
				w := newArmedWorld(t, v.weaken)
				w.late = append(w.late, lateOrder{
					rank: 0, order: Order{Kind: OrderRelease, Epoch: 1, Step: w.engines[0].HeldStep}, due: w.now.Add(delay),
				})
				w.restart(0)
				w.restart(2)
				for range int(longestStand / (5 * time.Millisecond)) {
					w.hurry()
				}
				if w.broken != "" {
					broken = w.broken
				}
			}
			if (broken != "") != v.broken {
				t.Errorf("broken: %q", broken)
			}
		})
	}
}

// TestFrozenRankDoesNotHoldTheGroup freezes the slot of one rank before it arms: the others must go on without it.
func TestFrozenRankDoesNotHoldTheGroup(t *testing.T) {
	w := newWorld(1, nil)
	w.settle(settleRounds)
	w.slots[0].Begin(w.now, [][][]int{{{0}, {1}, {2}}})
	for round := 0; w.engines[1].Armed == 0; round++ {
		if round == settleRounds {
			t.Fatal("rank 1 is not armed")
		}
		if rank := round % worldRanks; rank != 2 || w.engines[2].Prepared == 0 {
			w.follow(rank)
		}
		for len(w.news) > 0 {
			w.deliver(0)
		}
	}
	began := w.now
	for w.engines[0].HeldStep != 0 && w.now.Sub(began) < 2*longestStand {
		for rank := range worldRanks - 1 {
			w.follow(rank)
		}
		for len(w.news) > 0 {
			w.deliver(0)
		}
		w.begin()
		w.pass(50 * time.Millisecond)
	}
	if stood := w.now.Sub(began); stood > longestStand {
		t.Errorf("the group stood for %v", stood)
	}
}
