package sidecar

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// entryInterval is the time between two datagrams to the entries, which tell the addresses of the other slots.
const entryInterval = time.Second

// tell sends the own state to the slot that leads, or to all others, and now and then to the entries.
func (p *Process) tell() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, lost := range p.mesh.Expire(now) {
		p.Log.Warn("peer lost", "peer", lost.Name, "address", lost.Address, "age", now.Sub(lost.Heard))
	}
	if now.Sub(p.introduced) >= entryInterval {
		p.introduced = now
		p.send(p.news(), p.mesh.Addresses(false))
	}
	if !p.core.Known() {
		return
	}
	n := p.news()
	n.Rank = encodeState(p.core.State(now))
	n.Attempt = encodeAttempt(p.core.Published())
	if p.core.Leads() {
		p.send(n, p.mesh.Addresses(true))
		return
	}
	lead := p.leadAddress(now)
	if !lead.IsValid() {
		p.send(n, p.mesh.Addresses(true))
		return
	}
	n.Counts = p.tally.Take()
	n.Map = p.held.Map
	for _, experts := range p.held.Experts {
		n.Experts = append(n.Experts, encodeExperts(experts))
	}
	p.send(n, []netip.AddrPort{lead})
}

// leadAddress returns where the slot of rank 0 was heard last; mu is held.
func (p *Process) leadAddress(now time.Time) netip.AddrPort {
	own := p.core.State(now)
	for _, v := range p.mesh.Peers(true) {
		r, ok := p.ranks[v.Address]
		if ok && r.Rank == 0 && r.Group == own.Group {
			return v.Address
		}
	}
	return netip.AddrPort{}
}

// news returns the head of a datagram; mu is held.
func (p *Process) news() *message.News {
	p.sequence++
	return &message.News{
		Name: p.settings.Load().Name, Centre: p.settings.Load().Centre, Incarnation: p.Incarnation, Sequence: p.sequence, Slot: true,
	}
}

func (p *Process) send(n *message.News, addresses []netip.AddrPort) {
	if err := p.socket.Send(n, addresses); err != nil {
		p.counts.datagrams.With("event", "unsent").Add(1)
	}
}

// hear takes a datagram of another process.
func (p *Process) hear(from netip.AddrPort, n *message.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	peer, fresh := datagram.Hear(now, p.mesh, from, n)
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
	p.core.Hear(now, s, decodeAttempt(n.Attempt))
	p.logNotes()
	p.takeCounts(s, n)
	after := p.core.State(now)
	if p.core.Busy() && (before.Ballot != after.Ballot || before.Phase != after.Phase || p.core.Leads()) {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// takeCounts passes what a rank counted to the planner; mu is held.
func (p *Process) takeCounts(s hold.State, n *message.News) {
	if p.planner == nil || len(n.Counts) == 0 || !p.core.Leads() {
		return
	}
	p.planner.Count(n.Counts)
	experts := make([][]int, len(n.Experts))
	for i, m := range n.Experts {
		experts[i] = decodeExperts(m)
	}
	p.planner.Hold(s.Rank, s.Epoch, hold.Held{Map: n.Map, Experts: experts})
}

// plan begins a switch when one pays.
func (p *Process) plan(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil || !p.core.Leads() {
		return
	}
	own := p.core.State(now)
	p.planner.Count(p.tally.Take())
	p.planner.Hold(own.Rank, own.Epoch, p.held)
	p.planner.Fade(now)
	if !p.core.Ready(now) {
		return
	}
	d, ok := p.planner.Decide(now, own.Epoch, own.Map, own.Size)
	if !ok {
		return
	}
	p.Log.Info("balance", "loaded", d.Loaded, "skew", d.Skew, "next", d.Next, "map", own.Map, "step", own.Step)
	if p.core.Begin(now, d.Map) {
		p.planner.Begun(p.core.Published().Version)
	}
	p.logNotes()
}
