package capacity

import (
	"testing"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
)

// BenchmarkRackLoss removes a seventh of a data centre's entries and counts the heartbeat streams that the busiest
// remaining entry opens, and the targets that no entry watches until then.
func BenchmarkRackLoss(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		var most, unwatched int
		for b.Loop() {
			most, unwatched = loseRack(c)
		}
		b.ReportMetric(float64(most), "new-streams")
		b.ReportMetric(float64(unwatched), "unwatched-targets")
	})
}

// loseRack returns the largest number of new streams of an entry and the number of targets whose watchers were all lost.
func loseRack(c *configuration.Configuration) (most, unwatched int) {
	lost := map[string]bool{}
	var centreEntries []configuration.Entry
	for _, e := range c.Entries {
		if e.Centre != c.Centres[0].Name {
			continue
		}
		centreEntries = append(centreEntries, e)
		lost[e.Name] = len(centreEntries)%7 == 1
	}
	watched := map[string]bool{}
	for _, e := range centreEntries {
		if lost[e.Name] {
			continue
		}
		before := targetNames(membership.Watched(c, e.Name, e.Centre, heartbeatInterval, func(string) bool { return false }))
		after := targetNames(membership.Watched(c, e.Name, e.Centre, heartbeatInterval, func(name string) bool { return lost[name] }))
		opened := 0
		for name := range after {
			if !before[name] {
				opened++
			}
		}
		for name := range before {
			watched[name] = true
		}
		most = max(most, opened)
	}
	for _, t := range c.Targets {
		if t.Centre == c.Centres[0].Name && !watched[t.Name] {
			unwatched++
		}
	}
	return most, unwatched
}

func targetNames(s membership.Subset) map[string]bool {
	out := map[string]bool{}
	for _, t := range s.Targets {
		out[t.Name] = true
	}
	return out
}

// BenchmarkCentreLoss marks the parents of a follower in a data centre as failed, one after the other, and counts the
// attempts until its parent is in another data centre.
func BenchmarkCentreLoss(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		attempts := 0
		for b.Loop() {
			attempts = 0
			var watcher configuration.Entry
			for _, e := range c.Entries {
				plan := revision.NewSources(e.Name, e.Centre).Plan(epoch, c)
				if plan.Watch && plan.Parent != nil {
					watcher = e
					break
				}
			}
			s := revision.NewSources(watcher.Name, watcher.Centre)
			lost := s.Plan(epoch, c).Parent.Centre
			for plan := s.Plan(epoch, c); plan.Parent != nil && plan.Parent.Centre == lost; plan = s.Plan(epoch, c) {
				s.Fail(epoch, plan.Parent.Name)
				attempts++
			}
		}
		b.ReportMetric(float64(attempts), "tries")
	})
}
