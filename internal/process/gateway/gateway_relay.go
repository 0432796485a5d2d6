package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/inventory"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// centreInterval is the shortest time between two datagrams with the load to the relays of the other data centres, and
	// centreViewInterval that between two with an unchanged list of the processes of this one: bytes between data centres have
	// a price.
	centreInterval     = 100 * time.Millisecond
	centreViewInterval = time.Second
	// memberSendTime is the least time between two datagrams of a relay to its data centre, for each member: in a large one they
	// would fill the link.
	memberSendTime = 1500 * time.Microsecond
)

// relayed is the part of a Process that it needs as a relay of its data centre, guarded by its mu.
type relayed struct {
	// members holds the latest report of each entry of the data centre by its address.
	members map[netip.AddrPort]*member
	// feed numbers the changes of the targets that this entry has read from the store, as of readAt on the Boot clock, which is
	// negative if it never has.
	feed   *inventory.Feed
	readAt time.Duration
	// evacuated are the evacuated data centres as of readAt.
	evacuated []string
	// relayedAt is when a datagram was last sent as a relay, and sentLoads the loads that it had.
	relayedAt time.Time
	sentLoads map[uint32]int
	// sentVersion is the version of the configuration that the members were last told.
	sentVersion int64
	// centreSentAt is when a datagram was last sent to the other data centres, and viewSentAt when one with the list of the
	// processes of this data centre, of which sentView is the digest.
	centreSentAt, viewSentAt time.Time
	sentView                 uint64
}

// member is an entry of the data centre as it last reported.
type member struct {
	sequence uint64
	// reportedAt is the time of the report on the Boot clock; it is valid only if timed is set.
	reportedAt time.Duration
	timed      bool
	// view is the digest of the view that the member knows, and inventory how far it knows this relay's inventory.
	view, inventory uint64
	// sentThrough is how far the inventory was sent, at sentAt.
	sentThrough uint64
	sentAt      time.Time
}

func newRelayed() relayed {
	return relayed{members: map[netip.AddrPort]*member{}, feed: inventory.NewFeed(), readAt: -1, sentLoads: map[uint32]int{}}
}

// receiveReport records the report of an entry. One that is new, or of which this process is no relay, is answered at once with
// the processes that this one knows; mu is held.
func (p *Process) receiveReport(now time.Time, peer *mesh.Peer, n *message.News, isNew bool) {
	if peer.Centre == p.settings.Load().Centre {
		p.updateMember(peer, n, isNew)
		if !isNew && p.mesh.IsRelay() {
			return
		}
	}
	view := p.mesh.View(now)
	if !isNew && n.Report.View == view.Digest() {
		return
	}
	reply := p.newNewsDatagram(now, p.runsFor(now, isNew))
	reply.Centres = message.EncodeView(view)
	p.sendDatagram(reply, []netip.AddrPort{peer.Address})
}

// updateMember records the report of an entry of this data centre; mu is held.
func (p *Process) updateMember(peer *mesh.Peer, n *message.News, isNew bool) {
	boot, ok := p.Boot.Now()
	m := p.members[peer.Address]
	if m == nil || isNew {
		m = &member{}
		p.members[peer.Address] = m
	}
	m.sequence, m.reportedAt, m.timed, m.view, m.inventory = n.Sequence, boot, ok, n.Report.View, 0
	for _, c := range n.Report.Cursors {
		if c.Relay == p.incarnation {
			m.inventory = c.Sequence
		}
	}
	peer.Loads = n.Report.Loads.Decode()
}

// answerSlot answers a slot that announces itself with the processes that it does not know; mu is held.
func (p *Process) answerSlot(now time.Time, from netip.AddrPort, n *message.News, isNew bool) {
	if n.Report == nil {
		return
	}
	p.learnMember(now, n)
	if n.Report.Group != nil {
		p.learnStates(now, []*message.GroupState{n.Report.Group})
	}
	view := p.mesh.View(now)
	digest := view.Digest()
	reply := p.newDatagram()
	reply.Runs = message.EncodeRuns(now, p.runsFor(now, isNew))
	if p.mesh.IsRelay() {
		reply.Relay, reply.Answer = &message.Relay{Settled: p.mesh.Settled(now), View: digest}, &message.Answer{Sequence: n.Sequence}
	}
	if n.Report.View != digest {
		reply.Centres = message.EncodeView(view)
	}
	p.sendDatagram(reply, []netip.AddrPort{from})
}

// otherLoads sums the requests in progress of all other entries by target hash, as a relay knows them: those that the entries
// of its data centre reported, and the sums of the other data centres; mu is held.
func (p *Process) otherLoads(now time.Time) map[uint32]int {
	sum := map[uint32]int{}
	for _, peer := range p.mesh.Peers(false) {
		if peer.Centre == p.settings.Load().Centre || p.mesh.Source(now, peer.Centre) == peer {
			addLoads(sum, peer.Loads, 1)
		}
	}
	return sum
}

// centreLoads sums the requests in progress of the entries of this data centre; mu is held.
func (p *Process) centreLoads() map[uint32]int {
	sum := p.registry.OwnLoads()
	for _, peer := range p.mesh.Peers(false) {
		if peer.Centre == p.settings.Load().Centre {
			addLoads(sum, peer.Loads, 1)
		}
	}
	return sum
}

// addLoads adds loads to a sum, or subtracts them if the sign is negative.
func addLoads(sum, loads map[uint32]int, sign int) {
	for hash, n := range loads {
		if sum[hash] += sign * n; sum[hash] <= 0 {
			delete(sum, hash)
		}
	}
}

// relayIfDue relays if something has changed since the last time, or it is too long ago; mu is held.
func (p *Process) relayIfDue(now time.Time) {
	if now.Sub(p.relayedAt) < time.Duration(len(p.members))*memberSendTime {
		return
	}
	loads := p.otherLoads(now)
	addLoads(loads, p.registry.OwnLoads(), 1)
	if now.Sub(p.relayedAt) < maxSendInterval && !p.limitsChanged && !p.suspects.HasNews(now) && maps.Equal(loads, p.sentLoads) {
		return
	}
	p.relay(now)
}

// relay tells the entries of this data centre what all others told this relay, and the relays of the other data centres what
// the entries of this one did; mu is held.
func (p *Process) relay(now time.Time) {
	p.relayedAt, p.limitsChanged = now, false
	view := p.mesh.View(now)
	news := p.suspects.News(now)
	p.relayInside(now, view, p.newNewsDatagram(now, news))
	if len(news) > 0 || now.Sub(p.centreSentAt) >= centreInterval {
		p.centreSentAt = now
		p.relayOutside(now, view, p.newNewsDatagram(now, news))
	}
}

// relayOutside tells the relays of the other data centres what the entries of this one told this relay, and the seeds which
// processes it knows; mu is held.
func (p *Process) relayOutside(now time.Time, view mesh.View, n *message.News) {
	centre := mesh.View{view.Centre(p.settings.Load().Centre)}
	digest := centre.Digest()
	n.Relay = &message.Relay{Settled: p.mesh.Settled(now), View: digest, Loads: message.EncodeLoads(p.centreLoads())}
	n.Relay.Members, n.Relay.Whole = p.nextMembers(now)
	n.Relay.Groups = p.encodeStates(now)
	p.tellKnown(now, n.Relay)
	to := p.mesh.OtherRelays(now)
	if digest != p.sentView || now.Sub(p.viewSentAt) >= centreViewInterval {
		p.viewSentAt, p.sentView = now, digest
		n.Centres = message.EncodeView(centre)
		for _, seed := range p.mesh.Seeds() {
			if !slices.Contains(to, seed) {
				to = append(to, seed)
			}
		}
	}
	p.sendDatagram(n, p.others(to))
}

// relayInside tells the entries of this data centre what all others told this relay; mu is held.
func (p *Process) relayInside(now time.Time, view mesh.View, n *message.News) {
	loads := p.otherLoads(now)
	addLoads(loads, p.registry.OwnLoads(), 1)
	p.sentLoads, p.sentVersion = loads, p.version()
	digest := view.Digest()
	n.Relay = &message.Relay{
		Settled: p.mesh.Settled(now), View: digest, Loads: message.EncodeLoads(loads), Version: p.sentVersion, Inventory: p.feed.Sequence(), Blind: p.blind,
		Evacuated: p.evacuated, Groups: p.encodeStates(now),
	}
	p.tellKnown(now, n.Relay)
	n.Relay.Outage = p.sinceOutage(now).Microseconds()
	centres := message.EncodeView(view)
	var list []datagram.Addressed
	for _, address := range p.mesh.Addresses(p.settings.Load().Centre, false) {
		part := &message.News{}
		if m := p.members[address]; m != nil {
			part.Answer = p.answer(now, m)
			if m.view != digest {
				part.Centres = centres
			}
		}
		list = append(list, datagram.Addressed{To: address, Part: part})
	}
	p.countSent(len(list), p.socket.SendEach(n, list))
}

// answer returns the answer to a member's reports; mu is held.
func (p *Process) answer(now time.Time, m *member) *message.Answer {
	a := &message.Answer{Sequence: m.sequence}
	if !m.timed || p.readAt < 0 || !p.mesh.IsReader(now, p.blind) {
		return a
	}
	a.Read, a.Confirmed = true, (p.readAt - m.reportedAt).Microseconds()
	if m.inventory == p.feed.Sequence() || m.sentThrough == p.feed.Sequence() && now.Sub(m.sentAt) < maxSendInterval {
		return a
	}
	page := p.feed.After(now, m.inventory)
	a.Reset_, a.Through, a.Targets = page.Reset, page.Through, message.EncodeTargets(now, page.Records)
	m.sentThrough, m.sentAt = page.Through, now
	return a
}

// updateFeed passes on the targets and the evacuated data centres that this entry has read from the store, complete as of readAt, and
// tells the members at once if they or the version of the configuration have changed. Targets that this entry keeps after an outage stay
// in the feed, so that the members see a removal when it is one.
func (p *Process) updateFeed(targets map[string]site.Target, centres []string, readAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if kept := p.registry.Kept(now, targets); len(kept) > 0 {
		targets = maps.Clone(targets)
		for _, t := range kept {
			targets[t.ID] = t
		}
	}
	centres = relayedCentres(centres, targets)
	p.feed.Withdraw(now, p.withdrawn(targets)...)
	changed := p.feedTargets(now, targets) || p.version() != p.sentVersion || !slices.Equal(centres, p.evacuated)
	p.readAt, p.evacuated = readAt, centres
	if changed && p.mesh.IsRelay() {
		p.relay(now)
	}
}

// withdrawn returns the IDs of the targets that were withdrawn of late and are not listed again; mu is held.
func (p *Process) withdrawn(listed map[string]site.Target) []string {
	return slices.DeleteFunc(p.registry.Withdrawn(), func(id string) bool { _, ok := listed[id]; return ok })
}

// sinceOutage returns the time from the end of the store's latest outage to this entry's latest read, or zero if there was none; mu is
// held. Members know the time of that read by their own clock, also after a datagram that took long.
func (p *Process) sinceOutage(now time.Time) time.Duration {
	ended := p.registry.OutageEndedAt()
	boot, ok := p.Boot.Now()
	if ended.IsZero() || !ok || p.readAt < 0 {
		return 0
	}
	return max(now.Sub(ended)-(boot-p.readAt), time.Microsecond)
}

// forgetMembers drops the reports of entries that are no longer known; mu is held.
func (p *Process) forgetMembers() {
	known := p.mesh.Addresses(p.settings.Load().Centre, false)
	maps.DeleteFunc(p.members, func(a netip.AddrPort, _ *member) bool { return !slices.Contains(known, a) })
}
