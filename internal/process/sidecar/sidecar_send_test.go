package sidecar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// TestThrottle checks that a changed message is sent at once, and an unchanged one only after the interval.
func TestThrottle(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	tests := []struct {
		after time.Duration
		key   int
		due   bool
	}{
		{0, 1, true}, {10 * time.Millisecond, 1, false}, {20 * time.Millisecond, 2, true}, {30 * time.Millisecond, 2, false},
		{119 * time.Millisecond, 2, false}, {120 * time.Millisecond, 2, true}, {130 * time.Millisecond, 2, false},
	}
	var p throttle[int]
	for _, v := range tests {
		is.Equal(p.due(start.Add(v.after), v.key, 100*time.Millisecond), v.due)
	}
}

// TestCountSendInterval checks that the rate of counts that reach the leader does not grow with the group.
func TestCountSendInterval(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{1, 12, 24, 63, 252} {
		perInterval := float64(size) * countInterval.Seconds() / countSendInterval(size).Seconds()
		is.True(perInterval < 2*countingRanks)
	}
}

// woken reports whether followEngine was woken since the last call.
func woken(p *Process) bool {
	select {
	case <-p.wake:
		return true
	default:
		return false
	}
}

// TestLeaderWakesOnlyToAct lets ranks repeat their states to a leader that prepares a switch. Each wake-up costs a read of
// the engine and datagrams to all ranks, so with one for each datagram the work of a group grows with the square of its size.
func TestLeaderWakesOnlyToAct(t *testing.T) {
	is := is.New(t)
	f := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true, Step: 40, MapVersion: 5}}
	p := newTestProcess(f)
	peer := netip.MustParseAddrPort("127.0.0.1:7001")
	sequence := uint64(0)
	receive := func(s hold.State) {
		sequence++
		p.receive(peer, &message.News{Name: "slot-1", Incarnation: 7, Sequence: sequence, Slot: true, Rank: encodeState(s)})
	}
	other := hold.State{Incarnation: 7, Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true, Step: 40, MapVersion: 5, NoPendingOrders: true, NoPendingDisarm: true}
	is.NoErr(p.readEngine(t.Context()))
	// After a minute, no order of an earlier process can still be pending.
	later := time.Now().Add(time.Minute)
	p.Now = func() time.Time { return later }
	is.NoErr(p.readEngine(t.Context()))
	receive(other)
	is.True(p.core.Begin(p.Now(), [][][]int{{{0, 1}, {2, 3}}}))
	p.runOrders(t.Context(), func() {})
	is.NoErr(p.readEngine(t.Context()))
	woken(p)
	other.Ballot, other.Phase = p.core.Published().Ballot, hold.PhasePrepare
	for range 100 {
		receive(other)
		is.True(!woken(p))
	}
	other.Prepared = p.core.Published().Version
	receive(other)
	is.True(woken(p)) // all ranks have prepared, so the next phase can begin
}

// TestAttemptsFitTheLink lets a leader of 63 ranks begin a switch that no rank answers, as if all answers were lost. Its
// datagrams must not fill the link of a megabyte a second, the slowest of users, and every rank must get the complete
// expert map within a second.
func TestAttemptsFitTheLink(t *testing.T) {
	is := is.New(t)
	const ranks, sets, experts, linkRate, second = 63, 8, 252, 1_000_000, 1000 * time.Millisecond
	f := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 0, Size: ranks, Open: true, Step: 40, MapVersion: 5}}
	p := newTestProcess(f)
	now := time.Now()
	p.Now = func() time.Time { return now }
	sent, reached := 0, map[netip.AddrPort]bool{}
	p.transmit = func(n *message.News, addresses []netip.AddrPort) error {
		sent += proto.Size(n) * len(addresses)
		for _, a := range addresses {
			reached[a] = reached[a] || n.Attempt != nil && len(n.Attempt.Sets) == sets
		}
		return nil
	}
	is.NoErr(p.readEngine(t.Context()))
	now = now.Add(time.Minute)
	is.NoErr(p.readEngine(t.Context()))
	for r := 1; r < ranks; r++ {
		s := hold.State{Incarnation: 7, Group: "g", Epoch: 1, Rank: r, Size: ranks, Open: true, Step: 40, MapVersion: 5, NoPendingOrders: true, NoPendingDisarm: true}
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r)}), 7000)
		p.receive(from, &message.News{Name: "slot", Incarnation: 7, Sequence: 1, Slot: true, Rank: encodeState(s)})
	}
	var maps [][][]int
	for range sets {
		m := make([][]int, ranks)
		for e := range experts {
			m[e%ranks] = append(m[e%ranks], e)
		}
		maps = append(maps, m)
	}
	is.True(p.core.Begin(now, maps))
	for began := now; now.Sub(began) < second; now = now.Add(busyInterval) {
		p.sendState()
	}
	t.Logf("%d bytes in a second", sent)
	is.True(sent < linkRate)
	is.Equal(len(reached), ranks-1)
	for _, complete := range reached {
		is.True(complete)
	}
}
