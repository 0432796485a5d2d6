package site

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/wire/link"
)

// dialTimeout is the time after which opening a connection across a cut fails.
const dialTimeout = time.Second

// Network connects the processes of a trial and simulates network partitions between data centres.
// It is safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// centres maps each address to its data centre.
	centres map[netip.AddrPort]string
	// cuts holds the data centres that are cut off from all others.
	cuts map[string]bool
	// changed is closed at each change of cuts.
	changed chan struct{}
}

// NewNetwork returns a Network without cuts.
func NewNetwork() *Network {
	return &Network{centres: map[netip.AddrPort]string{}, cuts: map[string]bool{}, changed: make(chan struct{})}
}

// SetCentre sets the data centre of an address.
func (n *Network) SetCentre(address netip.AddrPort, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.centres[address] = centre
}

// Cut holds back all bytes between a data centre and the others until Heal.
func (n *Network) Cut(centre string) {
	n.change(func() { n.cuts[centre] = true })
}

// Heal ends all cuts; bytes that were held back are then delivered.
func (n *Network) Heal() {
	n.change(func() { clear(n.cuts) })
}

func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Dial returns the function with which a process in a data centre opens connections.
func (n *Network) Dial(local netip.Addr, centre string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	dial := link.Dialer(local)
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		c := &conn{network: n, from: centre, to: n.centres[address], closed: make(chan struct{})}
		n.mu.Unlock()
		waitCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if !n.waitForHeal(waitCtx.Done(), c.from, c.to) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
		}
		inner, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c.Conn = inner
		return c, nil
	}
}

// waitForHeal waits until bytes may flow between two data centres; it reports false when done is closed first.
func (n *Network) waitForHeal(done <-chan struct{}, from, to string) bool {
	for {
		n.mu.Lock()
		blocked, changed := from != to && (n.cuts[from] || n.cuts[to]), n.changed
		n.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-done:
			return false
		case <-changed:
		}
	}
}

// conn is a connection that a cut blocks in both directions.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
}

// Read implements net.Conn; bytes that arrive during a cut are returned after it.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if !c.network.waitForHeal(c.closed, c.from, c.to) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn; it waits during a cut.
func (c *conn) Write(b []byte) (n int, err error) {
	if !c.network.waitForHeal(c.closed, c.from, c.to) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn and ends reads and writes that wait for the end of a cut.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
