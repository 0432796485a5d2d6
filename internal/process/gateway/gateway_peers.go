package gateway

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// minSendInterval is the shortest time between two datagrams with the load, which are sent when it has changed.
	minSendInterval = 150 * time.Millisecond
	// maxSendInterval is the time after which an unchanged load is re-sent.
	maxSendInterval = 600 * time.Millisecond
	// minNewsInterval is the shortest time between two datagrams that are sent for lost runs alone, or for limits alone.
	minNewsInterval = 20 * time.Millisecond
)

// broadcastLoad sends this entry's load to the other entries until the context ends.
func (p *Process) broadcastLoad(ctx context.Context) {
	var lastSent time.Time
	node.Every(ctx, minSendInterval, func() {
		now := p.Now()
		p.detectPause()
		news, addresses := p.nextDatagram(now, now.Sub(lastSent) >= maxSendInterval)
		if news == nil {
			return
		}
		lastSent = now
		if err := p.socket.Send(news, addresses); err != nil {
			p.metrics.datagrams.With("event", "unsent").Add(1)
		}
	})
}

// nextDatagram returns the next datagram and its receivers, or nil if the load is unchanged and no datagram is due.
func (p *Process) nextDatagram(now time.Time, due bool) (*message.News, []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lost := range p.mesh.Expire(now) {
		p.Log.Warn("peer lost", "peer", lost.Name, "address", lost.Address, "age", now.Sub(lost.LastSeen))
		p.registry.SetOtherLoads(p.mesh.Loads())
	}
	if !due && !p.limitsChanged && !p.suspects.HasNews(now) && maps.Equal(p.registry.OwnLoads(), p.lastSentLoad) {
		return nil, nil
	}
	return p.newBroadcast(now), p.mesh.Addresses(false)
}

// sendNews sends what has changed to the other entries at once. If a datagram was sent for the same kind of news just before,
// broadcastLoad sends it later; mu is held.
func (p *Process) sendNews(now time.Time, sentAt *time.Time) {
	if now.Sub(*sentAt) < minNewsInterval {
		return
	}
	*sentAt = now
	p.sendDatagram(p.newBroadcast(now), p.mesh.Addresses(false))
}

// newBroadcast returns a datagram for all entries with what has changed; mu is held.
func (p *Process) newBroadcast(now time.Time) *message.News {
	p.limitsChanged = false
	p.lastSentLoad = p.registry.OwnLoads()
	return p.newLoadDatagram(p.suspects.News(now))
}

// newLoadDatagram returns a datagram with this entry's load, the limits of targets and some lost runs; mu is held.
func (p *Process) newLoadDatagram(runs []suspect.LostRun) *message.News {
	n := p.newDatagram()
	now := p.Now()
	n.Runs = message.EncodeRuns(now, runs)
	n.Limits = message.EncodeLimits(now, p.registry.Limits(now))
	for hash, running := range p.registry.OwnLoads() {
		n.Loads = append(n.Loads, &message.Load{Target: hash, Running: uint32(running)})
	}
	return n
}

// newDatagram returns a datagram that names this process and the peers it knows; mu is held.
func (p *Process) newDatagram() *message.News {
	p.sequence++
	n := &message.News{Name: p.settings.Load().Name, Centre: p.settings.Load().Centre, Incarnation: p.incarnation, Sequence: p.sequence}
	for _, slot := range []bool{false, true} {
		for _, peer := range p.mesh.Peers(slot) {
			n.Neighbours = append(n.Neighbours, &message.Neighbour{Address: datagram.EncodeAddress(peer.Address.Addr()), Slot: slot})
		}
	}
	return n
}

// receive handles a datagram of a peer. A slot that announces itself gets the addresses of the other processes in return.
func (p *Process) receive(from netip.AddrPort, n *message.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	peer, isNew := datagram.UpdateMesh(now, p.mesh, from, n)
	if peer == nil {
		p.metrics.datagrams.With("event", "old").Add(1)
		return
	}
	if isNew {
		p.Log.Info("peer heard", "peer", n.Name, "address", from, "incarnation", n.Incarnation)
	}
	p.learnRuns(now, n)
	if n.Slot {
		reply := p.newDatagram()
		reply.Runs = message.EncodeRuns(now, p.runsFor(now, isNew))
		p.sendDatagram(reply, []netip.AddrPort{from})
		return
	}
	if isNew {
		p.sendDatagram(p.newLoadDatagram(p.runsFor(now, true)), []netip.AddrPort{from})
	}
	peer.Loads = map[uint32]int{}
	for _, l := range n.Loads {
		peer.Loads[l.Target] = int(l.Running)
	}
	p.registry.SetOtherLoads(p.mesh.Loads())
	p.learnLimits(now, n)
	p.answerAsks(now, from, n.Asks)
	p.receivePermits(now, n.Permits)
}

// runsFor returns the lost runs to send to a peer, more of them if it is new; mu is held.
func (p *Process) runsFor(now time.Time, isNew bool) []suspect.LostRun {
	if isNew {
		return p.suspects.Runs(now)
	}
	return p.suspects.News(now)
}

// rejectDatagram counts and logs a datagram that cannot be decoded.
func (p *Process) rejectDatagram(err error) {
	p.metrics.datagrams.With("event", "unreadable").Add(1)
	p.Log.Warn("datagram dropped", "error", err)
}
