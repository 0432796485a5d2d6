package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

// limitCase describes a simulation of entries that jointly limit workspaces to their rates.
type limitCase struct {
	name                string
	entries, workspaces int
	// rate is the limit of each workspace in requests per second; demand is the offered load as a multiple of it.
	rate, demand float64
	// skew is the share of a workspace's demand at one entry; the rest is spread evenly.
	skew float64
	// restarts is the number of entries that lose their state each second.
	restarts int
	// partitioned is the number of entries that are separated from the others in both directions.
	partitioned int
	// seconds is the simulated time; the last third is measured.
	seconds int
	// static divides the rate evenly and never adjusts it: the baseline.
	static bool
}

// limitSite is the simulation of a case.
type limitSite struct {
	limitCase
	random     *rand.Rand
	names      []string
	limiters   []*limit.Limiter
	allocators map[string]*limit.Allocator
	// owners caches the index of each workspace's owner.
	owners map[string]int
	now    time.Time
}

func newLimitSite(c limitCase, seed uint64) *limitSite {
	s := &limitSite{limitCase: c, random: rand.New(rand.NewPCG(seed, 5)), allocators: map[string]*limit.Allocator{}, owners: map[string]int{}, now: time.Unix(0, 0)}
	for i := range c.entries {
		s.names = append(s.names, fmt.Sprint("entry", i))
		s.limiters = append(s.limiters, limit.NewLimiter())
		s.allocators[s.names[i]] = limit.NewAllocator()
	}
	return s
}

// reportDemands lets every entry report its demands to the reachable owners; it returns the number of reports.
func (s *limitSite) reportDemands() (reported int) {
	if s.static {
		return 0
	}
	for i, l := range s.limiters {
		for _, d := range l.Demands(s.now) {
			owner := s.owner(d.Workspace)
			if (i < s.partitioned) != (owner < s.partitioned) {
				continue
			}
			reported++
			l.Grant(s.now, s.allocators[s.names[owner]].Allocate(s.now, s.names[i], d, limit.Rate{Rate: s.rate}), limit.Rate{Rate: s.rate}, s.entries)
		}
	}
	return reported
}

// owner returns the index of a workspace's owner.
func (s *limitSite) owner(workspace string) int {
	i, ok := s.owners[workspace]
	if !ok {
		i = slices.Index(s.names, limit.Owner(workspace, s.names))
		s.owners[workspace] = i
	}
	return i
}

// run returns the admitted requests divided by those that the rate allows, or by the demand if that is less,
// and the demands that an entry reports per second.
func (s *limitSite) run() (admitted, reported float64) {
	const steps = 50
	sum, reports := 0, 0
	for second := range s.seconds {
		for range steps {
			s.now = s.now.Add(time.Second / steps)
			ok := s.arrivals()
			if second >= s.seconds*2/3 {
				sum += ok
			}
		}
		reports += s.reportDemands()
		for range s.restarts {
			i := s.random.IntN(s.entries)
			s.limiters[i], s.allocators[s.names[i]] = limit.NewLimiter(), limit.NewAllocator()
		}
	}
	allowed := s.rate * min(s.demand, 1) * float64(s.workspaces) * float64(s.seconds-s.seconds*2/3)
	return float64(sum) / allowed, float64(reports) / float64(s.entries) / float64(s.seconds)
}

// arrivals simulates the arrivals of one step and returns the number of admitted requests.
func (s *limitSite) arrivals() (admitted int) {
	expected := s.rate * s.demand * float64(s.workspaces) / 50
	n := int(expected)
	if s.random.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		w := s.random.IntN(s.workspaces)
		i := s.random.IntN(s.entries)
		if s.random.Float64() < s.skew {
			i = w % s.entries
		}
		if _, ok := s.limiters[i].Admit(s.now, fmt.Sprint("workspace", w), limit.Rate{Rate: s.rate}, s.entries); ok {
			admitted++
		}
	}
	return admitted
}

func limitCases() []limitCase {
	nineEntries := limitCase{entries: 9, workspaces: 10, rate: 40, demand: 2, seconds: 30}
	with := func(c limitCase, name string, change func(*limitCase)) limitCase {
		c.name = name
		change(&c)
		return c
	}
	fullSize := limitCase{entries: 630, workspaces: 100, rate: 13, demand: 2, seconds: 180}
	return []limitCase{
		with(nineEntries, "even", func(*limitCase) {}),
		with(nineEntries, "skewed", func(c *limitCase) { c.skew = 0.9 }),
		with(nineEntries, "skewed-below", func(c *limitCase) { c.skew, c.demand = 0.9, 0.7 }),
		with(nineEntries, "restarts", func(c *limitCase) { c.skew, c.restarts = 0.5, 1 }),
		with(nineEntries, "cut", func(c *limitCase) { c.partitioned = 3 }),
		with(nineEntries, "cut-skewed", func(c *limitCase) { c.skew, c.partitioned = 0.9, 3 }),
		with(fullSize, "630-even", func(*limitCase) {}),
		with(fullSize, "630-below", func(c *limitCase) { c.demand = 0.7 }),
		with(fullSize, "630-skewed", func(c *limitCase) { c.skew = 0.5 }),
	}
}

// BenchmarkLimit measures the admitted requests as a percentage of the allowed ones and the demands that an entry
// reports per second.
func BenchmarkLimit(b *testing.B) {
	for _, c := range limitCases() {
		for _, static := range []bool{true, false} {
			c.static = static
			name := c.name + "/shares"
			if static {
				name = c.name + "/static"
			}
			b.Run(name, func(b *testing.B) {
				var admitted, reported float64
				for b.Loop() {
					admitted, reported = newLimitSite(c, 1).run()
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*admitted, "admitted_%")
				b.ReportMetric(reported, "told/s")
			})
		}
	}
}

func TestLimitFollowsDemand(t *testing.T) {
	bounds := map[string][2]float64{
		"even": {0.93, 1.05}, "skewed": {0.9, 1.05}, "skewed-below": {0.95, 1}, "restarts": {0.9, 1.15},
		"cut": {0.9, 1.4}, "cut-skewed": {0.5, 1.4},
	}
	for _, c := range limitCases() {
		bound, ok := bounds[c.name]
		if !ok {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				admitted, _ := newLimitSite(c, seed).run()
				is.True(admitted >= bound[0] && admitted <= bound[1])
			}
		})
	}
}
