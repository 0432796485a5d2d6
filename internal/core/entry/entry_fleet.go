package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

const (
	// missedHeartbeats is the number of missed heartbeats after which a target counts as lost.
	missedHeartbeats = 6
	// relayedTimeout is the heartbeat timeout of targets whose reports come by digest.
	relayedTimeout = 10 * time.Minute
	// pauseLimit is the gap between two events above which the process is taken to have been paused;
	// it is several times the tick interval.
	pauseLimit = 250 * time.Millisecond
)

// configure applies a configuration if its revision is newer.
func (c *Core) configure(next *configuration.Configuration) []Action {
	if next.Revision <= c.Revision() {
		return nil
	}
	c.configuration = next
	c.candidatesByPool = c.subsets(next)
	clear(c.owners)
	targets := map[string]bool{}
	for _, t := range next.Targets {
		targets[t.Name] = true
	}
	c.view.Forget(func(name string) bool { return targets[name] })
	for _, failures := range c.failuresByPool {
		failures.Retain(func(name string) bool { return targets[name] })
	}
	return c.updateWatch()
}

// detectPause detects a pause of the process, so that heartbeats missed during it do not make targets count as lost.
func (c *Core) detectPause(now time.Time) {
	if !c.lastEvent.IsZero() && now.Sub(c.lastEvent) > pauseLimit {
		c.view.Resume(now)
	}
	c.lastEvent = now
}

// updateWatch selects the targets to receive first-hand heartbeats from.
func (c *Core) updateWatch() []Action {
	c.subset = membership.Watched(c.configuration, c.name, c.centre, c.heartbeatInterval, func(entry string) bool { return c.unreachablePeers[entry] })
	targets := map[string]netip.AddrPort{}
	for _, t := range c.subset.Targets {
		targets[t.Name] = t.Address
	}
	firstHand := func(target string) bool {
		_, ok := targets[target]
		return ok
	}
	timeout := c.heartbeatTimeout
	if !c.subset.Whole {
		timeout = missedHeartbeats * c.subset.Beat
	}
	c.view.Watch(firstHand, timeout)
	return []Action{{Watch: &Watch{Targets: targets, HeartbeatInterval: c.subset.Beat}}}
}

// handlePeerStatus records whether another entry answers. When that changes, the targets to
// watch are selected again, unless this entry watches all of them.
func (c *Core) handlePeerStatus(p *PeerStatus) []Action {
	if c.unreachablePeers[p.Name] == !p.Alive || c.configuration == nil {
		return nil
	}
	if p.Alive {
		delete(c.unreachablePeers, p.Name)
	} else {
		c.unreachablePeers[p.Name] = true
	}
	if c.subset.Whole {
		return nil
	}
	return c.updateWatch()
}

// handleHeartbeat applies a heartbeat and audits a change of the target's state.
func (c *Core) handleHeartbeat(now time.Time, h membership.Heartbeat) []Action {
	before, known := c.view.Member(now, h.Target)
	if !c.view.Accept(now, h) {
		return nil
	}
	c.noteSuccessor(now, &h)
	c.mergeVerdicts(now, before, h)
	if !slices.Equal(before.Suspects, h.Suspects) || !slices.Equal(before.Convicted, h.Convicted) || !slices.Equal(before.Cleared, h.Cleared) ||
		!slices.EqualFunc(before.Runs, h.Runs, suspect.PartRun.Equal) {
		c.gossip.Prioritize(h.Target)
	}
	if known && before.State == h.State && before.Incarnation == h.Incarnation {
		return nil
	}
	c.gossip.Prioritize(h.Target)
	return []Action{c.auditTarget(h.Target, h.State, h.Incarnation)}
}

func (c *Core) auditTarget(target string, state chart.State, incarnation uint64) Action {
	return Action{Audit: &Audit{Kind: "target", Attributes: []any{
		"target", target, "state", state, "incarnation", incarnation,
	}}}
}

// detectTimeouts audits the watched targets whose heartbeats timed out, and reports them in the next digests.
func (c *Core) detectTimeouts(now time.Time) (actions []Action) {
	for _, t := range c.subset.Targets {
		m, ok := c.view.Member(now, t.Name)
		if !ok || m.State != membership.StateLost {
			delete(c.timedOut, t.Name)
			continue
		}
		if c.timedOut[t.Name] {
			continue
		}
		c.timedOut[t.Name] = true
		c.view.MarkLost(now, t.Name)
		c.gossip.Prioritize(t.Name)
		actions = append(actions, c.auditTarget(t.Name, m.State, m.Incarnation))
	}
	return actions
}

// withoutLeaving returns the targets that the platform does not list as leaving, or all targets if there are no others.
func (c *Core) withoutLeaving(now time.Time, targets []configuration.Target) []configuration.Target {
	kept := slices.DeleteFunc(slices.Clone(targets), func(t configuration.Target) bool { return c.gossip.Hinted(now, t.Name) })
	if len(kept) == 0 {
		return targets
	}
	return kept
}

// handleDigest applies another entry's digest.
func (c *Core) handleDigest(now time.Time, d *membership.Digest) (actions []Action) {
	if c.configuration == nil {
		return nil
	}
	for _, h := range d.Reports {
		if _, ok := c.configuration.Target(h.Target); !ok {
			continue
		}
		if c.view.FirstHand(h.Target) {
			c.gossip.Refute(now, h)
			continue
		}
		actions = append(actions, c.handleHeartbeat(now, h)...)
	}
	for _, h := range d.Hints {
		c.handleHint(now, h)
	}
	return append(actions, c.handlePeerStatus(&PeerStatus{Name: d.Entry, Alive: true})...)
}

// handleHint records that the platform lists a target as leaving.
func (c *Core) handleHint(now time.Time, h membership.Hint) {
	if _, ok := c.configuration.Target(h.Target); ok {
		c.gossip.Hint(now, h)
	}
}

// Digest returns the digest to send to the next gossip partner.
func (c *Core) Digest(now time.Time) membership.Digest {
	c.gossip.Expire(now)
	return c.gossip.Make(now, c.name, !c.subset.Whole)
}

// DigestUrgent reports whether a change waits to be sent to other entries.
func (c *Core) DigestUrgent() bool {
	return c.gossip.Urgent() && !c.subset.Whole
}

// GossipPartner returns the entry to exchange the next digest with, or nil. It is usually one of the own data centre;
// the first entries of each data centre also exchange digests with those of others.
func (c *Core) GossipPartner() *configuration.Entry {
	if c.configuration == nil {
		return nil
	}
	return membership.Partner(c.configuration, c.name, c.centre, c.random)
}

// ReportAge returns the age of the latest report on a target.
func (c *Core) ReportAge(now time.Time, target string) (age time.Duration, ok bool) {
	m, ok := c.view.Member(now, target)
	return now.Sub(m.ReportedAt), ok
}
