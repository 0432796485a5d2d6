package sidecar

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/patch"
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

// TestCountsFitTheLink checks that the counts of all ranks fill no more than a fifth of the leader's link.
func TestCountsFitTheLink(t *testing.T) {
	tests := []struct {
		name                 string
		sets, experts, ranks int
		// link is in bytes a second.
		link float64
	}{
		{"12 ranks", 4, 72, 12, 2_500_000},
		{"63 ranks", 8, 252, 63, 1_000_000},
		{"129 ranks", 16, 258, 129, 750_000},
		{"3,700 ranks", 16, 7_400, 3_700, 750_000},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			p := newTestProcess(&fakeEngine{})
			p.settings.Store(&site.Settings{Link: v.link})
			p.expertConfig = &site.Experts{Sets: v.sets, Count: v.experts}
			n := message.News{Counts: slices.Repeat([]uint32{100}, v.sets*v.experts)}
			bytes := float64(proto.Size(&n) * v.ranks)
			is.True(bytes/p.countSendInterval(v.ranks).Seconds() <= 0.2*v.link)
			is.True(p.countSendInterval(v.ranks) >= countInterval)
		})
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
	f.state.Step++
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
	f.state.Step++
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

// TestPatchedMapsReachLargeGroups lets a leader of 129 ranks, whose link carries 750,000 bytes a second, begin a switch in which
// each rank loads an expert. Every rank must get what it needs within 200 ms, and build the same map from it. A rank that does
// not know the map in use gets a complete one.
func TestPatchedMapsReachLargeGroups(t *testing.T) {
	is := is.New(t)
	const ranks, sets, experts, link = 129, 16, 258, 750_000
	f := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 0, Size: ranks, Open: true, Step: 40}}
	p := newTestProcess(f)
	p.attemptBandwidth.SetLimit(attemptLinkShare * link)
	now := time.Now()
	p.Now = func() time.Time { return now }
	got := map[netip.AddrPort]*message.Attempt{}
	sent := 0
	p.transmit = func(n *message.News, addresses []netip.AddrPort) error {
		sent += proto.Size(n) * len(addresses)
		for _, a := range addresses {
			if n.Attempt != nil && (n.Attempt.Base != 0 || len(n.Attempt.Sets) > 0) {
				got[a] = proto.Clone(n.Attempt).(*message.Attempt)
			}
		}
		return nil
	}
	initial := patch.Initial(sets, experts, ranks)
	p.currentMap = patch.Map{Epoch: 1, Sets: initial}
	is.NoErr(p.readEngine(t.Context()))
	now = now.Add(time.Minute)
	f.state.Step++
	is.NoErr(p.readEngine(t.Context()))
	address := func(rank int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rank)}), 7000)
	}
	const unaware = 5
	for r := 1; r < ranks; r++ {
		s := hold.State{Incarnation: 7, Group: "g", Epoch: 1, Rank: r, Size: ranks, Open: true, Step: 40, NoPendingOrders: true, NoPendingDisarm: true}
		n := &message.News{Name: "slot", Incarnation: 7, Sequence: 1, Slot: true, Rank: encodeState(s), Known: 1}
		if r == unaware {
			n.Known = 0
		}
		p.receive(address(r), n)
	}
	next := patch.Initial(sets, experts, ranks)
	for r := range ranks {
		set := r % sets
		next[set][r] = append(next[set][r], (r+1)%experts)
	}
	next = patch.Sort(next)
	is.True(p.core.Begin(now, next))
	for began := now; now.Sub(began) < 200*time.Millisecond; now = now.Add(busyInterval) {
		p.sendState()
	}
	t.Logf("%d bytes in 200 ms", sent)
	is.True(float64(sent) < 0.2*link+attemptBurst)
	is.Equal(len(got), ranks-1)
	q := newTestProcess(f)
	q.currentMap = patch.Map{Epoch: 1, Sets: patch.Initial(sets, experts, ranks)}
	for r := 1; r < ranks; r++ {
		a := got[address(r)]
		is.Equal(a.Base == 0, r == unaware)
		is.Equal(q.decodePatched(a).Map, next)
	}
}

// TestSlotWithAnotherMapTakesNoPatch gives a slot a patch of a map that it does not have. It follows no attempt whose map it
// cannot know, and tells the leader so.
func TestSlotWithAnotherMapTakesNoPatch(t *testing.T) {
	from, to := patch.Initial(1, 4, 2), patch.Initial(1, 4, 2)
	to[0][1] = []int{0, 1, 3}
	difference := patch.New(from, to)
	m := &message.Attempt{Group: "g", Epoch: 1, Number: 1, Phase: uint32(hold.PhasePrepare), Version: 9, Base: 6, Digest: difference.Digest, Changes: difference.Changes}
	other := patch.Initial(1, 4, 2)
	other[0][0] = []int{0}
	tests := []struct {
		name  string
		known patch.Map
		// followed is set if the patch fits, and unknown if the slot no longer trusts its map.
		followed, unknown bool
	}{
		{"the same map", patch.Map{Epoch: 1, Version: 5, Sets: from}, true, false},
		{"another version", patch.Map{Epoch: 1, Version: 4, Sets: from}, false, false},
		{"another epoch", patch.Map{Epoch: 2, Version: 5, Sets: from}, false, false},
		{"no map", patch.Map{Epoch: 1, Version: 5}, false, true},
		{"another content", patch.Map{Epoch: 1, Version: 5, Sets: other}, false, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			p := newTestProcess(&fakeEngine{})
			p.currentMap = v.known
			is.Equal(p.decodePatched(m) != nil, v.followed)
			is.Equal(p.knownMap() == 0, v.unknown)
		})
	}
}
