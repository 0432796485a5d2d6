package route

import (
	"slices"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
)

// Subset returns the targets assigned to an entry by rendezvous hashing. Each target is assigned to the degree entries
// that rank highest for it, so that all targets have about the same number of entries and a change of one entry or
// target changes only its own pairs. An entry with fewer than least targets adds those that rank highest for it.
// The order of targets is kept.
func Subset(entry string, entries, targets []string, degree, least int) []string {
	if degree >= len(entries) {
		return targets
	}
	var subset []string
	for _, t := range targets {
		if rendezvous.InTop(t, entry, entries, degree) {
			subset = append(subset, t)
		}
	}
	if len(subset) >= min(least, len(targets)) {
		return subset
	}
	return fill(entry, targets, subset, least)
}

// fill adds the highest ranking targets until the entry has least of them.
func fill(entry string, targets, subset []string, least int) []string {
	chosen := map[string]bool{}
	for _, t := range subset {
		chosen[t] = true
	}
	for _, t := range rendezvous.Rank(entry, targets) {
		if len(chosen) >= least {
			break
		}
		chosen[t] = true
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t string) bool { return !chosen[t] })
}
