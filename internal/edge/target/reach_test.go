package target

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

// TestUnreachableCentreCostsFewRequests cuts one of three data centres off for six seconds while an entry gets 20 requests a
// second. Without the state of the data centre each request that chose one of its 24 targets lost the time of a connection.
func TestUnreachableCentreCostsFewRequests(t *testing.T) {
	const perCentre, cutTime, perSecond = 24, 6 * time.Second, 20
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := NewRegistry()
	var list []site.Target
	for centre := range 3 {
		for i := range perCentre {
			list = append(list, site.Target{ID: fmt.Sprintf("i-%d-%d", centre, i), Service: "desk", Centre: fmt.Sprintf("c%d", centre), Width: 10, Address: address(centre*perCentre + i)})
		}
	}
	r.Apply(now, list)
	failed, requests := 0, 0
	for at := now; at.Sub(now) < cutTime; at = at.Add(time.Second / perSecond) {
		requests++
		m := r.Choose(at, Choice{Service: "desk", Centre: "c0"}, float64(requests*7%10)/10)
		r.NoteAttempt(at, m)
		if m.Centre == "c0" {
			failed++
			r.MarkUnreachable(at.Add(150*time.Millisecond), m)
		}
	}
	t.Logf("%d of %d requests met the data centre that was cut off", failed, requests)
	// At first one for each of unreachableTargets and what is on its way, then one probe for each blockDuration.
	is.True(failed <= 2*unreachableTargets+int(cutTime/blockDuration))

	// It is used again once a connection was made.
	at := now.Add(cutTime + blockDuration)
	m := r.Choose(at, Choice{Service: "desk", Centre: "c0"}, 0)
	is.Equal(m.Centre, "c0")
	is.True(r.MarkReached(m))
	is.Equal(r.Choose(at, Choice{Service: "desk", Centre: "c0"}, 0.5).Centre, "c0")
}

// TestOneLostTargetDoesNotBlockItsCentre fails connections to one or two targets of a data centre: its others stay in use.
func TestOneLostTargetDoesNotBlockItsCentre(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := NewRegistry()
	var list []site.Target
	for i := range 4 {
		list = append(list, site.Target{ID: fmt.Sprintf("i-%d", i), Service: "desk", Centre: "c0", Width: 10, Address: address(i)})
	}
	list = append(list, site.Target{ID: "i-far", Service: "desk", Centre: "c1", Width: 10, Address: address(9)})
	r.Apply(now, list)
	for i := range 2 {
		is.True(!r.MarkUnreachable(now, r.members[fmt.Sprintf("i-%d", i)]))
	}
	for i := range 10 {
		is.Equal(r.Choose(now, Choice{Service: "desk", Centre: "c0"}, float64(i)/10).Centre, "c0")
	}
}
