package slot

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// fakeEvent is an event with the time at which it occurs.
type fakeEvent struct {
	at    time.Time
	event Event
}

type schedule []fakeEvent

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(v any)        { *s = append(*s, v.(fakeEvent)) }
func (s *schedule) Pop() any {
	old := *s
	v := old[len(old)-1]
	*s = old[:len(old)-1]
	return v
}

// outcomes counts the outcomes of one workspace's requests.
type outcomes struct{ sent, complete, late, refused, withoutRetryAfter int }

const (
	overloadWidth    = 8
	overloadDeadline = 400 * time.Millisecond
	overloadService  = 100 * time.Millisecond
	overloadDuration = 20 * time.Second
)

// overload drives a core at a multiple of its capacity, with service times of 0.5 to 1.5 times the mean.
func overload(seed uint64, factor float64) map[string]*outcomes {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newServing(overloadWidth)
	capacity := overloadWidth / overloadService.Seconds()
	rates := map[string]float64{"small": capacity / 10, "urgent": capacity / 10, "large": capacity * (factor - 0.2)}
	events := &schedule{}
	byWorkspace := map[string]*outcomes{}
	deadlines := map[string]time.Time{}
	for _, workspace := range []string{"small", "urgent", "large"} {
		byWorkspace[workspace] = &outcomes{}
		at := start
		for i := 0; at.Before(start.Add(overloadDuration)); i++ {
			at = at.Add(time.Duration(random.ExpFloat64() / rates[workspace] * float64(time.Second)))
			id := fmt.Sprintf("%s/%d", workspace, i)
			deadlines[id] = at.Add(overloadDeadline)
			heap.Push(events, fakeEvent{at, Event{Arrival: &Arrival{Request: call.Request{
				ID: id, Workspace: workspace, Route: "desk", Remaining: overloadDeadline, Fingerprint: random.Uint64(),
			}}}})
		}
	}
	for events.Len() > 0 {
		v := heap.Pop(events).(fakeEvent)
		if v.event.Arrival != nil {
			byWorkspace[v.event.Arrival.Workspace].sent++
		}
		for _, a := range c.Handle(v.at, v.event) {
			switch {
			case a.Run != nil:
				service := time.Duration((0.5 + random.Float64()) * float64(overloadService))
				heap.Push(events, fakeEvent{v.at.Add(service), Event{Result: &Result{ID: a.Run.ID, Outcome: call.OutcomeComplete}}})
			case a.Chunk != nil && a.Chunk.End:
				byWorkspace[c.jobs[a.Chunk.ID].request.Workspace].add(a.Chunk.Chunk, v.at, deadlines[a.Chunk.ID])
			}
		}
	}
	return byWorkspace
}

func (o *outcomes) add(k call.Chunk, at, deadline time.Time) {
	switch {
	case k.Outcome == call.OutcomeComplete && at.After(deadline):
		o.late++
	case k.Outcome == call.OutcomeComplete:
		o.complete++
	default:
		o.refused++
		if k.RetryAfter == 0 {
			o.withoutRetryAfter++
		}
	}
}

func TestOverloadSeeds(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			var goodput []int
			for _, factor := range []float64{1.5, 2, 4, 8} {
				sums := overload(seed, factor)
				complete := 0
				for _, v := range sums {
					complete += v.complete
					is.Equal(v.sent, v.complete+v.late+v.refused)
					is.Equal(v.withoutRetryAfter, 0)
					is.True(v.late*50 <= v.complete)
				}
				for _, workspace := range []string{"small", "urgent"} {
					is.True(sums[workspace].complete*20 >= sums[workspace].sent*19)
				}
				goodput = append(goodput, complete)
			}
			for _, v := range goodput {
				is.True(v*100 >= goodput[0]*97)
			}
		})
	}
}
