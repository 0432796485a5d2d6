package entry

import (
	"net/netip"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
)

const (
	// nearDegree is the number of entries of a target's own data centre that watch it.
	nearDegree = 12
	// nearLeast and farLeast are the fewest targets of a data centre that an entry watches.
	nearLeast, farLeast = 8, 2
	// farDegree is the number of entries of all other data centres that watch a target.
	farDegree = 8
)

// watched returns the targets that this entry hears of and chooses from, by name.
func (c *Core) watched(next *configuration.Configuration) map[string]netip.AddrPort {
	addresses := map[string]netip.AddrPort{}
	targets := map[string][]string{}
	for _, t := range next.Targets {
		addresses[t.Name] = t.Address
		targets[t.Centre] = append(targets[t.Centre], t.Name)
	}
	subset := map[string]netip.AddrPort{}
	for centre, names := range targets {
		entries, degree, least := c.watchers(next, centre)
		for _, name := range route.Subset(c.name, entries, names, degree, least) {
			subset[name] = addresses[name]
		}
	}
	return subset
}

// watchers returns the entries that share the targets of a data centre with this one, and how many watch each
// target and are watched by each at least.
func (c *Core) watchers(next *configuration.Configuration, centre string) (entries []string, degree, least int) {
	near := centre == c.centre
	for _, e := range next.Entries {
		if (e.Centre == centre) == near {
			entries = append(entries, e.Name)
		}
	}
	if near {
		return entries, nearDegree, nearLeast
	}
	return entries, farDegree, farLeast
}
