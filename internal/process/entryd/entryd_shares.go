package entryd

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// grantShares answers another entry's rate demands with the shares granted to it.
func (p *Process) grantShares(d *message.Digest) *message.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	grants := p.core.GrantShares(p.Now(), d.Entry, message.DecodeShares(d.Demands))
	return &message.Digest{Entry: p.Settings.Name, Grants: message.EncodeShares(grants)}
}

// claimShares reports the local rate demands to the owners of the workspaces at each interval until the context ends.
func (p *Process) claimShares(ctx context.Context) {
	node.Every(ctx, limit.ReportInterval, func() {
		var group sync.WaitGroup
		for _, c := range p.claims() {
			group.Go(func() { p.claimFromOwner(ctx, c) })
		}
		group.Wait()
	})
}

func (p *Process) claims() []entry.RateDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.RateDemands(p.Now())
}

// claimFromOwner sends the demands to one owner and applies its grants.
func (p *Process) claimFromOwner(ctx context.Context, c entry.RateDemand) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.Ping))
	defer cancel()
	conn := p.Pool.Conn(ctx, c.Owner.Address)
	defer func() { _ = conn.Close() }()
	d := &message.Digest{Entry: p.Settings.Name, Demands: message.EncodeShares(c.Demands)}
	answer, err := message.NewDRPCEntryClient(conn).Exchange(ctx, d)
	if err != nil {
		p.Log.Debug("claim", "owner", c.Owner.Name, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ApplyGrants(p.Now(), message.DecodeShares(answer.Grants))
}
