package capacity

import (
	"testing"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
)

// BenchmarkRackLoss takes a seventh of a data centre's entries away and counts the heartbeat streams that the
// busiest other entry opens, and the targets that nobody watches before that.
func BenchmarkRackLoss(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		var most, unwatched int
		for b.Loop() {
			most, unwatched = loseRack(c)
		}
		b.ReportMetric(float64(most), "new-streams")
		b.ReportMetric(float64(unwatched), "unwatched-targets")
	})
}

// loseRack returns the most new streams of an entry and the number of targets whose watchers were all lost.
func loseRack(c *configuration.Configuration) (most, unwatched int) {
	gone := map[string]bool{}
	var own []configuration.Entry
	for _, e := range c.Entries {
		if e.Centre != c.Centres[0].Name {
			continue
		}
		own = append(own, e)
		gone[e.Name] = len(own)%7 == 1
	}
	watched := map[string]bool{}
	for _, e := range own {
		if gone[e.Name] {
			continue
		}
		before := names(membership.Watched(c, e.Name, e.Centre, beat, func(string) bool { return false }))
		after := names(membership.Watched(c, e.Name, e.Centre, beat, func(name string) bool { return gone[name] }))
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

func names(s membership.Subset) map[string]bool {
	out := map[string]bool{}
	for _, t := range s.Targets {
		out[t.Name] = true
	}
	return out
}

// BenchmarkCentreLoss fails all entries of a data centre for a follower abroad and counts the tries until it has another parent.
func BenchmarkCentreLoss(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		tries := 0
		for b.Loop() {
			tries = 0
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
				tries++
			}
		}
		b.ReportMetric(float64(tries), "tries")
	})
}
