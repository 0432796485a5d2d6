package sidecar

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// TestEngineAddressInStates checks that a state carries the engine's address to the other slots, that an engine of the own
// machine only is named by the slot's address, and that an attempt says that it was aborted, or no restarted guard would release.
func TestEngineAddressInStates(t *testing.T) {
	is := is.New(t)
	a := netip.MustParseAddrPort("10.2.0.38:8023")
	is.Equal(decodeState(encodeState(hold.State{Rank: 3, Engine: a})), hold.State{Rank: 3, Engine: a})
	is.Equal(decodeState(encodeState(hold.State{Rank: 3})).Engine, netip.AddrPort{})
	is.Equal(decodeAddress(1, 70_000), netip.AddrPort{})
	attempt := hold.Attempt{Ballot: hold.Ballot{Number: 3, LeaderIncarnation: 7}, Group: "g", Epoch: 1, Phase: hold.PhaseEnded, Step: 42, Aborted: true}
	is.Equal(decodeAttempt(encodeAttempt(&attempt), 0), &attempt)
	own := site.Settings{Engine: netip.MustParseAddrPort("127.0.0.1:8023"), Peers: netip.MustParseAddrPort("10.2.0.38:7340")}
	is.Equal(reachableEngine(&own), a)
	is.Equal(reachableEngine(&site.Settings{Engine: a, Peers: own.Peers}), a)
}

// TestDeputyReleasesTheFrozenLeadersEngine freezes the slot of the leader while its engine holds the group. The deputy must
// hold the step with its own engine, release the leader's engine by orders to that engine, and then its own.
func TestDeputyReleasesTheFrozenLeadersEngine(t *testing.T) {
	is := is.New(t)
	own := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true, Step: 40, MapVersion: 5, Prepared: 6}}
	remote := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true, Step: 40, MapVersion: 5, Prepared: 6, Armed: 6, ArmedStep: 42, HeldStep: 42}}
	p := newTestProcess(own)
	address := netip.MustParseAddrPort("10.0.0.1:8023")
	p.EngineAt = func(a netip.AddrPort) Engine {
		is.Equal(a, address)
		return Engine{Report: remote.report, Order: remote.order, Experts: p.Engine.Experts}
	}
	p.applyConfiguration(&site.Configuration{Services: map[string]*site.Service{"desk": {Name: "desk", Experts: testExperts}}})
	now := time.Now()
	p.Now = func() time.Time { return now }
	var sent []*message.News
	p.transmit = func(n *message.News, _ []netip.AddrPort) error {
		sent = append(sent, proto.Clone(n).(*message.News))
		return nil
	}
	is.NoErr(p.readEngine(t.Context()))
	now = now.Add(time.Minute) // no release of an earlier process can be pending
	is.NoErr(p.readEngine(t.Context()))
	s := hold.State{Incarnation: 7, Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true, Step: 40, MapVersion: 5, Prepared: 6, HeldStep: 42, Engine: address}
	a := &hold.Attempt{Ballot: hold.Ballot{Number: 3, LeaderIncarnation: 7}, Group: "g", Epoch: 1, Phase: hold.PhaseArm, Version: 6, Step: 42}
	p.receive(netip.MustParseAddrPort("10.0.0.1:7000"), &message.News{
		Name: "slot-0", Incarnation: 7, Sequence: 1, Slot: true, Rank: encodeState(s), Attempt: encodeAttempt(a),
	})
	began := now
	for now.Sub(began) < time.Second && (remote.held() != 0 || own.held() != 0 || now.Sub(began) < 300*time.Millisecond) {
		now = now.Add(busyInterval)
		is.NoErr(p.readEngine(t.Context()))
		p.runOrders(t.Context(), p.sendState)
		p.startRemoteCalls(t.Context())
		p.sendState()
		p.remoteCalls.Wait()
	}
	t.Logf("released after %v", now.Sub(began))
	is.True(own.received(hold.OrderHold))
	is.True(remote.received(hold.OrderDisarm) && remote.received(hold.OrderPrepare) && remote.received(hold.OrderRelease))
	is.Equal(remote.state.HeldStep, uint64(0))
	is.True(now.Sub(began) < 600*time.Millisecond)
	for _, o := range remote.orders {
		is.Equal(o.Epoch, uint64(1))
		is.True(o.Kind != hold.OrderPrepare || o.Map != nil)
	}
	announced := false
	for _, n := range sent {
		announced = announced || n.Attempt != nil && n.Attempt.Lead == p.Incarnation
	}
	is.True(announced) // the leader's slot finds the higher ballot once it is thawed
}

// held returns the step that the engine holds.
func (f *fakeEngine) held() uint64 {
	e, _ := f.report(context.Background())
	return e.HeldStep
}

// TestDeputyHearsTheEndSoon loses the end of a switch on the way to a deputy, which then still follows the switch while the leader
// is at rest. The deputy must get it again before it takes the leader for silent.
func TestDeputyHearsTheEndSoon(t *testing.T) {
	is := is.New(t)
	f := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true, Step: 40, MapVersion: 5}}
	p := newTestProcess(f)
	now := time.Now()
	p.Now = func() time.Time { return now }
	ends := 0
	p.transmit = func(n *message.News, _ []netip.AddrPort) error {
		if n.Attempt != nil && n.Attempt.Phase == uint32(hold.PhaseEnded) {
			ends++
		}
		return nil
	}
	is.NoErr(p.readEngine(t.Context()))
	now = now.Add(time.Minute)
	f.state.Step++
	is.NoErr(p.readEngine(t.Context()))
	s := hold.State{Incarnation: 7, Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true, Step: 41, MapVersion: 5, NoPendingOrders: true, NoPendingDisarm: true}
	receive := func(sequence uint64) {
		p.receive(netip.MustParseAddrPort("10.0.0.1:7000"), &message.News{Name: "slot-1", Incarnation: 7, Sequence: sequence, Slot: true, Rank: encodeState(s)})
	}
	receive(1)
	is.True(p.core.Begin(now, [][][]int{{{0, 1}, {2, 3}}}))
	s.Ballot, s.Phase, s.Refused = p.core.Published().Ballot, hold.PhasePrepare, true
	receive(2)
	is.Equal(p.core.Published().Phase, hold.PhaseEnded)
	for range 10 {
		p.sendState()
		now = now.Add(busyInterval / 2)
	}
	is.True(ends >= 3) // in 200 ms
}

// TestStatesFitTheDeputiesLinks counts the bytes of the states that a deputy gets from all ranks during a switch in which each
// rank's state changes twelve times a second, beside those that it gets from a group at rest, and that it sends itself.
func TestStatesFitTheDeputiesLinks(t *testing.T) {
	const link, second = 750_000, time.Second
	for _, ranks := range []int{24, 63, 129} {
		is := is.New(t)
		deputy := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 7000)
		// sent returns the bytes that a rank sends to the deputy in a second.
		sent := func(rank int, busy bool) (bytes int) {
			f := &fakeEngine{state: hold.Engine{Group: "a-group", Epoch: 1_700_000_000_000, Rank: rank, Size: ranks, Open: true, Step: 400_000, MapVersion: 1_700_000_000_000}}
			p := newTestProcess(f)
			now := time.Now()
			p.Now = func() time.Time { return now }
			p.transmit = func(n *message.News, addresses []netip.AddrPort) error {
				for _, a := range addresses {
					if a == deputy {
						bytes += proto.Size(n)
					}
				}
				return nil
			}
			s := hold.State{Incarnation: 7 << 50, Group: "a-group", Epoch: 1_700_000_000_000, Rank: 1, Size: ranks, Open: true, Step: 400_000}
			n := &message.News{Name: "slot-1", Incarnation: 7 << 50, Sequence: 1, Slot: true, Rank: encodeState(s)}
			if busy {
				n.Attempt = encodeAttempt(&hold.Attempt{
					Ballot: hold.Ballot{Number: 3, LeaderIncarnation: 8 << 50}, Group: s.Group, Epoch: s.Epoch, Phase: hold.PhasePrepare, Version: 1_700_000_000_001,
				})
			}
			is.NoErr(p.readEngine(t.Context()))
			now = now.Add(time.Minute)
			is.NoErr(p.readEngine(t.Context()))
			p.receive(deputy, n)
			s.Rank, s.Incarnation = 0, 8<<50
			leader := netip.MustParseAddrPort("10.0.0.99:7000")
			p.receive(leader, &message.News{Name: "slot-0", Incarnation: s.Incarnation, Sequence: 1, Slot: true, Rank: encodeState(s)})
			p.sendState()
			bytes = 0
			for i := time.Duration(0); i < second; i += busyInterval {
				now = now.Add(busyInterval)
				if busy && i%(2*busyInterval) == 0 {
					f.state.Prepared++
				}
				is.NoErr(p.readEngine(t.Context()))
				p.sendState()
			}
			return bytes
		}
		busy, idle := sent(9, true)*(ranks-1), sent(9, false)*(ranks-1)
		t.Logf("%d ranks: %d bytes a second during a switch, %d at rest", ranks, busy, idle)
		is.True(busy > idle && idle > 0)
		is.True(float64(busy) < 0.08*link)
		is.True(float64(idle) < 0.03*link)
	}
}
