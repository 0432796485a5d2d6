package seat

import (
	"math"
	"slices"
	"time"
)

const (
	// accountTime is the time constant with which the accounts of workspaces forget. It is about two streams long, so that a
	// workspace which was quiet for a few seconds is owed nothing, and one that was busy is soon forgiven.
	accountTime = 5 * time.Second
	// sweepInterval is the time between two passes over all accounts of a class, which decay and drop them.
	sweepInterval = 250 * time.Millisecond
	// maxAccounts bounds the accounts of a queue; the workspaces beyond share one in each class.
	maxAccounts = 4096
	// idleUse is the use in seconds below which an account without waiters is dropped.
	idleUse = 0.01
	// scarceTime is how long after a refusal seats count as scarce.
	scarceTime = time.Second
	// shareMargin is the excess over its fair share at which a workspace gets no free seat while another is owed one.
	// The slack, in usual requests, keeps chance from counting as excess where the share is a few requests.
	shareMargin = 1.0
	shareSlack  = 2
	// keptShare is the part of the seats, but at least one, that is kept free for workspaces that are owed one.
	keptShare = 1.0 / 50
	// overflow is the name of the account that the workspaces beyond maxAccounts share; no workspace has it.
	overflow = "\x00"
)

// account is what a workspace has used in a class.
type account struct {
	// finish is the virtual time at which the use that was charged ends.
	finish float64
	// use and demand are the seat seconds that were charged and asked for, with exponential decay by accountTime.
	use, demand float64
	// decayedAt is the time as of which finish, use and demand have decayed.
	decayedAt time.Time
	// waiters are in the order in which they are served: late ones last, then by the time that is left.
	waiters []*Waiter
}

// class is the fair queue of one priority, by start-time fair queueing with equal weights: the workspace whose next request
// has the lowest virtual start is served first, and the virtual time is the start of the latest request served.
type class struct {
	accounts map[string]*account
	// active are the accounts with waiters.
	active []*account
	// virtual is the virtual time.
	virtual float64
	// waiting and returned count the waiters and the returned ones among them.
	waiting, returned int
	// credit is the number of seats that the class gets before more urgent ones.
	credit float64
	// wantedAt is when the class had its latest request, and sweptAt when its accounts were last swept.
	wantedAt, sweptAt time.Time
	// used is the use of all accounts together as of the sweep.
	used float64
	// level is the use to which each account is entitled, and owed the use that accounts below it lack, both as of the sweep.
	level, owed float64
}

// account returns the account of a workspace in a class as of a time.
func (q *Queue) account(now time.Time, c *class, workspace string) *account {
	a := c.accounts[workspace]
	if a == nil {
		all := 0
		for i := range q.classes {
			all += len(q.classes[i].accounts)
		}
		if all >= maxAccounts-priorities {
			workspace = overflow
		}
		if c.accounts == nil {
			c.accounts = map[string]*account{}
		}
		if a = c.accounts[workspace]; a == nil {
			a = &account{decayedAt: now, finish: c.virtual}
			c.accounts[workspace] = a
		}
	}
	a.decay(now, c.virtual)
	return a
}

func (a *account) decay(now time.Time, virtual float64) {
	elapsed := now.Sub(a.decayedAt)
	if elapsed <= 0 {
		return
	}
	a.decayedAt = now
	f := math.Exp(-elapsed.Seconds() / accountTime.Seconds())
	a.use *= f
	a.demand *= f
	a.finish = virtual + (a.finish-virtual)*f
}

// sweep decays the accounts of a class, drops the idle ones and computes the use to which each is entitled, given the number of
// seats of this entry. A class has what the more urgent ones leave.
func (q *Queue) sweep(now time.Time, c *class, seats int) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	c.used = 0
	for name, a := range c.accounts {
		a.decay(now, c.virtual)
		if len(a.waiters) == 0 && a.use < idleUse && a.demand < idleUse {
			delete(c.accounts, name)
			continue
		}
		c.used += a.use
	}
	left := float64(seats) * accountTime.Seconds()
	for i := range q.classes {
		if &q.classes[i] == c {
			break
		}
		left -= q.classes[i].used
	}
	c.level = c.fairLevel(max(left, c.used))
	c.owed = 0
	for _, a := range c.accounts {
		c.owed += max(min(a.demand, c.level)-a.use, 0)
	}
}

// fairLevel returns the level at which the accounts, each with its demand but at most the level, use a given sum.
func (c *class) fairLevel(sum float64) float64 {
	level := 0.0
	// Each round raises the level, so that more accounts are below it; the last rounds change little.
	for range 8 {
		left, above := sum, 0
		for _, a := range c.accounts {
			if a.demand > level {
				above++
			} else {
				left -= a.demand
			}
		}
		if above == 0 || left <= level*float64(above) {
			break
		}
		level = left / float64(above)
	}
	return level
}

// aboveShare reports whether a workspace has used more than its fair share while another is owed a seat and few are free. Without a
// queue the order of arrival would decide, and a workspace that asks most often would take each seat that becomes free.
func (q *Queue) aboveShare(now time.Time, c *class, a *account, free, seats int) bool {
	if now.Sub(q.scarceAt) >= scarceTime || c.owed < q.usualHold() || free > max(int(keptShare*float64(seats)), 1) {
		return false
	}
	return a.use > shareMargin*c.level+shareSlack*q.usualHold()
}

// start returns the virtual time at which the next request of an account starts.
func (c *class) start(a *account) float64 {
	return max(c.virtual, a.finish)
}

// charge charges a request to an account.
func (c *class) charge(a *account, cost float64) {
	c.virtual = c.start(a)
	a.finish = c.virtual + cost
	a.use += cost
}

// before reports whether a waiter of an account is served before another.
func before(a, b *Waiter) bool {
	if a.Late != b.Late {
		return b.Late
	}
	return a.Until.Before(b.Until)
}

func (c *class) insert(a *account, w *Waiter) {
	if len(a.waiters) == 0 {
		c.active = append(c.active, a)
	}
	i := 0
	for i < len(a.waiters) && !before(w, a.waiters[i]) {
		i++
	}
	a.waiters = slices.Insert(a.waiters, i, w)
	c.waiting++
	if w.Returned {
		c.returned++
	}
}

func (a *account) holds(w *Waiter) bool {
	return slices.Contains(a.waiters, w)
}

// drop takes a waiter off its account.
func (a *account) drop(w *Waiter) {
	i := slices.Index(a.waiters, w)
	a.waiters = slices.Delete(a.waiters, i, i+1)
}

// forget takes a waiter off the counts.
func (c *class) forget(w *Waiter) {
	c.waiting--
	if w.Returned {
		c.returned--
	}
}

func (c *class) remove(a *account, w *Waiter) {
	a.drop(w)
	c.forget(w)
	if len(a.waiters) == 0 {
		i := slices.Index(c.active, a)
		c.active = slices.Delete(c.active, i, i+1)
	}
}

// compact removes the accounts without waiters from the list of active ones.
func (c *class) compact() {
	c.active = slices.DeleteFunc(c.active, func(a *account) bool { return len(a.waiters) == 0 })
}

// next returns the waiter of the class that is served next and its account. Of a workspace, returned callers are served before new
// ones if returnedFirst is set; late requests are served only so, or if lateFits is set.
func (c *class) next(returnedFirst, lateFits bool) (best *account, w *Waiter) {
	for _, a := range c.active {
		if best != nil && (c.start(a) > c.start(best) || c.start(a) == c.start(best) && a.use >= best.use) {
			continue
		}
		if v := a.next(returnedFirst, lateFits); v != nil {
			best, w = a, v
		}
	}
	return best, w
}

func (a *account) next(returnedFirst, lateFits bool) *Waiter {
	if returnedFirst {
		for _, w := range a.waiters {
			if w.Returned {
				return w
			}
		}
	}
	if head := a.waiters[0]; !head.Late || lateFits {
		return head
	}
	return nil
}

// returnedAhead returns the number of returned waiters that use up the part for returned callers before a returned request.
func (c *class) returnedAhead(w *Waiter) int {
	if w.Returned && w.account.holds(w) {
		return c.returned - 1
	}
	return c.returned
}

// ahead returns the number of waiters of the class that are served before a request, which goes before new ones of its workspace
// if returnedFirst is set.
func (c *class) ahead(w *Waiter, returnedFirst bool) (n int) {
	own := w.account
	start := c.start(own)
	for _, v := range own.waiters {
		if v == w || returnedFirst && !v.Returned {
			continue
		}
		if v.committed || !before(w, v) {
			start += v.Cost
			n++
		}
	}
	for _, a := range c.active {
		if a == own {
			continue
		}
		at := c.start(a)
		for i := 0; i < len(a.waiters) && at <= start; i++ {
			at += a.waiters[i].Cost
			n++
		}
	}
	return n
}
