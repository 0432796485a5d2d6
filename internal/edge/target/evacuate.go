package target

import (
	"slices"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// CentreChange is a data centre that was evacuated, or whose evacuation has ended.
type CentreChange struct {
	Centre string
	// Ended is set if its targets get requests again.
	Ended bool
	// Targets is the number of known targets of the data centre; a data centre without any may be misspelt.
	Targets int
}

// SetEvacuated replaces the evacuated data centres, whose targets are not chosen, and returns the changes by name.
//
// The load that it answers: all entries send a data centre nothing more from one moment on, though requests for it wait for seats and
// permits, are retried and are resumed.
func (r *Registry) SetEvacuated(centres []string) (changes []CentreChange) {
	after := make(map[string]bool, len(centres))
	for _, name := range centres {
		after[name] = true
		if !r.evacuated[name] {
			changes = append(changes, CentreChange{Centre: name})
		}
	}
	for name := range r.evacuated {
		if !after[name] {
			changes = append(changes, CentreChange{Centre: name, Ended: true})
		}
	}
	if len(changes) == 0 {
		return nil
	}
	r.evacuated = after
	targets := map[string]int{}
	for _, m := range r.members {
		m.evacuated = after[m.Centre]
		targets[m.Centre]++
	}
	for i := range changes {
		changes[i].Targets = targets[changes[i].Centre]
	}
	slices.SortFunc(changes, func(a, b CentreChange) int { return strings.Compare(a.Centre, b.Centre) })
	return slices.Compact(changes)
}

// AllEvacuated returns the data centres with targets of a service if all of them are evacuated, and otherwise nothing. Targets that
// accept no new requests in any case are left out.
func (r *Registry) AllEvacuated(service string) (centres []string) {
	for _, m := range r.services[service] {
		switch {
		case m.Leaving:
		case !m.evacuated:
			return nil
		case !slices.Contains(centres, m.Centre):
			centres = append(centres, m.Centre)
		}
	}
	slices.Sort(centres)
	return centres
}

// relocate applies a record of the same incarnation that names another data centre or service.
func (r *Registry) relocate(m *Member, t site.Target) {
	m.Centre, m.Service, m.evacuated = t.Centre, t.Service, r.evacuated[t.Centre]
}
