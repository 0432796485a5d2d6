package gateway

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// tellInterval is the least time between two datagrams of changed loads.
	tellInterval = 150 * time.Millisecond
	// tellIdle is the longest time between two datagrams to a peer.
	tellIdle = 600 * time.Millisecond
)

// tellPeers sends the own load to the other entries.
func (p *Process) tellPeers(ctx context.Context) {
	var told time.Time
	node.Every(ctx, tellInterval, func() {
		now := p.Now()
		news, addresses := p.news(now, now.Sub(told) >= tellIdle)
		if news == nil {
			return
		}
		told = now
		if err := p.socket.Send(news, addresses); err != nil {
			p.counts.datagrams.With("event", "unsent").Add(1)
		}
	})
}

// news returns the next datagram and its receivers, or nil when there is nothing to tell.
func (p *Process) news(now time.Time, due bool) (*message.News, []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lost := range p.mesh.Expire(now) {
		p.Log.Warn("peer lost", "peer", lost.Name, "address", lost.Address, "age", now.Sub(lost.LastSeen))
		p.registry.SetOtherLoads(p.mesh.Loads())
	}
	own := p.registry.OwnLoads()
	if !due && maps.Equal(own, p.sent) {
		return nil, nil
	}
	p.sent = own
	n := p.head()
	for hash, running := range own {
		n.Loads = append(n.Loads, &message.Load{Target: hash, Running: uint32(running)})
	}
	return n, p.mesh.Addresses(false)
}

// head returns a datagram with the sender and the processes it heard; mu is held.
func (p *Process) head() *message.News {
	p.sequence++
	n := &message.News{Name: p.settings.Load().Name, Centre: p.settings.Load().Centre, Incarnation: p.incarnation, Sequence: p.sequence}
	for _, slot := range []bool{false, true} {
		for _, peer := range p.mesh.Peers(slot) {
			n.Neighbours = append(n.Neighbours, &message.Neighbour{Address: datagram.Address(peer.Address.Addr()), Slot: slot})
		}
	}
	return n
}

// hear takes a datagram. A slot asks an entry for its neighbours by telling of itself.
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
	if n.Slot {
		if err := p.socket.Send(p.head(), []netip.AddrPort{from}); err != nil {
			p.counts.datagrams.With("event", "unsent").Add(1)
		}
		return
	}
	peer.Loads = map[uint32]int{}
	for _, l := range n.Loads {
		peer.Loads[l.Target] = int(l.Running)
	}
	p.registry.SetOtherLoads(p.mesh.Loads())
}

// reject counts a datagram that cannot be read.
func (p *Process) reject(err error) {
	p.counts.datagrams.With("event", "unreadable").Add(1)
	p.Log.Warn("datagram dropped", "error", err)
}
