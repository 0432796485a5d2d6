package loopback

import (
	"net/netip"
	"sync"
	"testing"
)

// processBlock leases the block of this process; the system releases it when the process ends.
var processBlock = sync.OnceValues(Lease)

// FreeAddress returns a free address for a test; no other test on the machine gets the same one.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	block, err := processBlock()
	if err != nil {
		t.Fatal(err)
	}
	address, err := block.Address(1)
	if err != nil {
		t.Fatal(err)
	}
	return address
}
