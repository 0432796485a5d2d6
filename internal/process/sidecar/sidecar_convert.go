package sidecar

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

func encodeState(s hold.State) *message.RankState {
	address, port := encodeAddress(s.Engine)
	return &message.RankState{
		Life: s.Incarnation, Group: s.Group, Epoch: s.Epoch, Rank: uint32(s.Rank), Size: uint32(s.Size), Open: s.Open, Step: s.Step, Map: s.MapVersion,
		Prepared: s.Prepared, Armed: s.Armed, At: s.ArmedStep, Held: s.HeldStep, Clean: s.NoPendingOrders, Firm: s.NoPendingDisarm,
		Attempt: s.Ballot.Number, Lead: s.Ballot.LeaderIncarnation, Phase: uint32(s.Phase), Refused: s.Refused, Steady: s.NoPendingRelease, Guards: s.Guarding,
		Pace: float32(s.Pace), Engine: address, Port: port,
	}
}

func decodeState(m *message.RankState) hold.State {
	return hold.State{
		Incarnation: m.Life, Group: m.Group, Epoch: m.Epoch, Rank: int(m.Rank), Size: int(m.Size), Open: m.Open, Step: m.Step, MapVersion: m.Map,
		Prepared: m.Prepared, Armed: m.Armed, ArmedStep: m.At, HeldStep: m.Held, NoPendingOrders: m.Clean, NoPendingDisarm: m.Firm,
		Ballot: hold.Ballot{Number: m.Attempt, LeaderIncarnation: m.Lead}, Phase: hold.Phase(m.Phase), Refused: m.Refused, NoPendingRelease: m.Steady, Guarding: m.Guards,
		Pace: float64(m.Pace), Engine: decodeAddress(m.Engine, m.Port),
	}
}

// encodeAddress encodes an IPv4 address and port; others are encoded as zero, which means that the address is not known.
func encodeAddress(a netip.AddrPort) (address, port uint32) {
	if !a.Addr().Is4() {
		return 0, 0
	}
	b := a.Addr().As4()
	return binary.BigEndian.Uint32(b[:]), uint32(a.Port())
}

// decodeAddress returns the address of its wire form, or an invalid one if it is not known.
func decodeAddress(address, port uint32) netip.AddrPort {
	if address == 0 || port == 0 || port > math.MaxUint16 {
		return netip.AddrPort{}
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], address)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(port))
}

// encodeAttempt encodes an attempt without the Incarnations, of which each receiver gets its own.
func encodeAttempt(a *hold.Attempt) *message.Attempt {
	if a == nil {
		return nil
	}
	m := &message.Attempt{
		Group: a.Group, Epoch: a.Epoch, Number: a.Number, Lead: a.LeaderIncarnation, Phase: uint32(a.Phase), Version: a.Version, Step: a.Step,
		Guard: uint32(a.Guard), Aborted: a.Aborted,
	}
	for _, set := range a.Map {
		s := &message.SetMap{}
		for _, experts := range set {
			s.Ranks = append(s.Ranks, encodeExperts(experts))
		}
		m.Sets = append(m.Sets, s)
	}
	return m
}

// decodeAttempt decodes an attempt for the slot of a rank; of the Incarnations it has only that of this slot.
func decodeAttempt(m *message.Attempt, rank int) *hold.Attempt {
	if m == nil {
		return nil
	}
	a := &hold.Attempt{
		Ballot: hold.Ballot{Number: m.Number, LeaderIncarnation: m.Lead}, Group: m.Group, Epoch: m.Epoch, Phase: hold.Phase(m.Phase),
		Version: m.Version, Step: m.Step, Guard: int(m.Guard), Aborted: m.Aborted,
	}
	if m.Life != 0 {
		a.Incarnations = make([]uint64, rank+1)
		a.Incarnations[rank] = m.Life
	}
	for _, s := range m.Sets {
		var set [][]int
		for _, r := range s.Ranks {
			set = append(set, decodeExperts(r))
		}
		a.Map = append(a.Map, set)
	}
	return a
}

func encodeExperts(experts []int) *message.RankMap {
	m := &message.RankMap{}
	for _, e := range experts {
		m.Experts = append(m.Experts, uint32(e))
	}
	return m
}

func decodeExperts(m *message.RankMap) []int {
	experts := make([]int, len(m.Experts))
	for i, e := range m.Experts {
		experts[i] = int(e)
	}
	return experts
}
