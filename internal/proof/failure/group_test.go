package failure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/group"
)

const (
	groupRanks   = 3
	groupExperts = 9
)

// groupSite is a site whose engines are the ranks of one group, each in a separate data centre.
type groupSite struct {
	*site
	group *group.Group
	mu    sync.Mutex
	// fault is called before an engine handles an order, or is nil.
	fault func(target string)
	// faultEnded reports whether an injected fault has ended.
	faultEnded bool
}

func newGroupSite(t *testing.T, o group.Options) *groupSite {
	t.Helper()
	o.Ranks, o.Experts, o.Width = groupRanks, groupExperts, 3
	o.Step, o.Lag, o.Noise = 2*time.Millisecond, 50*time.Millisecond, 0.05
	g := &groupSite{group: group.New(o)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { g.group.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	g.site = prepareSite(t, siteOptions{centres: groupRanks, entries: 1, engines: 1, wrap: g.wrap, editConfig: func(c *configuration.Configuration) {
		c.Groups = []configuration.Group{{Name: "moe", Experts: groupExperts, Hold: o.Hold, Price: 1}}
		for i := range c.Targets {
			c.Targets[i].Group, c.Targets[i].Rank = "moe", i
		}
	}})
	g.publish()
	for _, p := range g.processes {
		p.start()
	}
	g.awaitServing()
	return g
}

// wrap adds the group's endpoints to an engine and calls fault before each order.
func (g *groupSite) wrap(target string, engine http.Handler) http.Handler {
	rank := int(target[len("desk-c")] - '1')
	inner := g.group.Handler(rank, engine)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/group" {
			g.mu.Lock()
			fault := g.fault
			g.mu.Unlock()
			if fault != nil {
				fault(target)
			}
		}
		inner.ServeHTTP(w, r)
	})
}

// setFault sets the function that is called before an engine handles an order.
func (g *groupSite) setFault(f func(target string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
}

// skewPopularity makes two experts of one rank much more popular than the others, so that the leader plans a new
// expert map.
func (g *groupSite) skewPopularity() {
	popularity := make([]float64, groupExperts)
	for e := range popularity {
		popularity[e] = 1
	}
	for _, e := range g.group.State().Placement.Ranks[1][:2] {
		popularity[e] = 6
	}
	g.group.SetPopularity(popularity)
}

// startProcess starts a killed process again.
func (g *groupSite) startProcess(name string) { g.processes[name].start() }

// awaitSwitch waits until a new expert map is in use and no engine is armed, and checks that steps continue and never
// mix two maps.
func (g *groupSite) awaitSwitch(is *is.I, before int) {
	is.Helper()
	g.await("a new expert map is in use and no engine is armed", func() bool {
		s := g.group.State()
		return s.Switches > before && s.Armed == 0
	})
	g.checkSteps(is)
}

// checkSteps checks that steps continue and that none mixed two expert maps.
func (g *groupSite) checkSteps(is *is.I) {
	is.Helper()
	from := g.group.State().Step
	g.await("steps continue", func() bool { return g.group.State().Step > from+20 })
	is.Equal(g.group.State().MixedSteps, nil)
}

func TestGroupSwitches(t *testing.T) {
	tests := []struct {
		name  string
		o     group.Options
		fault func(g *groupSite)
	}{
		{"no fault", group.Options{Hold: true, Fenced: true}, func(*groupSite) {}},
		{"engines ignore fencing", group.Options{Hold: true}, func(*groupSite) {}},
		{"slow loads", group.Options{Hold: true, Load: 300 * time.Millisecond}, func(*groupSite) {}},
		{"a load is refused", group.Options{Hold: true}, func(g *groupSite) { g.group.RefuseLoads(1) }},
		{"a load fails half way", group.Options{Hold: true, Load: 50 * time.Millisecond}, func(g *groupSite) { g.group.FailLoads(1) }},
		{"messages late and out of order", group.Options{Hold: true}, func(g *groupSite) {
			random := rand.New(rand.NewPCG(3, 3))
			g.network.update(func() {
				g.network.jitter = func() time.Duration { return time.Duration(random.IntN(60)) * time.Millisecond }
			})
		}},
		{"cut of the lead", group.Options{Hold: true}, func(g *groupSite) {
			g.network.partition(1, 2)
			time.AfterFunc(2*time.Second, g.network.heal)
		}},
		{"cut one way, two leads", group.Options{Hold: true}, func(g *groupSite) {
			g.network.partitionOneWay(1, 2)
			g.network.partitionOneWay(1, 3)
			time.AfterFunc(3*time.Second, g.network.heal)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := newGroupSite(t, test.o)
			test.fault(g)
			for range 2 {
				before := g.group.State().Switches
				g.skewPopularity()
				g.awaitSwitch(is, before)
			}
		})
	}
}

// TestGroupFaultAtEachOrder injects a fault at a slot when the n-th order of a switch reaches an engine, in seeded
// schedules.
func TestGroupFaultAtEachOrder(t *testing.T) {
	kinds := []string{"kill", "freeze", "cut", "silence"}
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d %s", seed, kinds[seed%4]), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 21))
			g := newGroupSite(t, group.Options{Hold: true, Fenced: seed%2 == 0, Load: 20 * time.Millisecond, Seed: seed})
			g.skewPopularity()
			g.awaitSwitch(is, 0)
			g.scheduleFault(kinds[seed%4], random)
			before := g.group.State().Switches
			g.skewPopularity()
			g.awaitSwitch(is, before)
			g.await("the fault has ended", g.faultIsOver)
			g.checkSteps(is)
		})
	}
}

// scheduleFault arranges one fault at a random order, at its receiver or another slot. A freeze or cut lasts one
// second.
func (g *groupSite) scheduleFault(kind string, random *rand.Rand) {
	index, shift := random.IntN(9), random.IntN(groupRanks)
	count := 0
	g.setFault(func(target string) {
		g.mu.Lock()
		count++
		matches := count == index+1
		g.mu.Unlock()
		if !matches {
			return
		}
		rank := (int(target[len("desk-c")]-'1') + shift) % groupRanks
		g.injectFault(kind, fmt.Sprintf("desk-c%d-0", rank+1), byte(rank+1))
	})
}

func (g *groupSite) injectFault(kind, name string, centre byte) {
	p := g.processes[name]
	switch kind {
	case "kill":
		g.endFaultAfter(0, func() {
			p.kill()
			g.startProcess(name)
		})
	case "freeze":
		p.freeze()
		g.endFaultAfter(time.Second, p.unfreeze)
	case "cut":
		for other := byte(1); other <= groupRanks; other++ {
			g.network.partition(centre, other)
		}
		g.endFaultAfter(time.Second, g.network.heal)
	case "silence":
		g.endFaultAfter(0, func() { g.network.blackhole(g.processes[name].settings.Listen) })
	}
}

// endFaultAfter ends a fault after a delay and records its end.
func (g *groupSite) endFaultAfter(d time.Duration, end func()) {
	time.AfterFunc(d, func() {
		end()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.faultEnded = true
	})
}

func (g *groupSite) faultIsOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faultEnded
}

// TestGroupDrains checks that engines without support for hold, kept busy by callers, drain and switch to a new
// expert map.
func TestGroupDrains(t *testing.T) {
	is := is.New(t)
	g := newGroupSite(t, group.Options{Load: 20 * time.Millisecond})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 6 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				g.processes["entry-c1-0"].send(request{path: "/v1/desk", body: fmt.Sprintf(`{"prompt":"p%d.%d","tokens":40}`, n, i)})
			}
		})
	}
	g.skewPopularity()
	g.await("a new expert map is in use", func() bool { return g.group.State().Switches > 0 })
	g.checkSteps(is)
	close(stop)
	callers.Wait()
	is.Equal(g.group.State().MixedSteps, nil)
}

// TestGroupAudit checks the audit records of a rebalance.
func TestGroupAudit(t *testing.T) {
	is := is.New(t)
	g := newGroupSite(t, group.Options{Hold: true})
	skew := func() float64 { return g.group.State().Skew }
	g.skewPopularity()
	hot := skew()
	g.awaitSwitch(is, 0)
	is.True(skew() < hot)
	var changes []struct {
		Kind   string            `json:"kind"`
		Values map[string]string `json:"values"`
	}
	is.True(g.processes["desk-c1-0"].get("/audit", &changes))
	var events []string
	for _, c := range changes {
		if c.Kind == "map" || c.Kind == "balance" {
			events = append(events, c.Kind+" "+c.Values["event"])
		}
	}
	is.True(strings.HasPrefix(strings.Join(events, ", "), "balance , map begin, map armed, map commit"))
}
