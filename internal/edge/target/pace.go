package target

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

// SetRank records the group of a target and how slow it is. What is known stays if the group is zero.
func (r *Registry) SetRank(m *Member, group uint32, pace float64) {
	if group == 0 {
		return
	}
	changed := m.Group != group || (m.Pace >= hold.VerySlowPace) != (pace >= hold.VerySlowPace)
	m.Group, m.Pace = group, pace
	if changed {
		r.findSlowGroups()
	}
	if slow := pace >= hold.SlowPace; slow != m.slow {
		m.slow = slow
		r.paceChanges = append(r.paceChanges, *m)
	}
}

// findSlowGroups finds the groups with a very slow target.
func (r *Registry) findSlowGroups() {
	clear(r.slowGroups)
	for _, m := range r.members {
		if m.Group != 0 && m.Pace >= hold.VerySlowPace {
			r.slowGroups[m.Group] = true
		}
	}
}

// Slow reports whether the target is slow.
func (m *Member) Slow() bool {
	return m.slow
}

// TakePaceChanges returns the members that have become slow or of usual pace since the last call, and clears them.
func (r *Registry) TakePaceChanges() []Member {
	changes := r.paceChanges
	r.paceChanges = nil
	return changes
}

// All returns the members by ID. The map must not be changed.
func (r *Registry) All() map[string]*Member {
	return r.members
}

// effectiveLoad returns the load of a target in requests of a target of usual pace. For a slow one it contains the request to
// be placed, so that a slow target without load is no better than one of usual pace with some.
func (m *Member) effectiveLoad() float64 {
	load := float64(m.Running())
	if m.Pace < hold.SlowPace {
		return load
	}
	return (load+1)*m.Pace - 1
}

// avoid leaves out the candidates of groups that are stalled or have a very slow target, if another candidate has room, or else
// at least those that are stalled or very slow themselves.
func (r *Registry) avoid(now time.Time, c *Choice) {
	if len(r.slowGroups) == 0 || !r.leaveOut(now, func(m *Member) bool { return r.delayed(m, c.Stalled) }) {
		r.leaveOut(now, func(m *Member) bool { return m.Pace >= hold.VerySlowPace || c.Stalled[m.Group] })
	}
}

// leaveOut leaves out the candidates that avoided reports and those without room, if one remains, and reports whether it did.
func (r *Registry) leaveOut(now time.Time, avoided func(m *Member) bool) bool {
	found, room := false, false
	for _, m := range r.candidates {
		a := avoided(m)
		found = found || a
		room = room || !a && m.hasRoom(now)
	}
	if !found || !room {
		return false
	}
	n := 0
	for i, m := range r.candidates {
		if !avoided(m) && m.hasRoom(now) {
			r.candidates[n], r.costs[n] = m, r.costs[i]
			n++
		}
	}
	r.candidates, r.costs = r.candidates[:n], r.costs[:n]
	return true
}

// delayed reports whether the group of a target is stalled, or waits in each step for a very slow target.
func (r *Registry) delayed(m *Member, stalled map[uint32]bool) bool {
	return stalled[m.Group] || r.slowGroups[m.Group]
}

// hasRoom reports whether the target can run one more request at once.
func (m *Member) hasRoom(now time.Time) bool {
	return m.Running() < m.Width && !now.Before(m.blockedUntil)
}

// Occupancy is what runs at some targets of a service.
type Occupancy struct {
	seat.Occupancy
	// Width is the number of requests that the targets which accept new ones run at once.
	Width int
}

// Occupancy returns what runs at the targets of a service, without the evacuated ones. Groups that are stalled or very slow are left
// out if there are other targets: their requests hold no seat of those.
func (r *Registry) Occupancy(service string, stalled map[uint32]bool) (o Occupancy) {
	if len(stalled) > 0 || len(r.slowGroups) > 0 {
		o = r.occupancy(service, func(m *Member) bool { return !r.delayed(m, stalled) })
	}
	if o.Ranks == 0 && len(stalled) > 0 {
		o = r.occupancy(service, func(m *Member) bool { return !stalled[m.Group] })
	}
	if o.Ranks == 0 {
		o = r.occupancy(service, func(*Member) bool { return true })
	}
	return o
}

// GroupOccupancy returns the requests in progress at a group of a service and the number of its ranks that accept new ones, or those
// of the whole service if the group is zero: the ranks of a group wait for each other, not for those of other groups. Own are this
// entry's requests at all groups, of which one estimator observes the passes.
func (r *Registry) GroupOccupancy(service string, group uint32) seat.Occupancy {
	o := r.occupancy(service, func(m *Member) bool { return group == 0 || m.Group == group }).Occupancy
	o.Own = r.Own(service)
	return o
}

// occupancy returns what runs at the targets that counts reports, without the evacuated ones.
func (r *Registry) occupancy(service string, counts func(m *Member) bool) (o Occupancy) {
	for _, m := range r.services[service] {
		if m.evacuated || !counts(m) {
			continue
		}
		o.Own += m.Own
		o.Running += m.Running()
		if !m.Leaving {
			o.Ranks++
			o.Width += m.Width
		}
	}
	return o
}
