package membership

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// watchAll is the number of targets up to which every entry watches every target.
	watchAll = 64
	// copies is the number of entries of a data centre that watch each of its targets on larger sites.
	copies = 4
	// wideBeat is the time between heartbeats on larger sites.
	wideBeat = time.Second
)

// Subset is the set of targets whose heartbeats an entry wants first-hand.
type Subset struct {
	// Targets are in the configured order.
	Targets []configuration.Target
	// Beat is the wanted time between heartbeats.
	Beat time.Duration
	// Whole tells that the set holds every target.
	Whole bool
}

// Watched returns the subset of an entry. Small sites are watched whole; else each target is watched by
// the entries of its data centre that rank first for it, those that failed reports true for left out.
func Watched(c *configuration.Configuration, entry, centre string, beat time.Duration, failed func(entry string) bool) Subset {
	if len(c.Targets) <= watchAll {
		return Subset{Targets: c.Targets, Beat: beat, Whole: true}
	}
	var entries []string
	for _, e := range c.Entries {
		if e.Centre == centre && (e.Name == entry || !failed(e.Name)) {
			entries = append(entries, e.Name)
		}
	}
	s := Subset{Beat: max(beat, wideBeat)}
	for _, t := range c.Targets {
		if t.Centre == centre && rendezvous.InTop(t.Name, entry, entries, copies) {
			s.Targets = append(s.Targets, t)
		}
	}
	return s
}
