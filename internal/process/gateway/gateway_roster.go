package gateway

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// rosters is the part of a Process that knows how many entries there are, including those that are not heard, guarded by its mu.
type rosters struct {
	// roster decides who issues the permits of cold targets, and among how many entries the slack of retries is divided.
	roster *limit.Roster
	// names and addresses convert between the addresses of the live entries and their names in roster.
	names     map[netip.AddrPort]string
	addresses map[string]netip.AddrPort
}

func newRosters(o *Options) rosters {
	own := o.Settings.Peers
	alone := true
	for _, seed := range o.Settings.Seeds {
		alone = alone && seed == own
	}
	return rosters{
		roster: limit.NewRoster(o.Now(), own.String(), alone),
		names:  map[netip.AddrPort]string{own: own.String()}, addresses: map[string]netip.AddrPort{own.String(): own},
	}
}

// followEntries records the live entries; mu is held.
func (p *Process) followEntries(now time.Time, live []netip.AddrPort) {
	p.entries = len(live)
	list := make([]string, 0, len(live))
	for _, address := range live {
		name, ok := p.names[address]
		if !ok {
			name = address.String()
			p.names[address], p.addresses[name] = name, address
		}
		list = append(list, name)
	}
	p.roster.Observe(now, list)
	if len(p.names) > 2*len(live)+1 {
		p.forgetNames(live)
	}
}

// forgetNames drops the names of entries that are not live; mu is held.
func (p *Process) forgetNames(live []netip.AddrPort) {
	names, addresses := map[netip.AddrPort]string{}, map[string]netip.AddrPort{}
	for _, address := range append(live, p.settings.Load().Peers) {
		if name, ok := p.names[address]; ok {
			names[address], addresses[name] = name, address
		}
	}
	p.names, p.addresses = names, addresses
}

// tellKnown tells in a datagram as a relay how many entries were live of late, so that those that start learn of the ones that are cut
// off; mu is held.
func (p *Process) tellKnown(now time.Time, r *message.Relay) {
	known, at := p.roster.Known()
	r.Entries, r.EntriesAge = uint32(known), max(now.Sub(at).Microseconds(), 0)
}

// learnKnown records how many entries a relay knows to have been live of late; mu is held.
func (p *Process) learnKnown(now time.Time, r *message.Relay) {
	if r.Entries > 0 {
		p.roster.Learn(int(r.Entries), now.Add(-time.Duration(max(r.EntriesAge, 0))*time.Microsecond))
	}
}
