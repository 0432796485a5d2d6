// Package rendezvous implements rendezvous hashing: if a name is removed, only the keys that ranked it first move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a name for a key; it is the same in every process.
func Score(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the names by descending score for a key. It does not modify its input.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	ranked := make([]scored, len(names))
	for i, name := range names {
		ranked[i] = scored{name, Score(key, name)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	ordered := make([]string, len(ranked))
	for i, w := range ranked {
		ordered[i] = w.name
	}
	return ordered
}

// InTop reports whether a name ranks among the first count of the names for a key; names need not contain it.
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
