package site

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/group"
)

// The expert-parallel group of the trial: the last engine of each data centre is a rank.
const (
	groupName = "moe"
	// rankCapacity is the number of experts that fit on a rank.
	rankCapacity   = 3
	groupLoadLag   = 200 * time.Millisecond
	groupLoadNoise = 0.05
	// groupMovePrice is the step time, in steps, that the move of one expert must save.
	groupMovePrice = 1
	// expertLoadTime is the time that an engine takes to load one expert.
	expertLoadTime = 100 * time.Millisecond
	// After the drift, hotExperts experts get hotShare times the load of the others.
	hotExperts = 2
	hotShare   = 6
	// rebalanceLimit is the longest allowed time from the drift until a new map is in use.
	rebalanceLimit = 10 * time.Second
	// rebalanceObservation is how long the steps are observed after the switch.
	rebalanceObservation = time.Second
)

// newGroup returns the fake expert-parallel group, with one rank in each data centre.
func newGroup(o Options) *group.Group {
	ranks := len(o.Centres)
	return group.New(group.Options{
		Ranks: ranks, Experts: ranks * rankCapacity, Width: rankCapacity, Step: engineStep, Hold: true, Fenced: true,
		Load: expertLoadTime, Lag: groupLoadLag, Noise: groupLoadNoise, Seed: o.Seed,
	})
}

// addToGroup makes a target the next rank of the group; the first target also adds the group to the configuration.
func (s *Site) addToGroup(t *configuration.Target) {
	rank := 0
	for _, v := range s.configuration.Targets {
		if v.Group == groupName {
			rank++
		}
	}
	t.Group, t.Rank = groupName, rank
	if rank == 0 {
		s.configuration.Groups = []configuration.Group{{
			Name: groupName, Experts: len(s.options.Centres) * rankCapacity, Hold: true, Price: groupMovePrice,
		}}
	}
}

// shiftLoad raises the load of hotExperts experts of one rank and waits for the rebalance.
func (t *trial) shiftLoad(ctx context.Context) error {
	g := t.site.group
	before := g.State()
	popularity := make([]float64, len(t.site.options.Centres)*rankCapacity)
	for i := range popularity {
		popularity[i] = 1
	}
	for _, expert := range before.Placement.Ranks[1][:hotExperts] {
		popularity[expert] = hotShare
	}
	g.SetPopularity(popularity)
	t.skewBefore = g.State().Skew
	began := time.Now()
	t.progressf("drift: %d experts of one rank become popular, the slowest rank has %.2f times the mean load", hotExperts, t.skewBefore)
	limit, cancel := context.WithTimeout(ctx, rebalanceLimit)
	defer cancel()
	for g.State().Switches == before.Switches && sleep(limit, pollInterval) {
		continue
	}
	t.rebalanceTime = time.Since(began)
	sleep(ctx, rebalanceObservation)
	after := g.State()
	t.skewAfter, t.expertsLoaded = after.Skew, after.ExpertsLoaded-before.ExpertsLoaded
	t.dueRebalances, t.missedRebalances = 1, 0
	if after.Switches == before.Switches {
		t.missedRebalances = 1
	}
	t.progressf("drift: a new map is in use, %d experts were loaded, the slowest rank has %.2f times the mean load", t.expertsLoaded, t.skewAfter)
	return nil
}
