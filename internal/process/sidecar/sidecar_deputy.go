package sidecar

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
)

const (
	// deputyInterval is the time between two datagrams of a slot to a deputy during a switch, and leadingInterval that of the
	// slots in whose place a deputy acts, which are silent after 250 ms.
	deputyInterval, leadingInterval = 400 * time.Millisecond, 80 * time.Millisecond
	// idleDeputyInterval is the same while no switch is in progress: a deputy must know the addresses of engines.
	idleDeputyInterval = time.Second
	// announceInterval is the time between two datagrams by which a deputy makes itself known to all slots, at least a
	// millisecond for each.
	announceInterval = time.Second
)

// leaders returns the addresses of the slots of rank 0 and of the deputies, invalid ones for those that are not known or the
// own; mu is held.
func (p *Process) leaders() (known [1 + hold.Deputies]netip.AddrPort) {
	own := p.core.State()
	for _, v := range p.mesh.Peers(true) {
		s, ok := p.rankStates[v.Address]
		if ok && s.Rank < len(known) && s.Group == own.Group && s.Rank != own.Rank {
			known[s.Rank] = v.Address
		}
	}
	return known
}

// repeatStates sends the own state during a switch while followEngine waits for a slow engine, until the context ends: the slot
// is not silent then.
func (p *Process) repeatStates(ctx context.Context) {
	t := time.NewTicker(leadingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		busy := p.core.Busy()
		p.mu.Unlock()
		if busy {
			p.sendState()
		}
	}
}

// deputiesAmong returns the addresses that are those of deputies; mu is held.
func (p *Process) deputiesAmong(addresses []netip.AddrPort) (out []netip.AddrPort) {
	known := p.leaders()
	for _, address := range known[1:] {
		if slices.Contains(addresses, address) {
			out = append(out, address)
		}
	}
	return out
}

// sendToDeputies sends the own state to the deputies. One that acts as leader gets it as often as the leader, also whenever it
// changes; the others need it only to know that the slot runs and where its engine is; mu is held.
func (p *Process) sendToDeputies(now time.Time, known []netip.AddrPort) {
	s := p.core.State()
	for _, address := range known {
		if !address.IsValid() {
			continue
		}
		key := hold.State{}
		interval := p.deputyStateInterval(s)
		if p.core.Busy() && s.Ballot.LeaderIncarnation == p.rankStates[address].Incarnation {
			key = s
			key.Step, key.Pace, interval = 0, paceLevel(s.Pace), repeatInterval(s.Size)
		}
		t := p.deputyThrottles[address]
		if t.due(now, key, interval) {
			p.deputyThrottles[address] = t
			n := p.newDatagram()
			n.Rank, n.Known = encodeState(s), p.knownMap()
			p.send(n, []netip.AddrPort{address})
		}
	}
}

// deputyStateInterval returns the time between two datagrams with the own state to a deputy that does not act; mu is held.
func (p *Process) deputyStateInterval(s hold.State) time.Duration {
	switch {
	case !p.core.Busy():
		return idleDeputyInterval
	case s.Rank <= hold.Deputies:
		return leadingInterval
	}
	return deputyInterval
}

// announceDeputy makes a deputy known to the slots that are not known to be in other groups, and sends them the attempt of
// which it is the leader; mu is held.
func (p *Process) announceDeputy(now time.Time) {
	s := p.core.State()
	if s.Rank < 1 || s.Rank > hold.Deputies {
		return
	}
	if p.core.Published() != nil {
		p.sendToRanks(now)
	}
	var to []netip.AddrPort
	for _, address := range p.mesh.Addresses("", true) {
		if r, ok := p.rankStates[address]; !ok || r.Group == s.Group {
			to = append(to, address)
		}
	}
	interval := max(announceInterval, time.Duration(len(to))*rankInterval)
	if len(to) > 0 && p.announceThrottle.due(now, struct{}{}, interval) {
		n := p.newDatagram()
		n.Rank = encodeState(s)
		p.send(n, to)
	}
}
