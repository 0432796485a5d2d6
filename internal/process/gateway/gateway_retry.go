package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// archiveCount is the number of slots that keep the records of an entry's retries.
	archiveCount = 2
	// askInterval is the time between two datagrams with these records until those of the process before this one are known,
	// recordInterval that after a retry, and idleRecordInterval that otherwise.
	askInterval, recordInterval, idleRecordInterval = 100 * time.Millisecond, 200 * time.Millisecond, time.Second
	// inheritTime is the time after its start in which an entry asks for the records of the process before it.
	inheritTime = 3 * time.Second
)

// retries is the part of a Process that bounds the retries, guarded by its mu.
type retries struct {
	// budgets holds the budget of each service.
	budgets map[string]*budget.Budget
	// inherited is set once the budgets contain what the processes before this one at its address have sent, and inheritedEntries is
	// the number of entries that these knew.
	inherited        bool
	inheritedEntries int
	// recordedAt is when the records were last sent to archives, those of slots that keep them.
	recordedAt      time.Time
	archives, slots []netip.AddrPort
}

// budget returns the retry budget of a service; mu is held.
func (p *Process) budget(now time.Time, service string) *budget.Budget {
	b := p.budgets[service]
	if b == nil {
		b = budget.New(p.settings.Load().Retries, p.started)
		b.Archived = len(p.archives) > 0
		if p.inherited {
			b.Inherit(now, budget.Record{})
		}
		p.budgets[service] = b
	}
	return b
}

// takeRetry takes a retry from the service's budget and reports whether one was left.
func (v *request) takeRetry() bool {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	entries := p.retryEntries(now)
	b := p.budget(now, v.service.Name)
	allowed := b.AllowRetry(now, entries)
	event := "refused"
	if allowed {
		event = "allowed"
	}
	p.metrics.retries.With("event", event).Add(1)
	a := b.Account(now, entries)
	if _, many := b.Unrecorded(a); many {
		p.sendRecords(now)
	}
	p.Log.Info("retry", "id", v.ID, "service", v.service.Name, "event", event, "requests", a.Requests, "retries", a.Retries, "bound", a.Allowed, "entries", entries, "age", now.Sub(p.started), "inherited", p.inherited)
	return allowed
}

// retryEntries returns the number of entries among which the slack of retries is divided. In its first window the process may not have
// heard of all that shared it before; mu is held.
func (p *Process) retryEntries(now time.Time) int {
	entries := p.roster.Entries(now)
	if now.Sub(p.started) < p.settings.Load().Retries.Window {
		entries = max(entries, p.inheritedEntries)
	}
	return entries
}

// recordRetries sends the records if it is due; mu is held.
func (p *Process) recordRetries(now time.Time, view mesh.View) {
	interval := idleRecordInterval
	switch {
	case !p.inherited && now.Sub(p.started) < inheritTime:
		interval = askInterval
	case p.unrecorded():
		interval = recordInterval
	}
	if now.Sub(p.recordedAt) < interval {
		return
	}
	p.followArchives(view)
	p.sendRecords(now)
}

// followArchives chooses the slots that keep the records: those of this data centre, unless it has none; mu is held.
func (p *Process) followArchives(view mesh.View) {
	slots := view.Centre(p.settings.Load().Centre).Slots
	if len(slots) == 0 {
		slots = view.Slots()
	}
	if slices.Equal(slots, p.slots) {
		return
	}
	p.slots, p.archives = slots, archivesOf(p.settings.Load().Peers, slots)
	for _, b := range p.budgets {
		b.Archived = len(p.archives) > 0
	}
}

// sendRecords sends what was counted of the retries to the slots that keep it for the next process at this address; mu is held.
func (p *Process) sendRecords(now time.Time) {
	p.recordedAt = now
	records := budget.Records{Entries: p.retryEntries(now), Services: map[string]budget.Record{}}
	for service, b := range p.budgets {
		records.Services[service] = b.Record(now)
	}
	if len(p.archives) == 0 {
		return
	}
	n := p.newDatagram()
	n.Retries = message.EncodeRecords(now, records, p.inherited || now.Sub(p.started) >= p.settings.Load().Retries.Window)
	p.sendDatagram(n, p.archives)
}

// unrecorded reports whether a retry was sent since the records were; mu is held.
func (p *Process) unrecorded() bool {
	for _, b := range p.budgets {
		if some, _ := b.Unrecorded(budget.Account{}); some {
			return true
		}
	}
	return false
}

// archivesOf returns the slots that keep the records of the entry at an address.
func archivesOf(address netip.AddrPort, slots []netip.AddrPort) (out []netip.AddrPort) {
	names, addresses := make([]string, len(slots)), map[string]netip.AddrPort{}
	for i, a := range slots {
		names[i] = a.String()
		addresses[names[i]] = a
	}
	for _, name := range rendezvous.Rank(address.String(), names)[:min(archiveCount, len(names))] {
		out = append(out, addresses[name])
	}
	return out
}

// inheritRetries takes over what the processes before this one at its address have counted; mu is held.
func (p *Process) inheritRetries(now time.Time, m *message.RetryRecords) {
	if p.inherited || now.Sub(p.started) >= inheritTime {
		return
	}
	records := m.Decode(now)
	for service := range records.Services {
		p.budget(now, service)
	}
	for service, b := range p.budgets {
		b.Inherit(now, records.Services[service])
	}
	p.inherited, p.inheritedEntries = true, records.Entries
	p.Log.Info("retries inherited", "services", len(records.Services), "entries", records.Entries, "age", now.Sub(p.started))
}
