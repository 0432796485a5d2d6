package membership

import (
	"math/rand/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// ambassadors is the number of entries of a data centre that exchange digests with other data centres.
	ambassadors = 2
	// foreignShare is the part of an ambassador's exchanges that goes to other data centres.
	foreignShare = 0.5
)

// Partner returns a random entry for the next exchange of digests, or nil when there is no other one.
func Partner(c *configuration.Configuration, entry, centre string, random *rand.Rand) *configuration.Entry {
	var own, foreign []int
	var names []string
	for i, e := range c.Entries {
		switch {
		case e.Centre != centre:
			foreign = append(foreign, i)
		case e.Name != entry:
			own = append(own, i)
			names = append(names, e.Name)
		}
	}
	abroad := rendezvous.InTop(centre, entry, names, ambassadors) && random.Float64() < foreignShare
	if abroad && len(foreign) > 0 || len(own) == 0 {
		own = foreign
	}
	if len(own) == 0 {
		return nil
	}
	return &c.Entries[own[random.IntN(len(own))]]
}
