package route

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
)

// prefixSize is the length of the prompt prefix: the number of bytes from the start of the body.
const prefixSize = 256

// Prefix returns the digest of a request's prompt prefix. It differs between workspaces and is never zero.
func Prefix(workspace string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body[:min(len(body), prefixSize)])
	return max(d.Sum64(), 1)
}

// assignPrefix sets PrefixCached of one candidate if none has it set, by rendezvous hashing,
// so that entries without shared state agree on the target of a new prefix.
func (p *Picker) assignPrefix(candidates []Candidate, prefix uint64) {
	for i := range candidates {
		if candidates[i].PrefixCached {
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
	candidates[best].PrefixCached = true
}

// cheapestCached returns the cheapest candidate with PrefixCached set, or -1.
func (p *Picker) cheapestCached(candidates []Candidate, v poolMean, prefix uint64) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		if !candidates[i].PrefixCached {
			continue
		}
		if cost := p.cost(&candidates[i], v, prefix); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
