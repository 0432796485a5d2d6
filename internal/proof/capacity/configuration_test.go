package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// revisionsPerSecond is the number of keep-alive messages, each a revision and its age, that a follower receives per
// second with the default settings.
const revisionsPerSecond = 4

// newHistory returns a history that holds a configuration.
func newHistory(b *testing.B, c *configuration.Configuration) *revision.History {
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	history := revision.NewHistory()
	if v := history.Offer(revision.Read(data)); v.State != revision.StateHeld {
		b.Fatal(v.Err)
	}
	history.Open()
	return history
}

// BenchmarkConfigurationPatch measures the patch for one more workspace: its size and the time to make and apply it.
func BenchmarkConfigurationPatch(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		base := newHistory(b, c).Latest()
		source := newHistory(b, withNewWorkspace(c, 2)).Latest()
		size := 0
		for b.Loop() {
			p, err := revision.MakePatch(base, source)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := p.Apply(base); err != nil {
				b.Fatal(err)
			}
			size = len(p.Data)
		}
		whole, err := revision.MakePatch(nil, source)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(size), "B/change")
		b.ReportMetric(float64(len(whole.Data)), "B/whole-compressed")
		b.ReportMetric(float64(len(base.Data)), "B/value")
		reportDailyCPU(b)
	})
}

// BenchmarkConfigurationOffer measures parsing and checking one change.
func BenchmarkConfigurationOffer(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		before := liveHeap()
		history := newHistory(b, c)
		for i := int64(2); b.Loop(); i++ {
			b.StopTimer()
			data, err := withNewWorkspace(c, i).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
			if v := history.Offer(revision.Read(data)); v.State != revision.StateInForce {
				b.Fatal(v.Err)
			}
		}
		reportDailyCPU(b)
		b.ReportMetric(float64(liveHeap()-before)/1e6, "MB")
		runtime.KeepAlive(history)
	})
}

// withNewWorkspace returns a copy of a configuration with one more workspace and another revision.
func withNewWorkspace(c *configuration.Configuration, number int64) *configuration.Configuration {
	next := *c
	next.Revision = number
	next.Workspaces = append(slices.Clone(c.Workspaces), configuration.Workspace{Name: fmt.Sprintf("new-%d", number)})
	return &next
}

// reportDailyCPU reports the share of a processor core if one iteration is a change and there are 14,000 of them a day.
func reportDailyCPU(b *testing.B) {
	const changes = 14_000
	perDay := 24 * time.Hour.Seconds()
	b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)*changes/perDay, "%core")
}

// BenchmarkConfigurationSources measures the number of processes that watch the service, the longest chain to one of
// them and the largest number of followers of an entry.
func BenchmarkConfigurationSources(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		var watching, deepest, most int
		for b.Loop() {
			watching, deepest, most = 0, 0, 0
			followers := map[string]int{}
			for _, e := range c.Entries {
				depth := hopsToWatcher(c, e.Name, e.Centre, followers)
				deepest = max(deepest, depth)
				if depth == 0 {
					watching++
				}
			}
			for _, t := range c.Targets {
				deepest = max(deepest, hopsToWatcher(c, t.Name, t.Centre, followers))
			}
			for _, count := range followers {
				most = max(most, count)
			}
		}
		b.ReportMetric(float64(watching), "calls/s")
		b.ReportMetric(float64(deepest), "hops")
		b.ReportMetric(float64(most), "followers")
		b.ReportMetric(float64(len(c.Entries)+len(c.Targets)-watching)/float64(len(c.Entries)), "mean-followers")
		revisionBytes := proto.Size(&message.Revision{Revision: 14_000, Age: time.Second.Microseconds()})
		b.ReportMetric(float64(most*revisionBytes*revisionsPerSecond), "signs-B/s")
	})
}

// BenchmarkConfigurationPlan measures one second of a process's planning of its sources.
func BenchmarkConfigurationPlan(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		const plansPerSecond = 15
		s := revision.NewSources(c.Entries[0].Name, c.Entries[0].Centre)
		for b.Loop() {
			for range plansPerSecond {
				s.Plan(epoch, c)
			}
		}
		reportCPU(b)
	})
}

// hopsToWatcher returns the number of hops from a process to a watcher and counts the process as a follower of its parent.
func hopsToWatcher(c *configuration.Configuration, name, centre string, followers map[string]int) (depth int) {
	plan := revision.NewSources(name, centre).Plan(epoch, c)
	if !plan.Watch {
		followers[plan.Parent.Name]++
	}
	for ; !plan.Watch; depth++ {
		plan = revision.NewSources(plan.Parent.Name, plan.Parent.Centre).Plan(epoch, c)
	}
	return depth
}

// BenchmarkServiceDown measures the reads per second of all processes while the service fails for a minute.
func BenchmarkServiceDown(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		const span = time.Minute
		reads, peak := 0, 0
		for b.Loop() {
			reads, peak = countReads(c, span)
		}
		b.ReportMetric(float64(reads)/span.Seconds(), "calls/s")
		b.ReportMetric(float64(peak), "peak-calls/s")
	})
}

// countReads simulates all processes reading a failing service and returns the number of reads and the peak per second.
func countReads(c *configuration.Configuration, span time.Duration) (reads, peak int) {
	processes := len(c.Entries) + len(c.Targets)
	seconds := make([]int, int(span/time.Second))
	for i := range processes {
		r := revision.NewReader(newRandom(i))
		watch := i < 2*fullCentres
		for now := epoch; now.Before(epoch.Add(span)); now = now.Add(100 * time.Millisecond) {
			if r.Due(now, watch, now.Sub(epoch), c) {
				seconds[int(now.Sub(epoch)/time.Second)]++
				r.Failed(now, watch, c)
			}
		}
	}
	for _, count := range seconds {
		reads += count
		peak = max(peak, count)
	}
	return reads, peak
}
