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

// groupSite is a site whose engines are the ranks of one group, each in a data centre of its own.
type groupSite struct {
	*site
	group *group.Group
	mu    sync.Mutex
	// fault is called for each order that reaches an engine, or is nil.
	fault func(target string)
	// over tells that the fault was brought about and has ended.
	over bool
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
	g.site = prepareSite(t, siteOptions{centres: groupRanks, entries: 1, engines: 1, wrap: g.wrap, change: func(c *configuration.Configuration) {
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

// wrap puts the group's interface in front of an engine and tells the fault of each order.
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

// setFault sets what happens when an order reaches an engine.
func (g *groupSite) setFault(f func(target string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
}

// heat makes two experts of one rank much more popular than the others, so that the lead plans a new map.
func (g *groupSite) heat() {
	popularity := make([]float64, groupExperts)
	for e := range popularity {
		popularity[e] = 1
	}
	for _, e := range g.group.State().Placement.Ranks[1][:2] {
		popularity[e] = 6
	}
	g.group.SetPopularity(popularity)
}

// restart starts a killed process again.
func (g *groupSite) restart(name string) { g.processes[name].start() }

// switched waits for the next map in use and checks that no step ever ran with two.
func (g *groupSite) switched(is *is.I, before int) {
	is.Helper()
	g.await("a new map is in use and nothing is held", func() bool {
		s := g.group.State()
		return s.Switches > before && s.Armed == 0
	})
	g.advances(is)
}

// advances checks that steps go on and that none ran with two maps.
func (g *groupSite) advances(is *is.I) {
	is.Helper()
	from := g.group.State().Step
	g.await("steps go on", func() bool { return g.group.State().Step > from+20 })
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
			g.network.change(func() {
				g.network.jitter = func() time.Duration { return time.Duration(random.IntN(60)) * time.Millisecond }
			})
		}},
		{"cut of the lead", group.Options{Hold: true}, func(g *groupSite) {
			g.network.cut(1, 2)
			time.AfterFunc(2*time.Second, g.network.heal)
		}},
		{"cut one way, two leads", group.Options{Hold: true}, func(g *groupSite) {
			g.network.cutOneWay(1, 2)
			g.network.cutOneWay(1, 3)
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
				g.heat()
				g.switched(is, before)
			}
		})
	}
}

// TestGroupFaultAtEachOrder strikes a slot when the n-th order of a switch reaches an engine, in seeded schedules.
func TestGroupFaultAtEachOrder(t *testing.T) {
	kinds := []string{"kill", "freeze", "cut", "silence"}
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d %s", seed, kinds[seed%4]), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 21))
			g := newGroupSite(t, group.Options{Hold: true, Fenced: seed%2 == 0, Load: 20 * time.Millisecond, Seed: seed})
			g.heat()
			g.switched(is, 0)
			g.strike(kinds[seed%4], random)
			before := g.group.State().Switches
			g.heat()
			g.switched(is, before)
			g.await("the fault is over", g.ended)
			g.advances(is)
		})
	}
}

// strike arranges for one fault at a random order, on its receiver or another slot; it ends after a second.
func (g *groupSite) strike(kind string, random *rand.Rand) {
	at, shift := random.IntN(9), random.IntN(groupRanks)
	count := 0
	g.setFault(func(target string) {
		g.mu.Lock()
		count++
		hit := count == at+1
		g.mu.Unlock()
		if !hit {
			return
		}
		rank := (int(target[len("desk-c")]-'1') + shift) % groupRanks
		g.hit(kind, fmt.Sprintf("desk-c%d-0", rank+1), byte(rank+1))
	})
}

func (g *groupSite) hit(kind, name string, centre byte) {
	p := g.processes[name]
	switch kind {
	case "kill":
		g.after(0, func() {
			p.kill()
			g.restart(name)
		})
	case "freeze":
		p.freeze()
		g.after(time.Second, p.wake)
	case "cut":
		for other := byte(1); other <= groupRanks; other++ {
			g.network.cut(centre, other)
		}
		g.after(time.Second, g.network.heal)
	case "silence":
		g.after(0, func() { g.network.silence(g.processes[name].settings.Listen) })
	}
}

// after ends a fault and notes it.
func (g *groupSite) after(d time.Duration, end func()) {
	time.AfterFunc(d, func() {
		end()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.over = true
	})
}

func (g *groupSite) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over
}

// TestGroupDrains switches engines that cannot hold while callers keep them busy.
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
				g.processes["entry-c1-0"].ask(question{path: "/v1/desk", body: fmt.Sprintf(`{"prompt":"p%d.%d","tokens":40}`, n, i)})
			}
		})
	}
	g.heat()
	g.await("a new map is in use", func() bool { return g.group.State().Switches > 0 })
	g.advances(is)
	close(stop)
	callers.Wait()
	is.Equal(g.group.State().MixedSteps, nil)
}

// TestGroupAudit shows the lines that tell operators of a rebalance.
func TestGroupAudit(t *testing.T) {
	is := is.New(t)
	g := newGroupSite(t, group.Options{Hold: true})
	skew := func() float64 { return g.group.State().Skew }
	g.heat()
	hot := skew()
	g.switched(is, 0)
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
