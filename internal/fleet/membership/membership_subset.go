package membership

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// watchAllTargets is the number of targets up to which every entry watches every target.
	watchAllTargets = 64
	// watchersPerTarget is the number of entries of a data centre that watch each of its targets on larger sites.
	watchersPerTarget = 4
	// largeSiteBeat is the least time between heartbeats on larger sites.
	largeSiteBeat = time.Second
)

// Subset is the set of targets whose heartbeats an entry receives first-hand.
type Subset struct {
	// Targets are in the order of the configuration.
	Targets []configuration.Target
	// Beat is the requested time between heartbeats.
	Beat time.Duration
	// Whole is set if the subset contains all targets.
	Whole bool
}

// Watched returns the subset of an entry. On small sites every entry watches all targets; on others, each target is
// watched by the first entries of its data centre in rendezvous order, ignoring other entries that failed.
func Watched(c *configuration.Configuration, entry, centre string, beat time.Duration, failed func(entry string) bool) Subset {
	if len(c.Targets) <= watchAllTargets {
		return Subset{Targets: c.Targets, Beat: beat, Whole: true}
	}
	var entries []string
	for _, e := range c.Entries {
		if e.Centre == centre && (e.Name == entry || !failed(e.Name)) {
			entries = append(entries, e.Name)
		}
	}
	s := Subset{Beat: max(beat, largeSiteBeat)}
	for _, t := range c.Targets {
		if t.Centre == centre && rendezvous.InTop(t.Name, entry, entries, watchersPerTarget) {
			s.Targets = append(s.Targets, t)
		}
	}
	return s
}
