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
	// groupWidth is the number of experts that fit on a rank.
	groupWidth = 3
	groupLag   = 200 * time.Millisecond
	groupNoise = 0.05
	// groupPrice is the step time, in steps, that moving one expert must save.
	groupPrice = 1
	// expertLoad is the time in which an engine loads one expert.
	expertLoad = 100 * time.Millisecond
	// hotExperts get hotShare times the load of the others after the drift.
	hotExperts = 2
	hotShare   = 6
	// rebalanceLimit is the longest time from the drift to a new map in use.
	rebalanceLimit = 10 * time.Second
	// rebalanceWatch is how long the steps are watched after the switch.
	rebalanceWatch = time.Second
)

// newGroup returns the stand-in of the group.
func newGroup(o Options) *group.Group {
	ranks := len(o.Centres)
	return group.New(group.Options{
		Ranks: ranks, Experts: ranks * groupWidth, Width: groupWidth, Step: engineStep, Hold: true, Fenced: true,
		Load: expertLoad, Lag: groupLag, Noise: groupNoise, Seed: o.Seed,
	})
}

// formGroup makes a target the next rank of the group.
func (s *Site) formGroup(t *configuration.Target) {
	rank := 0
	for _, v := range s.configuration.Targets {
		if v.Group == groupName {
			rank++
		}
	}
	t.Group, t.Rank = groupName, rank
	if rank == 0 {
		s.configuration.Groups = []configuration.Group{{
			Name: groupName, Experts: len(s.options.Centres) * groupWidth, Hold: true, Price: groupPrice,
		}}
	}
}

// drift makes two experts of one rank popular and waits for the rebalance.
func (t *trial) drift(ctx context.Context) error {
	g := t.site.group
	before := g.State()
	popularity := make([]float64, len(t.site.options.Centres)*groupWidth)
	for i := range popularity {
		popularity[i] = 1
	}
	for _, expert := range before.Placement.Ranks[1][:hotExperts] {
		popularity[expert] = hotShare
	}
	g.SetPopularity(popularity)
	t.skewBefore = g.State().Skew
	began := time.Now()
	t.say("drift: %d experts of one rank become popular, the slowest rank has %.2f times the mean load", hotExperts, t.skewBefore)
	limit, cancel := context.WithTimeout(ctx, rebalanceLimit)
	defer cancel()
	for g.State().Switches == before.Switches && sleep(limit, pollInterval) {
		continue
	}
	t.rebalanced = time.Since(began)
	sleep(ctx, rebalanceWatch)
	after := g.State()
	t.skewAfter, t.loaded = after.Skew, after.Loaded-before.Loaded
	t.switches, t.stuck = 1, 0
	if after.Switches == before.Switches {
		t.stuck = 1
	}
	t.say("drift: a new map is in use, %d experts were loaded, the slowest rank has %.2f times the mean load", t.loaded, t.skewAfter)
	return nil
}
