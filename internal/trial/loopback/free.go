package loopback

import (
	"net/netip"
	"sync"
	"testing"
)

// own leases the block of this process; it is given back when the process ends.
var own = sync.OnceValues(Lease)

// FreeAddress returns an address for a test at which nothing listens and that no other test on the machine gets.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	block, err := own()
	if err != nil {
		t.Fatal(err)
	}
	address, err := block.Address(1)
	if err != nil {
		t.Fatal(err)
	}
	return address
}
