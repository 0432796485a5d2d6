package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

func TestRefusedResendIsUnknown(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	own := key.Key{Home: "hold-1", Minted: now, Workspace: key.WorkspaceHash("school")}.String()
	other := key.Key{Home: "hold-1", Minted: now, Workspace: key.WorkspaceHash("council")}.String()
	tests := []struct {
		name, path, key string
		stopping        bool
		want            call.Outcome
	}{
		{"stopping, no key", "/v1/holds", "", true, call.OutcomeNotRun},
		{"stopping, key", "/v1/holds", own, true, call.OutcomeUnknown},
		{"no route, key", "/v2", own, false, call.OutcomeUnknown},
		{"another workspace's key", "/v1/holds", other, false, call.OutcomeUnknown},
		{"no key of this system", "/v1/holds", "x", false, call.OutcomeNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := New(Options{Name: "entry-1", Random: rand.New(rand.NewPCG(1, 1)), HeartbeatInterval: time.Second / 6})
			c.Handle(now, Event{Configuration: &configuration.Configuration{
				Revision:   1,
				Workspaces: []configuration.Workspace{{Name: "school"}},
				Routes:     []configuration.Route{{Name: "hold", Prefix: "/v1/holds", Pool: "hold", Once: true, Timeout: configuration.Duration(time.Second)}},
			}})
			if test.stopping {
				c.Handle(now, Event{Stop: &Stop{}})
			}
			actions := c.Handle(now, Event{Arrival: &Arrival{ID: "1", Workspace: "school", Path: test.path, Key: test.key}})
			is.Equal(len(actions), 1)
			is.Equal(actions[0].Finish.Outcome, test.want)
		})
	}
}
