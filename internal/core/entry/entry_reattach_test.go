package entry

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
)

// A target whose heartbeats are missing is tried over a new connection if no other target can take the request.
func TestLostTargetIsTriedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	c := New(Options{Name: "entry-1", Centre: "c1", Random: rand.New(rand.NewPCG(1, 1)), HeartbeatInterval: 100 * time.Millisecond})
	c.Handle(now, Event{Configuration: &configuration.Configuration{
		Revision: 1, Centres: []configuration.Centre{{Name: "c1"}}, Workspaces: []configuration.Workspace{{Name: "school"}},
		Targets: []configuration.Target{{Name: "desk-1", Centre: "c1", Pool: "desk", Width: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}},
		Routes:  []configuration.Route{{Name: "desk", Prefix: "/v1/desk", Pool: "desk", Timeout: configuration.Duration(time.Minute)}},
	}})
	c.Handle(now, Event{Heartbeat: &membership.Heartbeat{Target: "desk-1", Incarnation: 1, Sequence: 1, State: membership.StateServing, Width: 1}})
	sent := func(actions []Action) int {
		for _, a := range actions {
			if a.Send != nil {
				return a.Send.Request.Attempt
			}
		}
		return 0
	}
	is.Equal(sent(c.Handle(now, Event{Arrival: &Arrival{ID: "1", Workspace: "school", Path: "/v1/desk"}})), 1)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		c.Handle(now, Event{Tick: &Tick{}})
	}
	m, _ := c.view.Member(now, "desk-1")
	is.Equal(m.State, membership.StateLost)
	for attempt := 1; attempt < maxBrokenWhenLost; attempt++ {
		is.Equal(sent(c.Handle(now, Event{ConnectionLost: &ConnectionLost{ID: "1", Attempt: attempt, Sent: true}})), attempt+1)
	}
	is.Equal(sent(c.Handle(now, Event{ConnectionLost: &ConnectionLost{ID: "1", Attempt: maxBrokenWhenLost, Sent: true}})), 0)
	is.Equal(len(c.exchanges), 0)
}
