package gateway

import (
	"maps"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// membersInterval is the time between two searches for members whose slots are silent.
	membersInterval = 500 * time.Millisecond
	// defaultFirstEvent is the time to the first event that is on time if the route has no goal.
	defaultFirstEvent = 5 * time.Second
)

// groups is the part of a Process that knows which targets form groups, how slow they are and which groups have stalled,
// guarded by its mu.
type groups struct {
	stalls group.Stalls
	// states holds which groups are down, and statesChanged is closed and replaced when one of them changes.
	states        group.States
	statesChanged chan struct{}
	// refusals holds when a target whose group was not known last refused a request for its group, by service.
	refusals map[string]time.Time
	// outages holds by service what the latest check of its groups has found.
	outages map[string]knownOutage
	// awaiting is the number of requests that wait for the groups of a service.
	awaiting map[string]int
	// unusable holds the groups that are stalled or down, or is nil if none is down.
	unusable map[uint32]bool
	// table is what this entry knows as a relay; it is empty if the entry is none.
	table *group.Table
	// appliedVersion is the version of the table that the registry and the feed have.
	appliedVersion uint64
	expiredAt      time.Time
	// readTargets holds the targets that this entry last read from the store; nil if it has not.
	readTargets map[string]site.Target
}

func newGroups() groups {
	return groups{table: group.NewTable(), statesChanged: make(chan struct{}), refusals: map[string]time.Time{}, awaiting: map[string]int{}, outages: map[string]knownOutage{}}
}

// learnMember records what a slot of this data centre reports of its target; mu is held.
func (p *Process) learnMember(now time.Time, n *message.News) {
	if m := n.Report.Member; m != nil && p.mesh.IsRelay() && n.Centre == p.settings.Load().Centre {
		p.table.Report(now, m.Decode())
	}
}

// learnMembers records what a relay of another data centre tells of the targets there; mu is held.
func (p *Process) learnMembers(now time.Time, list []*message.GroupMember) {
	if !p.mesh.IsRelay() {
		return
	}
	for _, m := range list {
		p.table.Learn(now, m.Decode())
	}
}

// nextMembers returns what to tell the relays of the other data centres; mu is held.
func (p *Process) nextMembers(now time.Time) (list []*message.GroupMember, whole bool) {
	members, whole := p.table.Next(now)
	for _, m := range members {
		list = append(list, message.EncodeMember(m))
	}
	return list, whole
}

// followGroups applies what has changed in the table; mu is held.
func (p *Process) followGroups(now time.Time) {
	if !p.mesh.IsRelay() {
		if p.table.Version() != 0 {
			// As a relay again, it would not know what it has missed.
			p.table, p.appliedVersion, p.readTargets = group.NewTable(), 0, nil
		}
		return
	}
	if now.Sub(p.expiredAt) >= membersInterval {
		p.expiredAt = now
		p.table.Expire(now, p.registry.Lists)
	}
	if p.table.Version() == p.appliedVersion {
		return
	}
	p.appliedVersion = p.table.Version()
	p.applyGroups()
	if p.readTargets != nil {
		p.feedTargets(now, p.readTargets)
	}
}

// applyGroups tells the registry what the table has, and logs the targets that have become slow or of usual pace; mu is held.
func (p *Process) applyGroups() {
	if p.table.Version() != 0 {
		for _, m := range p.registry.All() {
			v := p.table.Lookup(m.Hash)
			p.registry.SetRank(m, v.Group, v.Pace)
		}
	}
	for _, m := range p.registry.TakePaceChanges() {
		event := "usual"
		if m.Slow() {
			event = "slow"
		}
		p.metrics.paces.With("event", event).Add(1)
		p.Log.Info("pace", "event", event, "target", m.ID, "pace", m.Pace, "group", m.Group, "service", m.Service, "address", m.Address)
	}
}

// feedTargets passes on targets that were read from the store, with their groups and paces, and reports whether anything has
// changed. One whose record has said before that it leaves is passed on as leaving. While the table does not have a target, the last known ones apply; mu is held.
func (p *Process) feedTargets(now time.Time, targets map[string]site.Target) (changed bool) {
	list := make(map[string]site.Target, len(targets))
	for id, t := range targets {
		hash := target.Hash(&t)
		v := p.table.Lookup(hash)
		if known := p.registry.ByHash(hash); v.Group == 0 && known != nil {
			v.Group, v.Pace = known.Group, known.Pace
		}
		t.Group, t.Pace, t.Leaving = v.Group, v.Pace, t.Leaving || p.registry.ListedLeaving(hash)
		list[id] = t
	}
	p.readTargets = list
	return p.feed.Update(now, list)
}

// beginStream records the start of an attempt at a stream for the search for stalled groups, and returns the function that
// records its end.
func (v *request) beginStream(m *target.Member) (end func()) {
	p := v.process
	v.groupHash = 0
	if !v.route.Stream || !v.service.Grouped() {
		return func() {}
	}
	goal := v.route.Goal
	if goal <= 0 {
		goal = defaultFirstEvent
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v.groupHash = m.Group
	p.stalls.Begin(p.Now(), v.groupHash, v.route.Gap, goal)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stalls.End(v.groupHash, v.events > 0)
	}
}

// noteGroupEvent records an event of the latest attempt for the search for stalled groups.
func (v *request) noteGroupEvent() {
	if v.groupHash == 0 {
		return
	}
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalls.Event(p.Now(), v.groupHash, v.events == 1)
}

// unusableGroups returns the groups that are stalled or down. The map must not be changed; mu is held.
func (p *Process) unusableGroups() map[uint32]bool {
	if p.unusable != nil {
		return p.unusable
	}
	return p.stalls.Stalled()
}

// updateUnusable decides which groups are stalled or down; mu is held.
func (p *Process) updateUnusable(now time.Time) {
	set := map[uint32]bool{}
	p.unusable = nil
	if p.states.AddDown(now, set) {
		maps.Copy(set, p.stalls.Stalled())
		p.unusable = set
	}
}

// updateStalls decides which groups are stalled; mu is held.
func (p *Process) updateStalls(now time.Time) {
	defer p.updateUnusable(now)
	for _, c := range p.stalls.Update(now) {
		event := "ended"
		if c.Stalled {
			event = "begun"
		}
		p.metrics.stalls.With("event", event).Add(1)
		p.Log.Info("stall", "event", event, "group", c.Group, "quiet", c.Quiet, "running", c.Running)
	}
}
