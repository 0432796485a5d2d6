package membership

import (
	"math/rand/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// crossCentreEntries is the number of entries of a data centre that exchange digests with other data centres.
	crossCentreEntries = 2
	// crossCentreShare is the fraction of such an entry's exchanges that go to other data centres.
	crossCentreShare = 0.5
)

// Partner returns a random entry for the next exchange of digests, or nil if there is no other entry.
func Partner(c *configuration.Configuration, entry, centre string, random *rand.Rand) *configuration.Entry {
	var local, remote []int
	var names []string
	for i, e := range c.Entries {
		switch {
		case e.Centre != centre:
			remote = append(remote, i)
		case e.Name != entry:
			local = append(local, i)
			names = append(names, e.Name)
		}
	}
	crossCentre := rendezvous.InTop(centre, entry, names, crossCentreEntries) && random.Float64() < crossCentreShare
	if crossCentre && len(remote) > 0 || len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return nil
	}
	return &c.Entries[local[random.IntN(len(local))]]
}
