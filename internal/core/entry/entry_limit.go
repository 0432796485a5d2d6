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

// limits keep workspaces to their rates.
type limits struct {
	// meter admits at this entry.
	meter *limit.Limiter
	// shares divides the rates of the workspaces that this entry owns.
	shares *limit.Allocator
	// owners holds the owner of each workspace in use; it is emptied by each revision.
	owners map[string]string
}

func newLimits() limits {
	return limits{meter: limit.NewLimiter(), shares: limit.NewAllocator(), owners: map[string]string{}}
}

// RateDemand is what one owner of workspaces is told.
type RateDemand struct {
	// Owner is another entry.
	Owner configuration.Entry
	// Demands are not empty and in the order of their workspaces.
	Demands []limit.Share
}

// checkLimit refuses a new request of a workspace that is above its rate. What a caller asks for again
// by key or event ID was counted before.
func (c *Core) checkLimit(now time.Time, a *Arrival, w configuration.Workspace) []Action {
	if w.Rate <= 0 || a.Home != "" || key.HasSystemPrefix(a.Key) {
		return nil
	}
	wait, ok := c.meter.Admit(now, w.Name, limit.Rate{Rate: w.Rate, Burst: w.Burst}, len(c.configuration.Entries))
	if ok {
		return nil
	}
	return refuse(a.ID, http.StatusTooManyRequests, "the workspace is above its rate", retry.Advice(c.random, wait))
}

// RateDemands returns what the owners of the workspaces in use are to be told now. Those that this entry owns are settled here.
func (c *Core) RateDemands(now time.Time) (claims []RateDemand) {
	if c.configuration == nil {
		return nil
	}
	c.shares.Expire(now)
	byOwner := map[string][]limit.Share{}
	for _, d := range c.meter.Demands(now) {
		owner := c.ownerOf(d.Workspace)
		byOwner[owner] = append(byOwner[owner], d)
	}
	c.ApplyGrants(now, c.GrantShares(now, c.name, byOwner[c.name]))
	for _, e := range c.configuration.Entries {
		if demands := byOwner[e.Name]; len(demands) > 0 && e.Name != c.name {
			slices.SortFunc(demands, limit.Compare)
			claims = append(claims, RateDemand{Owner: e, Demands: demands})
		}
	}
	return claims
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

// GrantShares takes in another entry's demands and returns its shares.
func (c *Core) GrantShares(now time.Time, entry string, demands []limit.Share) (grants []limit.Share) {
	for _, d := range demands {
		if r, ok := c.rateOf(d.Workspace); ok && c.known(entry) && d.Rate >= 0 && !math.IsInf(d.Rate, 0) {
			grants = append(grants, c.shares.Allocate(now, entry, d, r))
		}
	}
	return grants
}

// known reports whether an entry is configured, so that claims stay bounded.
func (c *Core) known(entry string) bool {
	return slices.ContainsFunc(c.configuration.Entries, func(e configuration.Entry) bool { return e.Name == entry })
}

// ApplyGrants puts shares in force.
func (c *Core) ApplyGrants(now time.Time, grants []limit.Share) {
	for _, s := range grants {
		if r, ok := c.rateOf(s.Workspace); ok {
			c.meter.Grant(now, s, r, len(c.configuration.Entries))
		}
	}
}

// rateOf returns a configured rate.
func (c *Core) rateOf(workspace string) (r limit.Rate, ok bool) {
	if c.configuration == nil {
		return r, false
	}
	w, ok := c.configuration.Workspace(workspace)
	return limit.Rate{Rate: w.Rate, Burst: w.Burst}, ok && w.Rate > 0
}
