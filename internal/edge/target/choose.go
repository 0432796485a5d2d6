package target

import "time"

const (
	// farCost is what a target in another data centre must be less loaded, in requests: bytes between centres have a price.
	farCost = 0.6
	// failureCost is what a target that fails all its requests must be less loaded, in requests.
	failureCost = 12
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.2
	// failureMemory is the time in which an unused target's failures are forgotten by half.
	failureMemory = 3 * time.Second
	// blockTime is how long a target is passed over after it could not be reached, unless there is no other.
	blockTime = 700 * time.Millisecond
)

// Choice describes the target that is looked for.
type Choice struct {
	// Service is the service of the route.
	Service string
	// Centre is the entry's own data centre.
	Centre string
	// Tried holds the IDs of the targets that had the request already.
	Tried map[string]bool
}

// Choose returns the target for a request, or nil when there is none. Equal targets are told apart by chance, a value in [0,1).
func (r *Registry) Choose(now time.Time, c Choice, chance float64) (best *Member) {
	list := r.services[c.Service]
	bestCost := 0.0
	offset := int(chance * float64(len(list)))
	for i := range list {
		m := list[(i+offset)%len(list)]
		if m.Leaving || c.Tried[m.ID] {
			continue
		}
		if cost := m.cost(now, c.Centre); best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// blockCost puts a blocked target behind all others.
const blockCost = 1000

// cost orders targets: the load, relative to a target of the own data centre without failures.
func (m *Member) cost(now time.Time, centre string) float64 {
	cost := float64(m.Running())
	if m.Centre != centre {
		cost += farCost
	}
	cost += failureCost * m.faded(now)
	if now.Before(m.blocked) {
		cost += blockCost
	}
	return cost
}

// faded returns the share of failures, which halves in each failureMemory without a new one.
func (m *Member) faded(now time.Time) float64 {
	return m.failures / (1 + now.Sub(m.failed).Seconds()/failureMemory.Seconds())
}

// RecordResult takes the end of a request at the target.
func (m *Member) RecordResult(now time.Time, failed bool) {
	share := m.faded(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
		m.failed = now
	}
	m.failures = share
	if !failed {
		m.failed = now
	}
}

// Block passes the target over for a while.
func (m *Member) Block(now time.Time) {
	m.blocked = now.Add(blockTime)
}
