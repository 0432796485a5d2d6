package group

import "time"

const (
	// stateLifetime is the time for which the state of a group counts after a slot has read it. Slots report it each second.
	stateLifetime = 2500 * time.Millisecond
	// maxStates bounds the groups whose state is known.
	maxStates = 4096
)

// State is what a slot has read of the group of its engine.
type State struct {
	// Group is a hash of the group's name, and Epoch its incarnation.
	Group uint32
	Epoch uint64
	// Down is set if the group runs no requests, as after the loss of a rank.
	Down bool
	// ReadAt is when the slot has read it.
	ReadAt time.Time
}

// States holds the latest state of each group. The zero value is empty. It is not safe for concurrent use.
//
// The load that it answers: all requests of a service while its groups have lost a rank or form anew. Each would reach an engine
// only to be refused there.
type States struct {
	groups map[uint32]*groupState
}

type groupState struct {
	State
	// downSince is when the group was first known to be down, or zero.
	downSince time.Time
}

// Learn records a state and reports whether it changes whether the group is down. Of two states that of the later incarnation holds,
// and of the same one that which was read later: all ranks of a group are in the same state.
func (s *States) Learn(now time.Time, v State) (changed bool) {
	if v.ReadAt.After(now) {
		v.ReadAt = now
	}
	if v.Group == 0 || now.Sub(v.ReadAt) > stateLifetime {
		return false
	}
	g := s.groups[v.Group]
	if g == nil {
		if s.groups == nil {
			s.groups = map[uint32]*groupState{}
		}
		if len(s.groups) >= maxStates {
			return false
		}
		g = &groupState{}
		s.groups[v.Group] = g
	}
	current := now.Sub(g.ReadAt) <= stateLifetime
	if current && (v.Epoch < g.Epoch || v.Epoch == g.Epoch && !v.ReadAt.After(g.ReadAt)) {
		return false
	}
	before := current && g.Down
	g.State = v
	switch {
	case !v.Down:
		g.downSince = time.Time{}
	case g.downSince.IsZero():
		g.downSince = v.ReadAt
	}
	return before != v.Down
}

// Down reports whether a group is known to be down, and since when.
func (s *States) Down(now time.Time, group uint32) (since time.Time, down bool) {
	g := s.groups[group]
	if g == nil || !g.Down || now.Sub(g.ReadAt) > stateLifetime {
		return time.Time{}, false
	}
	return g.downSince, true
}

// AddDown adds the groups that are down to a set and reports whether there are any.
func (s *States) AddDown(now time.Time, set map[uint32]bool) (found bool) {
	for hash := range s.groups {
		if _, down := s.Down(now, hash); down {
			set[hash], found = true, true
		}
	}
	return found
}

// NoteRefusal records that an engine of a group has refused a request for the group, so that it is down until a slot has read otherwise.
func (s *States) NoteRefusal(now time.Time, group uint32) (changed bool) {
	v := State{Group: group, Down: true, ReadAt: now}
	if g := s.groups[group]; g != nil {
		v.Epoch = g.Epoch
	}
	return s.Learn(now, v)
}

// List returns the states that still count, and drops the others.
func (s *States) List(now time.Time) (list []State) {
	for hash, g := range s.groups {
		if now.Sub(g.ReadAt) > stateLifetime {
			delete(s.groups, hash)
			continue
		}
		list = append(list, g.State)
	}
	return list
}
