package route

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
)

// prefixSize is the number of bytes at the start of a body that make up its prefix.
const prefixSize = 256

// Prefix returns the digest of a request's prompt prefix. Workspaces share no prefixes; it is never zero.
func Prefix(workspace string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body[:min(len(body), prefixSize)])
	return max(d.Sum64(), 1)
}

// appoint makes one candidate count as warm when none is known to be:
// entries that share no state then agree on where a new prefix goes.
func (p *Picker) appoint(candidates []Candidate, prefix uint64) {
	for i := range candidates {
		if candidates[i].Warm {
			return
		}
	}
	best, bestScore := -1, uint64(0)
	key := strconv.FormatUint(prefix, 16)
	for _, i := range p.near {
		if score := rendezvous.Score(key, candidates[i].Name); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	candidates[best].Warm = true
}

// holder returns the cheapest candidate that has the prefix or is to get it.
func (p *Picker) holder(candidates []Candidate, v pool, prefix uint64) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		if !candidates[i].Warm {
			continue
		}
		if cost := p.cost(&candidates[i], v, prefix); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
