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

// limitCase is a site of entries that keep workspaces to their rates.
type limitCase struct {
	name                string
	entries, workspaces int
	// rate is that of each workspace; demand is the multiple of it that is asked for.
	rate, demand float64
	// skew is the share of a workspace's demand at one entry; the rest is even.
	skew float64
	// restarts is the number of entries that lose their state each second.
	restarts int
	// cut is the number of entries that reach no owner on the other side, and none of them is reached.
	cut int
	// span is the number of seconds; the last third is measured.
	span int
	// even divides the rate evenly and for good: the baseline.
	even bool
}

// limitSite is a running case.
type limitSite struct {
	limitCase
	random  *rand.Rand
	names   []string
	meters  []*limit.Limiter
	ledgers map[string]*limit.Allocator
	// owners holds the index of each workspace's owner.
	owners map[string]int
	now    time.Time
}

func newLimitSite(c limitCase, seed uint64) *limitSite {
	s := &limitSite{limitCase: c, random: rand.New(rand.NewPCG(seed, 5)), ledgers: map[string]*limit.Allocator{}, owners: map[string]int{}, now: time.Unix(0, 0)}
	for i := range c.entries {
		s.names = append(s.names, fmt.Sprint("entry", i))
		s.meters = append(s.meters, limit.NewLimiter())
		s.ledgers[s.names[i]] = limit.NewAllocator()
	}
	return s
}

// tell lets every entry tell its demand to the owners in reach; it returns the shares told.
func (s *limitSite) tell() (told int) {
	if s.even {
		return 0
	}
	for i, m := range s.meters {
		for _, d := range m.Demands(s.now) {
			owner := s.owner(d.Workspace)
			if (i < s.cut) != (owner < s.cut) {
				continue
			}
			told++
			m.Grant(s.now, s.ledgers[s.names[owner]].Allocate(s.now, s.names[i], d, limit.Rate{Rate: s.rate}), limit.Rate{Rate: s.rate}, s.entries)
		}
	}
	return told
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

// run returns the admitted requests over what the rate allows, or over the demand when that is less,
// and the shares told by an entry in a second.
func (s *limitSite) run() (admitted, told float64) {
	const steps = 50
	sum, tells := 0, 0
	for second := range s.span {
		for range steps {
			s.now = s.now.Add(time.Second / steps)
			ok := s.arrivals()
			if second >= s.span*2/3 {
				sum += ok
			}
		}
		tells += s.tell()
		for range s.restarts {
			i := s.random.IntN(s.entries)
			s.meters[i], s.ledgers[s.names[i]] = limit.NewLimiter(), limit.NewAllocator()
		}
	}
	allowed := s.rate * min(s.demand, 1) * float64(s.workspaces) * float64(s.span-s.span*2/3)
	return float64(sum) / allowed, float64(tells) / float64(s.entries) / float64(s.span)
}

// arrivals plays one step and returns the number of admitted requests.
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
		if _, ok := s.meters[i].Admit(s.now, fmt.Sprint("workspace", w), limit.Rate{Rate: s.rate}, s.entries); ok {
			admitted++
		}
	}
	return admitted
}

func limitCases() []limitCase {
	today := limitCase{entries: 9, workspaces: 10, rate: 40, demand: 2, span: 30}
	with := func(c limitCase, name string, change func(*limitCase)) limitCase {
		c.name = name
		change(&c)
		return c
	}
	later := limitCase{entries: 630, workspaces: 100, rate: 13, demand: 2, span: 180}
	return []limitCase{
		with(today, "even", func(*limitCase) {}),
		with(today, "skewed", func(c *limitCase) { c.skew = 0.9 }),
		with(today, "skewed-below", func(c *limitCase) { c.skew, c.demand = 0.9, 0.7 }),
		with(today, "restarts", func(c *limitCase) { c.skew, c.restarts = 0.5, 1 }),
		with(today, "cut", func(c *limitCase) { c.cut = 3 }),
		with(today, "cut-skewed", func(c *limitCase) { c.skew, c.cut = 0.9, 3 }),
		with(later, "630-even", func(*limitCase) {}),
		with(later, "630-below", func(c *limitCase) { c.demand = 0.7 }),
		with(later, "630-skewed", func(c *limitCase) { c.skew = 0.5 }),
	}
}

// BenchmarkLimit reports the admitted requests over the allowed ones and the shares told by an entry in a second.
func BenchmarkLimit(b *testing.B) {
	for _, c := range limitCases() {
		for _, even := range []bool{true, false} {
			c.even = even
			name := c.name + "/shares"
			if even {
				name = c.name + "/static"
			}
			b.Run(name, func(b *testing.B) {
				var admitted, told float64
				for b.Loop() {
					admitted, told = newLimitSite(c, 1).run()
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*admitted, "admitted_%")
				b.ReportMetric(told, "told/s")
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
