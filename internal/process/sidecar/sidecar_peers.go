package sidecar

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// news returns the head of a datagram; mu is held.
func (p *Process) news() *message.News {
	p.sequence++
	return &message.News{
		Name: p.settings.Load().Name, Centre: p.settings.Load().Centre, Incarnation: p.Incarnation, Sequence: p.sequence, Slot: true,
	}
}

func (p *Process) send(n *message.News, addresses []netip.AddrPort) {
	if err := p.transmit(n, addresses); err != nil {
		p.counts.datagrams.With("event", "unsent").Add(1)
	}
}

// hear takes a datagram of another process.
func (p *Process) hear(from netip.AddrPort, n *message.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	peer, fresh := datagram.Receive(now, p.mesh, from, n)
	if peer == nil {
		p.counts.datagrams.With("event", "old").Add(1)
		return
	}
	if fresh {
		p.Log.Info("peer heard", "peer", n.Name, "address", from, "incarnation", n.Incarnation)
	}
	if n.Rank == nil {
		return
	}
	s := decodeState(n.Rank)
	p.ranks[from] = s
	before := p.core.State(now)
	p.core.ReceiveState(now, s, decodeAttempt(n.Attempt))
	p.logNotes()
	p.takeCounts(s, n)
	after := p.core.State(now)
	if p.core.Busy() && (before.Ballot != after.Ballot || before.Phase != after.Phase || p.core.HasNextOrder(now)) {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// takeCounts passes what a rank counted to the planner; mu is held.
func (p *Process) takeCounts(s hold.State, n *message.News) {
	if p.planner == nil || len(n.Counts) == 0 || !p.core.IsLeader() {
		return
	}
	p.planner.Count(n.Counts)
	experts := make([][]int, len(n.Experts))
	for i, m := range n.Experts {
		experts[i] = decodeExperts(m)
	}
	p.planner.SetRankExperts(s.Rank, s.Epoch, hold.RankExperts{MapVersion: n.Map, Experts: experts})
}

// plan begins a switch when one pays.
func (p *Process) plan(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil || !p.core.IsLeader() {
		return
	}
	own := p.core.State(now)
	p.planner.Count(p.tally.Take())
	p.planner.SetRankExperts(own.Rank, own.Epoch, p.held)
	p.planner.Decay(now)
	if !p.core.Ready(now) {
		return
	}
	d, ok := p.planner.Decide(now, own.Epoch, own.MapVersion, own.Size)
	if !ok {
		return
	}
	p.Log.Info("balance", "loaded", d.Loaded, "skew", d.Skew, "next", d.Next, "map", own.MapVersion, "step", own.Step)
	if p.core.Begin(now, d.Map) {
		p.planner.SwitchBegun(p.core.Published().Version)
	}
	p.logNotes()
}
