package slot

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// TestStopRefusesQueuedRequestsThatCannotEnd stops a slot whose engine becomes free after the end of the process.
func TestStopRefusesQueuedRequestsThatCannotEnd(t *testing.T) {
	tests := []struct {
		name, key string
		until     time.Duration
		refused   bool
	}{
		{"idempotent", "", time.Second, true},
		{"call with a key", "key", time.Second, true},
		{"an end after the deadline", "", time.Hour, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			c := newServing(1)
			c.Handle(start, arrival("runs", 1, false))
			waits := arrival("waits", 2, false)
			waits.Arrival.Key = v.key
			c.enqueue(start, waits.Arrival)
			c.Handle(start, Event{Stop: &Stop{Until: start.Add(v.until)}})
			now := start.Add(time.Second + time.Millisecond)
			actions := c.Handle(now, Event{Tick: &Tick{}})
			is.Equal(lastChunks(actions)["waits"].Outcome == call.OutcomeNotRun, v.refused)
			later := c.Handle(now, Event{Result: &Result{ID: "runs", Outcome: call.OutcomeComplete}})
			is.Equal(len(startedIDs(later)) == 1, !v.refused)
		})
	}
}
