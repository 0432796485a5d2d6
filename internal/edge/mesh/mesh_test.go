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

func TestMeshKeepsTheNewestNews(t *testing.T) {
	tests := []struct {
		name                  string
		incarnation, sequence uint64
		heard, news           bool
	}{
		{"newer", 1, 6, true, false},
		{"the same again", 1, 5, false, false},
		{"overtaken", 1, 4, false, false},
		{"a new process", 2, 1, true, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			m := New(own, nil)
			m.Receive(start, Peer{Address: other, Incarnation: 1, Sequence: 5})
			p, news := m.Receive(start, Peer{Address: other, Incarnation: v.incarnation, Sequence: v.sequence})
			is.Equal(p != nil, v.heard)
			is.Equal(news, v.news)
		})
	}
}

func TestMeshForgetsTheLoadOfASilentEntry(t *testing.T) {
	is := is.New(t)
	m := New(own, []netip.AddrPort{seed, own})
	p, _ := m.Receive(start, Peer{Address: other, Name: "other", Incarnation: 1, Sequence: 1})
	p.Loads = map[uint32]int{7: 3}
	is.Equal(m.Loads()[7], 3)
	is.Equal(len(m.Expire(start.Add(silence))), 0)
	is.Equal(len(m.Expire(start.Add(silence+time.Millisecond))), 1)
	is.Equal(len(m.Loads()), 0)
	// It is still tried for a while, and seeds for ever.
	is.Equal(len(m.Addresses(false)), 2)
	m.Expire(start.Add(forget + time.Second))
	is.Equal(m.Addresses(false), []netip.AddrPort{seed})
}
