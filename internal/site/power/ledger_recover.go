package power

import "time"

// sendHellos asks the peers of a restarted slot what it lent to them before.
func (l *Ledger) sendHellos(now time.Time) (sends []Send) {
	if !now.Before(l.recoveryEnd) {
		return nil
	}
	for _, name := range l.plan.Peers {
		p := l.peers[name]
		if l.accounted[name] || now.Sub(p.helloSentAt) < l.limits.RetryInterval {
			continue
		}
		p.helloSentAt = now
		sends = append(sends, Send{Peer: name, Message: Message{Kind: KindHello}})
	}
	return sends
}

// answerHello tells a restarted lender what is borrowed from it. The lender's earlier incarnations cannot answer asks
// sent from now on, and their answers to earlier asks are ignored.
func (l *Ledger) answerHello(now time.Time, source string, load Load) []Send {
	if !l.drawKnown(now, load) {
		return nil
	}
	watts := int64(0)
	for _, v := range l.loans {
		if v.peer != source {
			continue
		}
		switch {
		case v.mayDraw():
			watts += v.watts
			v.transition("recall")
		case v.state == loanAsked:
			v.transition("expire")
		}
	}
	return []Send{{Peer: source, Message: Message{Kind: KindAccount, Watts: watts, Term: l.limits.maxDrawTime()}}}
}

// drawKnown reports whether the ledger knows what its engine draws under loans. A restarted slot
// does not while the engine may still run work that an earlier incarnation started under a loan.
func (l *Ledger) drawKnown(now time.Time, load Load) bool {
	if !now.Before(l.recoveryEnd) {
		return true
	}
	return !now.Before(l.blockedUntil) && l.draw(load.Running) <= l.share-l.lendable()
}

// applyAccount records what a peer has borrowed and ends the recovery once every peer has answered.
func (l *Ledger) applyAccount(now time.Time, source string, incarnation uint64, m Message) {
	if l.accounted[source] || !now.Before(l.recoveryEnd) {
		return
	}
	l.accounted[source] = true
	if m.Watts > 0 {
		l.lent[loanKey{source, incarnation, 0}] = &lentLoan{watts: m.Watts, until: now.Add(m.Term)}
	}
	for _, name := range l.plan.Peers {
		if !l.accounted[name] {
			return
		}
	}
	l.recoveryEnd = now
}
