package inventory

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

var start = time.Unix(1_700_000_000, 0)

// catchUp applies pages to a mirror until it has all changes.
func catchUp(f *Feed, m *Mirror) (pages int) {
	for m.Sequence != f.Sequence() {
		m.Apply(f.After(start, m.Sequence))
		pages++
	}
	return pages
}

// TestMirrorsFollowTheFeed changes targets at random; mirrors that fall behind by different numbers of changes must all end with
// the same targets.
func TestMirrorsFollowTheFeed(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	f, targets := NewFeed(), map[string]site.Target{}
	mirrors := make([]Mirror, 5)
	for round := range 2000 {
		id := fmt.Sprintf("i-%d", random.IntN(300))
		switch random.IntN(3) {
		case 0:
			delete(targets, id)
		default:
			targets[id] = site.Target{ID: id, StartUnixMilli: int64(round)}
		}
		f.Update(start, targets)
		for i := range mirrors {
			if random.IntN(1<<(2*i)) == 0 {
				catchUp(f, &mirrors[i])
			}
		}
	}
	for i := range mirrors {
		catchUp(f, &mirrors[i])
		is.True(maps.Equal(mirrors[i].targets, targets))
	}
}

// TestPagesAreBounded passes on more targets than fit into a datagram.
func TestPagesAreBounded(t *testing.T) {
	is := is.New(t)
	f, targets := NewFeed(), map[string]site.Target{}
	for i := range 5*maxPage + 1 {
		id := fmt.Sprint(i)
		targets[id] = site.Target{ID: id}
	}
	is.True(f.Update(start, targets))
	is.True(!f.Update(start, targets))
	var m Mirror
	is.Equal(catchUp(f, &m), 6)
	is.Equal(len(m.Targets()), len(targets))
}

// TestPagesOfLongNamesAreBounded passes on targets with the longest names that records may have. A datagram with too many of them
// is not sent, so that the members would learn of no change any more.
func TestPagesOfLongNamesAreBounded(t *testing.T) {
	is := is.New(t)
	const longest = 256
	f, targets := NewFeed(), map[string]site.Target{}
	name := strings.Repeat("x", longest-4)
	for i := range 2 * maxPage {
		id := fmt.Sprintf("%s%04d", name, i)
		targets[id] = site.Target{ID: id, Service: id, Centre: id}
	}
	f.Update(start, targets)
	is.True(len(f.After(start, 0).Records)*(3*longest+recordBytes) <= maxPageBytes)
	var m Mirror
	catchUp(f, &m)
	is.Equal(len(m.Targets()), len(targets))
}

// TestFeedForgetsRemovedTargets has many targets come and go. A mirror that knew one of them starts anew.
func TestFeedForgetsRemovedTargets(t *testing.T) {
	is := is.New(t)
	f := NewFeed()
	f.Update(start, map[string]site.Target{"first": {ID: "first"}})
	var m Mirror
	catchUp(f, &m)
	for i := range 3 * maxRemoved {
		id := fmt.Sprint(i)
		f.Update(start.Add(time.Duration(i)*100*time.Millisecond), map[string]site.Target{id: {ID: id}})
	}
	is.True(len(f.records) <= maxRemoved+2)
	is.True(f.After(start, m.Sequence).Reset)
	catchUp(f, &m)
	is.Equal(len(m.Targets()), 1)
}

// TestMirrorOfARestartedRelay gives a mirror the feed of a new incarnation, whose numbers start anew.
func TestMirrorOfARestartedRelay(t *testing.T) {
	is := is.New(t)
	f := NewFeed()
	f.Update(start, map[string]site.Target{"a": {ID: "a"}, "b": {ID: "b"}})
	page := f.After(start, 100)
	is.True(page.Reset)
	is.Equal(len(page.Records), 2)
}

// TestWholeListTellsRemovals learns the whole list anew after targets were removed. A member that knew them must see that they were, also
// from a relay that has never listed them.
func TestWholeListTellsRemovals(t *testing.T) {
	for _, v := range []struct {
		name string
		at   time.Duration
		told bool
	}{
		{"at once", 0, true},
		{"soon", 9 * time.Second, true},
		{"late", 10 * time.Second, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFeed()
			f.Update(start, map[string]site.Target{"a": {ID: "a"}, "b": {ID: "b"}})
			f.Update(start, map[string]site.Target{"a": {ID: "a"}})
			f.Withdraw(start, "c")
			page := f.After(start.Add(v.at), 0)
			is.True(page.Reset)
			removed := 0
			for _, r := range page.Records {
				if r.Target == nil {
					removed++
				}
			}
			is.Equal(removed == 2, v.told)
			var m Mirror
			catchUp(f, &m)
			is.Equal(len(m.Targets()), 1)
		})
	}
}
