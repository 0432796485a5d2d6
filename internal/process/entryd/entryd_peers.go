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
	// urgentInterval is the same while a change waits to be told.
	urgentInterval = 100 * time.Millisecond
)

// server serves the entry's peers.
type server struct {
	message.DRPCEntryUnimplementedServer
	process *Process
}

// Changes streams configuration revisions that are newer than the caller's.
func (s *server) Changes(p *message.Position, out message.DRPCEntry_ChangesStream) error {
	return s.process.Changes(p, out)
}

// Exchange takes in another entry's digest and returns an own one.
func (s *server) Exchange(_ context.Context, d *message.Digest) (*message.Digest, error) {
	if len(d.Demands) > 0 {
		return s.process.divide(d), nil
	}
	s.process.merge(d)
	return s.process.digest(), nil
}

func (p *Process) merge(d *message.Digest) {
	m := d.Decode()
	p.handle(entry.Event{Digest: &m})
}

func (p *Process) digest() *message.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.core.Digest(p.Now())
	return message.EncodeDigest(&d)
}

// partner returns the entry for the next exchange and the time until it.
func (p *Process) partner() (partner *configuration.Entry, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core.DigestUrgent() {
		return p.core.GossipPartner(), urgentInterval
	}
	return p.core.GossipPartner(), exchangeInterval
}

// exchangeAll exchanges digests until the context ends.
func (p *Process) exchangeAll(ctx context.Context) {
	for ctx.Err() == nil {
		partner, wait := p.partner()
		if partner != nil {
			p.handle(entry.Event{PeerStatus: &entry.PeerStatus{Name: partner.Name, Alive: p.swap(ctx, partner) == nil}})
		}
		node.Pause(ctx, wait)
	}
}

// swap exchanges digests with one entry.
func (p *Process) swap(ctx context.Context, partner *configuration.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.Ping))
	defer cancel()
	conn := p.Pool.Conn(ctx, partner.Address)
	defer func() { _ = conn.Close() }()
	d, err := message.NewDRPCEntryClient(conn).Exchange(ctx, p.digest())
	if err != nil {
		return err
	}
	p.merge(d)
	return nil
}

// hint passes on the targets that the platform lists as leaving.
func (p *Process) hint(target string) {
	p.handle(entry.Event{Hint: &membership.Hint{Target: target}})
}
