package gateway

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// maxReports is the number of latest reports to which an answer of a relay can refer.
	maxReports = 64
	// mirrorLifetime is how long the inventory of a silent relay is kept.
	mirrorLifetime = 10 * time.Second
	// outageNewsTime is the age above which the end of an outage of the store no longer matters.
	outageNewsTime = 10 * time.Second
)

// sentReport is a report as it was sent to the relays.
type sentReport struct {
	sequence uint64
	// sentAt is a time on the Boot clock; it is valid only if timed is set.
	sentAt time.Duration
	timed  bool
	// loads are the requests in progress that the report contained, by target hash.
	loads map[uint32]int
}

// reportLog holds the latest reports in order. The zero value is empty.
type reportLog []sentReport

func (l *reportLog) add(r sentReport) {
	*l = append(*l, r)
	if len(*l) > maxReports {
		*l = append(reportLog(nil), (*l)[len(*l)-maxReports:]...)
	}
}

func (l reportLog) last() *sentReport {
	if len(l) == 0 {
		return nil
	}
	return &l[len(l)-1]
}

// find returns the report with a sequence number, or nil if it is not among the latest.
func (l reportLog) find(sequence uint64) *sentReport {
	for i := range l {
		if l[i].sequence == sequence {
			return &l[i]
		}
	}
	return nil
}

// receiveRelay handles what a relay says of the loads and the store; mu is held.
func (p *Process) receiveRelay(now time.Time, peer *mesh.Peer, n *message.News) {
	if peer.Centre != p.settings.Load().Centre {
		peer.Loads = n.Relay.Loads.Decode()
		p.learnMembers(now, n.Relay.Members)
		return
	}
	if n.Answer == nil {
		return
	}
	report := p.reports.find(n.Answer.Sequence)
	if report == nil {
		return
	}
	if !p.mesh.IsRelay() && p.mesh.Source(now, peer.Centre) == peer {
		// The sum contains what this entry reported.
		loads := n.Relay.Loads.Decode()
		addLoads(loads, report.loads, -1)
		p.registry.SetOtherLoads(loads)
	}
	if n.Answer.Read {
		p.learnStore(now, peer.Address, n, report)
	}
}

// learnStore records what a relay has read from the store. It knew the latest state at the time at which the relay received the
// report, plus what the answer adds. The report was sent before, so the sum of its sending time and that is never too late,
// however long the datagrams took; mu is held.
func (p *Process) learnStore(now time.Time, from netip.AddrPort, n *message.News, report *sentReport) {
	m := p.mirrors[n.Incarnation]
	if m == nil {
		m = &mirror{}
		p.mirrors[n.Incarnation] = m
	}
	m.seenAt = now
	if n.Answer.Through != m.Sequence && (n.Answer.Reset_ || n.Answer.Through > m.Sequence) {
		page := n.Answer.DecodePage(now)
		p.registry.Withdraw(now, removedRecords(page.Records)...)
		m.Apply(page)
		p.mirrorsChanged = true
	}
	if n.Relay.Version > p.wantedVersion || n.Relay.Version == p.wantedVersion && !p.source.failedAt.IsZero() && p.source.address != from {
		p.source = configurationSource{address: from}
	}
	p.wantedVersion = max(p.wantedVersion, n.Relay.Version)
	boot, ok := p.Boot.Now()
	if !ok || !report.timed || m.Sequence != n.Relay.Inventory {
		return
	}
	at := min(report.sentAt+time.Duration(n.Answer.Confirmed)*time.Microsecond, boot)
	if outage := time.Duration(n.Relay.Outage) * time.Microsecond; outage > 0 && outage < outageNewsTime {
		p.registry.NoteOutage(now.Add(at - boot - outage))
	}
	if at > p.targetsAt {
		p.targetsAt = at
		p.setTargets(now, m.Targets(), now.Add(at-boot))
		p.setCentres(now, n.Relay.Evacuated)
	}
	if p.version() < n.Relay.Version {
		p.wakeStore()
		return
	}
	p.confirm(at)
}

// expireMirrors drops the inventories of relays that are silent; mu is held.
func (p *Process) expireMirrors(now time.Time) {
	for incarnation, m := range p.mirrors {
		if now.Sub(m.seenAt) > mirrorLifetime {
			delete(p.mirrors, incarnation)
		}
	}
}
