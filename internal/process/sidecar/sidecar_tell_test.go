package sidecar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// TestPace checks that a change is told at once, and the same only after the interval.
func TestPace(t *testing.T) {
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
	var p pace[int]
	for _, v := range tests {
		is.Equal(p.due(start.Add(v.after), v.key, 100*time.Millisecond), v.due)
	}
}

// TestCountPause checks that the counts which reach the lead do not grow with the group.
func TestCountPause(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{1, 12, 24, 63, 252} {
		perInterval := float64(size) * countInterval.Seconds() / countPause(size).Seconds()
		is.True(perInterval < 2*countingRanks)
	}
}

// woken reports whether the engine's loop was woken, and forgets it.
func woken(p *Process) bool {
	select {
	case <-p.wake:
		return true
	default:
		return false
	}
}

// TestLeadWakesOnlyToAct lets ranks repeat their states to a lead that prepares a switch. Every wake costs a read of the engine
// and datagrams to all ranks, so with one for each datagram the work of a group grows with the square of its size.
func TestLeadWakesOnlyToAct(t *testing.T) {
	is := is.New(t)
	f := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true, Step: 40, Map: 5}}
	p := newTestProcess(f)
	peer := netip.MustParseAddrPort("127.0.0.1:7001")
	sequence := uint64(0)
	hear := func(s hold.State) {
		sequence++
		p.hear(peer, &message.News{Name: "slot-1", Incarnation: 7, Sequence: sequence, Slot: true, Rank: encodeState(s)})
	}
	other := hold.State{Life: 7, Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true, Step: 40, Map: 5, Clean: true, Firm: true}
	is.NoErr(p.readEngine(t.Context()))
	// What an earlier process may have ordered is over.
	later := time.Now().Add(time.Minute)
	p.Now = func() time.Time { return later }
	is.NoErr(p.readEngine(t.Context()))
	hear(other)
	is.True(p.core.Begin(p.Now(), [][][]int{{{0, 1}, {2, 3}}}))
	p.orderAll(t.Context(), func() {})
	is.NoErr(p.readEngine(t.Context()))
	woken(p)
	other.Ballot, other.Phase = p.core.Published().Ballot, hold.PhasePrepare
	for range 100 {
		hear(other)
		is.True(!woken(p))
	}
	other.Prepared = p.core.Published().Version
	hear(other)
	is.True(woken(p)) // the group can be held
}
