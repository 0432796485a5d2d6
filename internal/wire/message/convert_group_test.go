package message

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/inventory"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// TestTargetsKeepTheirRank passes records on whose groups and paces are known, not known or not usable.
func TestTargetsKeepTheirRank(t *testing.T) {
	for _, v := range []struct{ pace, decoded float64 }{{0, 0}, {1, 1}, {1.1, 1}, {12, 12}, {1e30, 100}, {-5, 1}} {
		is := is.New(t)
		x := site.Target{ID: "a", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Group: 9, Pace: v.pace}
		a := &Answer{Targets: EncodeTargets(time.Now(), []site.TargetRecord{{ID: "a", Target: &x}})}
		page := a.DecodePage(time.Now())
		is.Equal(page.Records[0].Target.Group, uint32(9))
		is.Equal(page.Records[0].Target.Pace, v.decoded)
		m := group.Member{Target: 3, Group: 9, Pace: v.pace}
		is.Equal(EncodeMember(m).Decode(), group.Member{Target: 3, Group: 9, Pace: v.decoded})
	}
}

// TestBytesOfGroups plays a minute of the slots of a data centre, with paces that vary with each report and two engines that are
// twelve times slower for nine seconds, twice. What a member of a data centre gets must depend on the changes, not on the number of
// slots.
func TestBytesOfGroups(t *testing.T) {
	const seconds = 60
	for _, v := range []struct{ slots, centres int }{{3, 1}, {12, 3}, {72, 3}, {3700, 9}} {
		t.Run(fmt.Sprint(v.slots), func(t *testing.T) {
			is := is.New(t)
			b := playGroups(v.slots, v.centres, seconds)
			t.Logf("bytes a second: %.1f of a slot to a relay, %.0f of a relay to another data centre's, %.1f of the reading relay to a member; %d to a member at first, largest datagram %d",
				b.report/float64(v.slots)/seconds, b.outside/seconds, b.member/seconds, b.first, b.largest)
			is.True(b.report/float64(v.slots)/seconds <= 20)
			// Two engines that become slow and usual again, twice: eight changes.
			is.True(b.member/seconds <= 15)
			// All members of the data centre each five seconds, 20 bytes each, and the changes five times.
			own := float64((v.slots + v.centres - 1) / v.centres)
			is.True(b.outside/seconds <= 20*own/5+40)
			is.True(b.largest <= 1<<13)
		})
	}
}

// groupBytes are the bytes that are sent for groups and paces alone.
type groupBytes struct {
	report, outside, member float64
	// first is what a member gets until it knows all groups, and largest the size of the largest datagram to another data centre.
	first, largest int
}

// playGroups counts the bytes of a time after the first ten seconds.
func playGroups(slots, centres, seconds int) (b groupBytes) {
	const tick, slowTicks, slowEvery, warmup = 100 * time.Millisecond, 90, 300, 100
	random := rand.New(rand.NewPCG(1, 2))
	table, feed, plain := group.NewTable(), inventory.NewFeed(), inventory.NewFeed()
	targets := map[string]site.Target{}
	var list []site.Target
	for i := range slots {
		x := site.Target{ID: fmt.Sprintf("instance-%d", i), StartUnixMilli: int64(i), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Centre: "c", Width: 6}
		targets[x.ID] = x
		list = append(list, x)
	}
	start := time.Unix(1_700_000_000, 0)
	feed.Update(start, targets)
	plain.Update(start, targets)
	known := feed.Sequence()
	told := make([]float64, slots)
	version := uint64(0)
	for n := range warmup + seconds*10 {
		now := start.Add(time.Duration(n) * tick)
		for i, x := range list {
			pace := 1 + 0.1*random.Float64()
			if i < 2 && n >= warmup && n%slowEvery < slowTicks {
				pace = 12 * (1 + 0.03*random.Float64())
			}
			urgent := !group.SamePace(told[i], pace)
			if urgent {
				told[i] = pace
			}
			if n%10 != i%10 && !urgent {
				continue
			}
			m := group.Member{Target: target.Hash(&x), Group: group.Hash(fmt.Sprint("group-", i/24)), Pace: group.ClampPace(told[i])}
			if n >= warmup {
				b.report += float64(proto.Size(&Report{Member: EncodeMember(m)}))
			}
			if i%centres == 0 {
				table.Report(now, m)
			} else {
				table.Learn(now, m)
			}
		}
		members, whole := table.Next(now)
		r := &Relay{Whole: whole}
		for _, m := range members {
			r.Members = append(r.Members, EncodeMember(m))
		}
		b.largest = max(b.largest, proto.Size(r))
		if n >= warmup {
			b.outside += float64(proto.Size(r))
		}
		if table.Version() != version {
			version = table.Version()
			for id, x := range targets {
				m := table.Lookup(target.Hash(&x))
				x.Group, x.Pace = m.Group, m.Pace
				targets[id] = x
			}
			feed.Update(now, targets)
		}
		if n%3 != 0 {
			continue
		}
		page := feed.After(now, known)
		known = page.Through
		size := proto.Size(&Answer{Targets: EncodeTargets(time.Now(), page.Records)})
		if n < warmup {
			b.first += size
		} else {
			b.member += float64(size)
		}
	}
	return b
}
