package entry

import (
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

const (
	// nearDegree is the number of entries of a target's own data centre that send to it.
	nearDegree = 12
	// farDegree is the number of entries of all other data centres that send to a target.
	farDegree = 8
	// nearMin and farMin are the fewest targets of a data centre that an entry sends to.
	nearMin, farMin = 8, 2
)

// subsets returns the targets that this entry sends requests to, by pool and in the configured order.
// At a small site these are all targets.
func (c *Core) subsets(next *configuration.Configuration) map[string][]configuration.Target {
	names := map[string][]string{}
	for _, t := range next.Targets {
		names[t.Centre] = append(names[t.Centre], t.Name)
	}
	chosen := map[string]bool{}
	for centre, list := range names {
		entries, degree, least := c.sharingEntries(next, centre)
		for _, name := range route.Subset(c.name, entries, list, degree, least) {
			chosen[name] = true
		}
	}
	pools := map[string][]configuration.Target{}
	for _, t := range next.Targets {
		if chosen[t.Name] {
			pools[t.Pool] = append(pools[t.Pool], t)
		}
	}
	return pools
}

// sharingEntries returns the entries that share the targets of a data centre with this one, how many of them
// send to each target, and the fewest targets of each entry.
func (c *Core) sharingEntries(next *configuration.Configuration, centre string) (entries []string, degree, least int) {
	near := centre == c.centre
	for _, e := range next.Entries {
		if (e.Centre == centre) == near {
			entries = append(entries, e.Name)
		}
	}
	if near {
		return entries, nearDegree, nearMin
	}
	return entries, farDegree, farMin
}
