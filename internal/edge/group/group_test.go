package group

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func TestSamePace(t *testing.T) {
	tests := []struct {
		name       string
		told, pace float64
		same       bool
	}{
		{"usual", 1, 1.1, true},
		{"below one", 1, 0.1, true},
		{"slow now", 1.1, 1.3, false},
		{"usual again", 12, 1.05, false},
		{"noise of a slow one", 12, 13, true},
		{"slower", 12, 15, false},
		{"faster", 12, 9, false},
		{"very slow now", 2.9, 3.1, false},
		{"not known before", 0, 1, false},
		{"both not known", 0, 0, true},
		{"above the largest", 1000, 100, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(SamePace(v.told, v.pace), v.same)
		})
	}
	is := is.New(t)
	is.Equal(ClampPace(math.NaN()), 0.0)
	is.Equal(ClampPace(math.Inf(1)), 100.0)
	is.Equal(ClampPace(-3), 1.0)
}

// TestSilentSlots checks that the pace of a slot that is frozen or dead counts for three seconds, its group for as long as the
// incarnation of its target is listed, and what other data centres told for as long as they are cut off.
func TestSilentSlots(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Report(start, Member{Target: 1, Group: 7, Pace: 12})
	table.Learn(start, Member{Target: 2, Group: 7, Pace: 12})
	table.Learn(start, Member{Target: 3, Group: 8, Pace: 1})
	table.Report(start, Member{Target: 4})                    // no group
	table.Report(start, Member{Group: 7})                     // no target
	listed := func(target uint32) bool { return target != 3 } // target 3 has ended
	table.Expire(start.Add(3*time.Second), listed)
	is.Equal(table.Lookup(1), Member{Target: 1, Group: 7, Pace: 12})
	table.Expire(start.Add(3100*time.Millisecond), listed)
	is.Equal(table.Lookup(1), Member{Target: 1, Group: 7})
	is.Equal(table.Lookup(2), Member{Target: 2, Group: 7, Pace: 12})
	is.Equal(table.Lookup(3), Member{Target: 3, Group: 8, Pace: 1})
	is.Equal(table.Lookup(4), Member{})
	table.Expire(start.Add(2*time.Minute), listed)
	is.Equal(table.Lookup(1), Member{Target: 1, Group: 7})
	is.Equal(table.Lookup(2), Member{Target: 2, Group: 7, Pace: 12})
	is.Equal(table.Lookup(3), Member{})
	is.Equal(len(table.members), 2)
}

// TestChangesSurviveLosses loses a third of the datagrams between two relays. The other one must know a change within a second,
// and all members after some rounds.
func TestChangesSurviveLosses(t *testing.T) {
	is := is.New(t)
	const members = 700
	random := rand.New(rand.NewPCG(1, 2))
	from, to := NewTable(), NewTable()
	now := start
	play := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(100 * time.Millisecond) {
			list, whole := from.Next(now)
			is.True(len(list) <= maxMembers)
			is.True(!whole)
			if random.IntN(3) == 0 {
				continue
			}
			for _, m := range list {
				to.Learn(now, m)
			}
		}
	}
	for i := range members {
		from.Report(now, Member{Target: uint32(i + 1), Group: 7, Pace: 1})
	}
	play(8 * wholeInterval)
	is.Equal(len(to.members), members)
	from.Report(now, Member{Target: 9, Group: 7, Pace: 12})
	play(time.Second)
	is.Equal(to.Lookup(9).Pace, 12.0)
}

// TestAllMembersAreSentInTurn checks that without any change all members are sent within five seconds, and no more often.
func TestAllMembersAreSentInTurn(t *testing.T) {
	for _, members := range []int{0, 1, 3, 12, 411} {
		is := is.New(t)
		table := NewTable()
		for i := range members {
			table.Report(start.Add(-time.Minute), Member{Target: uint32(i + 1), Group: 7, Pace: 1})
		}
		sent := map[uint32]int{}
		table.Next(start)
		for at := 100 * time.Millisecond; at <= wholeInterval; at += 100 * time.Millisecond {
			list, _ := table.Next(start.Add(at))
			for _, m := range list {
				sent[m.Target]++
			}
		}
		is.Equal(len(sent), members)
		for _, n := range sent {
			is.True(n <= 2)
		}
	}
}

func TestStalls(t *testing.T) {
	const gap, goal = 100 * time.Millisecond, time.Second
	type step struct {
		at time.Duration
		// begin, events and end are numbers of streams; first of the events are first ones, and begun of the ended ones had one.
		begin, first, events, end, begun int
		resume, stalled                  bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"one stream is not enough", []step{{begin: 1, first: 1}, {at: 4 * time.Second}}},
		{"two without events", []step{{begin: 2, first: 2}, {at: 300 * time.Millisecond}, {at: 301 * time.Millisecond, stalled: true}}},
		{"an event of one of them", []step{{begin: 2, first: 2}, {at: 200 * time.Millisecond, events: 1}, {at: 500 * time.Millisecond}, {at: 501 * time.Millisecond, stalled: true}}},
		{"it runs again", []step{{begin: 2, first: 2}, {at: 400 * time.Millisecond, stalled: true}, {at: 500 * time.Millisecond, events: 1}}},
		{"waiting for their first events", []step{{begin: 2}, {at: time.Second}, {at: 1301 * time.Millisecond, stalled: true}, {at: 1400 * time.Millisecond, first: 1}}},
		{"the second has just begun", []step{{begin: 1, first: 1}, {at: time.Second, begin: 1}, {at: 2 * time.Second}, {at: 2301 * time.Millisecond, stalled: true}}},
		{"its streams have ended", []step{
			{begin: 2, first: 2}, {at: 400 * time.Millisecond, stalled: true}, {at: 500 * time.Millisecond, end: 2, begun: 2, stalled: true},
			{at: 4900 * time.Millisecond, stalled: true}, {at: 5 * time.Second}, {at: 6 * time.Second, begin: 1}, {at: 7 * time.Second, begin: 1}, {at: 8 * time.Second},
			{at: 8301 * time.Millisecond, stalled: true},
		}},
		{"this entry was paused", []step{{begin: 3, first: 3}, {at: 4 * time.Second, resume: true}, {at: 4300 * time.Millisecond}, {at: 4301 * time.Millisecond, stalled: true}}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var s Stalls
			stalled := false
			for _, x := range v.steps {
				now := start.Add(x.at)
				for range x.begin {
					s.Begin(now, 7, gap, goal)
					s.Begin(now, 0, gap, goal) // a target without a known group
				}
				for range x.first {
					s.Event(now, 7, true)
				}
				for range x.events {
					s.Event(now, 7, false)
				}
				for i := range x.end {
					s.End(7, i < x.begun)
				}
				if x.resume {
					s.Resume(now)
				}
				changes := s.Update(now)
				is.Equal(len(changes) == 1, x.stalled != stalled)
				stalled = x.stalled
				is.Equal(s.Stalled()[7], stalled)
				is.True(!s.Stalled()[0])
			}
		})
	}
}

// TestStallsForgetGroups checks that a group without streams is not kept.
func TestStallsForgetGroups(t *testing.T) {
	is := is.New(t)
	var s Stalls
	for i := range uint32(1000) {
		s.Begin(start, i+1, time.Second, time.Second)
		s.End(i+1, false)
		s.Update(start)
	}
	is.Equal(len(s.groups), 0)
}

func TestHash(t *testing.T) {
	is := is.New(t)
	var hashes []uint32
	for _, name := range []string{"", "a", "b"} {
		is.True(Hash(name) != 0)
		hashes = append(hashes, Hash(name))
	}
	slices.Sort(hashes)
	is.Equal(len(slices.Compact(hashes)), 3)
}
