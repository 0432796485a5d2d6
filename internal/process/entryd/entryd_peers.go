package entryd

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// exchangeInterval is the time between two exchanges of digests.
	exchangeInterval = time.Second
	// urgentInterval is the time between two exchanges while a change is still to be sent to peers.
	urgentInterval = 100 * time.Millisecond
)

// server implements the entry's DRPC service.
type server struct {
	message.DRPCEntryUnimplementedServer
	process *Process
}

// Changes streams configuration revisions that are newer than the peer's.
func (s *server) Changes(p *message.Position, out message.DRPCEntry_ChangesStream) error {
	return s.process.Changes(p, out)
}

// Exchange merges another entry's digest and returns the local one. A digest with demands is answered with grants instead.
func (s *server) Exchange(_ context.Context, d *message.Digest) (*message.Digest, error) {
	if len(d.Demands) > 0 {
		return s.process.grantShares(d), nil
	}
	s.process.mergeDigest(d)
	return s.process.localDigest(), nil
}

func (p *Process) mergeDigest(d *message.Digest) {
	m := d.Decode()
	p.handle(entry.Event{Digest: &m})
}

func (p *Process) localDigest() *message.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.core.Digest(p.Now())
	return message.EncodeDigest(&d)
}

// nextPartner returns the entry for the next exchange, or nil, and the time to wait afterwards.
func (p *Process) nextPartner() (partner *configuration.Entry, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core.DigestUrgent() {
		return p.core.GossipPartner(), urgentInterval
	}
	return p.core.GossipPartner(), exchangeInterval
}

// exchangeDigests exchanges digests with other entries until the context ends.
func (p *Process) exchangeDigests(ctx context.Context) {
	for ctx.Err() == nil {
		partner, wait := p.nextPartner()
		if partner != nil {
			p.handle(entry.Event{PeerStatus: &entry.PeerStatus{Name: partner.Name, Alive: p.exchangeWith(ctx, partner) == nil}})
		}
		node.Pause(ctx, wait)
	}
}

// exchangeWith exchanges digests with one entry.
func (p *Process) exchangeWith(ctx context.Context, partner *configuration.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.Ping))
	defer cancel()
	conn := p.Pool.Conn(ctx, partner.Address)
	defer func() { _ = conn.Close() }()
	d, err := message.NewDRPCEntryClient(conn).Exchange(ctx, p.localDigest())
	if err != nil {
		return err
	}
	p.mergeDigest(d)
	return nil
}

// reportLeaving passes a target that the platform lists as leaving to the core.
func (p *Process) reportLeaving(target string) {
	p.handle(entry.Event{Hint: &membership.Hint{Target: target}})
}
