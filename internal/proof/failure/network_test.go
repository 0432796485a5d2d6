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
// The third byte of an address is the number of its data centre.
type network struct {
	mu sync.Mutex
	// changed is closed and replaced at each change of the faults.
	changed chan struct{}
	// partitions holds the directed pairs of data centres whose traffic is blocked.
	partitions map[direction]bool
	// delay is added to each read.
	delay time.Duration
	// conns holds the open connections.
	conns map[*proxyConn]bool
	// jitter returns an extra delay for each read, or is nil.
	jitter func() time.Duration
}

type direction struct{ from, to byte }

// proxyConn is one connection through the proxy.
type proxyConn struct {
	client, server net.Conn
	source         byte
	target         byte
	address        netip.AddrPort
	// blackholed connections stay open but never deliver another byte.
	blackholed bool
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), partitions: map[direction]bool{}, conns: map[*proxyConn]bool{}}
}

// update changes the faults and wakes all waiting connections.
func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// partition blocks all traffic between two data centres. Bytes sent meanwhile are delivered after heal.
func (n *network) partition(a, b byte) {
	n.update(func() { n.partitions[direction{a, b}], n.partitions[direction{b, a}] = true, true })
}

// partitionOneWay blocks the traffic from one data centre to another.
func (n *network) partitionOneWay(from, to byte) {
	n.update(func() { n.partitions[direction{from, to}] = true })
}

// heal ends all partitions.
func (n *network) heal() {
	n.update(func() { clear(n.partitions) })
}

// setDelay sets the delay of each read.
func (n *network) setDelay(d time.Duration) {
	n.update(func() { n.delay = d })
}

// blackhole makes the open connections to an address deliver no more bytes and returns their number. New connections
// work.
func (n *network) blackhole(address netip.AddrPort) (count int) {
	n.update(func() {
		for c := range n.conns {
			if c.address == address {
				c.blackholed = true
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
	var wg sync.WaitGroup
	wg.Go(func() { n.accept(ctx, &wg, l, address) })
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		n.closeAll(address)
		wg.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (n *network) closeAll(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address {
			_ = c.client.Close()
			_ = c.server.Close()
		}
	}
}

func (n *network) accept(ctx context.Context, wg *sync.WaitGroup, l net.Listener, address netip.AddrPort) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { n.proxy(ctx, client, address) })
	}
}

// proxy forwards an accepted connection to an address until either side closes.
func (n *network) proxy(ctx context.Context, client net.Conn, address netip.AddrPort) {
	c := &proxyConn{client: client, address: address, target: centreOf(address.Addr())}
	c.source = centreOf(client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	if !n.waitDeliverable(ctx, c, c.source, c.target) {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", address.String(), time.Second)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c.server = server
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { n.forward(ctx, c, c.client, c.server, c.source, c.target) })
	directions.Go(func() { n.forward(ctx, c, c.server, c.client, c.target, c.source) })
	directions.Wait()
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
}

// centreOf returns the number of the data centre that an address belongs to.
func centreOf(a netip.Addr) byte {
	return a.As4()[2]
}

// waitDeliverable waits until bytes may be delivered in a direction, and for the delay. It reports false if ctx ended
// first.
func (n *network) waitDeliverable(ctx context.Context, c *proxyConn, from, to byte) bool {
	for {
		n.mu.Lock()
		blackholed, partitioned, delay, changed := c.blackholed, n.partitions[direction{from, to}], n.delay, n.changed
		if n.jitter != nil {
			delay += n.jitter()
		}
		n.mu.Unlock()
		if !blackholed && !partitioned {
			return sleep(ctx, delay)
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// sleep waits for a duration and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
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

// forward copies one direction of a connection.
func (n *network) forward(ctx context.Context, c *proxyConn, from, to net.Conn, source, target byte) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	data := make([]byte, 32<<10)
	for {
		size, err := from.Read(data)
		if size > 0 && !n.waitDeliverable(ctx, c, source, target) {
			return
		}
		if _, failed := to.Write(data[:size]); failed != nil {
			return
		}
		if err != nil {
			// A partition blocks the close of a connection too.
			n.waitDeliverable(ctx, c, source, target)
			return
		}
	}
}
