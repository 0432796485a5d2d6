package failure

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// network is a fault-injecting TCP proxy between the processes of a site.
// It tells data centres apart by the third byte of the processes' addresses.
type network struct {
	mu sync.Mutex
	// changed is closed at each change of the rules.
	changed chan struct{}
	// cuts holds the directed pairs of data centres whose bytes are held back.
	cuts map[direction]bool
	// delay is added to each read.
	delay time.Duration
	// conns holds the open connections.
	conns map[*proxied]bool
	// jitter returns an extra delay for each read, or is nil.
	jitter func() time.Duration
}

type direction struct{ from, to byte }

// proxied is one connection through the proxy.
type proxied struct {
	near, far net.Conn
	source    byte
	target    byte
	address   netip.AddrPort
	// silent makes the connection swallow all bytes for good.
	silent bool
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), cuts: map[direction]bool{}, conns: map[*proxied]bool{}}
}

func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// cut holds back all bytes between two data centres; they flow late after heal.
func (n *network) cut(a, b byte) {
	n.change(func() { n.cuts[direction{a, b}], n.cuts[direction{b, a}] = true, true })
}

// cutOneWay holds back the bytes from one data centre to another.
func (n *network) cutOneWay(from, to byte) {
	n.change(func() { n.cuts[direction{from, to}] = true })
}

// heal ends all cuts.
func (n *network) heal() {
	n.change(func() { clear(n.cuts) })
}

// setDelay sets the time that each read is held.
func (n *network) setDelay(d time.Duration) {
	n.change(func() { n.delay = d })
}

// silence makes the open connections to an address swallow all bytes; new ones work.
func (n *network) silence(address netip.AddrPort) (count int) {
	n.change(func() {
		for c := range n.conns {
			if c.address == address {
				c.silent = true
				count++
			}
		}
	})
	return count
}

// open starts a proxy for an address and returns where it listens.
func (n *network) open(t *testing.T, host netip.Addr, address netip.AddrPort) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { n.accept(ctx, &group, l, address) })
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		n.closeAll(address)
		group.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (n *network) closeAll(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address {
			_ = c.near.Close()
			_ = c.far.Close()
		}
	}
}

func (n *network) accept(ctx context.Context, group *sync.WaitGroup, l net.Listener, address netip.AddrPort) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() { n.join(ctx, near, address) })
	}
}

// join connects an accepted connection with its target.
func (n *network) join(ctx context.Context, near net.Conn, address netip.AddrPort) {
	c := &proxied{near: near, address: address, target: centreOf(address.Addr())}
	c.source = centreOf(near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	if !n.pass(ctx, c, c.source, c.target) {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", address.String(), time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	c.far = far
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { n.pump(ctx, c, c.near, c.far, c.source, c.target) })
	pumps.Go(func() { n.pump(ctx, c, c.far, c.near, c.target, c.source) })
	pumps.Wait()
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
}

// centreOf returns the number of the data centre that an address belongs to.
func centreOf(a netip.Addr) byte {
	return a.As4()[2]
}

// pass waits until bytes may flow in a direction; it reports false when they never will.
func (n *network) pass(ctx context.Context, c *proxied, from, to byte) bool {
	for {
		n.mu.Lock()
		silent, blocked, delay, changed := c.silent, n.cuts[direction{from, to}], n.delay, n.changed
		if n.jitter != nil {
			delay += n.jitter()
		}
		n.mu.Unlock()
		if !silent && !blocked {
			return wait(ctx, delay)
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// pump copies one direction of a connection.
func (n *network) pump(ctx context.Context, c *proxied, from, to net.Conn, source, target byte) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	data := make([]byte, 32<<10)
	for {
		size, err := from.Read(data)
		if size > 0 && !n.pass(ctx, c, source, target) {
			return
		}
		if _, failed := to.Write(data[:size]); failed != nil {
			return
		}
		if err != nil {
			// The end of a connection is news too and does not cross a cut.
			n.pass(ctx, c, source, target)
			return
		}
	}
}
