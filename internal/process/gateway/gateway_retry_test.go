package gateway

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestArchivesStayWhenOtherSlotsLeave checks that the process after an entry asks the slots that this one told.
func TestArchivesStayWhenOtherSlotsLeave(t *testing.T) {
	is := is.New(t)
	entry := netip.MustParseAddrPort("10.0.0.1:7000")
	all := slotAddresses(40)
	kept := archivesOf(entry, all)
	is.Equal(len(kept), archiveCount)
	rest := append([]netip.AddrPort{}, kept...)
	for i, a := range all {
		if i%3 == 0 {
			rest = append(rest, a)
		}
	}
	is.Equal(archivesOf(entry, rest)[0], kept[0])
	is.Equal(len(archivesOf(entry, nil)), 0)
}

// BenchmarkArchivesOf ranks the slots of a data centre, as an entry does when these have changed.
func BenchmarkArchivesOf(b *testing.B) {
	for _, slots := range []int{16, 128, 1024} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			list := slotAddresses(slots)
			for b.Loop() {
				archivesOf(netip.MustParseAddrPort("10.0.0.1:7000"), list)
			}
		})
	}
}

func slotAddresses(count int) (out []netip.AddrPort) {
	for i := range count {
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 7000))
	}
	return out
}
