// Package mesh keeps track of the other processes of the system by their datagrams.
//
// The processes of a data centre report to a few of its entries, the relays. A relay passes on what it hears to the processes
// of its data centre and to the relays of the others, so the datagrams of a process do not grow with the number of processes.
package mesh

import (
	"net/netip"
	"time"
)

const (
	// lostAfter is the age of the latest datagram above which a process counts as lost.
	lostAfter = 3 * time.Second
	// forgetAfter is the age above which the address of a lost process is no longer used.
	forgetAfter = 30 * time.Second
)

// Peer is another process.
type Peer struct {
	// Address is where the process receives datagrams.
	Address netip.AddrPort
	// Name is empty until a datagram of the process is received.
	Name, Centre string
	// Slot is set for a slot; otherwise the process is an entry.
	Slot bool
	// Incarnation is chosen at random when the process starts; Sequence increases with each datagram.
	Incarnation, Sequence uint64
	// LastSeen is the time of the process's latest datagram, or of the latest view that names it if none was received.
	LastSeen time.Time
	// Confirmed is set if a datagram was received from the process itself and it is not lost.
	Confirmed bool
	// Loads holds the requests in progress by target hash as the process last reported them: those of an entry or, from a
	// relay of another data centre, those of all its entries.
	Loads map[uint32]int
	relayState
}

// Mesh holds the known processes. It is not safe for concurrent use.
type Mesh struct {
	// own describes this process.
	own Peer
	// silence is the time without a datagram of a relay after which another one takes its place.
	silence time.Duration
	// seeds never expire.
	seeds []netip.AddrPort
	peers map[netip.AddrPort]*Peer
	// views holds what relays last told of each data centre.
	views map[string]view
	// knownDigest is the digest of views, or zero if it is not known.
	knownDigest uint64
	// relaySince is the time since which this process has been a relay without interruption; zero if it is none.
	relaySince time.Time
	// reads is set while this process reads the store itself, and blindSince is since when no relay of the data centre that was heard can,
	// or zero.
	reads      bool
	blindSince time.Time
	// searched is the number of candidates of other data centres that were tried in turn.
	searched int
}

// New returns a Mesh for a process, of which the address, the data centre and the role are used, with seeds, which are
// addresses of entries and may be stale. A relay that sends nothing for the time of silence is replaced.
func New(own Peer, silence time.Duration, seeds []netip.AddrPort) *Mesh {
	return &Mesh{own: own, silence: silence, seeds: seeds, peers: map[netip.AddrPort]*Peer{}, views: map[string]view{}}
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(seeds []netip.AddrPort) {
	m.seeds = seeds
}

// Receive records the header of a datagram and returns its sender, or nil if the datagram is a duplicate or out of order.
// It also reports whether the sender is new, has restarted or was lost before.
func (m *Mesh) Receive(now time.Time, v Peer) (p *Peer, isNew bool) {
	p = m.peers[v.Address]
	switch {
	case v.Address == m.own.Address:
		return nil, false
	case p == nil || !p.Confirmed || p.Incarnation != v.Incarnation || now.Sub(p.LastSeen) > lostAfter:
		isNew = true
	case v.Sequence <= p.Sequence:
		return nil, false
	}
	if p == nil {
		p = &Peer{}
		m.peers[v.Address] = p
	}
	loads, state := p.Loads, p.relayState
	*p = v
	p.LastSeen, p.Confirmed, p.Loads, p.relayState = now, true, loads, state
	return p, isNew
}

// Expire removes the processes not seen for forgetAfter and returns those lost since the previous call.
func (m *Mesh) Expire(now time.Time) (lost []Peer) {
	for address, p := range m.peers {
		age := now.Sub(p.LastSeen)
		if p.Confirmed && age > lostAfter {
			lost = append(lost, *p)
			p.Confirmed, p.Loads = false, nil
		}
		if age > forgetAfter {
			delete(m.peers, address)
		}
	}
	for centre, v := range m.views {
		if now.Sub(v.at) > forgetAfter {
			delete(m.views, centre)
			m.knownDigest = 0
		}
	}
	return lost
}

// Peers returns the confirmed processes of a role.
func (m *Mesh) Peers(slot bool) (out []*Peer) {
	for _, p := range m.peers {
		if p.Confirmed && p.Slot == slot {
			out = append(out, p)
		}
	}
	return out
}

// Addresses returns the known addresses of processes of a role in a data centre, or in all if the centre is empty.
func (m *Mesh) Addresses(centre string, slot bool) (out []netip.AddrPort) {
	for address, p := range m.peers {
		if p.Slot == slot && (centre == "" || p.Centre == centre) {
			out = append(out, address)
		}
	}
	for name, v := range m.views {
		if centre != "" && centre != name {
			continue
		}
		list := v.Entries
		if slot {
			list = v.Slots
		}
		for _, address := range list {
			if m.peers[address] == nil && address != m.own.Address {
				out = append(out, address)
			}
		}
	}
	return out
}

// Seeds returns the addresses of the seeds other than this process.
func (m *Mesh) Seeds() (out []netip.AddrPort) {
	for _, seed := range m.seeds {
		if seed != m.own.Address {
			out = append(out, seed)
		}
	}
	return out
}
