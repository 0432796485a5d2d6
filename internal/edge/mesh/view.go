package mesh

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// liveTime is the age of the latest datagram above which a process is left out of a view.
const liveTime = 1800 * time.Millisecond

// Centre holds the live processes of one data centre.
type Centre struct {
	Name string
	// Entries and Slots are the addresses in ascending order.
	Entries, Slots []netip.AddrPort
}

// View holds the live processes of all data centres in ascending order of their names.
type View []Centre

// view is what a relay told of one data centre at a time.
type view struct {
	Centre
	at time.Time
}

// Digest returns a hash of the view.
func (v View) Digest() uint64 {
	var b []byte
	for _, c := range v {
		b = append(append(b, c.Name...), 0)
		for _, list := range [][]netip.AddrPort{c.Entries, c.Slots} {
			b = binary.LittleEndian.AppendUint64(b, uint64(len(list)))
			for _, a := range list {
				host := a.Addr().As16()
				b = binary.LittleEndian.AppendUint16(append(b, host[:]...), a.Port())
			}
		}
	}
	return xxhash.Sum64(b)
}

// Centre returns a data centre of the view; it has no processes if it is not known.
func (v View) Centre(name string) Centre {
	for _, c := range v {
		if c.Name == name {
			return c
		}
	}
	return Centre{Name: name}
}

// Entries returns the addresses of all entries.
func (v View) Entries() (out []netip.AddrPort) {
	for _, c := range v {
		out = append(out, c.Entries...)
	}
	return out
}

// Slots returns the addresses of all slots.
func (v View) Slots() (out []netip.AddrPort) {
	for _, c := range v {
		out = append(out, c.Slots...)
	}
	return out
}

// View returns the live processes: this one, those heard of late, and those that relays named of late.
func (m *Mesh) View(now time.Time) View {
	centres := map[string]*Centre{}
	centre := func(name string) *Centre {
		if centres[name] == nil {
			centres[name] = &Centre{Name: name}
		}
		return centres[name]
	}
	own := centre(m.own.Centre)
	own.add(m.own.Address, m.own.Slot)
	for _, p := range m.peers {
		if p.Confirmed && now.Sub(p.LastSeen) <= liveTime {
			centre(p.Centre).add(p.Address, p.Slot)
		}
	}
	for name, v := range m.views {
		// A relay knows the processes of its own data centre better than any other process does.
		if now.Sub(v.at) > liveTime || name == m.own.Centre && m.IsRelay() {
			continue
		}
		c := centre(name)
		c.Entries, c.Slots = append(c.Entries, v.Entries...), append(c.Slots, v.Slots...)
	}
	out := make(View, 0, len(centres))
	for _, c := range centres {
		c.Entries, c.Slots = sorted(c.Entries), sorted(c.Slots)
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Centre) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (c *Centre) add(address netip.AddrPort, slot bool) {
	if slot {
		c.Slots = append(c.Slots, address)
		return
	}
	c.Entries = append(c.Entries, address)
}

// sorted returns the addresses in ascending order without duplicates.
func sorted(list []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// LearnView records the data centres that a process names. If they are the complete view of the relay of this process's data
// centre that is to be believed, they replace all that is known. A relay is believed about its own data centre, too. Of other
// processes only the addresses are kept.
func (m *Mesh) LearnView(now time.Time, from *Peer, centres View, complete bool) {
	m.knownDigest = 0
	source := m.Source(now, from.Centre) == from
	// Two relays that believed each other would confirm for ever what neither hears any more.
	complete = complete && source && from.Centre == m.own.Centre && !m.IsRelay()
	if complete {
		clear(m.views)
	}
	for _, c := range centres {
		if complete || source && from.Centre == c.Name {
			m.views[c.Name] = view{Centre: c, at: now}
		}
		for _, address := range c.Entries {
			m.learnAddress(now, address, c.Name, false)
		}
		for _, address := range c.Slots {
			m.learnAddress(now, address, c.Name, true)
		}
	}
}

// ConfirmView records that what a relay told before still holds, and reports whether it does: the digest is that of its view
// or, from a relay of another data centre, of its own data centre.
func (m *Mesh) ConfirmView(now time.Time, from *Peer, digest uint64) bool {
	if from.Centre != m.own.Centre {
		v, ok := m.views[from.Centre]
		if !ok || (View{v.Centre}).Digest() != digest {
			return false
		}
		v.at = now
		m.views[from.Centre] = v
		return true
	}
	if m.IsRelay() || m.KnownDigest() != digest {
		return false
	}
	for name, v := range m.views {
		v.at = now
		m.views[name] = v
	}
	return true
}

// KnownDigest returns the digest of what relays told last.
func (m *Mesh) KnownDigest() uint64 {
	if m.knownDigest == 0 {
		known := make(View, 0, len(m.views))
		for _, name := range slices.Sorted(maps.Keys(m.views)) {
			known = append(known, m.views[name].Centre)
		}
		m.knownDigest = known.Digest()
	}
	return m.knownDigest
}

func (m *Mesh) learnAddress(now time.Time, address netip.AddrPort, centre string, slot bool) {
	if address == m.own.Address {
		return
	}
	p := m.peers[address]
	if p == nil {
		m.peers[address] = &Peer{Address: address, Centre: centre, Slot: slot, LastSeen: now}
		return
	}
	if !p.Confirmed {
		p.LastSeen = now
	}
}
