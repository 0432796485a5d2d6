package site

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/wire/link"
)

// holdTimeout bounds the wait for a connection across a cut.
const holdTimeout = time.Second

// Network connects the processes of a trial and can cut data centres off. It is safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// centres maps each address to the data centre behind it.
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

// Place tells in which data centre an address is.
func (n *Network) Place(address netip.AddrPort, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.centres[address] = centre
}

// Cut holds back all bytes between a data centre and the others until Heal.
func (n *Network) Cut(centre string) {
	n.change(func() { n.cuts[centre] = true })
}

// Heal ends all cuts; bytes that were held back flow late.
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

// Dial returns the function by which a process of a data centre opens connections.
func (n *Network) Dial(local netip.Addr, centre string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	dial := link.Dialer(local)
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		c := &conn{network: n, from: centre, to: n.centres[address], closed: make(chan struct{})}
		n.mu.Unlock()
		hold, cancel := context.WithTimeout(ctx, holdTimeout)
		defer cancel()
		if !n.pass(hold.Done(), c.from, c.to) {
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

// pass waits until bytes may flow between two data centres; it reports false when done is closed first.
func (n *Network) pass(done <-chan struct{}, from, to string) bool {
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

// conn is a connection that a cut holds up in both directions.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
}

// Read implements net.Conn; what arrives during a cut is returned after it.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if !c.network.pass(c.closed, c.from, c.to) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn; it waits during a cut.
func (c *conn) Write(b []byte) (n int, err error) {
	if !c.network.pass(c.closed, c.from, c.to) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn and ends the waits.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
