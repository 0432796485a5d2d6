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

// reportDemands reports the local rate demands to the owners of the workspaces at each interval until the context ends.
func (p *Process) reportDemands(ctx context.Context) {
	node.Every(ctx, limit.ReportInterval, func() {
		var group sync.WaitGroup
		for _, demand := range p.rateDemands() {
			group.Go(func() { p.reportDemandsTo(ctx, demand) })
		}
		group.Wait()
	})
}

func (p *Process) rateDemands() []entry.RateDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.RateDemands(p.Now())
}

// reportDemandsTo sends the demands to one owner and applies its grants.
func (p *Process) reportDemandsTo(ctx context.Context, demand entry.RateDemand) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.Ping))
	defer cancel()
	conn := p.Pool.Conn(ctx, demand.Owner.Address)
	defer func() { _ = conn.Close() }()
	d := &message.Digest{Entry: p.Settings.Name, Demands: message.EncodeShares(demand.Demands)}
	answer, err := message.NewDRPCEntryClient(conn).Exchange(ctx, d)
	if err != nil {
		p.Log.Debug("claim", "owner", demand.Owner.Name, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ApplyGrants(p.Now(), message.DecodeShares(answer.Grants))
}
