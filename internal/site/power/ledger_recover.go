package power

import "time"

// greet asks the peers of a restarted slot what it had lent to them.
func (l *Ledger) greet(now time.Time) (sends []Send) {
	if !now.Before(l.recovery) {
		return nil
	}
	for _, name := range l.plan.Peers {
		p := l.peers[name]
		if l.accounts[name] || now.Sub(p.greeted) < l.limits.Retry {
			continue
		}
		p.greeted = now
		sends = append(sends, Send{Peer: name, Message: Message{Kind: KindHello}})
	}
	return sends
}

// account tells a restarted lender what is held from it. Its earlier incarnations can answer no ask
// that is made from now on, and their answers to earlier asks are void.
func (l *Ledger) account(now time.Time, source string, load Load) []Send {
	if !l.knows(now, load) {
		return nil
	}
	watts := int64(0)
	for _, v := range l.loans {
		if v.peer != source {
			continue
		}
		switch {
		case v.drawn():
			watts += v.watts
			v.move("recall")
		case v.state == loanAsked:
			v.move("expire")
		}
	}
	return []Send{{Peer: source, Message: Message{Kind: KindAccount, Watts: watts, Term: l.limits.horizon()}}}
}

// knows reports whether the ledger can tell what its engine draws under loans. A restarted slot
// cannot while the engine may still run work that an earlier incarnation started under a loan.
func (l *Ledger) knows(now time.Time, load Load) bool {
	if !now.Before(l.recovery) {
		return true
	}
	return !now.Before(l.closed) && l.draw(load.Running) <= l.share-l.lendable()
}

// recount notes what a peer holds and ends the recovery once every peer has answered.
func (l *Ledger) recount(now time.Time, source string, incarnation uint64, m Message) {
	if l.accounts[source] || !now.Before(l.recovery) {
		return
	}
	l.accounts[source] = true
	if m.Watts > 0 {
		l.lent[claim{source, incarnation, 0}] = &lent{watts: m.Watts, until: now.Add(m.Term)}
	}
	for _, name := range l.plan.Peers {
		if !l.accounts[name] {
			return
		}
	}
	l.recovery = now
}
