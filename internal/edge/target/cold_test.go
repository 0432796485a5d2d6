package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

const coldTime = 3 * time.Second

var coldServices = map[string]site.Cold{"holds": {Time: coldTime, Rate: 15}}

// coldTarget is a target whose record says that it is cold until a time after start.
func coldTarget(born int64, until time.Duration) site.Target {
	t := testTarget("1", born, false)
	if until > 0 {
		t.ColdUntil = start.Add(until)
	}
	return t
}

// TestCold checks until when a target counts as cold after what an entry sees of it.
func TestCold(t *testing.T) {
	one := testTarget("1", 1, false)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	tests := []struct {
		name string
		see  func(r *Registry, m func() *Member)
		// until is when it is cold no longer; zero if it never is.
		until time.Duration
	}{
		{"listed when the entry started", func(*Registry, func() *Member) {}, 0},
		{"cold by its record when the entry started", func(r *Registry, _ func() *Member) {
			r.Apply(start, []site.Target{coldTarget(1, time.Second)})
		}, time.Second},
		{"new, whatever its record says", func(r *Registry, _ func() *Member) {
			r.Apply(at(time.Second), []site.Target{coldTarget(2, 0)})
			r.Apply(at(2*time.Second), []site.Target{coldTarget(2, 0)})
		}, time.Second + coldTime},
		{"listed again after it was missing", func(r *Registry, _ func() *Member) {
			r.Apply(at(time.Second), nil)
			r.Apply(at(2*time.Second), []site.Target{one})
		}, 0},
		{"longer by a later record", func(r *Registry, _ func() *Member) {
			r.Apply(start, []site.Target{coldTarget(1, time.Second)})
			r.Apply(at(time.Second), []site.Target{coldTarget(1, 5*time.Second)})
		}, 5 * time.Second},
		{"warm by a later record", func(r *Registry, _ func() *Member) {
			r.Apply(start, []site.Target{coldTarget(1, 5*time.Second)})
			r.Apply(at(time.Second), []site.Target{one})
		}, 0},
		{"lost a run, with the same record read again", func(r *Registry, m func() *Member) {
			r.NoteFailure(at(time.Second), m(), true)
			r.Apply(at(2*time.Second), []site.Target{one})
		}, time.Second + coldTime},
		{"a peer has lost a run", func(r *Registry, m func() *Member) { r.LearnFailure(at(time.Second), m(), at(500*time.Millisecond)) }, 500*time.Millisecond + coldTime},
		{"a peer has lost a run long ago", func(r *Registry, m func() *Member) { r.LearnFailure(at(time.Minute), m(), start) }, 0},
		{"the entry was paused", func(r *Registry, _ func() *Member) { r.MarkUnknown(at(time.Second)) }, time.Second + coldTime},
		{"the entry was paused and has read the store since", func(r *Registry, _ func() *Member) {
			r.MarkUnknown(at(time.Second))
			r.NoteRead(at(2*time.Second), at(1100*time.Millisecond))
		}, 0},
		{"the entry was paused and has what it read before", func(r *Registry, _ func() *Member) {
			r.MarkUnknown(at(time.Second))
			r.NoteRead(at(2*time.Second), at(900*time.Millisecond))
		}, time.Second + coldTime},
		{"its data centre returned", func(r *Registry, _ func() *Member) { r.MarkCold(at(time.Second), "a") }, time.Second + coldTime},
		{"another data centre returned", func(r *Registry, _ func() *Member) { r.MarkCold(at(time.Second), "b") }, 0},
		{"its service is cold no longer", func(r *Registry, m func() *Member) {
			r.NoteFailure(start, m(), true)
			r.SetCold(start, nil)
		}, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry()
			r.SetCold(start, coldServices)
			r.Apply(start, []site.Target{one})
			v.see(r, func() *Member { return r.members["1"] })
			m := r.members["1"]
			is.True(!m.IsCold(at(v.until)))
			is.Equal(m.IsCold(at(v.until-time.Millisecond)), v.until > 0)
		})
	}
}

// TestColdTargetsNeedPermits checks that a choice of a cold target needs a permit, also if the target had permits before, and that the
// lower of its own limit and of what it sustains applies.
func TestColdTargetsNeedPermits(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.SetCold(start, coldServices)
	r.Apply(start, []site.Target{testTarget("1", 1, false)})
	m := r.Service("holds")[0]
	m.SetLimit(limitOf(1000, 0))
	m.ApplyPermits(start, limit.Permits{Count: 30}, 0)
	r.NoteFailure(start, m, true)
	c := Choice{Service: "holds", Centre: "a"}
	is.True(r.Choose(start, c, 0.5) == nil)
	c.MayAsk = true
	is.Equal(r.Choose(start, c, 0.5), m)
	for i, v := range []struct{ limit, rate float64 }{{1000, 15}, {2, 2}} {
		m.SetLimit(limitOf(v.limit, time.Duration(i+1)*time.Millisecond))
		rate, cold := m.Rate(start)
		is.True(cold)
		is.Equal(rate, v.rate)
	}
	m.SetLimit(noLimit(time.Second))
	_, rate := r.NextPermit(start, c)
	is.Equal(rate, 15.0)
	is.True(!m.Limited(start.Add(coldTime)))
}

// TestFailuresAreToldOnce checks that entries which tell each other of a failure come to an end, though what they tell seems later by
// the time that it took.
func TestFailuresAreToldOnce(t *testing.T) {
	is := is.New(t)
	registries := []*Registry{NewRegistry(), NewRegistry()}
	for _, r := range registries {
		r.SetCold(start, coldServices)
		r.Apply(start, []site.Target{testTarget("1", 1, false)})
	}
	m := func(i int) *Member { return registries[i].members["1"] }
	is.True(registries[0].NoteFailure(start, m(0), true))
	is.True(!registries[0].NoteFailure(start, m(0), true))
	is.Equal(len(registries[0].Limits(start)), 1)
	told := 0
	for i := range 100 {
		at, ok := m(i % 2).FailedAt(start)
		if ok && registries[(i+1)%2].LearnFailure(start, m((i+1)%2), at.Add(20*time.Millisecond)) {
			told++
		}
	}
	is.Equal(told, 1)
	is.Equal(len(registries[1].Limits(start.Add(coldTime+time.Second))), 0)
	is.True(!registries[0].NoteFailure(start.Add(time.Minute), m(0), false))
	is.True(m(0).IsCold(start.Add(time.Minute)))
}

// TestColdChanges checks that each change is reported once, and that nothing is kept of targets that are gone.
func TestColdChanges(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.SetCold(start, coldServices)
	r.Apply(start, nil)
	is.Equal(len(r.ColdChanges(start)), 0)
	r.Apply(start, []site.Target{testTarget("1", 1, false)})
	changes := r.ColdChanges(start)
	is.Equal(len(changes), 1)
	is.True(changes[0].Cold)
	is.Equal(changes[0].Reason, coldAsNew)
	is.Equal(changes[0].Left, coldTime)
	is.Equal(len(r.ColdChanges(start.Add(time.Second))), 0)
	changes = r.ColdChanges(start.Add(coldTime))
	is.Equal(len(changes), 1)
	is.True(!changes[0].Cold)
	is.Equal(len(r.ColdChanges(start.Add(coldTime))), 0)
	for i := range int64(3 * maxWishes) {
		r.Apply(start.Add(time.Duration(i)*coldTime), []site.Target{testTarget("1", i, false)})
	}
	is.True(len(r.colds) <= maxWishes+1)
}

// TestColdSeats checks that a cold rank counts with what it takes, and that nothing changes without cold ranks.
func TestColdSeats(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	is.Equal(r.LimitSeats(start, "holds", 60, 2), 60)
	r.SetCold(start, coldServices)
	r.Apply(start, []site.Target{testTarget("1", 1, false), testTarget("2", 1, false)})
	is.Equal(r.LimitSeats(start, "holds", 60, 2), 60)
	m := r.members["1"]
	r.NoteFailure(start, m, true)
	is.Equal(r.LimitSeats(start, "holds", 60, 2), 45)
	m.Own, m.Others = 3, 7
	is.Equal(r.LimitSeats(start, "holds", 60, 2), 55)
	is.Equal(r.LimitSeats(start, "holds", 10, 2), 10)
}
