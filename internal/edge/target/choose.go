package target

import (
	"slices"
	"strconv"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
)

const (
	// remoteCost is the cost of a target in another data centre, in requests: traffic between data centres has a price.
	remoteCost = 0.6
	// failureCost is the cost of a target that fails all its requests, in requests.
	failureCost = 12
	// failureWeight is the weight of the latest request in the share of failures.
	failureWeight = 0.2
	// failureHalfLife is the time after which the failures of an unused target count half.
	failureHalfLife = 3 * time.Second
	// unknownSpread multiplies the requests of other entries that are not known yet. The entries choose by chance, so with their
	// number alone some targets would get two or three of them at once.
	unknownSpread = 4
	// blockDuration is how long an unreachable target is avoided while there are others.
	blockDuration = 700 * time.Millisecond
)

// Choice describes the target to choose.
type Choice struct {
	// Service is the service of the route.
	Service string
	// Centre is the entry's own data centre.
	Centre string
	// Tried holds the IDs of the targets that were already tried for the request.
	Tried map[string]bool
	// Priority is that of the request; zero is the most urgent.
	Priority int
	// MayAsk is set if the request may wait for a permit of a target that has a limit.
	MayAsk bool
	// Unknown is the number of requests of the service that the other entries are expected to have sent since the loads that
	// they told.
	Unknown float64
	// Stalled holds the groups that get nothing while others have room; it may be nil.
	Stalled map[uint32]bool
}

// allows reports whether a target may be chosen. One with a limit needs a permit, or must be worth asking for one.
func (c *Choice) allows(now time.Time, m *Member) bool {
	switch {
	case m.Leaving || m.evacuated || c.Tried[m.ID] || now.Before(m.restsUntil):
		return false
	case !m.Limited(now) || m.HasPermit(now):
		return true
	}
	return c.MayAsk && m.DeniedUntil(now, c.Priority).IsZero()
}

// Choose returns a target for a request, or nil if there is none. Of each target it expects that the other entries' Unknown
// requests have raised the least costs to a common level, and chooses it by what it lacks to that level. With none it chooses the
// one with the lowest cost. The random value is in [0,1).
//
// The load that it answers: a hundred entries that learn late of each other's requests would all send them to the same few
// targets.
func (r *Registry) Choose(now time.Time, c Choice, randomValue float64) *Member {
	list := r.services[c.Service]
	r.candidates, r.costs = r.candidates[:0], r.costs[:0]
	offset := int(randomValue * float64(len(list)))
	for i := range list {
		if m := list[(i+offset)%len(list)]; c.allows(now, m) {
			r.candidates, r.costs = append(r.candidates, m), append(r.costs, r.cost(now, m, c.Centre))
		}
	}
	if len(r.candidates) == 0 {
		return nil
	}
	r.avoid(now, &c)
	cheapest := slices.Index(r.costs, slices.Min(r.costs))
	if r.candidates[cheapest].Limited(now) {
		// Its permits are this entry's alone, so the others do not take the same place.
		return r.candidates[cheapest]
	}
	// The position of the random value between two offsets is independent of the offset.
	rest := randomValue*float64(len(list)) - float64(offset)
	unknown := unknownSpread * c.Unknown
	level := r.level(unknown)
	last := cheapest
	for i, cost := range r.costs {
		if cost >= level {
			continue
		}
		last = i
		if rest -= (level - cost) / unknown; rest < 0 {
			break
		}
	}
	return r.candidates[last]
}

// level returns the cost to which a number of requests, added to the candidates with the lowest costs, would raise them.
func (r *Registry) level(added float64) float64 {
	sorted := append(r.sorted[:0], r.costs...)
	slices.Sort(sorted)
	r.sorted = sorted
	sum := 0.0
	for i, cost := range sorted {
		sum += cost
		level := (sum + added) / float64(i+1)
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return 0
}

// ChooseFixed returns the target on which all entries agree for a fingerprint, or nil if there is none. One that avoid
// reports, or that is unreachable, is chosen only if there is no other.
func (r *Registry) ChooseFixed(now time.Time, c Choice, fingerprint uint64, avoid func(hash uint32) bool) (best *Member) {
	key := strconv.FormatUint(fingerprint, 16)
	bestAvoided, bestScore := false, uint64(0)
	for _, m := range r.services[c.Service] {
		if !c.allows(now, m) {
			continue
		}
		avoided, score := avoid(m.Hash) || r.avoided(now, m), rendezvous.Score(key, m.ID)
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && score > bestScore {
			best, bestAvoided, bestScore = m, avoided, score
		}
	}
	return best
}

// blockCost ranks a blocked target after all others.
const blockCost = 1000

// cost returns the cost of a target in requests: its load and penalties for distance, failures and being unreachable.
func (r *Registry) cost(now time.Time, m *Member, centre string) float64 {
	cost := m.effectiveLoad()
	if m.Centre != centre {
		cost += remoteCost
	}
	if m.failureShare > 0 {
		cost += failureCost * m.decayedFailures(now)
	}
	if r.avoided(now, m) {
		cost += blockCost
	}
	return cost
}

// decayedFailures returns the share of failures with the decay since the latest result.
func (m *Member) decayedFailures(now time.Time) float64 {
	return m.failureShare / (1 + now.Sub(m.updatedAt).Seconds()/failureHalfLife.Seconds())
}

// RecordResult records whether a request at the target failed.
func (m *Member) RecordResult(now time.Time, failed bool) {
	share := m.decayedFailures(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
		m.updatedAt = now
	}
	m.failureShare = share
	if !failed {
		m.updatedAt = now
	}
}

// Block makes Choose avoid the target for blockDuration.
func (m *Member) Block(now time.Time) {
	m.blockedUntil = now.Add(blockDuration)
}
