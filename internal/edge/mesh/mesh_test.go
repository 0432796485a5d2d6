package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1_700_000_000, 0)
	own   = netip.MustParseAddrPort("10.0.0.1:7000")
	seed  = netip.MustParseAddrPort("10.0.0.2:7000")
	other = netip.MustParseAddrPort("10.0.0.3:7000")
)

func TestReceiveDropsOldDatagrams(t *testing.T) {
	tests := []struct {
		name                  string
		incarnation, sequence uint64
		accepted, isNew       bool
	}{
		{"newer", 1, 6, true, false},
		{"duplicate", 1, 5, false, false},
		{"out of order", 1, 4, false, false},
		{"a new process", 2, 1, true, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			m := New(own, nil)
			m.Receive(start, Peer{Address: other, Incarnation: 1, Sequence: 5})
			p, isNew := m.Receive(start, Peer{Address: other, Incarnation: v.incarnation, Sequence: v.sequence})
			is.Equal(p != nil, v.accepted)
			is.Equal(isNew, v.isNew)
		})
	}
}

func TestExpireDropsTheLoadOfALostEntry(t *testing.T) {
	is := is.New(t)
	m := New(own, []netip.AddrPort{seed, own})
	p, _ := m.Receive(start, Peer{Address: other, Name: "other", Incarnation: 1, Sequence: 1})
	p.Loads = map[uint32]int{7: 3}
	is.Equal(m.Loads()[7], 3)
	is.Equal(len(m.Expire(start.Add(lostAfter))), 0)
	is.Equal(len(m.Expire(start.Add(lostAfter+time.Millisecond))), 1)
	is.Equal(len(m.Loads()), 0)
	// The address of a lost entry is used for a while, seeds forever.
	is.Equal(len(m.Addresses(false)), 2)
	m.Expire(start.Add(forgetAfter + time.Second))
	is.Equal(m.Addresses(false), []netip.AddrPort{seed})
}
