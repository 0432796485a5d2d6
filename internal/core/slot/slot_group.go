package slot

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
)

const (
	// groupReport is the time between two reports to the lead, and between two plannings of the lead.
	groupReport = 250 * time.Millisecond
	// groupSilence is the time without an answer after which a lower rank is not taken for the lead.
	groupSilence = 4 * groupReport
	// groupPause is the shortest time between two attempts to switch.
	groupPause = 2 * time.Second
	// groupHorizon is the number of steps over which a move must pay for itself.
	groupHorizon = 13000
	// groupLoss is the number of steps that a switch costs.
	groupLoss = 4
	// groupFloor is the number of reports before the first decision.
	groupFloor = 8
	// groupMargin is the number of steps between the furthest known step and the switch.
	groupMargin = 60
)

// GroupReport is the engine's report of its part in a group.
type GroupReport struct {
	// Engine is the state of the expert maps.
	Engine mapswitch.Engine
	// Plan is the encoded map in use.
	Plan []byte
	// Loads counts the tokens of each expert since the engine started; it lags.
	Loads []uint64
	// Absent tells that the engine has no part in any group.
	Absent bool
}

// group is the target's part in an expert-parallel group.
type group struct {
	*mapswitch.Switch
	// peers are the targets of the group by rank.
	peers []configuration.Target
	// settings are those of the configuration.
	settings configuration.Group
	// planner is used while this rank is the lead.
	planner *balance.Planner
	// current is the map in use, or nil while it is not known.
	current *balance.Placement
	// counts are the newest counts of tokens, and sent those that were reported.
	counts, sent []uint64
	// pending sums the reports of all ranks since the last planning.
	pending []uint64
	// absent tells that the engine has no part in any group, so that no map is switched.
	absent bool
	// heard is the time of the last answer of each lower rank.
	heard map[int]time.Time
	// due is the time of the next report.
	due time.Time
}

// join follows the configuration into a group. A change of the ranks forms the group anew.
func (c *Core) join(now time.Time) {
	settings, peers := groupOf(c.configuration, c.target)
	if c.target.Group == "" || len(peers) <= c.target.Rank {
		c.group = nil
		return
	}
	if g := c.group; g != nil && len(g.peers) == len(peers) && g.settings == settings && g.Rank == c.target.Rank {
		g.peers = peers
		return
	}
	c.group = &group{
		Switch: mapswitch.New(mapswitch.Options{
			Group: settings.Name, Rank: c.target.Rank, Ranks: len(peers), Incarnation: c.incarnation, EnginesCanHold: settings.Hold,
			Margin: groupMargin, AttemptTimeout: c.limits.Patience, Resend: 100 * time.Millisecond,
			AskDelay: 200 * time.Millisecond, PendingOrderTimeout: time.Second,
		}),
		peers: peers, settings: settings, heard: map[int]time.Time{}, due: now.Add(groupReport),
	}
	for rank := range c.target.Rank {
		c.group.heard[rank] = now
	}
}

// groupOf returns a target's group and its ranks in order.
func groupOf(c *configuration.Configuration, t configuration.Target) (settings configuration.Group, peers []configuration.Target) {
	for _, v := range c.Groups {
		if v.Name == t.Group {
			settings = v
		}
	}
	count := 0
	for _, v := range c.Targets {
		if v.Group != "" && v.Group == t.Group {
			count = max(count, v.Rank+1)
		}
	}
	peers = make([]configuration.Target, min(count, len(c.Targets)))
	for _, v := range c.Targets {
		if v.Group != "" && v.Group == t.Group && v.Rank < len(peers) {
			peers[v.Rank] = v
		}
	}
	return settings, peers
}

// Grouped reports whether the target is a rank of a group.
func (c *Core) Grouped() bool {
	return c.group != nil
}

// admits reports whether the group's switch leaves admission open.
func (c *Core) admits() bool {
	return c.group == nil || c.group.absent || c.group.Open()
}

// hearGroup takes a message of the map switch. The sender's rank is that of the configuration.
func (c *Core) hearGroup(now time.Time, m *Message) []Action {
	g := c.group
	if g == nil {
		return nil
	}
	for rank, peer := range g.peers {
		if peer.Name != m.Source || rank == g.Rank {
			continue
		}
		m.Switch.Rank = rank
		switch m.Switch.Kind {
		case mapswitch.KindReport:
			g.gather(m.Switch.Loads)
			alive := mapswitch.Message{Group: g.Group, Kind: mapswitch.KindAlive, Rank: g.Rank}
			return []Action{g.deliver(rank, alive)}
		case mapswitch.KindAlive:
			g.heard[rank] = now
			return nil
		}
		return c.follow(g.Handle(now, mapswitch.Event{Message: m.Switch}))
	}
	return nil
}

// reportGroup takes the engine's report of its part in the group.
func (c *Core) reportGroup(now time.Time, r *GroupReport) []Action {
	g := c.group
	if g == nil {
		return nil
	}
	g.absent = r.Absent
	if r.Absent {
		return nil
	}
	g.counts = r.Loads
	if p, err := balance.Decode(r.Plan); err == nil && len(p.Ranks) == len(g.peers) {
		g.current = p
	}
	e := r.Engine
	e.Idle = e.Idle && c.running == 0
	return c.follow(g.Handle(now, mapswitch.Event{Engine: &e}))
}

// doneGroup takes the end of an order to the engine.
func (c *Core) doneGroup(now time.Time, d *mapswitch.OrderResult) []Action {
	if c.group == nil {
		return nil
	}
	return c.follow(c.group.Handle(now, mapswitch.Event{Done: d}))
}

// tickGroup reports to the lead, or plans as the lead.
func (c *Core) tickGroup(now time.Time) []Action {
	g := c.group
	if g == nil {
		return nil
	}
	actions := c.follow(g.Handle(now, mapswitch.Event{Tick: &mapswitch.Tick{}}))
	if now.Before(g.due) {
		return actions
	}
	g.due = now.Add(groupReport)
	loads := g.take()
	lead := g.lead(now)
	if lead == g.Rank {
		g.gather(loads)
		actions = append(actions, c.balance(now)...)
	}
	for rank := range min(lead+1, g.Rank) {
		m := mapswitch.Message{Group: g.Group, Kind: mapswitch.KindReport, Rank: g.Rank}
		if rank == lead {
			m.Loads = loads
		}
		actions = append(actions, g.deliver(rank, m))
	}
	return actions
}

// lead returns the lowest rank that answers; ranks above it leave planning to it.
func (g *group) lead(now time.Time) int {
	for rank := range g.Rank {
		if now.Sub(g.heard[rank]) < groupSilence {
			return rank
		}
	}
	return g.Rank
}

// take returns the tokens since the last report.
func (g *group) take() []uint64 {
	loads := make([]uint64, len(g.counts))
	for e, v := range g.counts {
		if len(g.sent) == len(g.counts) && v >= g.sent[e] {
			loads[e] = v - g.sent[e]
		}
	}
	g.sent = g.counts
	return loads
}

// gather adds one rank's tokens to those of the group.
func (g *group) gather(loads []uint64) {
	if len(g.pending) != g.settings.Experts {
		g.pending = make([]uint64, g.settings.Experts)
	}
	if len(loads) != len(g.pending) {
		return
	}
	for e, v := range loads {
		g.pending[e] += v
	}
}

// balance plans a new map and begins the switch to it when it pays.
func (c *Core) balance(now time.Time) []Action {
	g := c.group
	if g.current == nil {
		return nil
	}
	if g.planner == nil {
		g.planner = newPlanner(g.settings, g.current)
	}
	g.planner.Observe(g.pending)
	clear(g.pending)
	if !g.Ready() {
		return nil
	}
	d := g.planner.Decide(now, g.current)
	if d.Verdict != balance.VerdictMove {
		return nil
	}
	plan, err := d.Placement.Encode()
	if err != nil {
		return nil
	}
	audit := Action{Audit: &Audit{Kind: "balance", Attributes: []any{
		"group", g.Group, "experts", d.Moves, "skew", d.Skew, "next", d.Next,
	}}}
	begin := mapswitch.Event{Begin: &mapswitch.Begin{Map: d.Placement.ID(), Plan: plan}}
	return append([]Action{audit}, c.follow(g.Handle(now, begin))...)
}

func newPlanner(settings configuration.Group, current *balance.Placement) *balance.Planner {
	width := 0
	for _, held := range current.Ranks {
		width = max(width, len(held))
	}
	return balance.New(balance.Options{
		Experts: settings.Experts, Ranks: len(current.Ranks), Width: width, MoveCost: settings.Price,
		Horizon: groupHorizon, SwitchCost: groupLoss, MinReports: groupFloor, Pause: groupPause,
	})
}

// follow turns the actions of the switch into those of the slot.
func (c *Core) follow(actions []mapswitch.Action) (out []Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			out = append(out, c.group.deliver(a.Send.Rank, a.Send.Message))
		case a.Order != nil:
			out = append(out, Action{Order: a.Order})
		case a.Change != nil:
			v := a.Change
			out = append(out, Action{Audit: &Audit{Kind: "map", Attributes: []any{
				"group", c.group.Group, "event", v.Event, "ballot", v.Ballot, "map", v.Map, "step", v.Step, "reason", v.Reason,
			}}})
		}
	}
	return out
}

func (g *group) deliver(rank int, m mapswitch.Message) Action {
	peer := g.peers[rank]
	return Action{Deliver: &Deliver{Target: peer.Name, Address: peer.Address, Message: Message{Switch: &m}}}
}
