package slot

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

var start = time.Unix(1_000_000, 0)

// newServing returns a serving core of the given width.
func newServing(width int) *Core {
	c := New(Options{Name: "desk", Random: rand.New(rand.NewPCG(1, 2)), Limits: DefaultLimits})
	c.Handle(start, Event{Configuration: &configuration.Configuration{
		Revision: 1,
		Targets:  []configuration.Target{{Name: "desk", Width: width}},
		Workspaces: []configuration.Workspace{
			{Name: "small"}, {Name: "large"}, {Name: "urgent", Priority: 1},
		},
	}})
	c.Handle(start, Event{Report: &Report{Alive: true}})
	return c
}

func arrival(id string, fingerprint uint64, isolated bool) Event {
	return Event{Arrival: &Arrival{Request: call.Request{
		ID: id, Workspace: "small", Route: "desk", Remaining: 10 * time.Second, Fingerprint: fingerprint, Isolated: isolated,
	}}}
}

// startedIDs returns the IDs of the started runs.
func startedIDs(actions []Action) (ids []string) {
	for _, a := range actions {
		if a.Run != nil {
			ids = append(ids, a.Run.ID)
		}
	}
	return ids
}

// lastChunks returns the final chunks by request ID.
func lastChunks(actions []Action) map[string]call.Chunk {
	m := map[string]call.Chunk{}
	for _, a := range actions {
		if a.Chunk != nil && a.Chunk.End {
			m[a.Chunk.ID] = a.Chunk.Chunk
		}
	}
	return m
}

func crashed(id string) Event {
	return Event{Result: &Result{ID: id, Outcome: call.OutcomeFailed, Crashed: true}}
}

func TestCrashSuspectsRunningAndRefusesQueued(t *testing.T) {
	is := is.New(t)
	c := newServing(2)
	c.Handle(start, arrival("a", 1, false))
	c.Handle(start, arrival("b", 2, false))
	c.Handle(start, arrival("waits", 3, false))
	actions := c.Handle(start, crashed("a"))
	actions = append(actions, c.Handle(start, crashed("b"))...)
	done := lastChunks(actions)
	is.True(done["a"].Crashed && done["b"].Crashed)
	is.Equal(done["waits"].Outcome, call.OutcomeNotRun)
	h := c.NextHeartbeat(start)
	is.Equal(h.State, membership.StateLost)
	is.Equal(h.Suspects, []uint64{1, 2})
	is.Equal(len(h.Convicted), 0)

	c.Handle(start, Event{Report: &Report{Alive: true}})
	is.True(!c.Ready()) // the report may have been sent before the crash
	c.Handle(start, Event{Report: &Report{Alive: true}})
	is.True(c.Ready())
}

func TestIsolatedRun(t *testing.T) {
	is := is.New(t)
	c := newServing(4)
	is.Equal(startedIDs(c.Handle(start, arrival("a", 1, false))), []string{"a"})
	is.Equal(len(startedIDs(c.Handle(start, arrival("isolated", 9, true)))), 0)
	is.Equal(len(startedIDs(c.Handle(start, arrival("b", 2, false)))), 0)
	is.Equal(lastChunks(c.Handle(start, arrival("other", 8, true)))["other"].Outcome, call.OutcomeNotRun)
	is.Equal(lastChunks(c.Handle(start, arrival("equal", 9, false)))["equal"].Status, http.StatusServiceUnavailable)
	done := Event{Result: &Result{ID: "a", Outcome: call.OutcomeComplete}}
	is.Equal(startedIDs(c.Handle(start, done)), []string{"isolated"})
	done.Result.ID = "isolated"
	is.Equal(startedIDs(c.Handle(start, done)), []string{"b"})
	is.Equal(c.NextHeartbeat(start).Cleared, []uint64{9})
}

func TestCrashOfIsolatedRunConvicts(t *testing.T) {
	is := is.New(t)
	c := newServing(4)
	c.Handle(start, arrival("isolated", 9, true))
	c.Handle(start, crashed("isolated"))
	is.Equal(c.NextHeartbeat(start).Convicted, []uint64{9})
	c.Handle(start, Event{Report: &Report{Alive: true}})
	c.Handle(start, Event{Report: &Report{Alive: true}})
	refused := lastChunks(c.Handle(start, arrival("again", 9, false)))["again"]
	is.Equal(refused.Status, http.StatusUnprocessableEntity)
	is.Equal(refused.Outcome, call.OutcomeNotRun)
	later := start.Add(suspect.VerdictLifetime)
	is.Equal(startedIDs(c.Handle(later, arrival("later", 9, false))), []string{"later"})
}

// TestCrashDoesNotUndoStop checks that a leaving slot stays leaving when its engine crashes and recovers.
func TestCrashDoesNotUndoStop(t *testing.T) {
	is := is.New(t)
	c := newServing(4)
	c.Handle(start, arrival("1", 1, false))
	c.Handle(start, Event{Stop: &Stop{}})
	actions := c.Handle(start, crashed("1"))
	for _, a := range actions {
		if a.Chunk != nil {
			c.Handle(start, Event{Detach: &Detach{ID: "1", Stream: a.Chunk.Stream}})
		}
	}
	for range revivalReports + 1 {
		c.Handle(start, Event{Report: &Report{Alive: true}})
	}
	is.Equal(c.Status(start).State, membership.StateLeaving)
	is.True(!c.Ready())
	exit := false
	for _, a := range c.Handle(start.Add(DefaultLimits.MinAnnounceTime), Event{Tick: &Tick{}}) {
		exit = exit || a.Exit != nil
	}
	is.True(exit)
}
