package power

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

// renewBelow is the fraction of the term left below which a borrower asks for a renewal.
const renewBelow = 0.5

// transition applies a signal to the loan's state and reports whether the chart accepts it.
func (v *loan) transition(s chart.Signal) bool {
	next, err := lifecycle.Next(v.state, s)
	v.state = next
	return err == nil
}

// Tick returns the messages that are due: asks, renewals, recalls, returns and hellos.
func (l *Ledger) Tick(now time.Time, load Load) (sends []Send) {
	if !l.Limited() {
		return nil
	}
	l.advance(now)
	sends = l.sendHellos(now)
	sends = append(sends, l.recall(now, load)...)
	sends = append(sends, l.returnLoans(now, load)...)
	return append(sends, l.borrow(now, load)...)
}

// deficit returns the power that is missing to start the queued requests; it is negative for a surplus.
func (l *Ledger) deficit(now time.Time, load Load) int64 {
	return l.draw(load.Running+load.Queued) - l.ownPower(now) - l.borrowed(now)
}

// loansByExpiry returns the loans by the end of their terms, the earliest first.
func (l *Ledger) loansByExpiry() []*loan {
	return slices.SortedFunc(maps.Values(l.loans), func(a, b *loan) int {
		if n := a.until.Compare(b.until); n != 0 {
			return n
		}
		return int(a.id) - int(b.id)
	})
}

// borrow renews loans that are still needed and asks one more peer for the missing power.
func (l *Ledger) borrow(now time.Time, load Load) (sends []Send) {
	surplus := -l.deficit(now, load)
	for _, v := range l.loansByExpiry() {
		if v.state != loanHeld || surplus >= v.watts {
			continue
		}
		left := v.until.Sub(now)
		if left < time.Duration(renewBelow*float64(l.limits.Term)) && now.Sub(v.askedAt) >= l.limits.RetryInterval {
			sends = append(sends, l.ask(now, v, load))
		}
	}
	if load.Queued == 0 || surplus >= 0 || now.Before(l.blockedUntil) {
		return sends
	}
	pending := int64(0)
	for _, v := range l.loans {
		if v.state == loanAsked {
			pending += v.watts
		}
	}
	name, ok := l.chooseLender(now)
	if missing := -surplus - pending; ok && missing > 0 {
		l.lastID++
		v := &loan{id: l.lastID, peer: name, state: lifecycle.Start, watts: missing}
		l.loans[v.id] = v
		sends = append(sends, l.ask(now, v, load))
	}
	return sends
}

// ask sends the next ask of a loan.
func (l *Ledger) ask(now time.Time, v *loan, load Load) Send {
	v.sequence++
	v.askedAt = now
	l.peers[v.peer].askedAt = now
	return Send{Peer: v.peer, Message: Message{
		Kind: KindAsk, ID: v.id, Sequence: v.sequence, Watts: v.watts,
		Term: l.limits.Term, Work: l.limits.MaxWork, Priority: load.Priority,
	}}
}

// chooseLender returns the peer that was asked least recently, except those that were asked or that refused within
// RetryInterval.
func (l *Ledger) chooseLender(now time.Time) (name string, ok bool) {
	names := slices.Clone(l.plan.Peers)
	l.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, n := range names {
		p := l.peers[n]
		if now.Sub(p.deniedAt) < l.limits.RetryInterval || now.Sub(p.askedAt) < l.limits.RetryInterval {
			continue
		}
		if !ok || p.askedAt.Before(l.peers[name].askedAt) {
			name, ok = n, true
		}
	}
	return name, ok
}

// returnLoans expires asks and loans, returns loans that are not needed and re-sends unacknowledged returns.
func (l *Ledger) returnLoans(now time.Time, load Load) (sends []Send) {
	for _, v := range l.loansByExpiry() {
		switch v.state {
		case loanAsked:
			if now.Sub(v.askedAt) >= l.limits.Term/2 {
				v.transition("expire")
			}
		case loanDropped, loanReturned:
			if now.Sub(v.askedAt) >= l.limits.maxDrawTime() {
				v.transition("expire")
			}
		default:
			l.returnUnneeded(now, v, load)
		}
		if v.state == loanReturned && now.Sub(v.returnSentAt) >= l.limits.RetryInterval {
			v.returnSentAt = now
			sends = append(sends, Send{Peer: v.peer, Message: Message{Kind: KindReturn, ID: v.id, Sequence: v.sequence}})
		}
		if v.state == loanClosed {
			delete(l.loans, v.id)
		}
	}
	return sends
}

// returnUnneeded returns a loan once no running request draws power under it and no queued request needs it.
func (l *Ledger) returnUnneeded(now time.Time, v *loan, load Load) {
	if v.state == loanHeld && !now.Before(v.until) {
		v.transition("expire")
	}
	wanted := load.Running
	if v.state == loanHeld {
		wanted += load.Queued
	}
	if l.draw(wanted) <= l.ownPower(now)+l.longerLoans(v) {
		v.transition("return")
	}
}

// longerLoans returns the total of the other loans under which work may run at least as long.
func (l *Ledger) longerLoans(v *loan) (watts int64) {
	for _, o := range l.loans {
		if o != v && o.mayDraw() && (o.until.After(v.until) || o.until.Equal(v.until) && o.id > v.id) {
			watts += o.watts
		}
	}
	return watts
}

// mayDraw reports whether work may run under the loan.
func (v *loan) mayDraw() bool {
	return v.state == loanHeld || v.state == "recalled"
}

// borrowing reports whether work may run under any loan or a grant may still arrive.
func (l *Ledger) borrowing() bool {
	for _, v := range l.loans {
		if v.mayDraw() || v.state == loanAsked {
			return true
		}
	}
	return false
}
