package revision

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// testValue returns an encoded configuration with a revision and a number of targets.
func testValue(revision int64, targets int, author string) []byte {
	c := testConfiguration(1, 3, targets)
	c.Revision, c.Author = revision, author
	data, _ := c.Encode()
	return data
}

// testConfiguration returns a configuration with entries and targets spread over data centres.
func testConfiguration(centres, entries, targets int) *configuration.Configuration {
	c := &configuration.Configuration{
		Format: "1.0", Revision: 1, Workspaces: []configuration.Workspace{{Name: "school"}}, Routes: []configuration.Route{},
	}
	for i := range centres {
		c.Centres = append(c.Centres, configuration.Centre{Name: fmt.Sprintf("c%d", i)})
	}
	for i := range entries {
		c.Entries = append(c.Entries, configuration.Entry{
			Name: fmt.Sprintf("entry-%d", i), Centre: c.Centres[i%centres].Name, Address: testAddress(i, 11),
		})
	}
	for i := range targets {
		t := configuration.Target{Name: fmt.Sprintf("desk-%d", i), Centre: c.Centres[i%centres].Name, Kind: configuration.KindEngine, Pool: "desk", Width: 1}
		t.Address = testAddress(i, 10)
		c.Targets = append(c.Targets, t)
	}
	return c
}

// testAddress returns a different address for each number.
func testAddress(i int, net byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{net, byte(i >> 8), byte(i), 1}), uint16(1000+i*7919%60000))
}

func TestOffer(t *testing.T) {
	tests := []struct {
		name   string
		data   []byte
		state  chart.State
		signal chart.Signal
	}{
		{"newer", testValue(6, 2, "a"), StateInForce, "valid"},
		{"older", testValue(4, 2, "a"), StateIgnored, "old"},
		{"same", testValue(5, 2, "a"), StateIgnored, "same"},
		{"conflict", testValue(5, 2, "b"), StateRefused, "conflict"},
		{"truncated", testValue(6, 2, "a")[:80], StateRefused, "invalid"},
		{"no revision", testValue(0, 2, "a"), StateRefused, "invalid"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := NewHistory()
			is.Equal(h.Offer(Read(testValue(5, 2, "a"))).State, StateHeld)
			is.Equal(h.Open().State, StateInForce)
			v := h.Offer(Read(test.data))
			is.Equal(v.State, test.state)
			is.Equal(v.Signal, test.signal)
			is.Equal(v.State == StateRefused, v.Err != nil)
			if v.State != StateInForce {
				is.Equal(h.Position().Revision, int64(5))
				is.Equal(h.Offer(Read(test.data)).First, v.State != StateRefused)
			}
		})
	}
}

// TestRevisionNeverFalls checks that the revision in force never decreases, for random values in random order.
func TestRevisionNeverFalls(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		h := NewHistory()
		last := int64(0)
		for range 50 {
			if random.IntN(10) == 0 {
				h.Open()
			}
			data := testValue(random.Int64N(20), 1, fmt.Sprint(random.IntN(2)))
			if random.IntN(4) == 0 {
				data = data[:random.IntN(len(data))]
			}
			h.Offer(Read(data))
			is.True(h.Position().Revision >= last)
			last = h.Position().Revision
		}
	}
}

func TestPatch(t *testing.T) {
	is := is.New(t)
	a, b := NewHistory(), NewHistory()
	a.Offer(Read(testValue(1, 3000, "a")))
	base := a.Latest()
	a.Offer(Read(testValue(2, 3001, "a")))
	full, err := MakePatch(nil, a.Latest())
	is.NoErr(err)
	patch, err := MakePatch(base, a.Latest())
	is.NoErr(err)
	is.True(len(patch.Data)*10 < len(full.Data))

	_, err = patch.Apply(nil)
	is.True(errors.Is(err, ErrBase))
	b.Offer(Read(testValue(1, 3000, "a")))
	data, err := patch.Apply(b.Find(patch.Base))
	is.NoErr(err)
	is.Equal(b.Offer(Read(data)).State, StateHeld)
	is.Equal(b.Position(), a.Position())
	patch.Digest++
	_, err = patch.Apply(base)
	is.True(err != nil)
}

// TestPatchHostile checks that malformed or malicious patches are refused and decompress to a bounded size.
func TestPatchHostile(t *testing.T) {
	large := &Value{Data: make([]byte, 64<<20)}
	bomb, err := MakePatch(nil, large)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		p    *Patch
	}{
		{"bomb", bomb},
		{"empty", &Patch{}},
		{"not compressed", &Patch{Data: []byte("hello")}},
		{"unknown base", &Patch{Data: bomb.Data, Base: Position{Revision: 3, Digest: 4}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			data, err := test.p.Apply(nil)
			is.True(err != nil)
			is.Equal(len(data), 0)
		})
	}
}

// TestTree checks that each entry's chain of parents ends at a watcher and that no entry has too many followers.
func TestTree(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		depth   int
	}{
		{"one", 1, 0}, {"today", 9, 1}, {"two years", 630, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := testConfiguration(min(9, test.entries), test.entries, 0)
			now := time.Unix(0, 0)
			followers := map[string]int{}
			watching := 0
			for _, e := range c.Entries {
				depth := 0
				plan := NewSources(e.Name, e.Centre).Plan(now, c)
				if plan.Watch {
					watching++
				} else {
					followers[plan.Parent.Name]++
				}
				for ; !plan.Watch; depth++ {
					is.True(plan.Parent.Centre == e.Centre)
					plan = NewSources(plan.Parent.Name, plan.Parent.Centre).Plan(now, c)
				}
				is.True(depth <= test.depth)
			}
			is.True(watching <= watchersPerCentre*len(c.Centres))
			for _, count := range followers {
				is.True(count <= maxFollowers)
			}
		})
	}
}

// TestSourcesFail checks that a process watches the service itself after all other sources failed.
func TestSourcesFail(t *testing.T) {
	is := is.New(t)
	c := testConfiguration(1, 20, 0)
	now := time.Unix(0, 0)
	for _, e := range c.Entries {
		s := NewSources(e.Name, e.Centre)
		plan := s.Plan(now, c)
		for range len(c.Entries) {
			if plan.Parent == nil {
				break
			}
			s.Fail(now, plan.Parent.Name)
			plan = s.Plan(now, c)
		}
		is.True(plan.Watch)
		is.True(plan.Parent == nil)
		is.True(s.Plan(now.Add(maxBackoff), c).Parent != nil || NewSources(e.Name, e.Centre).Plan(now, c).Watch)
	}
}

func TestReader(t *testing.T) {
	is := is.New(t)
	c := testConfiguration(1, 630, 3700)
	now := time.Unix(0, 0)
	r := NewReader(rand.New(rand.NewPCG(1, 2)))
	is.True(r.Due(now, true, 0, c))
	is.True(!r.Due(now, false, 0, c))
	is.True(!r.Due(now, false, maxContactAge, c))
	reads := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if r.Due(now, false, time.Hour, c) {
			reads++
			r.Failed(now, false, c)
		}
	}
	// All 4,330 processes together stay below the service's limit of 2,000 reads per second.
	is.True(float64(reads)/60*4330 < 2000)
	is.True(reads > 5)
}

// TestCentreLost checks that a watcher skips a data centre after a few of its entries did not answer.
func TestCentreLost(t *testing.T) {
	is := is.New(t)
	c := testConfiguration(3, 210, 0)
	now := time.Unix(0, 0)
	for _, e := range c.Entries {
		s := NewSources(e.Name, e.Centre)
		plan := s.Plan(now, c)
		if !plan.Watch {
			continue
		}
		lost := plan.Parent.Centre
		for range maxCentreFailures {
			s.Fail(now, plan.Parent.Name)
			plan = s.Plan(now, c)
		}
		is.True(plan.Parent.Centre != lost)
		is.Equal(s.Plan(now.Add(maxBackoff), c).Parent.Centre, lost)
	}
}

func BenchmarkPatch(b *testing.B) {
	history := NewHistory()
	history.Offer(Read(testValue(1, 6000, "a")))
	base := history.Latest()
	history.Offer(Read(testValue(2, 6001, "a")))
	for b.Loop() {
		p, err := MakePatch(base, history.Latest())
		if err != nil {
			b.Fatal(err)
		}
		if _, err := p.Apply(base); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(p.Data)), "bytes/change")
		b.ReportMetric(float64(len(base.Data)), "bytes/value")
	}
}

// TestSlotsAreSpreadEvenly counts the slots that follow each entry and checks which ones move when an entry is lost.
func TestSlotsAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := testConfiguration(1, 30, 200)
	var lost string
	before := map[string]string{}
	followers := map[string]int{}
	for _, v := range c.Targets {
		lost = NewSources(v.Name, v.Centre).Plan(now, c).Parent.Name
		before[v.Name] = lost
		followers[lost]++
	}
	leaves := len(c.Entries) - innerEntries(len(c.Entries))
	is.Equal(len(followers), leaves)
	for _, count := range followers {
		is.True(count == len(c.Targets)/leaves || count == len(c.Targets)/leaves+1)
	}
	for _, v := range c.Targets {
		s := NewSources(v.Name, v.Centre)
		s.Fail(now, lost)
		after := s.Plan(now, c).Parent.Name
		is.True(after != lost)
		is.True(before[v.Name] == lost || after == before[v.Name]) // slots of other entries do not move
	}
}
