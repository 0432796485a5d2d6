// Package mesh keeps track of the other processes of the system by their datagrams.
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
	// Name and Centre are empty until a datagram of the process is received.
	Name, Centre string
	// Slot is set for a slot; otherwise the process is an entry.
	Slot bool
	// Incarnation is chosen at random when the process starts; Sequence increases with each datagram.
	Incarnation, Sequence uint64
	// LastSeen is the time of the process's latest datagram, or of AddRelayed if none was received.
	LastSeen time.Time
	// Confirmed is set if a datagram was received from the process itself and it is not lost.
	Confirmed bool
	// Loads holds an entry's requests in progress by target hash.
	Loads map[uint32]int
}

// Mesh holds the known processes. It is not safe for concurrent use.
type Mesh struct {
	// own is the address of this process.
	own netip.AddrPort
	// seeds never expire.
	seeds []netip.AddrPort
	peers map[netip.AddrPort]*Peer
}

// New returns a Mesh for a process with its own address and seeds, which are addresses of entries and may be stale.
func New(own netip.AddrPort, seeds []netip.AddrPort) *Mesh {
	return &Mesh{own: own, seeds: seeds, peers: map[netip.AddrPort]*Peer{}}
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(seeds []netip.AddrPort) {
	m.seeds = seeds
}

// AddRelayed records the address of a process relayed by another process.
func (m *Mesh) AddRelayed(now time.Time, address netip.AddrPort, slot bool) {
	if address == m.own || m.peers[address] != nil {
		return
	}
	m.peers[address] = &Peer{Address: address, Slot: slot, LastSeen: now}
}

// Receive records the header of a datagram and returns its sender, or nil if the datagram is a duplicate or out of order.
// It also reports whether the sender is new, has restarted or was lost before.
func (m *Mesh) Receive(now time.Time, v Peer) (p *Peer, isNew bool) {
	p = m.peers[v.Address]
	switch {
	case p == nil || !p.Confirmed || p.Incarnation != v.Incarnation || now.Sub(p.LastSeen) > lostAfter:
		isNew = true
	case v.Sequence <= p.Sequence:
		return nil, false
	}
	if p == nil {
		p = &Peer{}
		m.peers[v.Address] = p
	}
	loads := p.Loads
	*p = v
	p.LastSeen, p.Confirmed, p.Loads = now, true, loads
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

// Addresses returns the known addresses of processes of a role; for entries, they include the seeds.
func (m *Mesh) Addresses(slot bool) (out []netip.AddrPort) {
	for address, p := range m.peers {
		if p.Slot == slot {
			out = append(out, address)
		}
	}
	if slot {
		return out
	}
	for _, seed := range m.seeds {
		if p := m.peers[seed]; seed != m.own && (p == nil || p.Slot) {
			out = append(out, seed)
		}
	}
	return out
}

// Loads sums the requests in progress of the other entries by target hash.
func (m *Mesh) Loads() map[uint32]int {
	sum := map[uint32]int{}
	for _, p := range m.peers {
		for hash, n := range p.Loads {
			sum[hash] += n
		}
	}
	return sum
}
