package slot

import (
	"maps"
	"slices"
)

// OpenRequest is a request in progress.
type OpenRequest struct {
	// ID is the request's identity.
	ID string
	// Workspace is the workspace of the request.
	Workspace string
	// State is the state of the request's job.
	State string
}

// OpenRequests returns the requests in progress in the order of their IDs.
func (c *Core) OpenRequests() (open []OpenRequest) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.ended.IsZero() || len(j.viewers) > 0 {
			open = append(open, OpenRequest{ID: id, Workspace: j.request.Workspace, State: string(j.state)})
		}
	}
	return open
}
