package target

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

// SetRank records the group of a target and how slow it is. What is known stays if the group is zero.
func (r *Registry) SetRank(m *Member, group uint32, pace float64) {
	if group == 0 {
		return
	}
	m.Group, m.Pace = group, pace
	if slow := pace >= hold.SlowPace; slow != m.slow {
		m.slow = slow
		r.paceChanges = append(r.paceChanges, *m)
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

// avoid leaves out the candidates that are very slow or whose group is stalled, if another candidate has room.
func (r *Registry) avoid(now time.Time, c *Choice) {
	avoided, room := false, false
	for _, m := range r.candidates {
		a := m.avoided(c.Stalled)
		avoided = avoided || a
		room = room || !a && m.hasRoom(now)
	}
	if !avoided || !room {
		return
	}
	n := 0
	for i, m := range r.candidates {
		if !m.avoided(c.Stalled) {
			r.candidates[n], r.costs[n] = m, r.costs[i]
			n++
		}
	}
	r.candidates, r.costs = r.candidates[:n], r.costs[:n]
}

func (m *Member) avoided(stalled map[uint32]bool) bool {
	return m.Pace >= hold.VerySlowPace || stalled[m.Group]
}

// hasRoom reports whether the target can run one more request at once.
func (m *Member) hasRoom(now time.Time) bool {
	return m.Running() < m.Width && !now.Before(m.blockedUntil)
}

// Occupancy returns the number of requests in progress at a service, and the number of its targets that accept new ones and how
// many requests these run at once. Stalled groups are left out if there are other targets: their requests hold no seat
// of those.
func (r *Registry) Occupancy(service string, stalled map[uint32]bool) (running, available, width int) {
	if len(stalled) > 0 {
		for _, m := range r.services[service] {
			if stalled[m.Group] {
				continue
			}
			running += m.Running()
			if !m.Leaving {
				available++
				width += m.Width
			}
		}
		if available > 0 {
			return running, available, width
		}
	}
	return r.Running(service), r.Available(service), r.Width(service)
}
