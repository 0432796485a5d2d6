package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// fleet returns a configuration with entries and targets spread over data centres.
func fleet(centres, entries, targets int) *configuration.Configuration {
	c := &configuration.Configuration{}
	for i := range centres {
		c.Centres = append(c.Centres, configuration.Centre{Name: fmt.Sprintf("c%d", i)})
	}
	for i := range entries {
		c.Entries = append(c.Entries, configuration.Entry{Name: fmt.Sprintf("entry-%d", i), Centre: c.Centres[i%centres].Name})
	}
	for i := range targets {
		c.Targets = append(c.Targets, configuration.Target{Name: fmt.Sprintf("desk-%d", i), Centre: c.Centres[i%centres].Name})
	}
	return c
}

func nobody(string) bool { return false }

// TestWatched checks that each target is watched by the right number of entries, and by others when some fail.
func TestWatched(t *testing.T) {
	tests := []struct {
		name                      string
		centres, entries, targets int
		failed                    func(string) bool
		watchers                  int
		most                      int
	}{
		{"today", 3, 9, 15, nobody, 9, 15},
		{"two years", 9, 630, 3700, nobody, copies, 45},
		{"a seventh failed", 9, 630, 3700, func(name string) bool { return name[len(name)-1] == '7' }, copies, 52},
		{"fewer entries than copies", 1, 2, 100, nobody, 2, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := fleet(test.centres, test.entries, test.targets)
			count := map[string]int{}
			for _, e := range c.Entries {
				if test.failed(e.Name) {
					continue
				}
				s := Watched(c, e.Name, e.Centre, time.Second, test.failed)
				is.True(len(s.Targets) <= test.most)
				for _, target := range s.Targets {
					count[target.Name]++
				}
			}
			for _, target := range c.Targets {
				is.Equal(count[target.Name], test.watchers)
			}
		})
	}
}

// crowd is a number of views that exchange digests in rounds.
type crowd struct {
	views   []*View
	gossips []*Gossip
	random  *rand.Rand
	now     time.Time
}

func newCrowd(entries int, direct func(entry int) func(string) bool) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(1, uint64(entries))), now: time.Unix(1000, 0)}
	for i := range entries {
		v := NewView(Options{Silence: 6 * time.Second, Relayed: time.Hour})
		v.Watch(direct(i), 6*time.Second)
		c.views = append(c.views, v)
		c.gossips = append(c.gossips, NewGossip(v))
	}
	return c
}

// take passes a report to an entry.
func (c *crowd) take(entry int, h Heartbeat) {
	before, known := c.views[entry].Member(c.now, h.Target)
	if c.views[entry].Accept(c.now, h) && (!known || before.State != h.State) {
		c.gossips[entry].Changed(h.Target)
	}
}

// exchange lets each entry swap digests with a random other one.
func (c *crowd) exchange() {
	for i := range c.views {
		j := c.random.IntN(len(c.views))
		if i == j {
			continue
		}
		for _, pair := range [][2]int{{i, j}, {j, i}} {
			for _, h := range c.gossips[pair[0]].Make(c.now, "", true).Reports {
				if c.views[pair[1]].Direct(h.Target) {
					c.gossips[pair[1]].Refute(c.now, h)
				} else {
					c.take(pair[1], h)
				}
			}
		}
	}
}

// TestDigestSpreads counts the rounds until all entries know of a change that one of them saw.
func TestDigestSpreads(t *testing.T) {
	tests := []struct {
		entries int
		rounds  int
	}{{2, 10}, {10, 6}, {70, 8}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			is := is.New(t)
			c := newCrowd(test.entries, func(entry int) func(string) bool {
				return func(string) bool { return entry == 0 }
			})
			for _, state := range []Heartbeat{
				{Target: "a", Incarnation: 1, Sequence: 1, State: StateServing},
				{Target: "a", Incarnation: 1, Sequence: 2, State: StateLeaving},
				{Target: "a", Incarnation: 2, Sequence: 1, State: StateServing},
			} {
				c.now = c.now.Add(time.Second)
				c.take(0, state)
				rounds := 0
				for ; !c.agree(state); rounds++ {
					is.True(rounds < test.rounds)
					c.exchange()
					c.now = c.now.Add(100 * time.Millisecond)
				}
			}
		})
	}
}

// agree reports whether every entry knows the state.
func (c *crowd) agree(h Heartbeat) bool {
	for _, v := range c.views {
		m, ok := v.Member(c.now, h.Target)
		if !ok || m.State != h.State || m.Incarnation != h.Incarnation {
			return false
		}
	}
	return true
}

// TestLostSpreads checks that the silence of a target travels and that its next heartbeat outdates it.
func TestLostSpreads(t *testing.T) {
	is := is.New(t)
	c := newCrowd(10, func(entry int) func(string) bool { return func(string) bool { return entry == 0 } })
	serving := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.take(0, serving)
	for range 12 {
		c.exchange()
	}
	is.True(c.agree(serving))
	c.now = c.now.Add(7 * time.Second)
	c.gossips[0].Changed("a")
	for range 12 {
		c.exchange()
	}
	lost := serving
	lost.State = StateLost
	is.True(c.agree(lost))
	serving.Sequence++
	c.take(0, serving)
	for range 12 {
		c.exchange()
	}
	is.True(c.agree(serving))
}

// TestLostStays checks that an entry which hands a silent target on to other watchers does not take it for serving again.
func TestLostStays(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView(Options{Silence: time.Second, Relayed: time.Hour})
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 1, State: StateServing}
	v.Accept(now, h)
	now = now.Add(2 * time.Second)
	v.MarkLost(now, "a")
	v.Watch(nobody, time.Second)
	m, _ := v.Member(now, "a")
	is.Equal(m.State, StateLost)
	h.Sequence++
	v.Accept(now, h)
	m, _ = v.Member(now, "a")
	is.Equal(m.State, StateServing)
}

// TestHint checks that a hint travels with its age and is dropped when nobody repeats it.
func TestHint(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := NewGossip(NewView(Options{})), NewGossip(NewView(Options{}))
	a.Hint(now, Hint{Target: "x"})
	later := now.Add(4 * time.Second)
	for _, h := range a.Make(later, "a", false).Hints {
		is.Equal(h.Age, 4*time.Second)
		b.Hint(later, h)
	}
	is.True(b.Hinted(later, "x"))
	is.True(!b.Hinted(now.Add(hintLife), "x"))
	b.Expire(now.Add(hintLife))
	is.Equal(len(b.Make(now.Add(hintLife), "b", false).Hints), 0)
}

// TestLostOutlivesItsWitness checks that the loss of a target spreads although the watcher that heard its last
// heartbeats was lost with it: the other watchers have older ones.
func TestLostOutlivesItsWitness(t *testing.T) {
	is := is.New(t)
	const witness, watcher = 0, 1
	c := newCrowd(10, func(entry int) func(string) bool { return func(string) bool { return entry <= watcher } })
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.take(watcher, h)
	h.Sequence = 7
	c.take(witness, h)
	for range 12 {
		c.exchange()
	}
	is.True(c.agree(Heartbeat{Target: "a", Incarnation: 1, State: StateServing}))
	c.views, c.gossips = c.views[watcher:], c.gossips[watcher:]
	c.now = c.now.Add(7 * time.Second)
	c.lose(0, "a")
	for range 12 {
		c.exchange()
		c.now = c.now.Add(100 * time.Millisecond)
	}
	is.True(c.agree(Heartbeat{Target: "a", Incarnation: 1, State: StateLost}))
}

// TestLostReachesLatecomers checks that a loss is told again: an entry that missed all exchanges in which it was news learns of it.
func TestLostReachesLatecomers(t *testing.T) {
	is := is.New(t)
	c := newCrowd(2, func(entry int) func(string) bool { return func(string) bool { return entry == 0 } })
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.take(0, h)
	c.take(1, h)
	c.now = c.now.Add(7 * time.Second)
	c.lose(0, "a")
	for range 2 * hotSends {
		c.gossips[0].Make(c.now, "", true)
		c.now = c.now.Add(100 * time.Millisecond)
	}
	for range 12 {
		c.exchange()
		c.now = c.now.Add(time.Second)
	}
	is.True(c.agree(Heartbeat{Target: "a", Incarnation: 1, State: StateLost}))
}

// TestFalseLossIsRefuted checks that a loss that one watcher alone sees does not stand against another one that still hears the target.
func TestFalseLossIsRefuted(t *testing.T) {
	is := is.New(t)
	c := newCrowd(10, func(entry int) func(string) bool { return func(string) bool { return entry <= 1 } })
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.take(0, h)
	for i := range 100 {
		h.Sequence++
		c.take(1, h)
		if i == 70 {
			c.lose(0, "a")
		}
		c.exchange()
		c.now = c.now.Add(100 * time.Millisecond)
	}
	for i, v := range c.views {
		m, _ := v.Member(c.now, "a")
		is.True(i == 0 || m.State == StateServing)
	}
}

// lose lets a watcher notice a target's silence.
func (c *crowd) lose(entry int, target string) {
	c.views[entry].MarkLost(c.now, target)
	c.gossips[entry].Changed(target)
}
