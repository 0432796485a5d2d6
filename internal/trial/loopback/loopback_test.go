package loopback

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestBlocksAreDistinct checks that simultaneous holders get different blocks, and that a closed block can be leased again.
func TestBlocksAreDistinct(t *testing.T) {
	is := is.New(t)
	first, err := Lease()
	is.NoErr(err)
	second, err := Lease()
	is.NoErr(err)
	is.True(first.number != second.number)
	is.NoErr(first.Close())
	third, err := Lease()
	is.NoErr(err)
	is.Equal(third.number, first.number)
	is.NoErr(second.Close())
	is.NoErr(third.Close())
}

// TestAddresses checks that each address of a block is issued once, is free and contains its data centre.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	block, err := Lease()
	is.NoErr(err)
	defer func() { is.NoErr(block.Close()) }()
	seen := map[netip.AddrPort]bool{}
	for i := range 1000 {
		a, err := block.Address(byte(i % 3))
		is.NoErr(err)
		is.True(!seen[a])
		seen[a] = true
		is.Equal(a.Addr().As4()[2], byte(i%3))
		if i%100 == 0 {
			l, err := net.Listen("tcp4", a.String())
			is.NoErr(err)
			is.NoErr(l.Close())
		}
	}
}
