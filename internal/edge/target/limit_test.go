package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

func limitOf(rate float64, after time.Duration) Limit {
	return Limit{Rate: rate, Limited: true, At: start.Add(after)}
}

func noLimit(after time.Duration) Limit { return Limit{At: start.Add(after)} }

func TestSetLimit(t *testing.T) {
	tests := []struct {
		name    string
		said    []Limit
		changed []bool
		want    Limit
	}{
		{"named", []Limit{limitOf(2, 0)}, []bool{true}, limitOf(2, 0)},
		{"repeated", []Limit{limitOf(2, 0), limitOf(2, time.Second)}, []bool{true, false}, limitOf(2, time.Second)},
		{"changed", []Limit{limitOf(2, 0), limitOf(0, time.Second)}, []bool{true, true}, limitOf(0, time.Second)},
		{"taken back", []Limit{limitOf(2, 0), noLimit(time.Second)}, []bool{true, true}, noLimit(time.Second)},
		{"an older statement that arrives late", []Limit{limitOf(2, time.Second), noLimit(0)}, []bool{true, false}, limitOf(2, time.Second)},
		{"an old limit of a peer", []Limit{limitOf(2, 0), noLimit(2 * time.Second), limitOf(2, time.Second)}, []bool{true, true, false}, noLimit(2 * time.Second)},
		{"none at all", []Limit{noLimit(time.Second)}, []bool{false}, Limit{}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			m := &Member{}
			for i, l := range v.said {
				is.Equal(m.SetLimit(l), v.changed[i])
			}
			is.Equal(m.Limit(), v.want)
		})
	}
}

// TestChoicesKeepLimits checks that no choice of a target goes round its limit.
func TestChoicesKeepLimits(t *testing.T) {
	tests := []struct {
		name   string
		mayAsk bool
		setup  func(limited *Member)
		// chosen is whether the limited target is chosen, which is the only one of its service.
		chosen bool
	}{
		{"may ask for a permit", true, func(*Member) {}, true},
		{"may not ask", false, func(*Member) {}, false},
		{"has a permit", false, func(m *Member) { m.ApplyPermits(start, limit.Permits{Count: 1}, 0) }, true},
		{"was denied one", true, func(m *Member) { m.ApplyPermits(start, limit.Permits{Wait: time.Second}, 0) }, false},
		{"was denied one at a lower priority", true, func(m *Member) { m.ApplyPermits(start, limit.Permits{Wait: time.Second}, 5) }, true},
		{"the limit was taken back", false, func(m *Member) {
			m.ApplyPermits(start, limit.Permits{Wait: time.Second}, 0)
			m.SetLimit(noLimit(time.Second))
		}, true},
		{"the limit has changed", true, func(m *Member) {
			m.ApplyPermits(start, limit.Permits{Wait: time.Second}, 0)
			m.SetLimit(limitOf(3, time.Second))
		}, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry()
			r.Apply(start, []site.Target{testTarget("1", 1, false)})
			m := r.Service("holds")[0]
			m.SetLimit(limitOf(1, 0))
			v.setup(m)
			c := Choice{Service: "holds", Centre: "a", MayAsk: v.mayAsk, Priority: 2}
			is.Equal(r.Choose(start, c, 0.5) != nil, v.chosen)
			is.Equal(r.ChooseFixed(start, c, 7, func(uint32) bool { return false }) != nil, v.chosen)
		})
	}
}

// TestRestartedTargetHasNoLimit checks that a limit ends with the incarnation that named it.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Apply(start, []site.Target{testTarget("1", 1, false)})
	r.Service("holds")[0].SetLimit(limitOf(1, 0))
	r.Apply(start, []site.Target{testTarget("1", 2, false)})
	is.True(!r.Service("holds")[0].Limit().Limited)
	is.Equal(len(r.Limits(start)), 0)
}

// TestLimitsAreBounded checks which limits are sent to the other entries.
func TestLimitsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	var list []site.Target
	for i := range 2 * maxLimits {
		list = append(list, testTarget(fmt.Sprint(i), 1, false))
	}
	r.Apply(start, list)
	is.Equal(len(r.Limits(start)), 0)
	for i, m := range r.Service("holds") {
		m.SetLimit(limitOf(1, time.Duration(i)*time.Second))
	}
	limits := r.Limits(start)
	is.Equal(len(limits), maxLimits)
	is.Equal(limits[0].Limit().At, start.Add((2*maxLimits-1)*time.Second))
	for _, m := range r.Service("holds") {
		m.SetLimit(noLimit(time.Hour))
	}
	is.Equal(len(r.Limits(start.Add(time.Hour))), maxLimits)
	is.Equal(len(r.Limits(start.Add(time.Hour+liftedNewsTime))), 0)
}

func TestNextPermit(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Apply(start, []site.Target{testTarget("1", 1, false), testTarget("2", 1, false), testTarget("3", 1, true)})
	c := Choice{Service: "holds"}
	at, _ := r.NextPermit(start, c)
	is.True(at.IsZero())
	for i, id := range []string{"1", "2", "3"} {
		r.members[id].SetLimit(limitOf(2, 0))
		r.members[id].ApplyPermits(start, limit.Permits{Wait: time.Duration(3-i) * time.Second}, 0)
	}
	at, rate := r.NextPermit(start, c)
	is.Equal(at, start.Add(2*time.Second))
	is.Equal(rate, 4.0)
}
