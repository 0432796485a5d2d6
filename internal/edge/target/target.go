// Package target keeps the targets that the platform publishes, and chooses one for a request.
package target

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// returnGrace is the time after an outage of the store in which a missing target may still come back (PROTOCOL: about two seconds).
const returnGrace = 2 * time.Second

// Member is one incarnation of a target.
type Member struct {
	site.Target
	// Hash names the incarnation in datagrams.
	Hash uint32
	// Own is the number of this entry's requests in progress, and Others that of all other entries as last heard.
	Own, Others int
	// failures is the recent share of failed requests, from zero to one.
	failures float64
	// failed is the time of the latest failure.
	failed time.Time
	// blocked is the time until which the target is not chosen while others are there.
	blocked time.Time
}

// Running is the number of requests in progress at the target, as far as it is known.
func (m *Member) Running() int {
	return m.Own + m.Others
}

// Change is a difference that a new list makes.
type Change struct {
	// Event is joined, leaving, gone or kept.
	Event string
	Member
}

// Registry holds the known targets. It is not safe for concurrent use.
type Registry struct {
	// members holds the newest incarnation for each ID.
	members map[string]*Member
	// services holds the members of each service.
	services map[string][]*Member
	// failing tells that the newest read of the store failed.
	failing bool
	// returned is when the store came back from its latest outage.
	returned time.Time
	// others is the load of the other entries by hash.
	others map[uint32]int
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{members: map[string]*Member{}, services: map[string][]*Member{}, others: map[uint32]int{}}
}

// Hash names an incarnation in 32 bits.
func Hash(t *site.Target) uint32 {
	return uint32(xxhash.Sum64String(t.ID + "/" + strconv.FormatInt(t.StartUnixMilli, 10)))
}

// MarkStoreLost notes that the store could not be read; the known targets stay in use.
func (r *Registry) MarkStoreLost() {
	r.failing = true
}

// Apply takes a complete list of the store.
// Targets that are missing are gone, but for a short time after an outage of the store.
func (r *Registry) Apply(now time.Time, list []site.Target) (changes []Change) {
	if r.failing {
		r.failing, r.returned = false, now
	}
	listed := map[string]bool{}
	for _, t := range list {
		listed[t.ID] = true
		changes = append(changes, r.apply(t)...)
	}
	for id, m := range r.members {
		if listed[id] || now.Sub(r.returned) < returnGrace {
			continue
		}
		delete(r.members, id)
		changes = append(changes, Change{Event: "gone", Member: *m})
	}
	if len(changes) > 0 {
		r.group()
	}
	return changes
}

func (r *Registry) apply(t site.Target) []Change {
	m := r.members[t.ID]
	switch {
	case m == nil || m.StartUnixMilli != t.StartUnixMilli || m.Address != t.Address:
		m = &Member{Target: t, Hash: Hash(&t)}
		m.Others = r.others[m.Hash]
		r.members[t.ID] = m
		return []Change{{Event: "joined", Member: *m}}
	case !m.Leaving && t.Leaving:
		m.Leaving = true
		return []Change{{Event: "leaving", Member: *m}}
	case m.Leaving && !t.Leaving:
		m.Leaving = false
		return []Change{{Event: "kept", Member: *m}}
	}
	return nil
}

// group sorts the members by service.
func (r *Registry) group() {
	clear(r.services)
	for _, m := range r.members {
		r.services[m.Service] = append(r.services[m.Service], m)
	}
}

// SetOtherLoads takes the load of the other entries by hash.
func (r *Registry) SetOtherLoads(others map[uint32]int) {
	r.others = others
	for _, m := range r.members {
		m.Others = others[m.Hash]
	}
}

// OwnLoads returns this entry's load by hash.
func (r *Registry) OwnLoads() map[uint32]int {
	own := map[uint32]int{}
	for _, m := range r.members {
		if m.Own > 0 {
			own[m.Hash] = m.Own
		}
	}
	return own
}

// Service returns the members of a service.
func (r *Registry) Service(name string) []*Member {
	return r.services[name]
}

// Running returns the number of requests in progress at a service.
func (r *Registry) Running(service string) (n int) {
	for _, m := range r.services[service] {
		n += m.Running()
	}
	return n
}

// Available returns the number of targets of a service that take new work.
func (r *Registry) Available(service string) (n int) {
	for _, m := range r.services[service] {
		if !m.Leaving {
			n++
		}
	}
	return n
}
