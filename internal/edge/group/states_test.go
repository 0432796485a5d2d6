package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStates checks that a state that is delayed, from an earlier incarnation or old does not hide a later one.
func TestStates(t *testing.T) {
	const hash = 7
	tests := []struct {
		name   string
		states []State
		down   bool
	}{
		{"nothing known", nil, false},
		{"down", []State{{hash, 3, true, start}}, true},
		{"up in a later incarnation", []State{{hash, 3, true, start}, {hash, 4, false, start.Add(-time.Second)}}, false},
		{"delayed state of an earlier incarnation", []State{{hash, 4, false, start.Add(-time.Second)}, {hash, 3, true, start}}, false},
		{"delayed state of the same incarnation", []State{{hash, 3, true, start}, {hash, 3, false, start.Add(-time.Second)}}, true},
		{"too old", []State{{hash, 3, true, start.Add(-time.Minute)}}, false},
		{"old one of a later incarnation", []State{{hash, 3, true, start}, {hash, 4, false, start.Add(-time.Minute)}}, true},
		{"engines restarted with an earlier incarnation", []State{{hash, 9, false, start.Add(-stateLifetime - time.Millisecond)}, {hash, 1, true, start}}, true},
		{"time in the future", []State{{hash, 3, true, start.Add(time.Hour)}, {hash, 3, false, start.Add(time.Millisecond)}}, true},
		{"no group", []State{{0, 3, true, start}}, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var s States
			for _, state := range v.states {
				s.Learn(start, state)
			}
			_, down := s.Down(start, hash)
			is.Equal(down, v.down)
			_, late := s.Down(start.Add(stateLifetime+time.Millisecond), hash)
			is.True(!late) // without news a state lapses
		})
	}
}

// TestDownSince checks that repeated states of a group that is down do not move its start, and that the next outage has its own.
func TestDownSince(t *testing.T) {
	is := is.New(t)
	var s States
	is.True(s.Learn(start, State{1, 3, true, start}))
	at := start.Add(time.Second)
	is.True(!s.Learn(at, State{1, 3, true, at}))
	since, down := s.Down(at, 1)
	is.True(down)
	is.Equal(since, start)
	is.True(s.Learn(at, State{1, 4, false, at}))
	again := at.Add(time.Second)
	is.True(s.NoteRefusal(again, 1))
	since, down = s.Down(again, 1)
	is.True(down)
	is.Equal(since, again)
}

// TestPlanOutage checks that a caller which does not return again waits for groups that may be up in time, and that all others are told at once,
// so that none waits until its time limit for nothing.
func TestPlanOutage(t *testing.T) {
	const held = 2 * time.Second
	tests := []struct {
		name      string
		age, left time.Duration
		returned  bool
		wait      bool
		retry     time.Duration
	}{
		{"first try, just down", 0, 8 * time.Second, false, false, 8 * time.Second / 3},
		{"first try, down for long", 20 * time.Second, 8 * time.Second, false, false, 8 * time.Second / 3},
		{"last try, just down", 0, 5 * time.Second, true, true, 0},
		{"last try, down for some seconds", 5 * time.Second, 5 * time.Second, true, true, 0},
		{"last try, down for long", 20 * time.Second, 5 * time.Second, true, false, 5 * time.Second / 3},
		{"last try, no time for an answer", time.Second, time.Second, true, false, time.Second / 3},
		{"last try, little time", time.Second, 2200 * time.Millisecond, true, false, 2200 * time.Millisecond / 3},
		{"time is over", time.Second, -time.Second, true, false, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			p := PlanOutage(start, start.Add(-v.age), start.Add(v.left), held, v.returned)
			is.Equal(p.Wait, v.wait)
			is.Equal(p.Return, v.retry)
			is.True(!p.Wait || p.Until.Equal(start.Add(v.left-held)))
		})
	}
}

// TestResumeSpread checks that the requests that have waited for a group do not all go on at once, and that few of them wait no longer.
func TestResumeSpread(t *testing.T) {
	const held = 2 * time.Second
	tests := []struct {
		name    string
		waiting int
		seats   float64
		spread  time.Duration
	}{
		{"none", 0, 24, 0},
		{"few", 3, 24, 125 * time.Millisecond},
		{"as many as seats", 24, 24, time.Second},
		{"many", 1000, 24, maxResumeSpread},
		{"no seats", 5, 0, maxResumeSpread},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ResumeSpread(v.waiting, v.seats, held), v.spread)
		})
	}
}

// TestKept checks that no more requests wait for a group than it can take beside the first tries: those could be on time, and were displaced by
// late ones for seconds after each outage.
func TestKept(t *testing.T) {
	const held = 2 * time.Second
	tests := []struct {
		name        string
		seats, rate float64
		kept        int
	}{
		{"no first tries", 16, 0, 16},
		{"seats to spare", 16, 6, 4},
		{"none to spare", 16, 8, 0},
		{"too few", 16, 30, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Kept(v.seats, v.rate, held), v.kept)
		})
	}
}
