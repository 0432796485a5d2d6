package power

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Receive handles a message from a peer and returns the answers.
func (l *Ledger) Receive(now time.Time, source string, incarnation uint64, m Message, load Load) []Send {
	p := l.peers[source]
	if !l.Limited() || p == nil {
		return nil
	}
	l.advance(now)
	switch m.Kind {
	case KindAsk:
		return l.lend(now, source, loanKey{source, incarnation, m.ID}, m, load)
	case KindReturn:
		return l.acceptReturn(now, source, loanKey{source, incarnation, m.ID}, m)
	case KindHello:
		return l.answerHello(now, source, load)
	case KindAccount:
		l.applyAccount(now, source, incarnation, m)
	default:
		l.receiveAnswer(now, p, m)
	}
	return nil
}

// receiveAnswer handles a message from a lender.
func (l *Ledger) receiveAnswer(now time.Time, p *peer, m Message) {
	v := l.loans[m.ID]
	if v == nil {
		return
	}
	switch m.Kind {
	case KindGrant:
		l.applyGrant(v, m)
	case KindDeny:
		if v.state == loanAsked && m.Sequence == v.sequence {
			p.deniedAt = now
			v.transition("deny")
			delete(l.loans, v.id)
		}
	case KindRecall:
		if v.state == loanHeld {
			v.transition("recall")
		}
	case KindSettled:
		if v.transition("settle") {
			delete(l.loans, v.id)
		}
	}
}

// applyGrant applies a grant; one that answers an older ask is ignored.
func (l *Ledger) applyGrant(v *loan, m Message) {
	if m.Sequence != v.sequence {
		return
	}
	if v.state == loanAsked {
		v.watts = m.Watts
	}
	v.until = v.askedAt.Add(min(m.Term, l.limits.Term))
	v.transition("grant")
}

// lend answers an ask for a new or an outstanding loan; a delayed ask for a returned loan gets no answer.
func (l *Ledger) lend(now time.Time, source string, k loanKey, m Message, load Load) []Send {
	answer := func(kind Kind, watts int64) []Send {
		return []Send{{Peer: source, Message: Message{
			Kind: kind, ID: m.ID, Sequence: m.Sequence, Watts: watts, Term: m.Term, Work: m.Work,
		}}}
	}
	if _, done := l.settled[k]; done {
		return nil
	}
	until := now.Add(m.Term + m.Work + l.limits.Slack)
	if v := l.lent[k]; v != nil {
		return l.extend(now, v, m, load, until, answer)
	}
	spare := l.spare(now, m.Priority, load)
	if l.plan.Draw <= 0 || spare < min(m.Watts, l.plan.Draw) || m.Term > l.limits.Term {
		return answer(KindDeny, max(spare, 0))
	}
	watts := min(spare, m.Watts)
	l.lent[k] = &lentLoan{watts: watts, sequence: m.Sequence, priority: m.Priority, until: until}
	return answer(KindGrant, watts)
}

// extend answers an ask for an outstanding loan: it renews the loan, recalls it if the power is needed here, or repeats
// the grant for a duplicated ask.
func (l *Ledger) extend(now time.Time, v *lentLoan, m Message, load Load, until time.Time, answer func(Kind, int64) []Send) []Send {
	switch {
	case m.Sequence < v.sequence:
		return nil
	case m.Sequence > v.sequence && (l.needsBack(now, load, m.Priority) || l.ownPower(now) < l.draw(load.Running)):
		return answer(KindRecall, v.watts)
	case m.Sequence > v.sequence:
		v.sequence = m.Sequence
		v.priority = m.Priority
		v.until = until
	}
	return answer(KindGrant, v.watts)
}

// spare returns the power that can be lent to requests of a priority; it may be negative.
func (l *Ledger) spare(now time.Time, priority int, load Load) int64 {
	if now.Before(l.recoveryEnd) || now.Before(l.blockedUntil) || l.borrowing() {
		return 0
	}
	reserved := load.Running
	if load.Priority >= priority {
		reserved += load.Queued
	}
	free := l.ownPower(now) - l.draw(reserved)
	return min(free, l.lendable()-l.outstanding(now))
}

// needsBack reports whether queued requests here need power that is lent to requests of a priority.
func (l *Ledger) needsBack(now time.Time, load Load, priority int) bool {
	return load.Queued > 0 && load.Priority >= priority && l.deficit(now, load) > 0
}

// recall asks borrowers to return loans, the largest first, while queued requests here need the power.
func (l *Ledger) recall(now time.Time, load Load) (sends []Send) {
	missing := l.deficit(now, load)
	if load.Queued == 0 || missing <= 0 {
		return nil
	}
	for _, k := range l.outstandingLoans() {
		v, p := l.lent[k], l.peers[k.peer]
		if v.priority > load.Priority || p == nil || now.Sub(p.recalledAt) < l.limits.RetryInterval {
			continue
		}
		p.recalledAt = now
		sends = append(sends, Send{Peer: k.peer, Message: Message{Kind: KindRecall, ID: k.id, Sequence: v.sequence}})
		missing -= v.watts
		if missing <= 0 {
			break
		}
	}
	return sends
}

// outstandingLoans returns the outstanding loans, the largest first.
func (l *Ledger) outstandingLoans() []loanKey {
	return slices.SortedFunc(maps.Keys(l.lent), func(a, b loanKey) int {
		return cmp.Or(
			cmp.Compare(l.lent[b].watts, l.lent[a].watts),
			cmp.Compare(a.peer, b.peer),
			cmp.Compare(a.incarnation, b.incarnation),
			cmp.Compare(a.id, b.id),
		)
	})
}

// acceptReturn removes a returned loan and acknowledges the return.
func (l *Ledger) acceptReturn(now time.Time, source string, k loanKey, m Message) []Send {
	delete(l.lent, k)
	l.settled[k] = now.Add(l.limits.maxDrawTime())
	return []Send{{Peer: source, Message: Message{Kind: KindSettled, ID: m.ID, Sequence: m.Sequence}}}
}
