// Package link opens and pools the DRPC connections between processes.
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

	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

const (
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed, before a device on the path is likely to drop it.
	idleTimeout = 2 * time.Second
	// reuseDivisor determines the idle time up to which Take reuses a connection: Options.ReceiveTimeout / reuseDivisor.
	reuseDivisor = 2
	// maxIdleConns is the largest number of idle connections to one address.
	maxIdleConns = 8
)

// DialError reports that no connection could be opened and therefore nothing was sent.
type DialError struct {
	// Address is the address that was dialed.
	Address netip.AddrPort
	// Cause is the network error.
	Cause error
}

// Error implements the error interface.
func (e *DialError) Error() string {
	return fmt.Sprintf("dial %s: %v", e.Address, e.Cause)
}

// Unwrap returns the network error.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// lazy holds the idle connections for Conn.
	lazy *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	// recent holds the idle connections for Take, with the time of their last use.
	recent *drpcpool.Pool[netip.AddrPort, *idleConn]
	// maxReuseAge is the time since its last use after which Take no longer reuses a connection.
	maxReuseAge time.Duration
	// dial opens a TCP connection.
	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Options are the inputs of NewPool.
type Options struct {
	// Local is the source address of all connections.
	Local netip.Addr
	// Dial opens a TCP connection; nil means Dialer(Local).
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// ReceiveTimeout is the time without a message after which a connection has timed out.
	ReceiveTimeout time.Duration
}

// idleConn is an idle connection with the time of its last use.
type idleConn struct {
	drpcpool.Conn
	lastUsed time.Time
}

// NewPool returns an empty Pool.
func NewPool(o Options) *Pool {
	pool := drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		KeyCapacity: maxIdleConns,
	})
	dial := o.Dial
	if dial == nil {
		dial = Dialer(o.Local)
	}
	recent := drpcpool.New[netip.AddrPort, *idleConn](drpcpool.Options{
		Expiration:  idleTimeout,
		KeyCapacity: maxIdleConns,
	})
	return &Pool{lazy: pool, recent: recent, maxReuseAge: o.ReceiveTimeout / reuseDivisor, dial: dial}
}

// Dialer returns a function that opens TCP connections from an address.
func Dialer(local netip.Addr) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address.String())
	}
}

// Take returns a recently used connection or a new one. The caller owns it until Put.
func (p *Pool) Take(ctx context.Context, address netip.AddrPort) (conn drpcpool.Conn, err error) {
	for {
		c, ok := p.recent.Take(address)
		if !ok {
			return p.Dial(ctx, address)
		}
		// The age is checked here too, because the pool's timers are delayed in a process that was frozen.
		if time.Since(c.lastUsed) < p.maxReuseAge {
			return c.Conn, nil
		}
		_ = c.Close()
	}
}

// Put returns a connection to the pool. Its last stream must have ended without an error.
func (p *Pool) Put(address netip.AddrPort, conn drpcpool.Conn) {
	p.recent.Put(address, &idleConn{Conn: conn, lastUsed: time.Now()})
}

// Conn returns a connection that reuses an idle one or, if there is none, dials when it is first used.
func (p *Pool) Conn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return p.lazy.Get(ctx, address, p.Dial)
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	return errors.Join(p.lazy.Close(), p.recent.Close())
}

// Transport returns an HTTP transport that dials like the pool and therefore sends from the instance's own address.
func (p *Pool) Transport() *transport.Transport {
	return transport.New(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			a, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return p.dial(ctx, a)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	})
}

// Dial opens a new connection. It joins the pool only by Put.
func (p *Pool) Dial(ctx context.Context, address netip.AddrPort) (conn drpcpool.Conn, err error) {
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	return drpcconn.New(c), nil
}
