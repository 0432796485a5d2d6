package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/link"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// peerReadTimeout bounds a read of the configuration from a relay of the own data centre, which answers in milliseconds.
	peerReadTimeout = 400 * time.Millisecond
	// peerInactivity is the time after which a connection without a call is closed.
	peerInactivity = 2 * time.Second
)

var (
	errPeerBehind    = merry.Sentinel("the relay has no later configuration")
	errOtherRevision = merry.Sentinel("the configuration has another version than the relay has told")
)

// configurationSource is the relay that has told of the latest configuration.
type configurationSource struct {
	address netip.AddrPort
	// failedAt is when a read from it last failed, or zero.
	failedAt time.Time
}

// serveConfiguration serves the configuration to the other entries until the context ends: those that the store turns away get it so.
func (p *Process) serveConfiguration(ctx context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp4", p.settings.Load().Peers.String())
	if err != nil {
		return merry.Prependf(err, "listen on %s", p.settings.Load().Peers)
	}
	mux := drpcmux.New()
	if err := message.DRPCRegisterEntry(mux, &configurationServer{process: p}); err != nil {
		return errors.Join(err, l.Close())
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: peerInactivity}})
	group.Go(func() error {
		if err := server.Serve(ctx, l); ctx.Err() == nil {
			return err
		}
		return nil
	})
	return nil
}

// configurationServer answers the calls of other entries.
type configurationServer struct {
	message.DRPCEntryUnimplementedServer
	process *Process
}

// Changes sends the configuration in force if it is later than the caller's.
func (s *configurationServer) Changes(position *message.Position, out message.DRPCEntry_ChangesStream) (err error) {
	c := s.process.configuration.Load()
	if c == nil || c.Version <= position.Revision || len(c.Source) == 0 {
		return nil
	}
	p, err := s.process.encodeConfiguration(c)
	if err != nil {
		return err
	}
	return out.Send(message.EncodePatch(p, 0))
}

// encodeConfiguration returns the form in which a configuration is sent to other entries; that of the latest one is kept.
func (p *Process) encodeConfiguration(c *site.Configuration) (*revision.Patch, error) {
	if kept := p.encoded.Load(); kept != nil && kept.Revision == c.Version {
		return kept, nil
	}
	made, err := revision.MakePatch(nil, &revision.Value{Position: revision.Position{Revision: c.Version, Digest: revision.Digest(c.Source)}, Data: c.Source})
	if err == nil {
		p.encoded.Store(made)
	}
	return made, err
}

// peerSource returns the relay from which to read a later configuration. It is invalid if there is none, or if a read from it has
// failed just before.
func (p *Process) peerSource() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.source
	if p.version() >= p.wantedVersion || !s.failedAt.IsZero() && p.Now().Sub(s.failedAt) < retryDelay {
		return netip.AddrPort{}
	}
	return s.address
}

// readFromPeer reads a later configuration from the relay that has told of it, and reports whether it is in force.
func (p *Process) readFromPeer(ctx context.Context) bool {
	from := p.peerSource()
	if !from.IsValid() {
		return false
	}
	p.metrics.storeCalls.With("call", "peer configuration").Add(1)
	c, err := p.configurationFrom(ctx, from)
	if err == nil {
		p.applyConfiguration(c)
		return true
	}
	p.Log.Warn("configuration not read from a peer", "peer", from, "error", err, "version", p.version())
	p.mu.Lock()
	p.source.failedAt = p.Now()
	p.mu.Unlock()
	return false
}

// configurationFrom reads a configuration that is later than the one in force from another entry.
func (p *Process) configurationFrom(ctx context.Context, from netip.AddrPort) (c *site.Configuration, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "read configuration from %s", from)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	conn, err := p.links.Dial(ctx, from)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	// A connection that has gone silent does not end with the context alone.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	stream, err := message.NewDRPCEntryClient(conn).Changes(ctx, &message.Position{Name: p.settings.Load().Name, Revision: p.version()})
	if err != nil {
		return nil, err
	}
	m, err := stream.Recv()
	if err != nil {
		return nil, errors.Join(errPeerBehind, err)
	}
	data, err := m.Decode().Apply(nil)
	if err != nil {
		return nil, err
	}
	if c, err = p.Store.Decode(data); err != nil {
		return nil, err
	}
	if c.Version != m.Revision || c.Version <= p.version() {
		return nil, errOtherRevision
	}
	return c, nil
}

// newLinks returns the connections to other entries.
func newLinks(o *Options) *link.Pool {
	return link.NewPool(link.Options{Local: o.Settings.Peers.Addr(), ReceiveTimeout: peerReadTimeout})
}
