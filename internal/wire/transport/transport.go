// Package transport is the HTTP transport of all clients of the system. The servers may be in trouble: an answer is
// complete only if its end has arrived.
package transport

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// MaxHeader is the largest header of an answer in bytes, with all informational answers before it, that a client of the system
// reads. A server in trouble may send bytes without end that are no answer, and the standard library reads 10 MiB of them.
const MaxHeader = 64 << 10

// Transport is an HTTP transport whose bodies end with io.EOF only if the server has ended them. It is safe for concurrent use.
type Transport struct {
	*http.Transport
}

// New returns a Transport with the settings of a transport, which it takes over. Headers are bounded by MaxHeader.
func New(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	t.MaxResponseHeaderBytes = cmp.Or(t.MaxResponseHeaderBytes, MaxHeader)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*conn); ok {
				c.beginRequest()
			}
		},
	})
	return t.Transport.RoundTrip(r.WithContext(ctx))
}
