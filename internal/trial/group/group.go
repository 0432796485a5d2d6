// Package group is a stand-in for a group of ranks that runs in lock-step on an expert map.
package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
)

// Options are the inputs of New.
type Options struct {
	// Ranks, Experts and Width are those of the map: Width experts fit on a rank.
	Ranks, Experts, Width int
	// Step is the time of one step.
	Step time.Duration
	// Hold tells whether the engines can stop at a given step.
	Hold bool
	// Fenced tells whether the engines refuse old fencing numbers.
	Fenced bool
	// Load is the time in which an engine loads one expert.
	Load time.Duration
	// Lag is the age of the reported loads.
	Lag time.Duration
	// Noise is the relative deviation of the reported loads.
	Noise float64
	// Seed fixes the order in which ranks start a step.
	Seed uint64
}

// Group is safe for concurrent use.
type Group struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	ranks  []*rank
	// used holds the map of each step that some rank has started and not all have left behind.
	used map[uint64]uint64
	// maps holds the known maps by their identity.
	maps map[uint64]*balance.Placement
	// broken lists the steps that ran with two maps.
	broken []string
	// popularity is the share of each expert.
	popularity []float64
	// refuse and fail count the loads that are still to be refused, or to fail half way.
	refuse, fail int
	// loaded counts the experts that were loaded.
	loaded int
	// switches counts the maps that came into use.
	switches int
}

// rank is one rank with its engine.
type rank struct {
	mapswitch.Engine
	// running counts the requests at the engine.
	running int
	// tokens counts what each expert got.
	tokens []float64
	// reports holds the counts over the last lag.
	reports []report
}

type report struct {
	at     time.Time
	tokens []uint64
}

// New returns a group at its first step.
func New(o Options) *Group {
	g := &Group{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 11)), used: map[uint64]uint64{}, maps: map[uint64]*balance.Placement{},
		popularity: make([]float64, o.Experts),
	}
	first := balance.Spread(o.Experts, o.Ranks, o.Width)
	id := first.ID()
	g.maps[id] = first
	for e := range g.popularity {
		g.popularity[e] = 1
	}
	for range o.Ranks {
		g.ranks = append(g.ranks, &rank{Engine: mapswitch.Engine{Map: id}, tokens: make([]float64, o.Experts)})
	}
	return g
}

// Run steps until the context ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(g.options.Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.advance()
		}
	}
}

// advance lets a part of the ranks start their next step.
func (g *Group) advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.options.Hold {
		g.together()
		return
	}
	for _, r := range g.random.Perm(len(g.ranks)) {
		if g.random.IntN(4) > 0 {
			g.start(g.ranks[r])
		}
	}
}

// together starts a step at all ranks if any has work; only for engines that cannot hold.
func (g *Group) together() {
	if !slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.running > 0 }) {
		return
	}
	for _, r := range g.ranks {
		g.use(r)
	}
}

// start begins the next step at a rank unless it holds or another rank is behind.
func (g *Group) start(r *rank) {
	for _, o := range g.ranks {
		if o.Step < r.Step {
			return
		}
	}
	if a := r.Armed; a != nil && a.Step == r.Step+1 {
		if !a.Committed {
			return
		}
		r.Map, r.Armed, r.Staged = a.Map, nil, 0
	}
	g.use(r)
}

// use records the map of a rank's next step.
func (g *Group) use(r *rank) {
	r.Step++
	before, ok := g.used[r.Step]
	switch {
	case !ok:
		g.used[r.Step] = r.Map
		delete(g.used, r.Step-8)
		if last, known := g.used[r.Step-1]; known && last != r.Map {
			g.switches++
		}
	case before != r.Map:
		g.broken = append(g.broken, fmt.Sprintf("step %d: maps %x and %x", r.Step, before, r.Map))
	}
	for e, v := range g.popularity {
		r.tokens[e] += v * 100 * max(0, 1+g.options.Noise*g.random.NormFloat64())
	}
}

// SetPopularity sets how often each expert is used.
func (g *Group) SetPopularity(popularity []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	copy(g.popularity, popularity)
}

// RefuseLoads makes the next loads be refused at once.
func (g *Group) RefuseLoads(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse = count
}

// FailLoads makes the next loads fail half way.
func (g *Group) FailLoads(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fail = count
}

// State is a summary of a group.
type State struct {
	// MixedSteps lists the steps that ran with two maps.
	MixedSteps []string
	// Step is that of the slowest rank.
	Step uint64
	// Switches counts the maps that came into use.
	Switches int
	// Loaded counts the experts that were loaded.
	Loaded int
	// Armed is the number of ranks that hold for an undecided ballot.
	Armed int
	// Placement is the map that the first rank uses.
	Placement *balance.Placement
	// Skew is the largest share of the load over the mean under the present map and popularity.
	Skew float64
}

// State returns a summary.
func (g *Group) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{MixedSteps: slices.Clone(g.broken), Step: g.ranks[0].Step, Switches: g.switches, Loaded: g.loaded}
	for _, r := range g.ranks {
		s.Step = min(s.Step, r.Step)
		if r.Armed != nil && !r.Armed.Committed {
			s.Armed++
		}
	}
	s.Placement = g.maps[g.ranks[0].Map].Clone()
	s.Skew = balance.Skew(s.Placement.Times(g.popularity, nil))
	return s
}
