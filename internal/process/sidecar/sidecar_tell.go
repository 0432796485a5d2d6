package sidecar

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// entryInterval is the time between two datagrams to the entries, which tell the addresses of the other slots.
	entryInterval = time.Second
	// leadInterval is the time between two datagrams of the lead to each rank while nothing changes and no attempt is
	// in progress: they only show that it is there.
	leadInterval = 500 * time.Millisecond
	// seekInterval is the time between two datagrams to all slots of a slot that does not know the lead.
	seekInterval = 300 * time.Millisecond
	// stateInterval is the time between two datagrams of a slot to the lead while no attempt is in progress; a state
	// counts for 0.9 s.
	stateInterval = 300 * time.Millisecond
	// attemptRate is the number of bytes a second that whole attempts take of the lead's link, and attemptBurst those that go out
	// at once: the slowest links that the users name carry a megabyte a second, and a full link loses everything else too.
	attemptRate  = 750_000
	attemptBurst = 48 << 10
	// countingRanks is the number of ranks whose counts reach the lead in each countInterval: the requests of every rank
	// follow the same demand, and the counts of all would fill the lead's link in a large group.
	countingRanks = 12
)

// pace limits how often the same is told; a change is told at once.
type pace[K comparable] struct {
	at  time.Time
	key K
}

// call is what a lead wants of the ranks, as far as it changes within an attempt.
type call struct {
	hold.Ballot
	phase hold.Phase
	step  uint64
}

// due reports whether something is to be told now, and notes that it is.
func (v *pace[K]) due(now time.Time, key K, interval time.Duration) bool {
	if key == v.key && now.Sub(v.at) < interval {
		return false
	}
	v.at, v.key = now, key
	return true
}

// tell sends the own state to the slot that leads, or to all others, and now and then to the entries.
func (p *Process) tell() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, lost := range p.mesh.Expire(now) {
		p.Log.Warn("peer lost", "peer", lost.Name, "address", lost.Address, "age", now.Sub(lost.LastSeen))
	}
	if now.Sub(p.introduced) >= entryInterval {
		p.introduced = now
		p.send(p.news(), p.mesh.Addresses(false))
	}
	if !p.core.EngineKnown() {
		return
	}
	lead := p.leadAddress(now)
	switch {
	case p.core.IsLeader():
		p.tellRanks(now)
	case lead.IsValid():
		p.tellLead(now, lead)
	case p.seek.due(now, struct{}{}, seekInterval):
		n := p.news()
		n.Rank = encodeState(p.core.State(now))
		p.send(n, p.mesh.Addresses(true))
	}
}

// tellRanks sends the lead's attempt to the other ranks: at once when it has changed, and whole only to those that do not
// follow it yet; mu is held.
func (p *Process) tellRanks(now time.Time) {
	a := p.core.Published()
	var key call
	if a != nil {
		key = call{Ballot: a.Ballot, phase: a.Phase, step: a.Step}
	}
	interval := leadInterval
	if p.core.Busy() {
		interval = busyInterval
	}
	if !p.called.due(now, key, interval) {
		return
	}
	behind, following := p.split(a)
	state := encodeState(p.core.State(now))
	if len(behind) > 0 {
		p.sendWhole(now, &message.News{Rank: state, Attempt: encodeAttempt(a)}, behind)
	}
	if len(following) > 0 {
		n := p.news()
		n.Rank = state
		p.send(n, following)
	}
}

// split returns the addresses of the slots that need the whole attempt and of those that follow it already; mu is held.
func (p *Process) split(a *hold.Attempt) (behind, following []netip.AddrPort) {
	for _, address := range p.mesh.Addresses(true) {
		s, ok := p.ranks[address]
		if a == nil || ok && s.Ballot == a.Ballot && s.Phase >= a.Phase {
			following = append(following, address)
		} else {
			behind = append(behind, address)
		}
	}
	return behind, following
}

// sendWhole sends a whole attempt as far as the link has room, first to those that were sent one longest ago: the rest
// gets it in the next turn; mu is held.
func (p *Process) sendWhole(now time.Time, whole *message.News, behind []netip.AddrPort) {
	slices.SortFunc(behind, func(a, b netip.AddrPort) int {
		return cmp.Or(p.wholes[a].Compare(p.wholes[b]), a.Compare(b))
	})
	for _, address := range behind {
		n := p.news()
		n.Rank, n.Attempt = whole.Rank, whole.Attempt
		if !p.link.AllowN(now, min(proto.Size(n), attemptBurst)) {
			return
		}
		p.wholes[address] = now
		p.send(n, []netip.AddrPort{address})
	}
}

// tellLead sends the own state to the lead, with what was counted when it is this rank's turn; mu is held.
func (p *Process) tellLead(now time.Time, lead netip.AddrPort) {
	s := p.core.State(now)
	counts := now.Sub(p.counted) >= countPause(s.Size)
	key := s
	key.Step = 0
	interval := stateInterval
	if p.core.Busy() {
		interval = busyInterval / 2
	}
	if !p.stated.due(now, key, interval) && !counts {
		return
	}
	n := p.news()
	n.Rank = encodeState(s)
	if counts {
		p.counted = now
		n.Counts = p.tally.Take()
		n.Map = p.held.MapVersion
		for _, experts := range p.held.Experts {
			n.Experts = append(n.Experts, encodeExperts(experts))
		}
	}
	p.send(n, []netip.AddrPort{lead})
}

// countPause returns the time between two of a rank's counts in a group of a size.
func countPause(size int) time.Duration {
	return countInterval * time.Duration(max(1, size/countingRanks))
}

// leadAddress returns where the slot of rank 0 was heard last; mu is held.
func (p *Process) leadAddress(now time.Time) netip.AddrPort {
	own := p.core.State(now)
	for _, v := range p.mesh.Peers(true) {
		r, ok := p.ranks[v.Address]
		if ok && r.Rank == 0 && r.Group == own.Group {
			return v.Address
		}
	}
	return netip.AddrPort{}
}
