package sidecar

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/load"
	"github.com/dragonflydeal/dragonflydeal/internal/group/patch"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// TestLeaderRelievesSlowRanks checks that a leader moves the experts of a slow rank away in the first plan after its report, also
// if the rank is its own.
func TestLeaderRelievesSlowRanks(t *testing.T) {
	const ranks = 3
	tests := []struct {
		name  string
		paces []float64
		// slow is the rank that is to hold no experts, or negative if nothing may be switched.
		slow int
	}{
		{"none", []float64{1, 1.1, 1.02}, -1},
		{"the leader's", []float64{12, 1, 1}, 0},
		{"another", []float64{1, 1, 12}, 2},
		{"all", []float64{12, 12, 12}, -1},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			c := site.Experts{Sets: 1, Count: 6, Capacity: 4, MaxAdded: 2, Share: 0.8, LoadTime: 98 * time.Millisecond}
			f := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 0, Size: ranks, Open: true, Step: 40}}
			p := newTestProcess(f)
			now := time.Now()
			p.Now = func() time.Time { return now }
			p.expertConfig, p.planner = &c, load.NewPlanner(c)
			initial := patch.Initial(c.Sets, c.Count, ranks)
			p.rankExperts, p.rankExpertsEpoch = hold.RankExperts{Experts: [][]int{initial[0][0]}}, 1
			is.NoErr(p.readEngine(t.Context()))
			now = now.Add(time.Minute)
			f.state.Pace = v.paces[0]
			f.state.Step++
			is.NoErr(p.readEngine(t.Context()))
			for r := 1; r < ranks; r++ {
				s := hold.State{Incarnation: 7, Group: "g", Epoch: 1, Rank: r, Size: ranks, Open: true, Step: 40, NoPendingOrders: true, NoPendingDisarm: true, Pace: v.paces[r]}
				from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r)}), 7000)
				p.receive(from, &message.News{
					Name: "slot", Incarnation: 7, Sequence: 1, Slot: true, Rank: encodeState(s),
					Counts: slices.Repeat([]uint32{500}, c.Count), Experts: []*message.RankMap{encodeExperts(initial[0][r])},
				})
			}
			p.planSwitch(now)
			a := p.core.Published()
			if v.slow < 0 {
				is.True(a == nil)
				return
			}
			is.True(a != nil)
			is.Equal(len(a.Map[0][v.slow]), 0)
		})
	}
}

// TestVaryingPacesAreNotSentAtOnce guards against a datagram for each report of an engine: its pace always varies a little, and
// only a change by much is urgent.
func TestVaryingPacesAreNotSentAtOnce(t *testing.T) {
	is := is.New(t)
	leader := netip.MustParseAddrPort("10.0.0.1:7000")
	f := &fakeEngine{state: hold.Engine{Group: "g", Epoch: 1, Rank: 3, Size: 4, Open: true, Step: 40}}
	p := newTestProcess(f)
	now := time.Now()
	p.Now = func() time.Time { return now }
	p.mesh.SetSeeds(nil)
	var paces []float32
	p.transmit = func(n *message.News, _ []netip.AddrPort) error {
		if n.Rank != nil {
			paces = append(paces, n.Rank.Pace)
		}
		return nil
	}
	is.NoErr(p.readEngine(t.Context()))
	now = now.Add(time.Minute)
	p.receive(leader, &message.News{Name: "slot-0", Incarnation: 7, Sequence: 1, Slot: true, Rank: encodeState(hold.State{Group: "g", Epoch: 1, Size: 4})})
	// Counts are sent at other times.
	p.sentCounts, p.sentExperts = now, now
	for i, pace := range []float64{1, 1.1, 1.05, 12, 12.1, 11.9, 1.02} {
		if i == 6 {
			// A lower pace counts after a second, in which all else is sent as usual.
			now = now.Add(1100 * time.Millisecond)
			p.sentCounts, p.sentExperts, p.stateThrottle.sentAt = now, now, now
		}
		f.state.Pace = pace
		is.NoErr(p.readEngine(t.Context()))
		p.sendState()
		now = now.Add(time.Millisecond)
	}
	is.Equal(paces, []float32{1, 12, 1.02})
}
