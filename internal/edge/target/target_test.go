package target

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

var start = time.Unix(1_700_000_000, 0)

func testTarget(id string, born int64, leaving bool) site.Target {
	return site.Target{
		ID: id, StartUnixMilli: born, Service: "holds", Address: netip.MustParseAddrPort("10.0.0.1:80"), Centre: "a", Width: 6, Leaving: leaving,
	}
}

// TestRegistry plays lists and outages of the store and checks which targets take new work.
func TestRegistry(t *testing.T) {
	type step struct {
		after time.Duration
		lost  bool
		list  []site.Target
		open  int
	}
	one, two := testTarget("1", 1, false), testTarget("2", 1, false)
	tests := []struct {
		name  string
		steps []step
	}{
		{"a target that is missing is gone", []step{{list: []site.Target{one, two}, open: 2}, {after: time.Second, list: []site.Target{one}, open: 1}}},
		{"a leaving target takes no work", []step{{list: []site.Target{one, two}, open: 2}, {after: time.Second, list: []site.Target{one, testTarget("2", 1, true)}, open: 1}}},
		{"known targets stay during an outage", []step{{list: []site.Target{one, two}, open: 2}, {after: time.Minute, lost: true, open: 2}}},
		{"entries come back within two seconds of the store's return", []step{
			{list: []site.Target{one, two}, open: 2}, {after: time.Second, lost: true, open: 2},
			{after: time.Second, list: nil, open: 2}, {after: time.Second, list: []site.Target{one}, open: 2},
		}},
		{"entries that do not come back are gone", []step{
			{list: []site.Target{one, two}, open: 2}, {after: time.Second, lost: true, open: 2},
			{after: time.Second, list: nil, open: 2}, {after: 2100 * time.Millisecond, list: []site.Target{one}, open: 1},
		}},
		{"leaving counts at once after an outage", []step{
			{list: []site.Target{one, two}, open: 2}, {after: time.Second, lost: true, open: 2},
			{after: time.Second, list: []site.Target{one, testTarget("2", 1, true)}, open: 1},
		}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r, now := NewRegistry(), start
			for _, s := range v.steps {
				now = now.Add(s.after)
				if s.lost {
					r.MarkStoreLost()
				} else {
					r.Apply(now, s.list)
				}
				is.Equal(r.Available("holds"), s.open)
			}
		})
	}
}

// TestRebornTarget checks that a target which starts again under its ID counts anew.
func TestRebornTarget(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Apply(start, []site.Target{testTarget("1", 1, false)})
	old := r.Service("holds")[0]
	old.Own = 3
	r.Apply(start, []site.Target{testTarget("1", 2, false)})
	is.Equal(r.Running("holds"), 0)
	is.True(r.Service("holds")[0].Hash != old.Hash)
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name  string
		setup func(near, far, other *Member)
		tried []string
		want  string
	}{
		{"the own data centre among equals", func(_, _, _ *Member) {}, nil, "near"},
		{"less loaded ones elsewhere", func(near, _, other *Member) { near.Own, other.Others = 3, 3 }, nil, "far"},
		{"not one that had the request", func(_, _, _ *Member) {}, []string{"near", "other"}, "far"},
		{"not one that leaves", func(near, _, other *Member) { near.Leaving, other.Leaving = true, true }, nil, "far"},
		{"not one that could not be reached", func(near, _, other *Member) { near.Block(start); other.Block(start) }, nil, "far"},
		{"one that fails only when the others are loaded", func(near, _, _ *Member) {
			for range 20 {
				near.RecordResult(start, true)
			}
		}, []string{"other"}, "far"},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry()
			near, far, other := testTarget("near", 1, false), testTarget("far", 1, false), testTarget("other", 1, false)
			far.Centre, other.Centre = "b", "a"
			r.Apply(start, []site.Target{near, far, other})
			v.setup(r.members["near"], r.members["far"], r.members["other"])
			tried := map[string]bool{}
			for _, id := range v.tried {
				tried[id] = true
			}
			if v.name == "the own data centre among equals" {
				tried["other"] = true
			}
			is.Equal(r.Choose(start, Choice{Service: "holds", Centre: "a", Tried: tried}, 0.5).ID, v.want)
		})
	}
}
