package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
)

const (
	// relays is the number of relays of a data centre. All of them are active, so the loss of one delays nothing.
	relays = 2
	// skipTime is the time for which a silent relay is not chosen again, unless it is heard.
	skipTime = forgetAfter
	// rechosenAfter is the time since the last choice of a relay after which it counts as newly chosen.
	rechosenAfter = time.Second
	// settleTime is the time after which a new relay has heard of all processes of its data centre.
	settleTime = 600 * time.Millisecond
	// volunteerDelay is the time for each entry before it in the order of relays after which an entry becomes a further relay because the
	// relays can't read the store. By then those before it would have been heard.
	volunteerDelay = 200 * time.Millisecond
)

// relayState is what is known of a process as a relay.
type relayState struct {
	// relayedAt is the time of its latest datagram as a relay, and settledAt of the latest as a settled one.
	relayedAt, settledAt time.Time
	// chosenSince and chosenAt are the first and the latest time of the current run of choices.
	chosenSince, chosenAt time.Time
	// blind is set while the process can't read the store.
	blind bool
	// skippedUntil is the time until which the process is not chosen, because it was silent.
	skippedUntil time.Time
	// score caches the rank; zero if it is not known.
	score uint64
}

// relaying reports whether the process has sent a datagram as a relay within a time.
func (s *relayState) relaying(now time.Time, within time.Duration) bool {
	return !s.relayedAt.IsZero() && now.Sub(s.relayedAt) <= within
}

// ReceiveRelay records a datagram that a process sent as a relay; it is settled if it has heard of all that it relays, and blind
// if it can't read the store.
func (m *Mesh) ReceiveRelay(now time.Time, p *Peer, settled, blind bool) {
	p.relayedAt, p.skippedUntil, p.blind = now, time.Time{}, blind
	if settled {
		p.settledAt = now
	}
}

// Source returns the relay of a data centre that is to be believed about loads and views: the first of those that are settled
// or, if none is, of all. If all are silent, it returns the latest. It is nil if no relay of the data centre is known.
func (m *Mesh) Source(now time.Time, centre string) (best *Peer) {
	for _, p := range m.peers {
		if p.Centre != centre || p.Slot || p.relayedAt.IsZero() || !p.Confirmed {
			continue
		}
		if best == nil || m.compareSources(now, p, best) > 0 {
			best = p
		}
	}
	return best
}

func (m *Mesh) compareSources(now time.Time, a, b *Peer) int {
	heardA, heardB := a.relaying(now, m.silence), b.relaying(now, m.silence)
	if !heardA && !heardB {
		return a.relayedAt.Compare(b.relayedAt)
	}
	settledA, settledB := now.Sub(a.settledAt) <= m.silence, now.Sub(b.settledAt) <= m.silence
	return cmp.Or(compareBools(heardA, heardB), compareBools(settledA, settledB), cmp.Compare(a.rank(), b.rank()))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// IsReader reports whether this process is the relay that reads the store for its data centre: the one that the others believe,
// unless it is blind and the other is not.
func (m *Mesh) IsReader(now time.Time, blind bool) bool {
	if !m.IsRelay() {
		return false
	}
	for _, p := range m.peers {
		if p.Centre != m.own.Centre || p.Slot || !p.relaying(now, m.silence) {
			continue
		}
		settled := now.Sub(p.settledAt) <= m.silence
		if cmp.Or(compareBools(!blind, !p.blind), compareBools(m.Settled(now), settled), cmp.Compare(m.own.rank(), p.rank())) < 0 {
			return false
		}
	}
	return true
}

// rank returns the score of an entry as a relay of its data centre; the highest comes first.
func (p *Peer) rank() uint64 {
	if p.score == 0 {
		p.score = rendezvous.Score(p.Centre, p.Address.String())
	}
	return p.score
}

// HearsRelay reports whether another process was heard of late as a relay of this process's data centre.
func (m *Mesh) HearsRelay(now time.Time) bool {
	for _, p := range m.peers {
		if p.Centre == m.own.Centre && p.relaying(now, m.silence) {
			return true
		}
	}
	return false
}

// UpdateRole decides whether this process is a relay, and reports whether that has changed.
func (m *Mesh) UpdateRole(now time.Time) (changed bool) {
	was := m.IsRelay()
	switch {
	case m.own.Slot || !slices.Contains(m.Relays(now), m.own.Address) && !m.volunteers(now):
		m.relaySince = time.Time{}
	case !was:
		m.relaySince = now
	}
	return was != m.IsRelay()
}

// SetReads records whether this process reads the store itself.
func (m *Mesh) SetReads(reads bool) {
	m.reads = reads
}

// volunteers reports whether this process is a further relay, because it reads the store and all relays of its data centre that are heard
// can't. If several could, it is the one that comes first in the order of relays.
//
// The load that it answers: a store that turns some machines away, the relays of a data centre among them, while it serves others.
func (m *Mesh) volunteers(now time.Time) bool {
	heard := false
	for _, p := range m.peers {
		if p.Centre != m.own.Centre || p.Slot || !p.relaying(now, m.silence) {
			continue
		}
		heard = true
		if !p.blind && (m.blindSince.IsZero() || !m.IsRelay() || p.rank() > m.own.rank()) {
			m.blindSince = time.Time{}
			return false
		}
	}
	if !heard || !m.reads {
		m.blindSince = time.Time{}
		return false
	}
	if m.blindSince.IsZero() {
		m.blindSince = now
	}
	before := max(slices.Index(m.candidates(m.own.Centre), m.own.Address)-relays, 0)
	return m.IsRelay() || now.Sub(m.blindSince) >= time.Duration(before)*volunteerDelay
}

// volunteer returns the address of another entry of the data centre that is a further relay since it can read the store; it is invalid if
// there is none.
func (m *Mesh) volunteer(now time.Time, chosen []netip.AddrPort) (address netip.AddrPort) {
	var best *Peer
	for _, p := range m.peers {
		if p.Centre != m.own.Centre || p.Slot || p.blind || !p.relaying(now, m.silence) || slices.Contains(chosen, p.Address) {
			continue
		}
		if best == nil || p.rank() > best.rank() {
			best = p
		}
	}
	if best == nil {
		return address
	}
	return best.Address
}

// Unsettle records that this process has missed datagrams, as in a pause, so that as a relay it must hear of all processes anew.
func (m *Mesh) Unsettle(now time.Time) {
	if m.IsRelay() {
		m.relaySince = now
	}
}

// IsRelay reports whether this process is a relay of its data centre.
func (m *Mesh) IsRelay() bool {
	return !m.relaySince.IsZero()
}

// Settled reports whether this process has been a relay for long enough to have heard of all processes of its data centre.
func (m *Mesh) Settled(now time.Time) bool {
	return m.IsRelay() && now.Sub(m.relaySince) >= settleTime
}

// Relays returns the addresses of the relays of this process's data centre, on which its processes agree: the first entries by
// rendezvous hashing that are not silent, and one that volunteers because those can't read the store.
func (m *Mesh) Relays(now time.Time) (out []netip.AddrPort) {
	candidates := m.candidates(m.own.Centre)
	for _, address := range candidates {
		if len(out) == relays {
			break
		}
		if address == m.own.Address || m.choose(now, address) {
			out = append(out, address)
		}
	}
	if len(out) == 0 {
		// All are silent: this process may have been cut off, so it tries them again.
		for _, address := range candidates {
			m.peers[address].skippedUntil = time.Time{}
		}
		out = append(out, candidates[:min(relays, len(candidates))]...)
	}
	if v := m.volunteer(now, out); v.IsValid() {
		out = append(out, v)
	}
	return out
}

// OtherRelays returns the addresses to which a relay sends in the other data centres: the relays that were heard of late, the
// first candidates and, while too few were heard, some of the others in turn. A relay that is heard is answered, so two data
// centres that have lost each other meet again.
func (m *Mesh) OtherRelays(now time.Time) (out []netip.AddrPort) {
	centres := map[string]bool{}
	for _, p := range m.peers {
		centres[p.Centre] = true
	}
	for name := range m.views {
		centres[name] = true
	}
	delete(centres, m.own.Centre)
	for name := range centres {
		candidates := m.candidates(name)
		to, rest := candidates[:min(relays, len(candidates))], candidates[min(relays, len(candidates)):]
		heard := 0
		for _, address := range candidates {
			if p := m.peers[address]; p != nil && p.relaying(now, m.silence) {
				heard++
				if !slices.Contains(to, address) {
					to = append(slices.Clip(to), address)
				}
			}
		}
		for i := 0; heard < relays && i < min(relays, len(rest)); i++ {
			m.searched++
			to = append(slices.Clip(to), rest[m.searched%len(rest)])
		}
		out = append(out, to...)
	}
	return out
}

// choose reports whether a process may be a relay, and skips it for a time if it has been chosen and silent for too long.
func (m *Mesh) choose(now time.Time, address netip.AddrPort) bool {
	p := m.peers[address]
	if p == nil {
		p = &Peer{Address: address, Centre: m.own.Centre, LastSeen: now}
		m.peers[address] = p
	}
	if now.Before(p.skippedUntil) {
		return false
	}
	if now.Sub(p.chosenAt) > rechosenAfter {
		p.chosenSince = now
	}
	p.chosenAt = now
	if now.Sub(p.chosenSince) > m.silence && !p.relaying(now, m.silence) {
		p.skippedUntil = now.Add(skipTime)
		return false
	}
	return true
}

// candidates returns the known entries of a data centre in the order in which they become its relays.
func (m *Mesh) candidates(centre string) []netip.AddrPort {
	var list []*Peer
	for _, address := range m.Addresses(centre, false) {
		p := m.peers[address]
		if p == nil {
			p = &Peer{Address: address, Centre: centre}
		}
		list = append(list, p)
	}
	if !m.own.Slot && centre == m.own.Centre {
		list = append(list, &m.own)
	}
	slices.SortFunc(list, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), a.Address.Compare(b.Address))
	})
	out := make([]netip.AddrPort, len(list))
	for i, p := range list {
		out[i] = p.Address
	}
	return out
}
