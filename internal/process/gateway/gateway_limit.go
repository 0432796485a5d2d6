package gateway

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// limits is the part of a Process that keeps the limits of targets, guarded by its mu.
type limits struct {
	// issuer issues permits for the targets whose rates this entry owns.
	issuer *limit.Issuer
	// asked holds the requests for permits that have no answer yet, one for each target at most, by hash. lastAsk is the
	// latest number.
	asked   map[uint32]*permitRequest
	lastAsk uint64
	// limitsChanged is set while a change of a limit has not been sent to the peers; limitsSentAt is when a datagram was last
	// sent for limits alone.
	limitsChanged bool
	limitsSentAt  time.Time
	colds
}

func newLimits() limits {
	return limits{issuer: limit.NewIssuer(), asked: map[uint32]*permitRequest{}}
}

// hearStatement records what a target says about itself in its answer to a request that was sent at a time.
func (v *request) hearStatement(m *target.Member, a *call.Answer, sentAt time.Time) {
	p := v.process
	if !a.FromTarget() {
		return
	}
	if a.Statement.Fault != nil {
		p.Log.Warn("statement ignored", "id", v.ID, "target", m.ID, "error", a.Statement.Fault)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if a.Statement.Leaving && p.registry.SetLeaving(now, m) {
		p.Log.Info("target leaving", "target", m.ID, "service", m.Service, "address", m.Address, "own", m.Own, "said", true)
	}
	if wait := a.Statement.Wait; wait > 0 {
		p.registry.Rest(now, m, now.Add(wait))
		p.Log.Info("target rests", "target", m.ID, "service", m.Service, "wait", wait, "id", v.ID)
		p.metrics.rests.Add(1)
	}
	if a.Statement.LimitFault {
		return
	}
	l := target.Limit{At: sentAt}
	if a.Statement.Limited {
		l = target.Limit{Rate: a.Statement.Limit, Limited: true, At: now}
	}
	if p.setLimit(m, l, "") {
		p.limitsChanged = true
		p.sendNews(now, &p.limitsSentAt)
	}
}

// setLimit records a target's limit, which a peer reported if its name is set, and reports whether the limit has changed; mu
// is held.
func (p *Process) setLimit(m *target.Member, l target.Limit, peer string) (changed bool) {
	before := m.Limit()
	if !m.SetLimit(l) {
		return false
	}
	p.Log.Info("target limit", "target", m.ID, "service", m.Service, "limited", l.Limited, "rate", l.Rate, "before", before.Rate, "peer", peer)
	return true
}

// learnLimits records the limits that a peer has reported; mu is held.
func (p *Process) learnLimits(now time.Time, n *message.News) {
	for _, l := range n.Limits {
		m := p.registry.ByHash(l.Target)
		if m == nil {
			continue
		}
		changed := p.setLimit(m, l.Decode(now), n.Name)
		if at, ok := l.DecodeFailure(now); ok && p.registry.LearnFailure(now, m, at) {
			changed = true
		}
		p.limitsChanged = p.limitsChanged || changed && p.mesh.IsRelay()
	}
	if p.limitsChanged && p.mesh.IsRelay() {
		p.sendNews(now, &p.limitsSentAt)
	}
}
