// Package group implements a fake expert-parallel group, whose ranks run in lock-step on an expert map.
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
	// Ranks, Experts and Width are the dimensions of the map: Width experts fit on a rank.
	Ranks, Experts, Width int
	// Step is the duration of one step.
	Step time.Duration
	// Hold is set if the engines can stop at a given step.
	Hold bool
	// Fenced is set if the engines refuse orders with an old fencing number.
	Fenced bool
	// Load is the time that an engine takes to load one expert.
	Load time.Duration
	// Lag is the age of the reported token counts.
	Lag time.Duration
	// Noise is the relative standard deviation of the tokens that an expert processes in a step.
	Noise float64
	// Seed is the seed of the order in which ranks start a step, and of the noise.
	Seed uint64
}

// Group is a group of fake engines, one for each rank. It is safe for concurrent use.
type Group struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	ranks  []*rank
	// stepMaps holds, for each of the latest steps, the identity of the map that the first rank to run it used.
	stepMaps map[uint64]uint64
	// maps holds the known maps by identity.
	maps map[uint64]*balance.Placement
	// mixedSteps lists the steps that ran with two maps.
	mixedSteps []string
	// popularity is the relative frequency of use of each expert.
	popularity []float64
	// loadsToRefuse and loadsToFail count the coming load orders that are refused at once, or fail half way.
	loadsToRefuse, loadsToFail int
	// expertsLoaded counts the experts that were loaded.
	expertsLoaded int
	// switches counts the switches to another map.
	switches int
}

// rank is one rank with its engine.
type rank struct {
	mapswitch.Engine
	// running is the number of requests in progress at the engine.
	running int
	// tokens counts the tokens that each expert processed.
	tokens []float64
	// samples holds the token counts at each report within the last Options.Lag, the oldest first.
	samples []loadSample
}

type loadSample struct {
	at     time.Time
	tokens []uint64
}

// New returns a group that has run no step yet.
func New(o Options) *Group {
	g := &Group{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 11)), stepMaps: map[uint64]uint64{}, maps: map[uint64]*balance.Placement{},
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

// Run runs steps until the context ends.
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

// advance starts the next step at a random subset of the ranks, or at all of them if they cannot hold.
func (g *Group) advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.options.Hold {
		g.stepTogether()
		return
	}
	for _, r := range g.random.Perm(len(g.ranks)) {
		if g.random.IntN(4) > 0 {
			g.startStep(g.ranks[r])
		}
	}
}

// stepTogether runs a step at all ranks if any has work; it is for engines that cannot hold.
func (g *Group) stepTogether() {
	if !slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.running > 0 }) {
		return
	}
	for _, r := range g.ranks {
		g.runStep(r)
	}
}

// startStep runs the next step at a rank unless the rank holds for an undecided ballot or another rank is behind.
func (g *Group) startStep(r *rank) {
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
	g.runStep(r)
}

// runStep advances a rank by one step, records the map that it used and counts the tokens of its experts.
func (g *Group) runStep(r *rank) {
	r.Step++
	recorded, ok := g.stepMaps[r.Step]
	switch {
	case !ok:
		g.stepMaps[r.Step] = r.Map
		delete(g.stepMaps, r.Step-8)
		if last, known := g.stepMaps[r.Step-1]; known && last != r.Map {
			g.switches++
		}
	case recorded != r.Map:
		g.mixedSteps = append(g.mixedSteps, fmt.Sprintf("step %d: maps %x and %x", r.Step, recorded, r.Map))
	}
	for e, v := range g.popularity {
		r.tokens[e] += v * 100 * max(0, 1+g.options.Noise*g.random.NormFloat64())
	}
}

// SetPopularity sets the relative frequency of use of each expert.
func (g *Group) SetPopularity(popularity []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	copy(g.popularity, popularity)
}

// RefuseLoads makes the group refuse the next load orders at once.
func (g *Group) RefuseLoads(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadsToRefuse = count
}

// FailLoads makes the next load orders fail half way.
func (g *Group) FailLoads(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadsToFail = count
}

// State is a summary of a group.
type State struct {
	// MixedSteps lists the steps that ran with two maps.
	MixedSteps []string
	// Step is the step of the slowest rank.
	Step uint64
	// Switches counts the switches to another map.
	Switches int
	// ExpertsLoaded counts the experts that were loaded.
	ExpertsLoaded int
	// Armed is the number of ranks that hold for an undecided ballot.
	Armed int
	// Placement is the map that the first rank uses.
	Placement *balance.Placement
	// Skew is the largest load of a rank divided by the mean, with the current map and popularity.
	Skew float64
}

// State returns a summary of the group.
func (g *Group) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{MixedSteps: slices.Clone(g.mixedSteps), Step: g.ranks[0].Step, Switches: g.switches, ExpertsLoaded: g.expertsLoaded}
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
