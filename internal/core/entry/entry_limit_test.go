package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

func TestRateIsEnforced(t *testing.T) {
	is := is.New(t)
	f := newFakeSlots(1, 3)
	next := *f.core.configuration
	next.Revision++
	next.Workspaces = []configuration.Workspace{{Name: "school", Rate: 10}}
	f.core.Handle(origin, Event{Configuration: &next})
	f.heartbeat(origin, 1)
	refused := 0
	for i := range 100 {
		now := origin.Add(time.Duration(i) * 10 * time.Millisecond)
		f.heartbeat(now, uint64(i+2))
		for _, a := range f.core.Handle(now, Event{Arrival: &Arrival{ID: fmt.Sprint(i), Workspace: "school", Path: "/x"}}) {
			if a.Finish == nil {
				continue
			}
			is.Equal(a.Finish.Status, http.StatusTooManyRequests)
			is.Equal(a.Finish.Outcome, call.OutcomeNotRun)
			is.True(a.Finish.RetryAfter >= time.Second)
			refused++
		}
	}
	is.True(refused >= 85 && refused <= 90)
}

func TestDemandsOfUnknownEntriesAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFakeSlots(1, 3)
	next := *f.core.configuration
	next.Revision++
	next.Workspaces = []configuration.Workspace{{Name: "school", Rate: 10}}
	f.core.Handle(origin, Event{Configuration: &next})
	demand := []limit.Share{{Workspace: "school", Rate: 5}, {Workspace: "nobody", Rate: 5}}
	is.Equal(len(f.core.GrantShares(origin, "stranger", demand)), 0)
	is.Equal(f.core.GrantShares(origin, "entry", demand), []limit.Share{{Workspace: "school", Rate: 10}})
}
