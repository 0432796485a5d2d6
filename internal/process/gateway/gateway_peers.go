package gateway

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/inventory"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// minSendInterval is the shortest time between two datagrams of a relay with the loads, which are sent when they have changed,
	// and minReportInterval that between two reports of a changed load.
	minSendInterval   = 50 * time.Millisecond
	minReportInterval = 20 * time.Millisecond
	// maxSendInterval is the time after which an unchanged load is re-sent.
	maxSendInterval = 300 * time.Millisecond
	// minNewsInterval is the shortest time between two datagrams that are sent for lost runs alone, or for limits alone.
	minNewsInterval = 20 * time.Millisecond
	// relaySilence is the time without a datagram of a relay after which another entry takes its place.
	relaySilence = 2*maxSendInterval + minSendInterval
)

// peers is the part of a Process that keeps track of the other processes, guarded by its mu.
type peers struct {
	mesh *mesh.Mesh
	// sequence is the sequence number of the last datagram.
	sequence uint64
	// reports holds the latest reports to the relays, and reportedAt is when the last one was sent.
	reports    reportLog
	reportedAt time.Time
	// mirrors holds the inventories of relays by their incarnation, and mirrorsChanged is set while a change of one has not
	// been reported.
	mirrors        map[uint64]*mirror
	mirrorsChanged bool
	// relayed is what this entry sends as a relay.
	relayed
	rosters
	// runsSentAt is when a datagram was last sent for lost runs alone.
	runsSentAt time.Time
	// entries is the number of live entries at the last tick.
	entries int
}

// mirror is the inventory of a relay as far as it is known.
type mirror struct {
	inventory.Mirror
	// seenAt is when the relay was last heard.
	seenAt time.Time
}

func newPeers(o *Options) peers {
	own := mesh.Peer{Address: o.Settings.Peers, Centre: o.Settings.Centre}
	return peers{mesh: mesh.New(own, relaySilence, o.Settings.Seeds), mirrors: map[uint64]*mirror{}, relayed: newRelayed(), rosters: newRosters(o), entries: 1}
}

// exchange reports to the relays of the data centre, and relays if this entry is one of them, until the context ends.
func (p *Process) exchange(ctx context.Context) {
	node.Every(ctx, minSendInterval, func() {
		paused := p.detectPause()
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.Now()
		if paused {
			p.mesh.Unsettle(now)
			p.stalls.Resume(now)
			p.resumeColds(now)
		}
		for _, lost := range p.mesh.Expire(now) {
			p.Log.Info("peer lost", "peer", lost.Name, "address", lost.Address, "age", now.Sub(lost.LastSeen))
		}
		p.mesh.SetReads(p.readsStore())
		if p.mesh.UpdateRole(now) {
			p.Log.Info("relay", "active", p.mesh.IsRelay())
			p.wakeStore()
		}
		view := p.mesh.View(now)
		p.followEntries(now, view.Entries())
		p.recordRetries(now, view)
		p.followColds(now, p.entries)
		p.followGroups(now)
		p.expireMirrors(now)
		p.forgetMembers()
		if p.reportDue(now) {
			p.report(now)
		}
		if p.mesh.IsRelay() {
			p.registry.SetOtherLoads(p.otherLoads(now))
			p.relayIfDue(now)
		}
	})
}

// sendNews sends what has changed to the other processes at once. If a datagram was sent for the same kind of news just before,
// exchange sends it later; mu is held.
func (p *Process) sendNews(now time.Time, sentAt *time.Time) {
	if now.Sub(*sentAt) < minNewsInterval {
		return
	}
	*sentAt = now
	p.report(now)
	if p.mesh.IsRelay() {
		p.relay(now)
	}
}

// newDatagram returns a datagram that names this process and is otherwise empty; mu is held.
func (p *Process) newDatagram() *message.News {
	p.sequence++
	return &message.News{Name: p.settings.Load().Name, Centre: p.settings.Load().Centre, Incarnation: p.incarnation, Sequence: p.sequence}
}

// newNewsDatagram returns a datagram with lost runs and the limits of targets; mu is held.
func (p *Process) newNewsDatagram(now time.Time, runs []suspect.LostRun) *message.News {
	n := p.newDatagram()
	n.Runs = message.EncodeRuns(now, runs)
	n.Limits = message.EncodeLimits(now, p.registry.Limits(now))
	return n
}

// reportDue reports whether something has changed since the last report, or it is too long ago; mu is held.
func (p *Process) reportDue(now time.Time) bool {
	last := p.reports.last()
	return now.Sub(p.reportedAt) >= maxSendInterval || p.limitsChanged || p.mirrorsChanged || p.suspects.HasNews(now) ||
		last == nil || !maps.Equal(p.registry.OwnLoads(), last.loads)
}

// report tells the relays of this data centre this entry's load and news. While no relay was heard, it also tells the seeds,
// which answer with the processes that they know; mu is held.
func (p *Process) report(now time.Time) {
	p.reportedAt, p.limitsChanged, p.mirrorsChanged = now, p.limitsChanged && p.mesh.IsRelay(), false
	n := p.newNewsDatagram(now, p.suspects.News(now))
	n.Report = &message.Report{View: p.mesh.KnownDigest(), Loads: message.EncodeLoads(p.registry.OwnLoads())}
	for incarnation, m := range p.mirrors {
		n.Report.Cursors = append(n.Report.Cursors, &message.Cursor{Relay: incarnation, Sequence: m.Sequence})
	}
	boot, ok := p.Boot.Now()
	p.reports.add(sentReport{sequence: n.Sequence, sentAt: boot, timed: ok, loads: p.registry.OwnLoads()})
	to := p.mesh.Relays(now)
	if !p.mesh.HearsRelay(now) {
		to = append(to, p.mesh.Seeds()...)
	}
	p.sendDatagram(n, p.others(to))
}

// loadChanged reports a changed load to the relays at once, unless a report was sent just before; mu is held.
func (p *Process) loadChanged(now time.Time) {
	if now.Sub(p.reportedAt) >= minReportInterval {
		p.report(now)
	}
}

// others returns the addresses without that of this process.
func (p *Process) others(list []netip.AddrPort) (out []netip.AddrPort) {
	for _, a := range list {
		if a != p.settings.Load().Peers {
			out = append(out, a)
		}
	}
	return out
}

// receive handles a datagram of a peer.
func (p *Process) receive(from netip.AddrPort, n *message.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	peer, isNew := datagram.UpdateMesh(now, p.mesh, from, n)
	if peer == nil {
		p.metrics.datagrams.With("event", "old").Add(1)
		return
	}
	if isNew {
		p.Log.Info("peer heard", "peer", n.Name, "address", from, "incarnation", n.Incarnation)
	}
	p.learnRuns(now, n)
	p.learnLimits(now, n)
	if n.Slot {
		if n.Retries != nil {
			p.inheritRetries(now, n.Retries)
		}
		p.answerSlot(now, from, n, isNew)
		return
	}
	if n.Report != nil {
		p.receiveReport(now, peer, n, isNew)
	}
	if n.Relay != nil {
		p.learnKnown(now, n.Relay)
		p.learnStates(now, n.Relay.Groups)
		p.receiveRelay(now, peer, n)
	}
	p.answerAsks(now, from, n.Asks)
	p.receivePermits(now, n.Permits)
}

// runsFor returns the lost runs to send to a peer, more of them if it is new; mu is held.
func (p *Process) runsFor(now time.Time, isNew bool) []suspect.LostRun {
	if isNew {
		return p.suspects.Runs(now)
	}
	return p.suspects.News(now)
}

// sendDatagram sends a datagram and counts it; mu is held.
func (p *Process) sendDatagram(n *message.News, addresses []netip.AddrPort) {
	p.countSent(len(addresses), p.socket.Send(n, addresses))
}

func (p *Process) countSent(count int, err error) {
	p.metrics.datagrams.With("event", "sent").Add(float64(count))
	if err != nil {
		p.metrics.datagrams.With("event", "unsent").Add(1)
	}
}

// rejectDatagram counts and logs a datagram that cannot be decoded.
func (p *Process) rejectDatagram(err error) {
	p.metrics.datagrams.With("event", "unreadable").Add(1)
	p.Log.Warn("datagram dropped", "error", err)
}
