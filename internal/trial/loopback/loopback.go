// Package loopback leases blocks of loopback addresses, so that simulated sites that run on one machine at the same
// time, in one process or several, never connect to each other.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/ansel1/merry/v2"
)

const (
	// firstBlock and blockCount bound the second byte of leased addresses; 127.0.x.x is left to addresses that the
	// kernel chooses.
	firstBlock, blockCount = 20, 200
	// guardPort is the port that the holder of a block listens on, so that only one process can hold it.
	guardPort = 19_999
	// firstPort and lastPort bound the leased ports; the kernel uses higher ones for outgoing connections.
	firstPort, lastPort = 20_000, 32_000
	// hostCount is the number of addresses that differ in their last byte.
	hostCount = 250
)

// ErrNoBlock reports that every block is leased.
var ErrNoBlock = merry.Sentinel("all blocks of loopback addresses are in use")

// ErrNoPort reports that all ports of a block have been issued.
var ErrNoPort = merry.Sentinel("the block has no port left")

// Block is a leased range of addresses, 127.b.0.0/16. It is safe for concurrent use.
type Block struct {
	// number is the second byte of the block's addresses.
	number byte
	// guard listens on guardPort while the block is leased, so that no other process leases it.
	guard net.Listener

	mu sync.Mutex
	// issued counts the issued addresses; each address with a port is issued once.
	issued int
}

// Lease returns a block that no one else on this machine can lease until it is closed.
func Lease() (block *Block, err error) {
	for i := range blockCount {
		number := byte(firstBlock + (os.Getpid()+i)%blockCount)
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, number, 0, 1}), guardPort)
		guard, err := net.Listen("tcp4", at.String())
		if err == nil {
			return &Block{number: number, guard: guard}, nil
		}
	}
	return nil, ErrNoBlock
}

// Close releases the block.
func (b *Block) Close() error {
	return b.guard.Close()
}

// Host returns an address whose third byte is centre.
func (b *Block) Host(centre byte) netip.Addr {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.issued++
	return b.host(centre)
}

func (b *Block) host(centre byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.number, centre, byte(1 + b.issued%hostCount)})
}

// Address returns an unused address and port; centre is the third byte of the address.
func (b *Block) Address(centre byte) (address netip.AddrPort, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.issued++
	if firstPort+b.issued >= lastPort {
		return netip.AddrPort{}, ErrNoPort
	}
	return netip.AddrPortFrom(b.host(centre), uint16(firstPort+b.issued)), nil
}
