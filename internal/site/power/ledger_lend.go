package power

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Receive takes in a message from a peer and returns the answers.
func (l *Ledger) Receive(now time.Time, source string, incarnation uint64, m Message, load Load) []Send {
	p := l.peers[source]
	if !l.Limited() || p == nil {
		return nil
	}
	l.advance(now)
	switch m.Kind {
	case KindAsk:
		return l.lend(now, source, claim{source, incarnation, m.ID}, m, load)
	case KindReturn:
		return l.settle(now, source, claim{source, incarnation, m.ID}, m)
	case KindHello:
		return l.account(now, source, load)
	case KindAccount:
		l.recount(now, source, incarnation, m)
	default:
		l.hear(now, p, m)
	}
	return nil
}

// hear takes in a lender's answer.
func (l *Ledger) hear(now time.Time, p *peer, m Message) {
	v := l.loans[m.ID]
	if v == nil {
		return
	}
	switch m.Kind {
	case KindGrant:
		l.granted(v, m)
	case KindDeny:
		if v.state == loanAsked && m.Sequence == v.sequence {
			p.denied = now
			v.move("deny")
			delete(l.loans, v.id)
		}
	case KindRecall:
		if v.state == loanHeld {
			v.move("recall")
		}
	case KindSettled:
		if v.move("settle") {
			delete(l.loans, v.id)
		}
	}
}

// granted takes in a grant; one that answers an older ask is void.
func (l *Ledger) granted(v *loan, m Message) {
	if m.Sequence != v.sequence {
		return
	}
	if v.state == loanAsked {
		v.watts = m.Watts
	}
	v.until = v.asked.Add(min(m.Term, l.limits.Term))
	v.move("grant")
}

// lend decides on an ask.
func (l *Ledger) lend(now time.Time, source string, k claim, m Message, load Load) []Send {
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
	l.lent[k] = &lent{watts: watts, sequence: m.Sequence, priority: m.Priority, until: until}
	return answer(KindGrant, watts)
}

// extend decides on an ask for a loan that is out.
func (l *Ledger) extend(now time.Time, v *lent, m Message, load Load, until time.Time, answer func(Kind, int64) []Send) []Send {
	switch {
	case m.Sequence < v.sequence:
		return nil
	case m.Sequence > v.sequence && (l.wants(now, load, m.Priority) || l.base(now) < l.draw(load.Running)):
		return answer(KindRecall, v.watts)
	case m.Sequence > v.sequence:
		v.sequence = m.Sequence
		v.priority = m.Priority
		v.until = until
	}
	return answer(KindGrant, v.watts)
}

// spare returns the power that can be lent to work of a priority.
func (l *Ledger) spare(now time.Time, priority int, load Load) int64 {
	if now.Before(l.recovery) || now.Before(l.closed) || l.borrowing() {
		return 0
	}
	reserved := load.Running
	if load.Priority >= priority {
		reserved += load.Queued
	}
	free := l.base(now) - l.draw(reserved)
	return min(free, l.lendable()-l.out(now))
}

// wants reports whether own waiting requests need power that is lent to work of a priority.
func (l *Ledger) wants(now time.Time, load Load, priority int) bool {
	return load.Queued > 0 && load.Priority >= priority && l.need(now, load) > 0
}

// recall asks for loans back, the largest first, while own waiting requests need them.
func (l *Ledger) recall(now time.Time, load Load) (sends []Send) {
	missing := l.need(now, load)
	if load.Queued == 0 || missing <= 0 {
		return nil
	}
	for _, k := range l.claims() {
		v, p := l.lent[k], l.peers[k.peer]
		if v.priority > load.Priority || p == nil || now.Sub(p.recalled) < l.limits.Retry {
			continue
		}
		p.recalled = now
		sends = append(sends, Send{Peer: k.peer, Message: Message{Kind: KindRecall, ID: k.id, Sequence: v.sequence}})
		missing -= v.watts
		if missing <= 0 {
			break
		}
	}
	return sends
}

// claims returns the loans that are out, the largest first.
func (l *Ledger) claims() []claim {
	return slices.SortedFunc(maps.Keys(l.lent), func(a, b claim) int {
		return cmp.Or(
			cmp.Compare(l.lent[b].watts, l.lent[a].watts),
			cmp.Compare(a.peer, b.peer),
			cmp.Compare(a.incarnation, b.incarnation),
			cmp.Compare(a.id, b.id),
		)
	})
}

// settle takes a loan back.
func (l *Ledger) settle(now time.Time, source string, k claim, m Message) []Send {
	delete(l.lent, k)
	l.settled[k] = now.Add(l.limits.horizon())
	return []Send{{Peer: source, Message: Message{Kind: KindSettled, ID: m.ID, Sequence: m.Sequence}}}
}
