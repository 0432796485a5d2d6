package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// newCrashCore returns a core with some serving targets of one idempotent route.
func newCrashCore(now time.Time, targets int) *Core {
	c := New(Options{Name: "entry-1", Centre: "c1", Random: rand.New(rand.NewPCG(1, 1)), HeartbeatInterval: 100 * time.Millisecond})
	config := &configuration.Configuration{
		Revision: 1, Centres: []configuration.Centre{{Name: "c1"}}, Workspaces: []configuration.Workspace{{Name: "school"}},
		Routes: []configuration.Route{{Name: "desk", Prefix: "/v1/desk", Pool: "desk", Stream: true, Timeout: configuration.Duration(time.Minute)}},
	}
	for i := range targets {
		config.Targets = append(config.Targets, configuration.Target{
			Name: fmt.Sprintf("desk-%d", i), Centre: "c1", Pool: "desk", Width: 1, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	c.Handle(now, Event{Configuration: config})
	for i := range targets {
		c.Handle(now, Event{Heartbeat: &membership.Heartbeat{
			Target: fmt.Sprintf("desk-%d", i), Incarnation: 1, Sequence: 1, State: membership.StateServing, Width: 1,
		}})
	}
	return c
}

// TestStartedRequestWithoutTargetFails checks the outcome for a caller of an idempotent route when no target is left:
// "not run" only if none had started the request, else "failed".
func TestStartedRequestWithoutTargetFails(t *testing.T) {
	started := call.Chunk{ID: "1", End: true, Outcome: call.OutcomeFailed, Crashed: true}
	waiting := call.Chunk{ID: "1", End: true, Outcome: call.OutcomeNotRun, Crashed: true}
	tests := []struct {
		name    string
		chunks  []call.Chunk
		status  int
		outcome call.Outcome
	}{
		{"no engine had started it", []call.Chunk{waiting, waiting}, http.StatusServiceUnavailable, call.OutcomeNotRun},
		{"one engine crashed while it ran", []call.Chunk{started, waiting}, http.StatusBadGateway, call.OutcomeFailed},
		{"two engines crashed while it ran", []call.Chunk{started, started}, http.StatusBadGateway, call.OutcomeFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			c := newCrashCore(now, 2)
			c.Handle(now, Event{Arrival: &Arrival{ID: "1", Workspace: "school", Path: "/v1/desk"}})
			var end *Finish
			for i, k := range test.chunks {
				for _, a := range c.Handle(now, Event{Chunk: &Chunk{Chunk: k, Attempt: i + 1}}) {
					if a.Finish != nil {
						end = a.Finish
					}
				}
			}
			for end == nil && now.Before(time.Unix(1_700_000_010, 0)) {
				now = now.Add(20 * time.Millisecond)
				for _, a := range c.Handle(now, Event{Tick: &Tick{}}) {
					if a.Finish != nil {
						end = a.Finish
					}
				}
			}
			is.True(end != nil)
			is.Equal(end.Status, test.status)
			is.Equal(end.Outcome, test.outcome)
		})
	}
}
