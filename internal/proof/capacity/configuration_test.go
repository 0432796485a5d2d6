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

// signs is the number of signs of life that a follower gets in a second with the default settings.
const signs = 4

// accepted returns a book that holds a configuration.
func accepted(b *testing.B, c *configuration.Configuration) *revision.History {
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	book := revision.NewHistory()
	if v := book.Offer(revision.Read(data)); v.State != revision.StateHeld {
		b.Fatal(v.Err)
	}
	book.Open()
	return book
}

// BenchmarkConfigurationPatch measures what one more workspace costs to send: bytes, and the time to make and apply the patch.
func BenchmarkConfigurationPatch(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		base := accepted(b, c).Latest()
		source := accepted(b, added(c, 2)).Latest()
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
		daily(b)
	})
}

// BenchmarkConfigurationTake measures the parse and the check of one change.
func BenchmarkConfigurationTake(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		before := heap()
		book := accepted(b, c)
		for i := int64(2); b.Loop(); i++ {
			b.StopTimer()
			data, err := added(c, i).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
			if v := book.Offer(revision.Read(data)); v.State != revision.StateInForce {
				b.Fatal(v.Err)
			}
		}
		daily(b)
		b.ReportMetric(float64(heap()-before)/1e6, "MB")
		runtime.KeepAlive(book)
	})
}

// added returns a configuration with one more workspace.
func added(c *configuration.Configuration, number int64) *configuration.Configuration {
	next := *c
	next.Revision = number
	next.Workspaces = append(slices.Clone(c.Workspaces), configuration.Workspace{Name: fmt.Sprintf("new-%d", number)})
	return &next
}

// daily reports the share of a core when one iteration is a change and there are 14,000 of them a day.
func daily(b *testing.B) {
	const changes = 14_000
	perDay := 24 * time.Hour.Seconds()
	b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)*changes/perDay, "%core")
}

// BenchmarkConfigurationSources counts the processes that watch the service, the longest chain to one of them
// and the most followers of one entry.
func BenchmarkConfigurationSources(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		var watching, deepest, most int
		for b.Loop() {
			watching, deepest, most = 0, 0, 0
			followers := map[string]int{}
			for _, e := range c.Entries {
				depth := chain(c, e.Name, e.Centre, followers)
				deepest = max(deepest, depth)
				if depth == 0 {
					watching++
				}
			}
			for _, t := range c.Targets {
				deepest = max(deepest, chain(c, t.Name, t.Centre, followers))
			}
			for _, count := range followers {
				most = max(most, count)
			}
		}
		b.ReportMetric(float64(watching), "calls/s")
		b.ReportMetric(float64(deepest), "hops")
		b.ReportMetric(float64(most), "followers")
		b.ReportMetric(float64(len(c.Entries)+len(c.Targets)-watching)/float64(len(c.Entries)), "mean-followers")
		sign := proto.Size(&message.Revision{Revision: 14_000, Age: time.Second.Microseconds()})
		b.ReportMetric(float64(most*sign*signs), "signs-B/s")
	})
}

// BenchmarkConfigurationPlan measures a second of a process's looks at its sources, as often as it takes them.
func BenchmarkConfigurationPlan(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		const looks = 15
		s := revision.NewSources(c.Entries[0].Name, c.Entries[0].Centre)
		for b.Loop() {
			for range looks {
				s.Plan(epoch, c)
			}
		}
		core(b)
	})
}

// chain returns the number of hops from a process to a watcher and counts the process as a follower of its parent.
func chain(c *configuration.Configuration, name, centre string, followers map[string]int) (depth int) {
	plan := revision.NewSources(name, centre).Plan(epoch, c)
	if !plan.Watch {
		followers[plan.Parent.Name]++
	}
	for ; !plan.Watch; depth++ {
		plan = revision.NewSources(plan.Parent.Name, plan.Parent.Centre).Plan(epoch, c)
	}
	return depth
}

// BenchmarkServiceDown counts the reads a second of all processes while the service fails for a minute.
func BenchmarkServiceDown(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		const span = time.Minute
		reads, peak := 0, 0
		for b.Loop() {
			reads, peak = readAll(c, span)
		}
		b.ReportMetric(float64(reads)/span.Seconds(), "calls/s")
		b.ReportMetric(float64(peak), "peak-calls/s")
	})
}

// readAll lets all processes read a failing service and returns the reads and the most in a second.
func readAll(c *configuration.Configuration, span time.Duration) (reads, peak int) {
	processes := len(c.Entries) + len(c.Targets)
	seconds := make([]int, int(span/time.Second))
	for i := range processes {
		r := revision.NewReader(source(i))
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
