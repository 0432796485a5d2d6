package sidecar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// reportInterval is the time between two datagrams to the relays of the data centre, which answer with the addresses of the
	// other slots, and firstReportInterval that time until a relay was heard.
	reportInterval, firstReportInterval = time.Second, 300 * time.Millisecond
	// relaySilence is the time without a datagram of a relay after which another entry takes its place.
	relaySilence = 2*reportInterval + reportInterval/2
	// leaderInterval is the time between two datagrams of the leader to each rank while nothing changes and no attempt is
	// in progress; they only show that the leader is alive.
	leaderInterval = 500 * time.Millisecond
	// leaderSearchInterval is the time between two datagrams to leaderSearchSlots other slots while the leader is not known.
	// The leader announces itself to all slots that it knows, so only one that does not know this slot must be found.
	leaderSearchInterval = 300 * time.Millisecond
	leaderSearchSlots    = 8
	// stateInterval is the time between two datagrams of a slot to the leader while no attempt is in progress. The leader
	// ignores a state that is older than 0.9 s.
	stateInterval = 300 * time.Millisecond
	// attemptLinkShare is the part of the leader's link that attempts with a map may fill, and attemptBurst the number of bytes
	// sent at once: on a full link all other datagrams are lost too.
	attemptLinkShare = 0.7
	attemptBurst     = 48 << 10
	// countLinkShare is the part of the leader's link that the counts of all ranks fill. The requests of all ranks follow the
	// same demand, so the counts of some are enough.
	countLinkShare = 0.2
	// countBytes is the size of an encoded count.
	countBytes = 1.1
	// countWindow is the time before a datagram with counts of which it has the counts: older ones may be from before a shift
	// of demand.
	countWindow = 3 * countInterval
	// expertsInterval is the time between two datagrams with the experts of a rank, which the leader needs of all ranks.
	expertsInterval = time.Second
	// rankInterval is the time for each rank of a group between two datagrams of the leader to all ranks, and between two of
	// each rank to the leader, while a switch is in progress and nothing changes.
	rankInterval = time.Millisecond
	// defaultLinkRate is the bandwidth of a link in bytes a second if the settings have none.
	defaultLinkRate = 1_250_000
)

// linkRate returns the bandwidth of the machine's link in bytes a second.
func linkRate(s *site.Settings) float64 {
	if s.Link > 0 {
		return s.Link
	}
	return defaultLinkRate
}

// throttle limits how often an unchanged message is sent; a changed one is sent at once.
type throttle[K comparable] struct {
	sentAt time.Time
	key    K
}

// attemptKey identifies the state of an attempt: if it changes, the leader sends the attempt again at once.
type attemptKey struct {
	hold.Ballot
	phase hold.Phase
	step  uint64
}

// due reports whether a message with the given key is to be sent now. If so, it counts the message as sent.
func (t *throttle[K]) due(now time.Time, key K, interval time.Duration) bool {
	if key == t.key && now.Sub(t.sentAt) < interval {
		return false
	}
	t.sentAt, t.key = now, key
	return true
}

// sendState sends the own state to the leader, or to all slots while the leader is not known. The leader sends its attempt
// to the ranks instead. Each reportInterval, sendState also announces the slot to the relays.
func (p *Process) sendState() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, lost := range p.mesh.Expire(now) {
		p.Log.Warn("peer lost", "peer", lost.Name, "address", lost.Address, "age", now.Sub(lost.LastSeen))
	}
	p.reportIfDue(now)
	if !p.core.EngineKnown() {
		return
	}
	known := p.leaders()
	leader := known[0]
	p.sendToDeputies(now, known[1:])
	p.announceDeputy(now)
	switch {
	case p.core.IsLeader():
		p.sendToRanks(now)
	case leader.IsValid():
		p.sendToLeader(now, leader)
	case p.leaderSearchThrottle.due(now, struct{}{}, leaderSearchInterval):
		n := p.newDatagram()
		n.Rank = encodeState(p.core.State())
		p.send(n, p.nextSearched())
	}
}

// reportIfDue announces the slot to the relays of its data centre. While no relay was heard, it also tells the seeds, which
// answer with the processes that they know; mu is held.
func (p *Process) reportIfDue(now time.Time) {
	heard := p.mesh.HearsRelay(now)
	interval := reportInterval
	if !heard {
		interval = firstReportInterval
	}
	if now.Sub(p.reportedAt) < interval && !p.identity.changed() {
		return
	}
	p.reportedAt = now
	n := p.newDatagram()
	n.Report = &message.Report{View: p.mesh.KnownDigest(), Member: p.identity.report(), Group: p.identity.reportState(now)}
	to := p.mesh.Relays(now)
	if !heard {
		to = append(to, p.mesh.Seeds()...)
	}
	p.send(n, to)
}

// nextSearched returns the next slots that may be the leader's, all in turn; mu is held.
func (p *Process) nextSearched() (out []netip.AddrPort) {
	all := p.mesh.Addresses("", true)
	slices.SortFunc(all, netip.AddrPort.Compare)
	for range min(leaderSearchSlots, len(all)) {
		p.searched++
		out = append(out, all[p.searched%len(all)])
	}
	return out
}

// sendToRanks sends the leader's state to the other ranks, at once if the attempt has changed. The ranks that do not follow
// the attempt yet get all of it; mu is held.
func (p *Process) sendToRanks(now time.Time) {
	a := p.core.Published()
	var key attemptKey
	if a != nil {
		key = attemptKey{Ballot: a.Ballot, phase: a.Phase, step: a.Step}
	}
	interval := leaderInterval
	if p.core.Busy() {
		interval = repeatInterval(p.core.State().Size)
	}
	behind, following := p.partitionSlots(a)
	state := encodeState(p.core.State())
	if a != nil && a.Phase == hold.PhaseEnded {
		// A deputy that has missed the end would take the leader, which is at rest, for silent.
		p.sendAttempt(now, state, a, key, leadingInterval, p.deputiesAmong(behind))
	}
	if len(behind) > 0 {
		p.sendAttempt(now, state, a, key, interval, behind)
	}
	if len(following) > 0 && p.stateThrottleToRanks.due(now, key, interval) {
		n := p.newDatagram()
		n.Rank = state
		p.send(n, following)
	}
}

// partitionSlots returns the addresses of the slots that need the complete attempt, and of those that already follow it;
// mu is held.
func (p *Process) partitionSlots(a *hold.Attempt) (behind, following []netip.AddrPort) {
	group := p.core.State().Group
	for _, address := range p.mesh.Addresses("", true) {
		s, ok := p.rankStates[address]
		if !p.core.IsLeader() && s.Group != group {
			// The leader also looks for ranks that it does not know; a deputy acts only for those that it has heard.
			continue
		}
		if a == nil || ok && s.Ballot == a.Ballot && s.Phase >= a.Phase {
			following = append(following, address)
		} else {
			behind = append(behind, address)
		}
	}
	return behind, following
}

// sendAttempt sends an attempt to the slots that have not got it within the interval, starting with those that got one longest
// ago and to as many as the bandwidth limit allows; the others get it in a later call. A slot that knows the map in use gets
// only what differs from it; mu is held.
func (p *Process) sendAttempt(now time.Time, state *message.RankState, a *hold.Attempt, key attemptKey, interval time.Duration, behind []netip.AddrPort) {
	behind = slices.DeleteFunc(behind, func(address netip.AddrPort) bool {
		t := p.attemptsSent[address]
		return t.key == key && now.Sub(t.sentAt) < interval
	})
	slices.SortFunc(behind, func(a, b netip.AddrPort) int {
		return cmp.Or(p.attemptsSent[a].sentAt.Compare(p.attemptsSent[b].sentAt), a.Compare(b))
	})
	var complete *message.Attempt
	patched := p.encodePatched(a)
	for _, address := range behind {
		n := p.newDatagram()
		n.Rank, n.Attempt = state, patched
		if patched == nil || p.knownMaps[address] != patched.Base {
			if complete == nil {
				complete = encodeAttempt(a)
			}
			n.Attempt = complete
		}
		if n.Attempt != nil {
			n.Attempt.Life = p.preparedLife(a, address)
		}
		if !p.attemptBandwidth.AllowN(now, min(proto.Size(n), attemptBurst)) {
			return
		}
		p.attemptsSent[address] = throttle[attemptKey]{sentAt: now, key: key}
		p.send(n, []netip.AddrPort{address})
	}
}

// preparedLife returns the incarnation in which a slot prepared for an attempt, or zero if it has not; mu is held.
func (p *Process) preparedLife(a *hold.Attempt, address netip.AddrPort) uint64 {
	s, ok := p.rankStates[address]
	if !ok || s.Rank >= len(a.Incarnations) {
		return 0
	}
	return a.Incarnations[s.Rank]
}

// repeatInterval returns the time between two datagrams with the same content during a switch of a group of the given size.
func repeatInterval(size int) time.Duration {
	return max(busyInterval, time.Duration(size)*rankInterval)
}

// sendToLeader sends the own state to the leader, together with the counts and the experts if they are due; mu is held.
func (p *Process) sendToLeader(now time.Time, leader netip.AddrPort) {
	s := p.core.State()
	countsInterval := p.countSendInterval(s.Size)
	countsDue := now.Sub(p.sentCounts) >= countsInterval
	if !countsDue && now.Sub(p.sentCounts) < countsInterval-countWindow {
		p.tally.Take()
	}
	expertsDue := now.Sub(p.sentExperts) >= expertsInterval || p.rankExperts.MapVersion != p.sentExpertsMap
	key := s
	key.Step, key.Pace = 0, paceLevel(s.Pace)
	interval := stateInterval
	if p.core.Busy() {
		interval = max(busyInterval/2, repeatInterval(s.Size)-busyInterval/2)
	}
	if !p.stateThrottle.due(now, key, interval) && !countsDue && !expertsDue {
		return
	}
	n := p.newDatagram()
	n.Rank, n.Known = encodeState(s), p.knownMap()
	if countsDue {
		p.sentCounts = now
		n.Counts = p.tally.Take()
	}
	if countsDue || expertsDue {
		p.sentExperts, p.sentExpertsMap = now, p.rankExperts.MapVersion
		n.Map = p.rankExperts.MapVersion
		for _, experts := range p.rankExperts.Experts {
			n.Experts = append(n.Experts, encodeExperts(experts))
		}
	}
	p.send(n, []netip.AddrPort{leader})
}

// countSendInterval returns the time between two datagrams with counts of one rank in a group of the given size, at which
// the counts of all ranks fill no more than their part of the leader's link; mu is held.
func (p *Process) countSendInterval(size int) time.Duration {
	if p.expertConfig == nil {
		return countInterval
	}
	bytes := countBytes * float64(p.expertConfig.Sets*p.expertConfig.Count*size)
	interval := time.Duration(bytes / (countLinkShare * linkRate(p.settings.Load())) * float64(time.Second))
	return max(interval, countInterval)
}
