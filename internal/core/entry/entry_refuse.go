package entry

import (
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// honest turns "not run" into "unknown" in the refusals of a request whose key an earlier copy may have used.
// Only the key's home can tell that the earlier copy did not run.
func honest(a *Arrival, actions []Action) []Action {
	k, err := key.Parse(a.Key)
	if err != nil || k.Workspace != key.WorkspaceHash(a.Workspace) {
		return actions
	}
	for _, action := range actions {
		if action.Finish != nil && action.Finish.Outcome == call.OutcomeNotRun {
			action.Finish.Outcome = call.OutcomeUnknown
		}
	}
	return actions
}
