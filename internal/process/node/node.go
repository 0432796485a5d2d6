// Package node provides what the processes of entries and slots share: servers, settings, logs and configuration.
package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/audit"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/link"
)

// Limits of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	headerSize    = 16 << 10
	// peerTimeout is the time without a call after which the connection of another process is closed.
	peerTimeout = 5 * time.Second
	// closeTimeout bounds the flushing of finished responses when the process ends.
	closeTimeout = time.Second
)

// Node is embedded by the processes of entries and slots.
type Node struct {
	// Settings are valid and never change.
	Settings *settings.Settings
	// Log is never nil.
	Log *slog.Logger
	// Trail records changes for the audit trail.
	Trail *audit.Trail
	// Metrics holds the counters and histograms.
	Metrics *metrics.Set
	// Pool keeps connections to other processes.
	Pool *link.Pool
	// Mux routes the calls of other processes.
	Mux *drpcmux.Mux
	// Now returns the current time.
	Now func() time.Time
	// follower keeps the configuration up to date.
	follower *follower
}

// Options are the inputs of New.
type Options struct {
	// Settings must be valid.
	Settings *settings.Settings
	Log      *slog.Logger
	// Now returns the current time.
	Now func() time.Time
	// Dial opens a TCP connection to another instance; nil means a dial from the address of Settings.Listen.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// New returns a Node that serves nothing yet.
func New(o Options) *Node {
	log := o.Log.With("instance", o.Settings.Name)
	n := &Node{
		Settings: o.Settings,
		Log:      log,
		Trail:    audit.NewTrail(log),
		Metrics:  metrics.NewSet(),
		Pool: link.NewPool(link.Options{
			Local: o.Settings.Listen.Addr(), Dial: o.Dial, ReceiveTimeout: time.Duration(o.Settings.Ping),
		}),
		Mux: drpcmux.New(),
		Now: o.Now,
	}
	n.follower = newFollower(n)
	return n
}

// Listen opens a TCP listener.
func (n *Node) Listen(address netip.AddrPort) (l net.Listener, err error) {
	l, err = net.Listen("tcp", address.String())
	if err != nil {
		return nil, merry.Prependf(err, "listen on %s", address)
	}
	return l, nil
}

// ServePeers serves calls of other processes until the context ends.
func (n *Node) ServePeers(ctx context.Context, l net.Listener) error {
	options := drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: peerTimeout}}
	return drpcserver.NewWithOptions(n.Mux, options).Serve(ctx, l)
}

// ServeHTTP serves HTTP until the context ends. Open requests then have closeTimeout to finish.
func (n *Node) ServeHTTP(ctx context.Context, l net.Listener, handler http.Handler) (err error) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerSize,
		ErrorLog:          slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug),
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdown(server)
	})
	err = server.Serve(l)
	if !stop() {
		<-closed
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown stops a server gracefully for closeTimeout, so that finished responses are flushed, then closes it.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}
