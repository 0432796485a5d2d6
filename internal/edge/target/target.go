// Package target keeps the targets that the platform publishes and chooses one for a request.
package target

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

// Member is one incarnation of a target.
type Member struct {
	site.Target
	// Hash identifies the incarnation in datagrams.
	Hash uint32
	// Own is the number of this entry's requests in progress, and Others that of all other entries as last reported.
	Own, Others int
	// failureShare is the recent share of failed requests, from zero to one.
	failureShare float64
	// updatedAt is the time of the latest result.
	updatedAt time.Time
	// slow is set if the target was slow when its pace was last set.
	slow bool
	// blockedUntil is the time until which the target is chosen only if there is no other.
	blockedUntil time.Time
	wish
	// evacuated is set while the data centre is evacuated.
	evacuated bool
	// limit is the latest known limit. While the target has one, each request needs one of the permits.
	limit Limit
	limit.Holder
	// cold is nil if the service's targets are never cold.
	cold *coldness
}

// Running returns the known number of requests in progress at the target.
func (m *Member) Running() int {
	return m.Own + m.Others
}

// Change is a change of a target in a new list.
type Change struct {
	// Event is joined, leaving, gone, or moved if its record names another data centre or service. A target that restarts under the same ID
	// is gone and joins.
	Event string
	Member
}

// Registry holds the known targets. It is not safe for concurrent use.
type Registry struct {
	// members holds the latest incarnation of each ID.
	members map[string]*Member
	// services holds the members of each service, and hashes all members by Hash.
	services map[string][]*Member
	hashes   map[uint32]*Member
	// wishes holds what targets have said about the requests that they want, by Hash.
	wishes map[uint32]wish
	// reach holds the data centres to which a connection failed and none was made since.
	reach map[string]*centreReach
	// evacuated holds the evacuated data centres by name, which need not have targets.
	evacuated map[string]bool
	outage
	// otherLoads holds the loads of the other entries by hash.
	otherLoads map[uint32]int
	// slowGroups holds the groups with a very slow target.
	slowGroups map[uint32]bool
	// paceChanges holds the members that have become slow or of usual pace since the last call of TakePaceChanges.
	paceChanges []Member
	// coldServices holds what cold targets sustain by service, and colds what is known of their incarnations by Hash. listed is set
	// once the targets were listed.
	coldServices map[string]site.Cold
	colds        map[uint32]*coldness
	listed       bool
	// coldCount is at least the number of colds whose cold is set.
	coldCount int
	// candidates, costs and sorted are reused by each choice.
	candidates    []*Member
	costs, sorted []float64
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{members: map[string]*Member{}, services: map[string][]*Member{}, hashes: map[uint32]*Member{}, wishes: map[uint32]wish{}, reach: map[string]*centreReach{}, slowGroups: map[uint32]bool{}, colds: map[uint32]*coldness{}, otherLoads: map[uint32]int{}, outage: newOutage()}
}

// Hash returns a 32-bit identifier of an incarnation.
func Hash(t *site.Target) uint32 {
	return uint32(xxhash.Sum64String(t.ID + "/" + strconv.FormatInt(t.StartUnixMilli, 10)))
}

// Apply replaces the targets by a complete list from the store and returns the changes.
// Missing targets are removed, except within outageGrace after an outage of the store, where only withdrawn ones are.
func (r *Registry) Apply(now time.Time, list []site.Target) (changes []Change) {
	r.noteRead(now)
	listed := map[string]bool{}
	latest := latestByAddress(list)
	for _, t := range list {
		if latest[t.Address] > t.Created {
			continue
		}
		listed[t.ID] = true
		changes = append(changes, r.applyTarget(now, t)...)
		r.SetRank(r.members[t.ID], t.Group, t.Pace)
		r.learnCold(now, &t, r.listed)
	}
	r.listed = true
	r.noteMissing(r.members, listed)
	for id, m := range r.members {
		replaced := latest[m.Address] > m.Created
		if listed[id] || !replaced && r.keeps(now, id) {
			continue
		}
		delete(r.members, id)
		delete(r.withdrawn, id)
		delete(r.missing, id)
		changes = append(changes, Change{Event: "gone", Member: *m})
	}
	if len(changes) > 0 {
		r.index()
	}
	r.forgetColds(now)
	return changes
}

// latestByAddress returns the latest revision at which a target was created at each address. A target of an earlier one has ended,
// though its record may stay for seconds.
func latestByAddress(list []site.Target) map[netip.AddrPort]int64 {
	latest := make(map[netip.AddrPort]int64, len(list))
	for _, t := range list {
		latest[t.Address] = max(latest[t.Address], t.Created)
	}
	return latest
}

func (r *Registry) applyTarget(now time.Time, t site.Target) []Change {
	m := r.members[t.ID]
	switch {
	case m == nil || m.StartUnixMilli != t.StartUnixMilli || m.Address != t.Address:
		var changes []Change
		if m != nil {
			changes = append(changes, Change{Event: "gone", Member: *m})
		}
		m = &Member{Target: t, Hash: Hash(&t)}
		m.Others, m.wish = r.otherLoads[m.Hash], r.wishes[m.Hash]
		m.Leaving = m.Leaving || m.saidLeaving || m.listedLeaving
		if t.Leaving {
			r.noteListedLeaving(now, m)
		}
		m.evacuated = r.evacuated[m.Centre]
		r.members[t.ID] = m
		return append(changes, Change{Event: "joined", Member: *m})
	case m.Centre != t.Centre || m.Service != t.Service:
		r.relocate(m, t)
		return []Change{{Event: "moved", Member: *m}}
	case t.Leaving && !m.listedLeaving:
		said := m.Leaving
		r.noteListedLeaving(now, m)
		if !said {
			return []Change{{Event: "leaving", Member: *m}}
		}
	}
	return nil
}

// index rebuilds the indexes of members.
func (r *Registry) index() {
	clear(r.services)
	clear(r.hashes)
	r.findSlowGroups()
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[id]
		r.services[m.Service] = append(r.services[m.Service], m)
		r.hashes[m.Hash] = m
	}
}

// SetOtherLoads sets the loads of the other entries by hash.
func (r *Registry) SetOtherLoads(others map[uint32]int) {
	r.otherLoads = others
	for _, m := range r.members {
		m.Others = others[m.Hash]
	}
}

// OwnLoads returns this entry's loads by hash.
func (r *Registry) OwnLoads() map[uint32]int {
	own := map[uint32]int{}
	for _, m := range r.members {
		if m.Own > 0 {
			own[m.Hash] = m.Own
		}
	}
	return own
}

// Lists reports whether an incarnation is listed.
func (r *Registry) Lists(hash uint32) bool {
	return r.hashes[hash] != nil
}

// ByHash returns the member with a hash, or nil.
func (r *Registry) ByHash(hash uint32) *Member {
	return r.hashes[hash]
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

// Own returns the number of this entry's requests in progress at a service.
func (r *Registry) Own(service string) (n int) {
	for _, m := range r.services[service] {
		n += m.Own
	}
	return n
}

// Width returns the number of requests that the targets of a service run at once, without those that accept no new ones.
func (r *Registry) Width(service string) (n int) {
	for _, m := range r.services[service] {
		if !m.Leaving && !m.evacuated {
			n += m.Width
		}
	}
	return n
}

// Available returns the number of targets of a service that accept new requests.
func (r *Registry) Available(service string) (n int) {
	for _, m := range r.services[service] {
		if !m.Leaving && !m.evacuated {
			n++
		}
	}
	return n
}
