// Package link opens and keeps the drpc connections between the system's processes.
package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	dialTimeout = time.Second
	// idleTimeout closes a connection before anything between the ends is likely to forget it.
	idleTimeout = 2 * time.Second
	// freshShare divides the silence limit into the age up to which an idle connection is used again.
	freshShare = 2
	// idleConns bounds the idle connections to one address.
	idleConns = 8
)

// ErrDial reports that no connection could be opened, so that nothing was sent.
type ErrDial struct {
	// Address is the peer that was dialled.
	Address netip.AddrPort
	// Cause is the error of the network.
	Cause error
}

// Error implements the error interface.
func (e *ErrDial) Error() string {
	return fmt.Sprintf("dial %s: %v", e.Address, e.Cause)
}

// Unwrap returns the error of the network.
func (e *ErrDial) Unwrap() error {
	return e.Cause
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	// recent holds connections for Take.
	recent *drpcpool.Pool[netip.AddrPort, *recentConn]
	// fresh is the age of the last use from which Take no longer trusts a connection.
	fresh time.Duration
	// dial opens the TCP connections.
	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Options are the inputs of NewPool.
type Options struct {
	// Local is the source address of all connections.
	Local netip.Addr
	// Dial opens a TCP connection; nil means the network's own way, from Local.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Silence is the time after which a connection without a sign of life counts as silent.
	Silence time.Duration
}

// recentConn is an idle connection with the time of its last use.
type recentConn struct {
	drpcpool.Conn
	used time.Time
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	pool := drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		KeyCapacity: idleConns,
	})
	dial := o.Dial
	if dial == nil {
		dial = Dialer(o.Local)
	}
	recent := drpcpool.New[netip.AddrPort, *recentConn](drpcpool.Options{
		Expiration:  idleTimeout,
		KeyCapacity: idleConns,
	})
	return &Pool{pool: pool, recent: recent, fresh: o.Silence / freshShare, dial: dial}
}

// Dialer returns a function that opens TCP connections from an address.
func Dialer(local netip.Addr) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address.String())
	}
}

// Take returns a connection that worked a moment ago, or a new one. Its user owns it until Put.
func (p *Pool) Take(ctx context.Context, address netip.AddrPort) (conn drpcpool.Conn, err error) {
	for {
		c, ok := p.recent.Take(address)
		if !ok {
			return p.Dial(ctx, address)
		}
		// The age is checked here too: the pool's own timers are late in a process that was frozen.
		if time.Since(c.used) < p.fresh {
			return c.Conn, nil
		}
		_ = c.Close()
	}
}

// Put keeps a connection whose last stream ended well.
func (p *Pool) Put(address netip.AddrPort, conn drpcpool.Conn) {
	p.recent.Put(address, &recentConn{Conn: conn, used: time.Now()})
}

// Conn returns a connection that dials when first used, unless an idle one is there.
func (p *Pool) Conn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return p.pool.Get(ctx, address, p.Dial)
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	return errors.Join(p.pool.Close(), p.recent.Close())
}

// Transport returns an HTTP transport that sends from the instance's own address.
func (p *Pool) Transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			a, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return p.dial(ctx, a)
		},
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
	}
}

// Dial opens a new connection.
func (p *Pool) Dial(ctx context.Context, address netip.AddrPort) (conn drpcpool.Conn, err error) {
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, &ErrDial{Address: address, Cause: err}
	}
	return drpcconn.New(c), nil
}
