package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
)

const (
	// silentBeats is the number of missed heartbeats after which a target counts as lost.
	silentBeats = 6
	// relayedSilence is the age at which a report that came by digest proves nothing.
	relayedSilence = 10 * time.Minute
	// pauseLimit is the time between two events from which the process counts as having been paused;
	// it is several times the interval between ticks.
	pauseLimit = 250 * time.Millisecond
)

// configure puts a newer revision in force.
func (c *Core) configure(next *configuration.Configuration) []Action {
	if next.Revision <= c.Revision() {
		return nil
	}
	c.configuration = next
	c.choices = c.subsets(next)
	clear(c.owners)
	targets := map[string]bool{}
	for _, t := range next.Targets {
		targets[t.Name] = true
	}
	c.view.Forget(func(name string) bool { return targets[name] })
	for _, b := range c.boards {
		b.Forget(func(name string) bool { return targets[name] })
	}
	return c.watch()
}

// pulse notices that the process was paused: what it did not hear meanwhile proves nothing.
func (c *Core) pulse(now time.Time) {
	if !c.last.IsZero() && now.Sub(c.last) > pauseLimit {
		c.view.Resume(now)
	}
	c.last = now
}

// watch chooses the targets whose heartbeats are wanted first-hand.
func (c *Core) watch() []Action {
	c.subset = membership.Watched(c.configuration, c.name, c.centre, c.beat, func(entry string) bool { return c.failed[entry] })
	targets := map[string]netip.AddrPort{}
	for _, t := range c.subset.Targets {
		targets[t.Name] = t.Address
	}
	direct := func(target string) bool {
		_, ok := targets[target]
		return ok
	}
	silence := c.silence
	if !c.subset.Whole {
		silence = silentBeats * c.subset.Beat
	}
	c.view.Watch(direct, silence)
	return []Action{{Watch: &Watch{Targets: targets, HeartbeatInterval: c.subset.Beat}}}
}

// judge notes whether another entry answers; the targets that it watched are shared out anew when it does not.
func (c *Core) judge(p *PeerStatus) []Action {
	if c.failed[p.Name] == !p.Alive || c.configuration == nil {
		return nil
	}
	if p.Alive {
		delete(c.failed, p.Name)
	} else {
		c.failed[p.Name] = true
	}
	if c.subset.Whole {
		return nil
	}
	return c.watch()
}

// hear takes in a heartbeat and records changes of a target's state.
func (c *Core) hear(now time.Time, h membership.Heartbeat) []Action {
	before, known := c.view.Member(now, h.Target)
	if !c.view.Accept(now, h) {
		return nil
	}
	c.inherit(now, &h)
	c.learn(now, before, h)
	if !slices.Equal(before.Suspects, h.Suspects) || !slices.Equal(before.Convicted, h.Convicted) || !slices.Equal(before.Cleared, h.Cleared) {
		c.gossip.Changed(h.Target)
	}
	if known && before.State == h.State && before.Incarnation == h.Incarnation {
		return nil
	}
	c.gossip.Changed(h.Target)
	return []Action{c.auditTarget(h.Target, h.State, h.Incarnation)}
}

func (c *Core) auditTarget(target string, state chart.State, incarnation uint64) Action {
	return Action{Audit: &Audit{Kind: "target", Attributes: []any{
		"target", target, "state", state, "incarnation", incarnation,
	}}}
}

// notice records the watched targets that have gone silent, and tells other entries.
func (c *Core) notice(now time.Time) (actions []Action) {
	for _, t := range c.subset.Targets {
		m, ok := c.view.Member(now, t.Name)
		if !ok || m.State != membership.StateLost {
			delete(c.silent, t.Name)
			continue
		}
		if c.silent[t.Name] {
			continue
		}
		c.silent[t.Name] = true
		c.view.MarkLost(now, t.Name)
		c.gossip.Changed(t.Name)
		actions = append(actions, c.auditTarget(t.Name, m.State, m.Incarnation))
	}
	return actions
}

// preferred leaves out the targets that the platform lists as leaving, unless nothing else is there.
func (c *Core) preferred(now time.Time, targets []configuration.Target) []configuration.Target {
	kept := slices.DeleteFunc(slices.Clone(targets), func(t configuration.Target) bool { return c.gossip.Hinted(now, t.Name) })
	if len(kept) == 0 {
		return targets
	}
	return kept
}

// merge takes in another entry's digest.
func (c *Core) merge(now time.Time, d *membership.Digest) (actions []Action) {
	if c.configuration == nil {
		return nil
	}
	for _, h := range d.Reports {
		if _, ok := c.configuration.Target(h.Target); !ok {
			continue
		}
		if c.view.Direct(h.Target) {
			c.gossip.Refute(now, h)
			continue
		}
		actions = append(actions, c.hear(now, h)...)
	}
	for _, h := range d.Hints {
		c.hint(now, h)
	}
	return append(actions, c.judge(&PeerStatus{Name: d.Entry, Alive: true})...)
}

// hint takes in that the platform lists a target as leaving.
func (c *Core) hint(now time.Time, h membership.Hint) {
	if _, ok := c.configuration.Target(h.Target); ok {
		c.gossip.Hint(now, h)
	}
}

// Digest returns what the next entry is to be told.
func (c *Core) Digest(now time.Time) membership.Digest {
	c.gossip.Expire(now)
	return c.gossip.Make(now, c.name, !c.subset.Whole)
}

// DigestUrgent reports whether a change waits to be told to other entries.
func (c *Core) DigestUrgent() bool {
	return c.gossip.Urgent() && !c.subset.Whole
}

// GossipPartner returns the entry to exchange the next digest with, or nil. Mostly it is one of the own data centre;
// the first ones of each data centre also speak with those of others.
func (c *Core) GossipPartner() *configuration.Entry {
	if c.configuration == nil {
		return nil
	}
	return membership.Partner(c.configuration, c.name, c.centre, c.random)
}

// ReportAge returns the age of what is known of a target.
func (c *Core) ReportAge(now time.Time, target string) (age time.Duration, ok bool) {
	m, ok := c.view.Member(now, target)
	return now.Sub(m.ReportedAt), ok
}
