package power

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

// renewal is the part of a term after which a borrower asks for a longer one.
const renewal = 0.5

// move takes a loan along its chart and reports whether the signal was accepted.
func (v *loan) move(s chart.Signal) bool {
	next, err := life.Next(v.state, s)
	v.state = next
	return err == nil
}

// Tick returns what is due: asks, renewals, recalls, returns and hellos.
func (l *Ledger) Tick(now time.Time, load Load) (sends []Send) {
	if !l.Limited() {
		return nil
	}
	l.advance(now)
	sends = l.greet(now)
	sends = append(sends, l.recall(now, load)...)
	sends = append(sends, l.giveBack(now, load)...)
	return append(sends, l.borrow(now, load)...)
}

// need returns the power that is missing to start the waiting requests.
func (l *Ledger) need(now time.Time, load Load) int64 {
	return l.draw(load.Running+load.Queued) - l.base(now) - l.usable(now)
}

// ordered returns the loans by the end of their terms, the earliest first.
func (l *Ledger) ordered() []*loan {
	return slices.SortedFunc(maps.Values(l.loans), func(a, b *loan) int {
		if n := a.until.Compare(b.until); n != 0 {
			return n
		}
		return int(a.id) - int(b.id)
	})
}

// borrow renews loans that are still needed and asks one more peer for what is missing.
func (l *Ledger) borrow(now time.Time, load Load) (sends []Send) {
	spare := -l.need(now, load)
	for _, v := range l.ordered() {
		if v.state != loanHeld || spare >= v.watts {
			continue
		}
		left := v.until.Sub(now)
		if left < time.Duration(renewal*float64(l.limits.Term)) && now.Sub(v.asked) >= l.limits.Retry {
			sends = append(sends, l.ask(now, v, load))
		}
	}
	if load.Queued == 0 || spare >= 0 || now.Before(l.closed) {
		return sends
	}
	pending := int64(0)
	for _, v := range l.loans {
		if v.state == loanAsked {
			pending += v.watts
		}
	}
	name, ok := l.lender(now)
	if missing := -spare - pending; ok && missing > 0 {
		l.last++
		v := &loan{id: l.last, peer: name, state: life.Start, watts: missing}
		l.loans[v.id] = v
		sends = append(sends, l.ask(now, v, load))
	}
	return sends
}

// ask sends the next ask of a loan.
func (l *Ledger) ask(now time.Time, v *loan, load Load) Send {
	v.sequence++
	v.asked = now
	l.peers[v.peer].asked = now
	return Send{Peer: v.peer, Message: Message{
		Kind: KindAsk, ID: v.id, Sequence: v.sequence, Watts: v.watts,
		Term: l.limits.Term, Work: l.limits.Work, Priority: load.Priority,
	}}
}

// lender returns the peer that was asked least recently and has not refused just now.
func (l *Ledger) lender(now time.Time) (name string, ok bool) {
	names := slices.Clone(l.plan.Peers)
	l.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, n := range names {
		p := l.peers[n]
		if now.Sub(p.denied) < l.limits.Retry || now.Sub(p.asked) < l.limits.Retry {
			continue
		}
		if !ok || p.asked.Before(l.peers[name].asked) {
			name, ok = n, true
		}
	}
	return name, ok
}

// giveBack closes asks and loans whose time is over and returns what is not needed.
func (l *Ledger) giveBack(now time.Time, load Load) (sends []Send) {
	for _, v := range l.ordered() {
		switch v.state {
		case loanAsked:
			if now.Sub(v.asked) >= l.limits.Term/2 {
				v.move("expire")
			}
		case loanDropped, loanReturned:
			if now.Sub(v.asked) >= l.limits.horizon() {
				v.move("expire")
			}
		default:
			l.release(now, v, load)
		}
		if v.state == loanReturned && now.Sub(v.told) >= l.limits.Retry {
			v.told = now
			sends = append(sends, Send{Peer: v.peer, Message: Message{Kind: KindReturn, ID: v.id, Sequence: v.sequence}})
		}
		if v.state == loanClosed {
			delete(l.loans, v.id)
		}
	}
	return sends
}

// release returns a loan once nothing is drawn under it and no waiting request needs it.
func (l *Ledger) release(now time.Time, v *loan, load Load) {
	if v.state == loanHeld && !now.Before(v.until) {
		v.move("expire")
	}
	wanted := load.Running
	if v.state == loanHeld {
		wanted += load.Queued
	}
	if l.draw(wanted) <= l.base(now)+l.covering(v) {
		v.move("return")
	}
}

// covering returns the power of the other loans under which work may last at least as long.
func (l *Ledger) covering(v *loan) (watts int64) {
	for _, o := range l.loans {
		if o != v && o.drawn() && (o.until.After(v.until) || o.until.Equal(v.until) && o.id > v.id) {
			watts += o.watts
		}
	}
	return watts
}

// drawn reports whether work may run under the loan.
func (v *loan) drawn() bool {
	return v.state == loanHeld || v.state == "recalled"
}

// borrowing reports whether work may run under any loan, or a grant may still come.
func (l *Ledger) borrowing() bool {
	for _, v := range l.loans {
		if v.drawn() || v.state == loanAsked {
			return true
		}
	}
	return false
}
