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

// divide answers another entry's demands with its shares.
func (p *Process) divide(d *message.Digest) *message.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	grants := p.core.GrantShares(p.Now(), d.Entry, message.DecodeShares(d.Demands))
	return &message.Digest{Entry: p.Settings.Name, Grants: message.EncodeShares(grants)}
}

// claimAll tells the owners of workspaces the demand here until the context ends.
func (p *Process) claimAll(ctx context.Context) {
	node.Every(ctx, limit.ReportInterval, func() {
		var group sync.WaitGroup
		for _, c := range p.claims() {
			group.Go(func() { p.claim(ctx, c) })
		}
		group.Wait()
	})
}

func (p *Process) claims() []entry.RateDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.RateDemands(p.Now())
}

// claim tells one owner and puts its grants in force.
func (p *Process) claim(ctx context.Context, c entry.RateDemand) {
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
