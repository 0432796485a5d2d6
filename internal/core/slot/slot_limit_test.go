package slot

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// TestEngineGetsNoMoreThanItsLimit offers far more requests than the limit in the engine's load report.
func TestEngineGetsNoMoreThanItsLimit(t *testing.T) {
	const (
		duration, window   = 20 * time.Second, 4 * time.Second
		arrivalInterval    = 20 * time.Millisecond
		service, remaining = 50 * time.Millisecond, 400 * time.Millisecond
	)
	for _, limit := range []float64{0, 1, 2.5, 20} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			is := is.New(t)
			c, events := newServing(8), &schedule{}
			c.Handle(start, Event{Report: &Report{Alive: true, Limit: limit, Limited: true}})
			for at := start; at.Before(start.Add(duration)); at = at.Add(arrivalInterval) {
				heap.Push(events, fakeEvent{at, Event{Arrival: &Arrival{Request: call.Request{
					ID: fmt.Sprint(at.Sub(start)), Workspace: "small", Route: "desk", Remaining: remaining, Fingerprint: uint64(at.UnixNano()),
				}}}})
				heap.Push(events, fakeEvent{at, Event{Tick: &Tick{}}})
			}
			var runs []time.Time
			refused, withoutRetryAfter := 0, 0
			for events.Len() > 0 {
				v := heap.Pop(events).(fakeEvent)
				for _, a := range c.Handle(v.at, v.event) {
					switch {
					case a.Run != nil:
						runs = append(runs, v.at)
						heap.Push(events, fakeEvent{v.at.Add(service), Event{Result: &Result{ID: a.Run.ID, Outcome: call.OutcomeComplete}}})
					case a.Chunk != nil && a.Chunk.End && a.Chunk.Outcome != call.OutcomeComplete:
						refused++
						if a.Chunk.RetryAfter == 0 {
							withoutRetryAfter++
						}
					}
				}
			}
			for i, from := range runs {
				n := 0
				for _, at := range runs[i:] {
					if at.Sub(from) < window {
						n++
					}
				}
				is.True(float64(n) <= 1.5*limit*window.Seconds()+5)
			}
			t.Logf("%d runs, %d refused", len(runs), refused)
			is.True(float64(len(runs)) >= 0.9*limit*duration.Seconds())
			is.Equal(withoutRetryAfter, 0)
			end, started := start.Add(duration+remaining), 0
			c.Handle(end, Event{Tick: &Tick{}})
			c.Handle(end, Event{Report: &Report{Alive: true}})
			for i := range 8 {
				started += len(startedIDs(c.Handle(end, arrival(fmt.Sprint("free", i), uint64(i+1), false))))
			}
			is.Equal(started, 8)
		})
	}
}
