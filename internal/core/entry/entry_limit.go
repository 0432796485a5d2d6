package entry

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
	"github.com/dragonflydeal/dragonflydeal/internal/request/retry"
)

// limits enforce the rates of workspaces.
type limits struct {
	// limiter admits requests at this entry.
	limiter *limit.Limiter
	// allocator divides the rates of the workspaces that this entry owns.
	allocator *limit.Allocator
	// owners caches the owner of each workspace in use; each new revision clears it.
	owners map[string]string
}

func newLimits() limits {
	return limits{limiter: limit.NewLimiter(), allocator: limit.NewAllocator(), owners: map[string]string{}}
}

// RateDemand holds the demands to report to one owner of workspaces.
type RateDemand struct {
	// Owner is another entry.
	Owner configuration.Entry
	// Demands is not empty and sorted by workspace.
	Demands []limit.Share
}

// checkLimit refuses a new request of a workspace that is above its rate. A request that is repeated with a key
// or resumed with an event ID was already counted.
func (c *Core) checkLimit(now time.Time, a *Arrival, w configuration.Workspace) []Action {
	if w.Rate <= 0 || a.Home != "" || key.HasSystemPrefix(a.Key) {
		return nil
	}
	wait, ok := c.limiter.Admit(now, w.Name, limit.Rate{Rate: w.Rate, Burst: w.Burst}, len(c.configuration.Entries))
	if ok {
		return nil
	}
	return refuse(a.ID, http.StatusTooManyRequests, "the workspace is above its rate", retry.After(c.random, wait))
}

// RateDemands returns the demands to report to the owners of the workspaces in use.
// Demands of workspaces that this entry owns itself are granted at once.
func (c *Core) RateDemands(now time.Time) (reports []RateDemand) {
	if c.configuration == nil {
		return nil
	}
	c.allocator.Expire(now)
	byOwner := map[string][]limit.Share{}
	for _, d := range c.limiter.Demands(now) {
		owner := c.ownerOf(d.Workspace)
		byOwner[owner] = append(byOwner[owner], d)
	}
	c.ApplyGrants(now, c.GrantShares(now, c.name, byOwner[c.name]))
	for _, e := range c.configuration.Entries {
		if demands := byOwner[e.Name]; len(demands) > 0 && e.Name != c.name {
			slices.SortFunc(demands, limit.Compare)
			reports = append(reports, RateDemand{Owner: e, Demands: demands})
		}
	}
	return reports
}

// ownerOf returns the entry that divides a workspace's rate.
func (c *Core) ownerOf(workspace string) string {
	owner, ok := c.owners[workspace]
	if ok {
		return owner
	}
	var names []string
	for _, e := range c.configuration.Entries {
		names = append(names, e.Name)
	}
	owner = limit.Owner(workspace, names)
	c.owners[workspace] = owner
	return owner
}

// GrantShares records an entry's demands and returns the shares granted to it.
func (c *Core) GrantShares(now time.Time, entry string, demands []limit.Share) (grants []limit.Share) {
	for _, d := range demands {
		if r, ok := c.rateOf(d.Workspace); ok && c.isConfigured(entry) && d.Rate >= 0 && !math.IsInf(d.Rate, 0) {
			grants = append(grants, c.allocator.Allocate(now, entry, d, r))
		}
	}
	return grants
}

// isConfigured reports whether an entry is configured, so that the number of demands stays bounded.
func (c *Core) isConfigured(entry string) bool {
	return slices.ContainsFunc(c.configuration.Entries, func(e configuration.Entry) bool { return e.Name == entry })
}

// ApplyGrants applies the shares granted to this entry.
func (c *Core) ApplyGrants(now time.Time, grants []limit.Share) {
	for _, s := range grants {
		if r, ok := c.rateOf(s.Workspace); ok {
			c.limiter.Grant(now, s, r, len(c.configuration.Entries))
		}
	}
}

// rateOf returns the configured rate of a workspace, and false if it has none.
func (c *Core) rateOf(workspace string) (r limit.Rate, ok bool) {
	if c.configuration == nil {
		return r, false
	}
	w, ok := c.configuration.Workspace(workspace)
	return limit.Rate{Rate: w.Rate, Burst: w.Burst}, ok && w.Rate > 0
}
