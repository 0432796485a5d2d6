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

// newServing returns a core whose engine is alive.
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

func arrival(id string, fingerprint uint64, alone bool) Event {
	return Event{Arrival: &Arrival{Request: call.Request{
		ID: id, Workspace: "small", Route: "desk", Remaining: 10 * time.Second, Fingerprint: fingerprint, Isolated: alone,
	}}}
}

// runs returns the IDs of started runs.
func runs(actions []Action) (ids []string) {
	for _, a := range actions {
		if a.Run != nil {
			ids = append(ids, a.Run.ID)
		}
	}
	return ids
}

// ends returns the last chunks by request.
func ends(actions []Action) map[string]call.Chunk {
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

func TestDeathSuspectsWhatRanAndSendsAwayWhatWaits(t *testing.T) {
	is := is.New(t)
	c := newServing(2)
	c.Handle(start, arrival("a", 1, false))
	c.Handle(start, arrival("b", 2, false))
	c.Handle(start, arrival("waits", 3, false))
	actions := c.Handle(start, crashed("a"))
	actions = append(actions, c.Handle(start, crashed("b"))...)
	done := ends(actions)
	is.True(done["a"].Crashed && done["b"].Crashed)
	is.Equal(done["waits"].Outcome, call.OutcomeNotRun)
	h := c.NextHeartbeat(start)
	is.Equal(h.State, membership.StateLost)
	is.Equal(h.Suspects, []uint64{1, 2})
	is.Equal(len(h.Convicted), 0)

	c.Handle(start, Event{Report: &Report{Alive: true}})
	is.True(!c.Ready()) // the report may be older than the death
	c.Handle(start, Event{Report: &Report{Alive: true}})
	is.True(c.Ready())
}

func TestTrialRunsAlone(t *testing.T) {
	is := is.New(t)
	c := newServing(4)
	is.Equal(runs(c.Handle(start, arrival("a", 1, false))), []string{"a"})
	is.Equal(len(runs(c.Handle(start, arrival("trial", 9, true)))), 0)
	is.Equal(len(runs(c.Handle(start, arrival("b", 2, false)))), 0)
	is.Equal(ends(c.Handle(start, arrival("other", 8, true)))["other"].Outcome, call.OutcomeNotRun)
	is.Equal(ends(c.Handle(start, arrival("equal", 9, false)))["equal"].Status, http.StatusServiceUnavailable)
	done := Event{Result: &Result{ID: "a", Outcome: call.OutcomeComplete}}
	is.Equal(runs(c.Handle(start, done)), []string{"trial"})
	done.Result.ID = "trial"
	is.Equal(runs(c.Handle(start, done)), []string{"b"})
	is.Equal(c.NextHeartbeat(start).Cleared, []uint64{9})
}

func TestDeathOfTrialConvicts(t *testing.T) {
	is := is.New(t)
	c := newServing(4)
	c.Handle(start, arrival("trial", 9, true))
	c.Handle(start, crashed("trial"))
	is.Equal(c.NextHeartbeat(start).Convicted, []uint64{9})
	c.Handle(start, Event{Report: &Report{Alive: true}})
	c.Handle(start, Event{Report: &Report{Alive: true}})
	refused := ends(c.Handle(start, arrival("again", 9, false)))["again"]
	is.Equal(refused.Status, http.StatusUnprocessableEntity)
	is.Equal(refused.Outcome, call.OutcomeNotRun)
	later := start.Add(suspect.Term)
	is.Equal(runs(c.Handle(later, arrival("later", 9, false))), []string{"later"})
}

// TestDeathDoesNotUndoAStop lets the engine of a leaving slot die and come back.
func TestDeathDoesNotUndoAStop(t *testing.T) {
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
	for _, a := range c.Handle(start.Add(DefaultLimits.AnnounceTime), Event{Tick: &Tick{}}) {
		exit = exit || a.Exit != nil
	}
	is.True(exit)
}
