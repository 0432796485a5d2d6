package gateway

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

const (
	// learnTime is the longest time that a request waits after a pause until it is known which targets are cold: a report to a relay and
	// its answer take less. learnInterval is the time between two checks.
	learnTime     = 500 * time.Millisecond
	learnInterval = 20 * time.Millisecond
)

// errPermitLapsed reports that an attempt was not sent because its permit had lapsed meanwhile.
var errPermitLapsed = errors.New("the permit has lapsed before the request could be sent")

// colds is the part of a Process that keeps cold targets within their bound, guarded by its mu.
type colds struct {
	// unknown is set while this process does not know which targets have become cold in a pause; it is not guarded by mu.
	unknown atomic.Bool
	// fraction is the part of a rate that this entry last could issue.
	fraction float64
	// knownConfiguration and knownSettings are those of which the registry knows.
	knownConfiguration *site.Configuration
	knownSettings      *site.Settings
}

// configureColds tells the registry what cold targets sustain, if that has changed; mu is held.
func (p *Process) configureColds(now time.Time) {
	c, s := p.configuration.Load(), p.settings.Load()
	if c == p.knownConfiguration && s == p.knownSettings {
		return
	}
	p.knownConfiguration, p.knownSettings = c, s
	services := map[string]site.Cold{}
	if c != nil && s.Cold.Over > 0 {
		for name, service := range c.Services {
			if service.Cold.Limits() {
				services[name] = service.Cold
			}
		}
	}
	p.registry.SetCold(now, services)
}

// coldRecord is the record of a target that is cold.
type coldRecord struct {
	revision int64
	until    time.Time
}

// coldUntil returns the time until which the target of a record that was just read is cold, or zero. The time that is left counts from
// the first read of the record, also if it is read again.
func (p *Process) coldUntil(s *storeState, e *site.TargetRecord) time.Time {
	c := p.configuration.Load()
	if e.ColdLeft == 0 || p.settings.Load().Cold.Over == 0 || c == nil || !c.Service(e.Target.Service).Cold.Limits() {
		delete(s.colds, e.ID)
		return time.Time{}
	}
	if known, ok := s.colds[e.ID]; ok && known.revision == e.Revision {
		return known.until
	}
	until := p.Now().Add(e.ColdLeft)
	s.colds[e.ID] = coldRecord{e.Revision, until}
	return until
}

// followColds logs which part of the rates of cold targets this entry may issue, and which targets have become cold, or no longer are;
// mu is held.
func (p *Process) followColds(now time.Time, entries int) {
	if p.settings.Load().Cold.Over == 0 {
		return
	}
	fraction := math.Round(100*p.roster.Standing(now, "").Fraction) / 100
	if fraction != p.fraction {
		known, _ := p.roster.Known()
		p.Log.Info("permit share", "share", fraction, "before", p.fraction, "entries", entries, "known", known)
		p.fraction = fraction
	}
	for _, c := range p.registry.ColdChanges(now) {
		if !c.Cold {
			p.Log.Info("target warm", "target", c.ID, "service", c.Service)
			p.metrics.colds.With("event", "ended").Add(1)
			continue
		}
		rate, _ := c.Rate(now)
		p.Log.Info("target cold", "target", c.ID, "service", c.Service, "reason", c.Reason, "wait", c.Left, "rate", rate)
		p.metrics.colds.With("event", c.Reason).Add(1)
	}
}

// resumeColds records that this entry was paused and may have missed restarts of targets and changes of the live entries; mu is held.
func (p *Process) resumeColds(now time.Time) {
	p.roster.Resume(now)
	if p.registry.MarkUnknown(now) {
		p.unknown.Store(true)
	}
}

// awaitTargets waits until a time, or until this process has learned after a pause which targets are cold. Meanwhile all of them count as cold, so requests
// would be refused that warm targets can serve. It reports whether it has waited and they are known.
func (v *request) awaitTargets(end time.Time) (learned bool) {
	p, ctx := v.process, v.caller.Context()
	if !p.unknown.Load() {
		return false
	}
	for ; p.unknown.Load(); node.Pause(ctx, learnInterval) {
		if ctx.Err() != nil || v.remaining() <= 0 || !p.Now().Before(end) {
			return false
		}
	}
	return true
}

// coldOwner returns the address of the entry to ask for permits of a cold target, which is invalid if it is this one; mu is held.
func (p *Process) coldOwner(now time.Time, hash uint32) netip.AddrPort {
	owner := p.addresses[p.roster.Owner(now, rateKey(hash))]
	if owner == p.settings.Load().Peers {
		return netip.AddrPort{}
	}
	return owner
}

// correct replaces the rate in a request for permits by the lowest that this entry knows; mu is held.
func (p *Process) correct(now time.Time, r *limit.PermitRequest) {
	m := p.registry.ByHash(r.Target)
	if m == nil || !m.Limited(now) {
		return
	}
	rate, cold := m.Rate(now)
	if r.Cold && !cold {
		rate = min(rate, r.Rate)
	}
	r.Rate, r.Cold = rate, r.Cold || cold
}

// issue returns the permits for a request of an entry; mu is held.
func (p *Process) issue(now time.Time, r limit.PermitRequest, from netip.AddrPort, entries int) limit.Permits {
	bound := p.settings.Load().Cold
	if !r.Cold || bound.Over == 0 {
		return p.issuer.Issue(now, r, entries)
	}
	return p.issuer.IssueCold(now, r, from.String(), limit.Bound(bound), p.roster.Standing(now, rateKey(r.Target)))
}

// noteAnswer records whether the owner of a cold target's rate has answered a request for permits; mu is held.
func (p *Process) noteAnswer(now time.Time, ask *permitRequest, answered bool) {
	if ask.cold {
		p.roster.NoteAnswer(now, p.names[ask.owner], answered)
	}
}

// noteUnreachable records that no connection to a target could be made; mu is held.
func (p *Process) noteUnreachable(now time.Time, m *target.Member, err error) {
	// Only a refusal shows that the target has ended; other entries may reach one that does not answer this one.
	p.noteFailure(now, m, errors.Is(err, syscall.ECONNREFUSED))
}

// noteLost records that a run at a target ended without an answer, unless this entry or the caller ended it; mu is held.
func (p *Process) noteLost(now time.Time, m *target.Member, fate suspect.Fate) {
	if fate == suspect.FateOpen {
		p.noteFailure(now, m, true)
	}
}

// noteFailure records that a target may have restarted under the same ID; mu is held.
func (p *Process) noteFailure(now time.Time, m *target.Member, tell bool) {
	if p.registry.NoteFailure(now, m, tell) {
		p.limitsChanged = true
		p.sendNews(now, &p.limitsSentAt)
	}
}

// sendBy returns the time by which a request must be sent that was given a permit for a target now, or zero if the target is not cold.
func sendBy(now time.Time, m *target.Member) time.Time {
	if !m.IsCold(now) {
		return time.Time{}
	}
	return now.Add(limit.ColdSendTime)
}

// sendByKey is the key of the time by which a request must be sent, in its context.
type sendByKey struct{}

// withSendBy returns a context with the time by which a request must be sent, unless it is zero.
func withSendBy(ctx context.Context, at time.Time) context.Context {
	if at.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, sendByKey{}, at)
}

// dialInTime returns a dial function that fails with errPermitLapsed if the request can't be sent in time: this process may have been
// frozen since its permit was issued.
func dialInTime(now func() time.Time, dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if at, ok := ctx.Value(sendByKey{}).(time.Time); err == nil && ok && now().After(at) {
			conn.Close()
			return nil, errPermitLapsed
		}
		return conn, err
	}
}
