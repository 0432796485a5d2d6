// Package transport is the HTTP transport of all clients of the system. The servers may be in trouble: what they send is an answer only if its
// head is one, and it is complete only if its end has arrived.
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

// Transport is an HTTP transport. An answer whose head is not valid by RFC 9112 is an error, and bodies end with io.EOF only if the server has
// ended them. It is safe for concurrent use.
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
		return newConn(c), nil
	}
	t.MaxResponseHeaderBytes = cmp.Or(t.MaxResponseHeaderBytes, MaxHeader)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if used, _ = i.Conn.(*conn); used != nil {
				used.beginRequest()
			}
		},
		// The next answer on the connection is read after this.
		PutIdleConn: func(err error) {
			if used != nil && err == nil {
				used.expectHead()
			}
		},
	})
	return t.Transport.RoundTrip(r.WithContext(ctx))
}
