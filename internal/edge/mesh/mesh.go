// Package mesh keeps what a process knows of the system's other processes from their datagrams.
package mesh

import (
	"net/netip"
	"time"
)

const (
	// silence is the age of the newest datagram at which a process counts as gone.
	silence = 3 * time.Second
	// forget is the age at which the address of a silent process is no longer tried.
	forget = 30 * time.Second
)

// Peer is another process.
type Peer struct {
	// Address is where it takes datagrams.
	Address netip.AddrPort
	// Name and Centre are empty until it was heard.
	Name, Centre string
	// Slot tells that it is a slot; otherwise it is an entry.
	Slot bool
	// Incarnation is chosen at random when the process starts; Sequence rises with each datagram.
	Incarnation, Sequence uint64
	// LastSeen is the time of its newest datagram, or of the first mention of its address.
	LastSeen time.Time
	// Confirmed tells that it was heard itself.
	Confirmed bool
	// Loads are an entry's requests in progress by the hash of the target.
	Loads map[uint32]int
}

// Mesh holds the known processes. It is not safe for concurrent use.
type Mesh struct {
	// own is the process's own address.
	own netip.AddrPort
	// seeds are tried for ever.
	seeds []netip.AddrPort
	peers map[netip.AddrPort]*Peer
}

// New returns a Mesh that knows its own address and seeds, which are addresses of entries and may be stale.
func New(own netip.AddrPort, seeds []netip.AddrPort) *Mesh {
	return &Mesh{own: own, seeds: seeds, peers: map[netip.AddrPort]*Peer{}}
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(seeds []netip.AddrPort) {
	m.seeds = seeds
}

// AddRelayed notes an address that another process heard lately.
func (m *Mesh) AddRelayed(now time.Time, address netip.AddrPort, slot bool) {
	if address == m.own || m.peers[address] != nil {
		return
	}
	m.peers[address] = &Peer{Address: address, Slot: slot, LastSeen: now}
}

// Receive takes the head of a datagram and returns its sender, or nil when it is older than one before.
// It reports whether the sender is new or has restarted.
func (m *Mesh) Receive(now time.Time, v Peer) (p *Peer, news bool) {
	p = m.peers[v.Address]
	switch {
	case p == nil || !p.Confirmed || p.Incarnation != v.Incarnation || now.Sub(p.LastSeen) > silence:
		news = true
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
	return p, news
}

// Expire forgets addresses that were silent for long and returns the processes that went silent since the last call.
func (m *Mesh) Expire(now time.Time) (lost []Peer) {
	for address, p := range m.peers {
		age := now.Sub(p.LastSeen)
		if p.Confirmed && age > silence {
			lost = append(lost, *p)
			p.Confirmed, p.Loads = false, nil
		}
		if age > forget {
			delete(m.peers, address)
		}
	}
	return lost
}

// Peers returns the processes of a role that were heard lately.
func (m *Mesh) Peers(slot bool) (out []*Peer) {
	for _, p := range m.peers {
		if p.Confirmed && p.Slot == slot {
			out = append(out, p)
		}
	}
	return out
}

// Addresses returns where to send news for a role: every known address, with the seeds, which are entries.
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

// Loads sums the requests in progress of the other entries by the hash of the target.
func (m *Mesh) Loads() map[uint32]int {
	sum := map[uint32]int{}
	for _, p := range m.peers {
		for hash, n := range p.Loads {
			sum[hash] += n
		}
	}
	return sum
}
