package gateway

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// permitTimeout is the time that a request waits for a permit of another entry.
	permitTimeout = 60 * time.Millisecond
	// unansweredDenial is how long an entry does not ask again for permits of a target after it got no answer.
	unansweredDenial = 200 * time.Millisecond
	// maxAsks bounds the permits that one attempt waits for.
	maxAsks = 3
	// limitReason is the reason for the refusal of a request whose targets all have a limit.
	limitReason = "the targets take no more requests now"
	// restReason is the reason for the refusal of a request whose targets have all asked for rest, and restSpread the time over which
	// the callers are told to return.
	restReason = "the targets have asked for rest"
	restSpread = 300 * time.Millisecond
)

// permitRequest is a request for permits that waits for the answer of another entry.
type permitRequest struct {
	number   uint64
	member   *target.Member
	priority int
	// owner is the entry that was asked, and sentAt when it was. Cold is set if the target counted as cold.
	owner  netip.AddrPort
	sentAt time.Time
	cold   bool
	// joined is the number of callers' requests that wait for the same answer.
	joined int
	// done is closed once the answer has arrived or the time for it is over.
	done chan struct{}
}

// rateKey returns the key of a target's rate.
func rateKey(hash uint32) string {
	return strconv.FormatUint(uint64(hash), 16)
}

// rateOwner returns the address of the entry that owns a target's rate, which is invalid if this entry does, and the number of
// live entries; mu is held.
func (p *Process) rateOwner(now time.Time, hash uint32, cold bool) (owner netip.AddrPort, entries int) {
	if cold {
		return p.coldOwner(now, hash), 0
	}
	addresses := map[string]netip.AddrPort{}
	for _, a := range p.mesh.View(now).Entries() {
		addresses[a.String()] = a
	}
	owner = addresses[limit.Owner(rateKey(hash), slices.Collect(maps.Keys(addresses)))]
	if owner == p.settings.Load().Peers {
		owner = netip.AddrPort{}
	}
	return owner, len(addresses)
}

// awaitPermit asks the owner of a target's rate for permits and waits for the answer, which is recorded at the target. If this
// entry has asked already, it waits for that answer. It returns the number of requests that waited for it.
func (p *Process) awaitPermit(ctx context.Context, m *target.Member, priority, count int) (joined int) {
	p.mu.Lock()
	ask := p.asked[m.Hash]
	if ask == nil {
		ask = p.ask(m, priority, count)
	}
	if ask != nil {
		ask.joined++
	}
	p.mu.Unlock()
	if ask == nil {
		return 1
	}
	select {
	case <-ask.done:
		return ask.joined
	case <-ctx.Done():
		return 1
	}
}

// ask asks for permits. It returns nil if this entry owns the rate, so that the answer is recorded at once; mu is held.
func (p *Process) ask(m *target.Member, priority, count int) *permitRequest {
	now := p.Now()
	rate, cold := m.Rate(now)
	r := limit.PermitRequest{Target: m.Hash, Rate: rate, Priority: priority, Count: count, Cold: cold}
	owner, entries := p.rateOwner(now, m.Hash, cold)
	p.lastAsk++
	ask := &permitRequest{number: p.lastAsk, member: m, priority: priority, owner: owner, sentAt: now, cold: cold, done: make(chan struct{})}
	if !owner.IsValid() {
		p.applyPermits(now, ask, p.issue(now, r, p.settings.Load().Peers, entries))
		return nil
	}
	p.asked[m.Hash] = ask
	n := p.newNewsDatagram(now, nil)
	n.Asks = []*message.PermitRequest{message.EncodePermitRequest(ask.number, r)}
	p.sendDatagram(n, []netip.AddrPort{owner})
	time.AfterFunc(permitTimeout, func() { p.expireAsk(ask) })
	return ask
}

// expireAsk ends a request for permits if it has no answer yet.
func (p *Process) expireAsk(ask *permitRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked[ask.member.Hash] != ask {
		return
	}
	p.Log.Warn("permit unanswered", "target", ask.member.ID, "peer", ask.owner, "waited", permitTimeout, "requests", ask.joined)
	p.metrics.permits.With("event", "unanswered").Add(1)
	p.noteAnswer(p.Now(), ask, false)
	ask.member.ApplyPermits(p.Now(), limit.Permits{Wait: unansweredDenial}, 0)
	p.endAsk(ask)
}

// endAsk lets the requests that wait for permits go on; mu is held.
func (p *Process) endAsk(ask *permitRequest) {
	delete(p.asked, ask.member.Hash)
	close(ask.done)
}

// answerAsks answers a peer's requests for permits; mu is held.
func (p *Process) answerAsks(now time.Time, from netip.AddrPort, asks []*message.PermitRequest) {
	if len(asks) == 0 {
		return
	}
	reply := p.newNewsDatagram(now, nil)
	entries := len(p.mesh.View(now).Entries())
	for _, ask := range asks {
		r := ask.Decode()
		p.correct(now, &r)
		if r.Cold && !p.roster.MayIssue(now) {
			// The sender asks another entry when it gets no answer.
			continue
		}
		permits := p.issue(now, r, from, entries)
		p.metrics.permits.With("event", "issued").Add(float64(permits.Count))
		reply.Permits = append(reply.Permits, message.EncodePermits(ask.Number, permits))
	}
	if len(reply.Permits) > 0 {
		p.sendDatagram(reply, []netip.AddrPort{from})
	}
}

// receivePermits records the answers to this entry's requests for permits; mu is held.
func (p *Process) receivePermits(now time.Time, permits []*message.Permits) {
	for _, w := range permits {
		for _, ask := range p.asked {
			if ask.number == w.Number {
				p.noteAnswer(now, ask, true)
				p.applyPermits(now, ask, w.Decode())
				p.endAsk(ask)
			}
		}
	}
}

// applyPermits records the answer to a request for permits; mu is held.
func (p *Process) applyPermits(now time.Time, ask *permitRequest, permits limit.Permits) {
	if ask.cold {
		ask.member.ApplyColdPermits(now, ask.sentAt, permits, ask.priority)
	} else {
		ask.member.ApplyPermits(now, permits, ask.priority)
	}
	event := "granted"
	if permits.Count == 0 {
		event = "denied"
	}
	p.metrics.permits.With("event", event).Add(1)
}

// rejectResting returns the rejection of a request if targets are left out of its choice because they rest; mu is held.
func (v *request) rejectResting(now time.Time, c target.Choice) rejection {
	p := v.process
	at := p.registry.NextRested(now, c)
	if at.IsZero() {
		return rejection{}
	}
	p.Log.Info("targets rest", "id", v.ID, "service", c.Service, "wait", at.Sub(now))
	return rejection{http.StatusServiceUnavailable, restReason, at.Sub(now) + time.Duration(p.Random.Float64()*float64(restSpread))}
}

// rejectLimited returns the rejection of a request if targets are left out of its choice for their limits; mu is held.
func (v *request) rejectLimited(now time.Time, c target.Choice) rejection {
	p := v.process
	at, rate := p.registry.NextPermit(now, c)
	if at.IsZero() {
		return rejection{}
	}
	p.Log.Info("no permit", "id", v.ID, "service", c.Service, "rate", rate, "cold", p.registry.Cold(now, c.Service), "wait", at.Sub(now), "priority", c.Priority)
	return rejection{http.StatusServiceUnavailable, limitReason, limit.RetryAfter(at.Sub(now), rate, p.Random.Float64())}
}
