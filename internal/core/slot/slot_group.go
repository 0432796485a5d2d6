package slot

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/group/balance"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
)

const (
	// groupReportInterval is the interval of load reports to the leader, and of the leader's planning.
	groupReportInterval = 250 * time.Millisecond
	// groupLeaderTimeout is the time without an answer after which a lower rank is no longer taken as the leader.
	groupLeaderTimeout = 4 * groupReportInterval
	// groupSwitchInterval is the shortest time between two attempts to switch.
	groupSwitchInterval = 2 * time.Second
	// groupPaybackSteps is the number of engine steps within which a move must pay for itself.
	groupPaybackSteps = 13000
	// groupSwitchCost is the cost of a switch in engine steps.
	groupSwitchCost = 4
	// groupMinReports is the number of reports required before the first decision.
	groupMinReports = 8
	// groupSwitchMargin is the number of steps from the furthest known step of the ranks to the step of the switch.
	groupSwitchMargin = 60
)

// GroupReport is the engine's report on its expert-parallel group.
type GroupReport struct {
	// Engine is the state of the expert maps.
	Engine mapswitch.Engine
	// Plan is the encoded expert map in use.
	Plan []byte
	// Loads counts the tokens of each expert since the engine started; the counts lag behind the engine.
	Loads []uint64
	// Absent is set when the engine belongs to no group.
	Absent bool
}

// group is the state of one rank of an expert-parallel group.
type group struct {
	*mapswitch.Switch
	// peers are the targets of the group by rank.
	peers []configuration.Target
	// settings are the group's settings in the configuration.
	settings configuration.Group
	// planner plans new expert maps; it is nil until this rank first plans as the leader.
	planner *balance.Planner
	// current is the expert map in use, or nil while it is unknown.
	current *balance.Placement
	// counts are the latest token counts of the experts, and reported those of the last report to the leader.
	counts, reported []uint64
	// pending sums the token counts reported by all ranks since the last planning.
	pending []uint64
	// absent is set when the engine belongs to no group, so that no expert map is switched.
	absent bool
	// lastAnswer is the time of the last answer of each lower rank.
	lastAnswer map[int]time.Time
	// nextReport is the time of the next report or planning.
	nextReport time.Time
}

// joinGroup applies the configured group. A change of its size, its settings or the own rank resets the group's state.
func (c *Core) joinGroup(now time.Time) {
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
			StepMargin: groupSwitchMargin, AttemptTimeout: c.limits.SwitchTimeout, ResendInterval: 100 * time.Millisecond,
			AskDelay: 200 * time.Millisecond, PendingOrderTimeout: time.Second,
		}),
		peers: peers, settings: settings, lastAnswer: map[int]time.Time{}, nextReport: now.Add(groupReportInterval),
	}
	for rank := range c.target.Rank {
		c.group.lastAnswer[rank] = now
	}
}

// groupOf returns the settings of a target's group and the targets of its ranks in order.
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

// groupAdmits reports whether the group's expert map switch allows requests to start.
func (c *Core) groupAdmits() bool {
	return c.group == nil || c.group.absent || c.group.Open()
}

// handleGroupMessage handles a message about an expert map switch. The sender's rank is taken from the configuration.
func (c *Core) handleGroupMessage(now time.Time, m *Message) []Action {
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
			g.addLoads(m.Switch.Loads)
			alive := mapswitch.Message{Group: g.Group, Kind: mapswitch.KindAlive, Rank: g.Rank}
			return []Action{g.deliver(rank, alive)}
		case mapswitch.KindAlive:
			g.lastAnswer[rank] = now
			return nil
		}
		return c.slotActions(g.Handle(now, mapswitch.Event{Message: m.Switch}))
	}
	return nil
}

// handleGroupReport applies the engine's report on the group.
func (c *Core) handleGroupReport(now time.Time, r *GroupReport) []Action {
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
	return c.slotActions(g.Handle(now, mapswitch.Event{Engine: &e}))
}

// handleOrderResult passes the outcome of an engine order to the expert map switch.
func (c *Core) handleOrderResult(now time.Time, r *mapswitch.OrderResult) []Action {
	if c.group == nil {
		return nil
	}
	return c.slotActions(c.group.Handle(now, mapswitch.Event{OrderResult: r}))
}

// tickGroup reports the loads to the leader, or plans as the leader. The ranks below the leader do not answer; they get
// empty reports, so that one that answers again becomes the leader.
func (c *Core) tickGroup(now time.Time) []Action {
	g := c.group
	if g == nil {
		return nil
	}
	actions := c.slotActions(g.Handle(now, mapswitch.Event{Tick: &mapswitch.Tick{}}))
	if now.Before(g.nextReport) {
		return actions
	}
	g.nextReport = now.Add(groupReportInterval)
	loads := g.takeLoads()
	leader := g.leader(now)
	if leader == g.Rank {
		g.addLoads(loads)
		actions = append(actions, c.balance(now)...)
	}
	for rank := range min(leader+1, g.Rank) {
		m := mapswitch.Message{Group: g.Group, Kind: mapswitch.KindReport, Rank: g.Rank}
		if rank == leader {
			m.Loads = loads
		}
		actions = append(actions, g.deliver(rank, m))
	}
	return actions
}

// leader returns the lowest rank that answers; it alone plans for the group.
func (g *group) leader(now time.Time) int {
	for rank := range g.Rank {
		if now.Sub(g.lastAnswer[rank]) < groupLeaderTimeout {
			return rank
		}
	}
	return g.Rank
}

// takeLoads returns the tokens of each expert since the last report and marks them as reported.
// They are zero in the first report and after a restart of the engine, when the counts are below the reported ones.
func (g *group) takeLoads() []uint64 {
	loads := make([]uint64, len(g.counts))
	for e, v := range g.counts {
		if len(g.reported) == len(g.counts) && v >= g.reported[e] {
			loads[e] = v - g.reported[e]
		}
	}
	g.reported = g.counts
	return loads
}

// addLoads adds one rank's token counts to those of the group.
func (g *group) addLoads(loads []uint64) {
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

// balance plans a new expert map and begins a switch to it if the move pays off.
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
		"group", g.Group, "experts", d.Moves, "skew", d.Skew, "next", d.NextSkew,
	}}}
	begin := mapswitch.Event{Begin: &mapswitch.Begin{Map: d.Placement.ID(), Plan: plan}}
	return append([]Action{audit}, c.slotActions(g.Handle(now, begin))...)
}

func newPlanner(settings configuration.Group, current *balance.Placement) *balance.Planner {
	width := 0
	for _, experts := range current.Ranks {
		width = max(width, len(experts))
	}
	return balance.New(balance.Options{
		Experts: settings.Experts, Ranks: len(current.Ranks), Width: width, MoveCost: settings.Price,
		Horizon: groupPaybackSteps, SwitchCost: groupSwitchCost, MinReports: groupMinReports, MinMoveInterval: groupSwitchInterval,
	})
}

// slotActions converts the actions of the expert map switch to actions of the slot.
func (c *Core) slotActions(actions []mapswitch.Action) (out []Action) {
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
