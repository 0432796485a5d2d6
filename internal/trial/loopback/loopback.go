// Package loopback leases loopback addresses to sites of test processes, so that sites which run at once on one
// machine, in one process or several, never reach each other.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/ansel1/merry/v2"
)

const (
	// firstBlock and blocks bound the second byte of leased addresses; 127.0.x.x stays with the kernel's own choices.
	firstBlock, blocks = 20, 200
	// guardPort is the port that the holder of a block listens on.
	guardPort = 19_999
	// firstPort and lastPort bound the leased ports: the kernel takes higher ones for outgoing connections.
	firstPort, lastPort = 20_000, 32_000
	// hosts is the number of addresses that differ in their last byte.
	hosts = 250
)

// ErrNoBlock reports that every block is leased.
var ErrNoBlock = merry.Sentinel("all blocks of loopback addresses are in use")

// ErrNoPort reports that a block has given out all its ports.
var ErrNoPort = merry.Sentinel("the block has no port left")

// Block is a leased range of addresses, 127.b.0.0/16. It is safe for concurrent use.
type Block struct {
	// number is the second byte of its addresses.
	number byte
	// guard listens as long as the block is leased, so that no other process takes it.
	guard net.Listener

	mu sync.Mutex
	// given counts the addresses that were given out; none is given out twice.
	given int
}

// Lease returns a block that no other holder on this machine has until it is closed.
func Lease() (block *Block, err error) {
	for i := range blocks {
		number := byte(firstBlock + (os.Getpid()+i)%blocks)
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, number, 0, 1}), guardPort)
		guard, err := net.Listen("tcp4", at.String())
		if err == nil {
			return &Block{number: number, guard: guard}, nil
		}
	}
	return nil, ErrNoBlock
}

// Close gives the block back.
func (b *Block) Close() error {
	return b.guard.Close()
}

// Host returns an address whose third byte is centre.
func (b *Block) Host(centre byte) netip.Addr {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.given++
	return b.host(centre)
}

func (b *Block) host(centre byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.number, centre, byte(1 + b.given%hosts)})
}

// Address returns an address and port whose third byte is centre and at which nothing listens.
func (b *Block) Address(centre byte) (address netip.AddrPort, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.given++
	if firstPort+b.given >= lastPort {
		return netip.AddrPort{}, ErrNoPort
	}
	return netip.AddrPortFrom(b.host(centre), uint16(firstPort+b.given)), nil
}
