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

// fakeEvent is an event at a time.
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

// outcomes sums up what one workspace's requests got.
type outcomes struct{ sent, whole, late, refused, unadvised int }

const (
	overloadWidth    = 8
	overloadDeadline = 400 * time.Millisecond
	overloadService  = 100 * time.Millisecond
	overloadSpan     = 20 * time.Second
)

// overload drives a core at a multiple of its capacity; services take between half and one and a half of the mean.
func overload(seed uint64, factor float64) map[string]*outcomes {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newServing(overloadWidth)
	capacity := overloadWidth / overloadService.Seconds()
	rates := map[string]float64{"small": capacity / 10, "urgent": capacity / 10, "large": capacity * (factor - 0.2)}
	events := &schedule{}
	sums := map[string]*outcomes{}
	due := map[string]time.Time{}
	for _, workspace := range []string{"small", "urgent", "large"} {
		sums[workspace] = &outcomes{}
		at := start
		for i := 0; at.Before(start.Add(overloadSpan)); i++ {
			at = at.Add(time.Duration(random.ExpFloat64() / rates[workspace] * float64(time.Second)))
			id := fmt.Sprintf("%s/%d", workspace, i)
			due[id] = at.Add(overloadDeadline)
			heap.Push(events, fakeEvent{at, Event{Arrival: &Arrival{Request: call.Request{
				ID: id, Workspace: workspace, Route: "desk", Remaining: overloadDeadline, Fingerprint: random.Uint64(),
			}}}})
		}
	}
	for events.Len() > 0 {
		v := heap.Pop(events).(fakeEvent)
		if v.event.Arrival != nil {
			sums[v.event.Arrival.Workspace].sent++
		}
		for _, a := range c.Handle(v.at, v.event) {
			switch {
			case a.Run != nil:
				service := time.Duration((0.5 + random.Float64()) * float64(overloadService))
				heap.Push(events, fakeEvent{v.at.Add(service), Event{Result: &Result{ID: a.Run.ID, Outcome: call.OutcomeComplete}}})
			case a.Chunk != nil && a.Chunk.End:
				sums[c.jobs[a.Chunk.ID].request.Workspace].add(a.Chunk.Chunk, v.at, due[a.Chunk.ID])
			}
		}
	}
	return sums
}

func (o *outcomes) add(k call.Chunk, at, due time.Time) {
	switch {
	case k.Outcome == call.OutcomeComplete && at.After(due):
		o.late++
	case k.Outcome == call.OutcomeComplete:
		o.whole++
	default:
		o.refused++
		if k.RetryAfter == 0 {
			o.unadvised++
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
				whole := 0
				for _, v := range sums {
					whole += v.whole
					is.Equal(v.sent, v.whole+v.late+v.refused)
					is.Equal(v.unadvised, 0)
					is.True(v.late*50 <= v.whole)
				}
				for _, workspace := range []string{"small", "urgent"} {
					is.True(sums[workspace].whole*20 >= sums[workspace].sent*19)
				}
				goodput = append(goodput, whole)
			}
			for _, v := range goodput {
				is.True(v*100 >= goodput[0]*97)
			}
		})
	}
}
