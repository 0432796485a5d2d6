package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// testConfiguration returns a configuration with entries and targets spread over data centres.
func testConfiguration(centres, entries, targets int) *configuration.Configuration {
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

func never(string) bool { return false }

// TestWatched checks that each target is watched by the right number of entries, also if some entries have failed.
func TestWatched(t *testing.T) {
	tests := []struct {
		name                      string
		centres, entries, targets int
		failed                    func(string) bool
		watchers                  int
		maxTargets                int
	}{
		{"today", 3, 9, 15, never, 9, 15},
		{"two years", 9, 630, 3700, never, watchersPerTarget, 45},
		{"a seventh failed", 9, 630, 3700, func(name string) bool { return name[len(name)-1] == '7' }, watchersPerTarget, 52},
		{"fewer entries than watchers", 1, 2, 100, never, 2, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := testConfiguration(test.centres, test.entries, test.targets)
			count := map[string]int{}
			for _, e := range c.Entries {
				if test.failed(e.Name) {
					continue
				}
				s := Watched(c, e.Name, e.Centre, time.Second, test.failed)
				is.True(len(s.Targets) <= test.maxTargets)
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

// testCluster simulates entries that exchange digests in rounds.
type testCluster struct {
	views   []*View
	gossips []*Gossip
	random  *rand.Rand
	now     time.Time
}

func newTestCluster(entries int, firstHand func(entry int) func(string) bool) *testCluster {
	c := &testCluster{random: rand.New(rand.NewPCG(1, uint64(entries))), now: time.Unix(1000, 0)}
	for i := range entries {
		v := NewView(Options{HeartbeatTimeout: 6 * time.Second, RelayedTimeout: time.Hour})
		v.Watch(firstHand(i), 6*time.Second)
		c.views = append(c.views, v)
		c.gossips = append(c.gossips, NewGossip(v))
	}
	return c
}

// receive passes a report to an entry.
func (c *testCluster) receive(entry int, h Heartbeat) {
	before, known := c.views[entry].Member(c.now, h.Target)
	if c.views[entry].Accept(c.now, h) && (!known || before.State != h.State) {
		c.gossips[entry].Prioritize(h.Target)
	}
}

// exchange makes each entry exchange digests with a random other one.
func (c *testCluster) exchange() {
	for i := range c.views {
		j := c.random.IntN(len(c.views))
		if i == j {
			continue
		}
		for _, pair := range [][2]int{{i, j}, {j, i}} {
			for _, h := range c.gossips[pair[0]].Make(c.now, "", true).Reports {
				if c.views[pair[1]].FirstHand(h.Target) {
					c.gossips[pair[1]].Refute(c.now, h)
				} else {
					c.receive(pair[1], h)
				}
			}
		}
	}
}

// TestDigestSpreads counts the rounds until all entries know a change that one of them received.
func TestDigestSpreads(t *testing.T) {
	tests := []struct {
		entries int
		rounds  int
	}{{2, 10}, {10, 6}, {70, 8}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(test.entries, func(entry int) func(string) bool {
				return func(string) bool { return entry == 0 }
			})
			for _, state := range []Heartbeat{
				{Target: "a", Incarnation: 1, Sequence: 1, State: StateServing},
				{Target: "a", Incarnation: 1, Sequence: 2, State: StateLeaving},
				{Target: "a", Incarnation: 2, Sequence: 1, State: StateServing},
			} {
				c.now = c.now.Add(time.Second)
				c.receive(0, state)
				rounds := 0
				for ; !c.allKnow(state); rounds++ {
					is.True(rounds < test.rounds)
					c.exchange()
					c.now = c.now.Add(100 * time.Millisecond)
				}
			}
		})
	}
}

// allKnow reports whether every entry has the state and the incarnation of h.
func (c *testCluster) allKnow(h Heartbeat) bool {
	for _, v := range c.views {
		m, ok := v.Member(c.now, h.Target)
		if !ok || m.State != h.State || m.Incarnation != h.Incarnation {
			return false
		}
	}
	return true
}

// TestLostSpreads checks that the loss of a target spreads and that its next heartbeat supersedes it.
func TestLostSpreads(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(10, func(entry int) func(string) bool { return func(string) bool { return entry == 0 } })
	serving := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.receive(0, serving)
	for range 12 {
		c.exchange()
	}
	is.True(c.allKnow(serving))
	c.now = c.now.Add(7 * time.Second)
	c.gossips[0].Prioritize("a")
	for range 12 {
		c.exchange()
	}
	lost := serving
	lost.State = StateLost
	is.True(c.allKnow(lost))
	serving.Sequence++
	c.receive(0, serving)
	for range 12 {
		c.exchange()
	}
	is.True(c.allKnow(serving))
}

// TestLostStays checks that an entry keeps a target as lost after other entries took over watching it. The longer timeout
// for relayed reports would otherwise make it serving again.
func TestLostStays(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := NewView(Options{HeartbeatTimeout: time.Second, RelayedTimeout: time.Hour})
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 1, State: StateServing}
	v.Accept(now, h)
	now = now.Add(2 * time.Second)
	v.MarkLost(now, "a")
	v.Watch(never, time.Second)
	m, _ := v.Member(now, "a")
	is.Equal(m.State, StateLost)
	h.Sequence++
	v.Accept(now, h)
	m, _ = v.Member(now, "a")
	is.Equal(m.State, StateServing)
}

// TestHint checks that a hint is relayed with its age and dropped if it is not repeated.
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
	is.True(!b.Hinted(now.Add(hintTTL), "x"))
	b.Expire(now.Add(hintTTL))
	is.Equal(len(b.Make(now.Add(hintTTL), "b", false).Hints), 0)
}

// TestLossSpreadsWithoutItsLatestWatcher checks that the loss of a target spreads if the watcher with its latest
// heartbeats was lost too: the other watchers report the loss with an older sequence number.
func TestLossSpreadsWithoutItsLatestWatcher(t *testing.T) {
	is := is.New(t)
	const latestWatcher, watcher = 0, 1
	c := newTestCluster(10, func(entry int) func(string) bool { return func(string) bool { return entry <= watcher } })
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.receive(watcher, h)
	h.Sequence = 7
	c.receive(latestWatcher, h)
	for range 12 {
		c.exchange()
	}
	is.True(c.allKnow(Heartbeat{Target: "a", Incarnation: 1, State: StateServing}))
	c.views, c.gossips = c.views[watcher:], c.gossips[watcher:]
	c.now = c.now.Add(7 * time.Second)
	c.lose(0, "a")
	for range 12 {
		c.exchange()
		c.now = c.now.Add(100 * time.Millisecond)
	}
	is.True(c.allKnow(Heartbeat{Target: "a", Incarnation: 1, State: StateLost}))
}

// TestLossIsSentAgain checks that an entry that missed all digests with a loss as a change still learns of it.
func TestLossIsSentAgain(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(2, func(entry int) func(string) bool { return func(string) bool { return entry == 0 } })
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.receive(0, h)
	c.receive(1, h)
	c.now = c.now.Add(7 * time.Second)
	c.lose(0, "a")
	for range 2 * changeSends {
		c.gossips[0].Make(c.now, "", true)
		c.now = c.now.Add(100 * time.Millisecond)
	}
	for range 12 {
		c.exchange()
		c.now = c.now.Add(time.Second)
	}
	is.True(c.allKnow(Heartbeat{Target: "a", Incarnation: 1, State: StateLost}))
}

// TestFalseLossIsRefuted checks that a loss noticed by a single watcher is refuted by another one that still receives
// heartbeats of the target.
func TestFalseLossIsRefuted(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(10, func(entry int) func(string) bool { return func(string) bool { return entry <= 1 } })
	h := Heartbeat{Target: "a", Incarnation: 1, Sequence: 5, State: StateServing}
	c.receive(0, h)
	for i := range 100 {
		h.Sequence++
		c.receive(1, h)
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

// lose makes a watcher notice the loss of a target.
func (c *testCluster) lose(entry int, target string) {
	c.views[entry].MarkLost(c.now, target)
	c.gossips[entry].Prioritize(target)
}
