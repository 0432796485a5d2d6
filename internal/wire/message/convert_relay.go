package message

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/inventory"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// EncodeView returns the wire form of the live processes.
func EncodeView(view mesh.View) (out []*Centre) {
	for _, c := range view {
		out = append(out, &Centre{Name: c.Name, Entries: encodeHosts(c.Entries), Slots: encodeHosts(c.Slots)})
	}
	return out
}

// DecodeView returns the live processes of their wire form. All of them use the given port.
func DecodeView(centres []*Centre, port uint16) (view mesh.View) {
	for _, c := range centres {
		view = append(view, mesh.Centre{Name: c.Name, Entries: decodeHosts(c.Entries, port), Slots: decodeHosts(c.Slots, port)})
	}
	return view
}

func encodeHosts(list []netip.AddrPort) (out []uint32) {
	for _, a := range list {
		out = append(out, encodeAddress(a.Addr()))
	}
	return out
}

func decodeHosts(list []uint32, port uint16) (out []netip.AddrPort) {
	for _, n := range list {
		out = append(out, netip.AddrPortFrom(decodeAddress(n), port))
	}
	return out
}

// encodeAddress returns an IPv4 address as a big-endian number.
func encodeAddress(a netip.Addr) uint32 {
	b := a.Unmap().As4()
	return binary.BigEndian.Uint32(b[:])
}

// decodeAddress is the inverse of encodeAddress.
func decodeAddress(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// EncodeLoads returns the wire form of the numbers of requests in progress by target hash.
func EncodeLoads(loads map[uint32]int) *Loads {
	m := &Loads{}
	for hash, running := range loads {
		m.Targets, m.Running = append(m.Targets, hash), append(m.Running, uint32(max(running, 0)))
	}
	return m
}

// Decode returns the numbers of their wire form; targets without a number are left out.
func (m *Loads) Decode() map[uint32]int {
	loads := map[uint32]int{}
	if m == nil {
		return loads
	}
	for i := range min(len(m.Targets), len(m.Running)) {
		loads[m.Targets[i]] = int(m.Running[i])
	}
	return loads
}

// EncodeTargets returns the wire form of changed records of targets. The time that a target is still cold counts from now.
func EncodeTargets(now time.Time, records []site.TargetRecord) (out []*Target) {
	for _, r := range records {
		t := r.Target
		if t == nil {
			out = append(out, &Target{Id: r.ID, Removed: true})
			continue
		}
		out = append(out, &Target{
			Id: r.ID, Start: t.StartUnixMilli, Service: t.Service, Address: encodeAddress(t.Address.Addr()), Port: uint32(t.Address.Port()),
			Centre: t.Centre, Width: uint32(max(t.Width, 0)), Leaving: t.Leaving, Created: t.Created,
			Group: t.Group, Pace: float32(t.Pace), Cold: max(t.ColdUntil.Sub(now).Microseconds(), 0),
		})
	}
	return out
}

// DecodePage returns the changes of the sender's inventory. The time that a target is still cold counts from now, which is later than
// when it was sent, so a delay never shortens it.
func (m *Answer) DecodePage(now time.Time) inventory.Page {
	page := inventory.Page{Reset: m.Reset_, Through: m.Through}
	for _, t := range m.Targets {
		r := site.TargetRecord{ID: t.Id}
		if !t.Removed {
			r.Target = &site.Target{
				ID: t.Id, StartUnixMilli: t.Start, Service: t.Service, Centre: t.Centre, Width: int(t.Width), Leaving: t.Leaving, Created: t.Created,
				Address: netip.AddrPortFrom(decodeAddress(t.Address), uint16(min(t.Port, math.MaxUint16))),
				Group:   t.Group, Pace: group.ClampPace(float64(t.Pace)),
			}
			if t.Cold > 0 {
				r.Target.ColdUntil = now.Add(decodeMicros(t.Cold))
			}
		}
		page.Records = append(page.Records, r)
	}
	return page
}
