package target

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

var start = time.Unix(1_700_000_000, 0)

func testTarget(id string, startUnixMilli int64, leaving bool) site.Target {
	return site.Target{
		ID: id, StartUnixMilli: startUnixMilli, Service: "holds", Address: netip.MustParseAddrPort("10.0.0.1:80"), Centre: "a", Width: 6, Leaving: leaving,
	}
}

// createdTarget is a target whose record was created at a revision; all have the same address.
func createdTarget(id string, revision int64, leaving bool) site.Target {
	t := testTarget(id, 0, leaving)
	t.Created = revision
	return t
}

// TestRegistry checks which targets accept new requests after lists and outages of the store.
func TestRegistry(t *testing.T) {
	type step struct {
		after     time.Duration
		storeLost bool
		list      []site.Target
		available int
	}
	one, two := testTarget("1", 1, false), testTarget("2", 1, false)
	tests := []struct {
		name  string
		steps []step
	}{
		{"a missing target is removed", []step{{list: []site.Target{one, two}, available: 2}, {after: time.Second, list: []site.Target{one}, available: 1}}},
		{"a leaving target accepts no requests", []step{{list: []site.Target{one, two}, available: 2}, {after: time.Second, list: []site.Target{one, testTarget("2", 1, true)}, available: 1}}},
		{"known targets stay during an outage", []step{{list: []site.Target{one, two}, available: 2}, {after: time.Minute, storeLost: true, available: 2}}},
		{"missing targets are kept for two seconds after an outage", []step{
			{list: []site.Target{one, two}, available: 2}, {after: time.Second, storeLost: true, available: 2},
			{after: time.Second, list: nil, available: 2}, {after: time.Second, list: []site.Target{one}, available: 2},
		}},
		{"targets that stay missing are removed", []step{
			{list: []site.Target{one, two}, available: 2}, {after: time.Second, storeLost: true, available: 2},
			{after: time.Second, list: nil, available: 2}, {after: 2100 * time.Millisecond, list: []site.Target{one}, available: 1},
		}},
		{"a later target has taken the address", []step{
			{list: []site.Target{createdTarget("1", 5, false)}, available: 1},
			{after: time.Second, list: []site.Target{createdTarget("1", 5, false), createdTarget("2", 9, true)}, available: 0},
			{after: time.Second, list: []site.Target{createdTarget("3", 12, false), createdTarget("2", 9, true), createdTarget("1", 5, false)}, available: 1},
		}},
		{"a leaving target does not return by an old record", []step{
			{list: []site.Target{one, two}, available: 2}, {after: time.Second, list: []site.Target{one, testTarget("2", 1, true)}, available: 1},
			{after: time.Second, list: []site.Target{one, two}, available: 1}, {after: time.Second, list: []site.Target{one}, available: 1},
			{after: time.Second, list: []site.Target{one, two}, available: 1}, {after: time.Second, list: []site.Target{one, testTarget("2", 2, false)}, available: 2},
		}},
		{"a target that was listed as leaving first does not return either", []step{
			{list: []site.Target{one, testTarget("2", 1, true)}, available: 1}, {after: time.Minute, list: []site.Target{one, two}, available: 1},
		}},
		{"a later target has taken the address during an outage", []step{
			{list: []site.Target{createdTarget("1", 5, false)}, available: 1}, {after: time.Second, storeLost: true, available: 1},
			{after: time.Second, list: []site.Target{createdTarget("2", 9, false)}, available: 1},
		}},
		{"a leaving target is applied at once after an outage", []step{
			{list: []site.Target{one, two}, available: 2}, {after: time.Second, storeLost: true, available: 2},
			{after: time.Second, list: []site.Target{one, testTarget("2", 1, true)}, available: 1},
		}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r, now := NewRegistry(), start
			for _, s := range v.steps {
				now = now.Add(s.after)
				if s.storeLost {
					r.MarkStoreLost(now)
				} else {
					r.Apply(now, s.list)
				}
				is.Equal(r.Available("holds"), s.available)
			}
		})
	}
}

// TestRestartedTarget checks that a target that restarts under the same ID starts with no load.
func TestRestartedTarget(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Apply(start, []site.Target{testTarget("1", 1, false)})
	old := r.Service("holds")[0]
	old.Own = 3
	changes := r.Apply(start, []site.Target{testTarget("1", 2, false)})
	is.Equal(len(changes), 2)
	is.Equal(changes[0].Event, "gone")
	is.Equal(changes[0].Hash, old.Hash)
	is.Equal(changes[1].Event, "joined")
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
		{"a less loaded one elsewhere", func(near, _, other *Member) { near.Own, other.Others = 3, 3 }, nil, "far"},
		{"not one that was tried", func(_, _, _ *Member) {}, []string{"near", "other"}, "far"},
		{"not a leaving one", func(near, _, other *Member) { near.Leaving, other.Leaving = true, true }, nil, "far"},
		{"not an unreachable one", func(near, _, other *Member) { near.Block(start); other.Block(start) }, nil, "far"},
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
