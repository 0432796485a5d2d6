package gateway

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
)

// hearStatement records what a target says about itself in its answer to a request that was sent at a time.
func (v *request) hearStatement(m *target.Member, a *call.Answer, sentAt time.Time) {
	p := v.process
	switch {
	case !a.FromTarget():
		return
	case a.Statement.Fault != nil:
		p.Log.Warn("statement ignored", "id", v.ID, "target", m.ID, "error", a.Statement.Fault)
		return
	}
	l := target.Limit{At: sentAt}
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.Statement.Limited {
		l = target.Limit{Rate: a.Statement.Limit, Limited: true, At: p.Now()}
	}
	p.setLimit(m, l, "")
}

// setLimit records a target's limit, which a peer reported if its name is set; mu is held.
func (p *Process) setLimit(m *target.Member, l target.Limit, peer string) {
	before := m.Limit()
	if !m.SetLimit(l) {
		return
	}
	p.Log.Info("target limit", "target", m.ID, "service", m.Service, "limited", l.Limited, "rate", l.Rate, "before", before.Rate, "peer", peer)
}
