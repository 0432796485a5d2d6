package group

import "time"

const (
	// minStreams is the number of streams without an event from which a group may count as stalled: a single stream may be slow
	// for itself.
	minStreams = 2
	// stallGaps is the time without an event after which a group counts as stalled, as a multiple of the longest gap between two
	// events that is on time.
	stallGaps = 3
	// maxStall is the time since the last event after which a stalled group is tried again: with no stream left there, no event
	// could show that it runs.
	maxStall = 5 * time.Second
)

// Stalls finds the groups whose streams at this entry have no events. The zero value is ready to use. It is not safe for
// concurrent use.
type Stalls struct {
	groups map[uint32]*streams
	// stalled holds the stalled groups. It is replaced if it changes, never changed.
	stalled map[uint32]bool
}

// streams are the streams of this entry at a group.
type streams struct {
	// running counts them, and begun those that have had an event.
	running, begun int
	// quietSince is the time of the latest event or, if that is later, from which there are minStreams.
	quietSince time.Time
	// gap is the longest gap that is on time, and goal the time in which a first event is, each of the most patient stream.
	gap, goal time.Duration
	stalled   bool
}

// Begin records the start of a stream at a group, with the longest gap and the time to the first event that are on time.
func (s *Stalls) Begin(now time.Time, group uint32, gap, goal time.Duration) {
	if group == 0 || gap <= 0 {
		return
	}
	g := s.groups[group]
	if g == nil {
		if s.groups == nil {
			s.groups = map[uint32]*streams{}
		}
		g = &streams{}
		s.groups[group] = g
	}
	g.running++
	if g.running == minStreams && !g.stalled {
		g.quietSince = now
	}
	g.gap, g.goal = max(g.gap, gap), max(g.goal, goal)
}

// Event records an event of a stream at a group; first is set if it is the first of the stream.
func (s *Stalls) Event(now time.Time, group uint32, first bool) {
	g := s.groups[group]
	if g == nil {
		return
	}
	if first {
		g.begun++
	}
	g.quietSince = now
}

// End records the end of a stream at a group; begun is set if it has had an event.
func (s *Stalls) End(group uint32, begun bool) {
	g := s.groups[group]
	if g == nil {
		return
	}
	g.running--
	if begun {
		g.begun--
	}
}

// Resume records that this process was paused, so that no group had events.
func (s *Stalls) Resume(now time.Time) {
	for _, g := range s.groups {
		g.quietSince = now
	}
}

// Change is a group that has stalled, or has not any more.
type Change struct {
	Group   uint32
	Stalled bool
	// Quiet is the time since the group's latest event, and Running the number of this entry's streams there.
	Quiet   time.Duration
	Running int
}

// Update decides which groups are stalled and returns the changes.
func (s *Stalls) Update(now time.Time) (changes []Change) {
	for group, g := range s.groups {
		quiet := now.Sub(g.quietSince)
		stalled := g.isStalled(quiet)
		if stalled != g.stalled {
			g.stalled = stalled
			changes = append(changes, Change{Group: group, Stalled: stalled, Quiet: quiet, Running: g.running})
		}
		if g.running == 0 && !stalled {
			delete(s.groups, group)
		}
	}
	if len(changes) > 0 {
		s.stalled = map[uint32]bool{}
		for group, g := range s.groups {
			if g.stalled {
				s.stalled[group] = true
			}
		}
	}
	return changes
}

// isStalled reports whether the group is stalled after a time without an event. Streams that wait for their first event, which
// may take as long as their goal, count only with that time. A stalled group whose streams have ended stays stalled for a time.
func (g *streams) isStalled(quiet time.Duration) bool {
	limit := stallGaps * g.gap
	switch {
	case g.begun >= minStreams:
		return quiet > limit
	case g.running >= minStreams:
		return quiet > limit+g.goal || g.stalled && quiet > limit
	}
	return g.stalled && quiet > limit && quiet < maxStall
}

// Stalled returns the groups that were stalled at the latest Update. The map must not be changed.
func (s *Stalls) Stalled() map[uint32]bool {
	return s.stalled
}
