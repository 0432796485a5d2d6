// Package rendezvous ranks names for a key so that a lost name moves only the keys that it ranked first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a name for a key; equal inputs give equal weights in every process.
func Score(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the names for a key, the heaviest first. It does not change its input.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	weights := make([]scored, len(names))
	for i, name := range names {
		weights[i] = scored{name, Score(key, name)}
	}
	slices.SortFunc(weights, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	ordered := make([]string, len(weights))
	for i, w := range weights {
		ordered[i] = w.name
	}
	return ordered
}

// InTop reports whether a name is among the first of the names for a key.
func InTop(key, name string, names []string, count int) bool {
	own := Score(key, name)
	better := 0
	for _, other := range names {
		score := Score(key, other)
		if score > own || score == own && other < name {
			better++
		}
		if better >= count {
			return false
		}
	}
	return true
}
