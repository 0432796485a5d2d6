package power

import (
	_ "embed"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
)

//go:embed loan.chart
var loanChart []byte

var life = chart.MustParse(loanChart)

// The states of a loan at its borrower.
const (
	loanAsked    chart.State = "asked"
	loanHeld     chart.State = "held"
	loanReturned chart.State = "returned"
	loanDropped  chart.State = "dropped"
	loanClosed   chart.State = "closed"
)

// Limits bound lending. They are the same in all slots of a site.
type Limits struct {
	// Term is how long a borrower may start work under a loan, counted from its ask.
	Term time.Duration
	// Work is the longest time that work started under a loan may last.
	Work time.Duration
	// Slack covers drifting clocks and short pauses between a check and the start of work.
	Slack time.Duration
	// Pause is the gap between two calls from which a slot counts as woken from a pause.
	Pause time.Duration
	// Hold is the time within which every reachable slot has a published configuration in force.
	Hold time.Duration
	// Lend is the part of a share, above the idle draw, that may be lent; it is below one.
	Lend float64
	// Retry is the time between two messages of the same kind to one peer.
	Retry time.Duration
}

// DefaultLimits are the limits of a slot in operation.
var DefaultLimits = Limits{
	Term:  5 * time.Second,
	Work:  20 * time.Second,
	Slack: 500 * time.Millisecond,
	Pause: time.Second,
	Hold:  4 * time.Second,
	Lend:  0.75,
	Retry: 100 * time.Millisecond,
}

// horizon is the longest time for which a borrower's engine may draw under a new loan.
func (l *Limits) horizon() time.Duration {
	return l.Term + l.Work + l.Slack
}

// Load is the work at a target.
type Load struct {
	// Running is the number of requests at the engine, at least those that it reports.
	Running int
	// Queued is the number of requests that wait and that the engine has room for.
	Queued int
	// Priority is the highest one among the waiting requests.
	Priority int
}

// Plan is what the configuration says of a target's power, in watts.
type Plan struct {
	// Share is the target's part of the site's cap; zero means that nothing is limited.
	Share int64
	// Idle is the draw without any work; it is at most Share.
	Idle int64
	// Draw is the additional draw of each running request.
	Draw int64
	// Peers are the other targets of the site with a share.
	Peers []string
}

// Ledger decides when a target may draw power, and on its loans. It is not safe for concurrent use.
//
// Invariant: at any time the target's draw is at most its share, less what it lent,
// plus what its lenders count as lent to it. So the draws of a site sum to at most its cap.
type Ledger struct {
	// limits never change.
	limits Limits
	// random is the only source of chance.
	random *rand.Rand
	// plan is the newest one; its Share may be higher than what is in force.
	plan Plan
	// share is the part of the cap in force.
	share int64
	// rises holds increases of the share that are not in force yet, the oldest first.
	rises []rise
	// lent holds the loans that count as out.
	lent map[claim]*lent
	// settled holds returned loans, so that a late ask does not open them again.
	settled map[claim]time.Time
	// loans holds the loans that were asked for, by ID.
	loans map[uint64]*loan
	// last is the ID of the newest loan.
	last uint64
	// peers holds what is known of each peer.
	peers map[string]*peer
	// seen is the time of the newest call.
	seen time.Time
	// closed is the time until which no work may start after a pause or a restart.
	closed time.Time
	// recovery is the time until which earlier loans of a restarted slot may be out.
	recovery time.Time
	// inherited is the time until which work that an earlier process started may run.
	inherited time.Time
	// accounts holds the peers that answered the hello of a restarted slot.
	accounts map[string]bool
}

// rise is an increase of the share.
type rise struct {
	at    time.Time
	share int64
}

// claim identifies a loan at its lender.
type claim struct {
	peer        string
	incarnation uint64
	id          uint64
}

// lent is a loan at its lender.
type lent struct {
	watts    int64
	sequence uint64
	priority int
	// until is the time from which the borrower's engine draws nothing under the loan.
	until time.Time
}

// loan is a loan at its borrower.
type loan struct {
	id       uint64
	peer     string
	state    chart.State
	watts    int64
	sequence uint64
	// asked is the time of the newest ask.
	asked time.Time
	// until is the end of the term; work starts only before it.
	until time.Time
	// told is the time of the newest return that was sent.
	told time.Time
}

// peer is what a ledger knows of another slot.
type peer struct {
	// asked and denied are the times of the newest ask and denial.
	asked, denied time.Time
	// recalled is the time of the newest recall.
	recalled time.Time
	// greeted is the time of the newest hello to the peer.
	greeted time.Time
}

// Options are the inputs of NewLedger.
type Options struct {
	// Limits bound lending.
	Limits Limits
	// Random is the source of chance; it must not be shared with another goroutine.
	Random *rand.Rand
}

// NewLedger returns the ledger of a slot that was just started, maybe not for the first time.
func NewLedger(now time.Time, o Options) *Ledger {
	return &Ledger{
		limits:    o.Limits,
		random:    o.Random,
		lent:      map[claim]*lent{},
		settled:   map[claim]time.Time{},
		loans:     map[uint64]*loan{},
		peers:     map[string]*peer{},
		accounts:  map[string]bool{},
		seen:      now,
		closed:    now.Add(o.Limits.Pause),
		recovery:  now.Add(o.Limits.horizon()),
		inherited: now.Add(o.Limits.horizon()),
	}
}

// Configure puts a plan in force. A higher share waits until all slots have the plan
// and the work that they started under the one before has ended.
func (l *Ledger) Configure(now time.Time, p Plan) {
	first := l.plan.Share == 0
	l.plan = p
	l.rises = slices.DeleteFunc(l.rises, func(r rise) bool { return r.share > p.Share })
	switch {
	case first || p.Share <= l.share:
		l.share = p.Share
	default:
		l.rises = append(l.rises, rise{at: now.Add(l.limits.Hold + l.limits.Work), share: p.Share})
	}
	for _, name := range p.Peers {
		if l.peers[name] == nil {
			l.peers[name] = &peer{}
		}
	}
}

// Limited reports whether the target has a share of a cap.
func (l *Ledger) Limited() bool {
	return l.plan.Share > 0
}

// Recovering reports whether work of an earlier process may still run at the engine.
func (l *Ledger) Recovering(now time.Time) bool {
	return now.Before(l.inherited)
}

// advance brings the ledger to the present time.
func (l *Ledger) advance(now time.Time) {
	if now.Sub(l.seen) > l.limits.Pause {
		// A woken slot may have missed a lower share.
		l.closed = now.Add(l.limits.Hold)
	}
	l.seen = now
	for len(l.rises) > 0 && !now.Before(l.rises[0].at) {
		l.share = max(l.share, l.rises[0].share)
		l.rises = l.rises[1:]
	}
	for k, v := range l.lent {
		if !now.Before(v.until) {
			delete(l.lent, k)
		}
	}
	for k, until := range l.settled {
		if !now.Before(until) {
			delete(l.settled, k)
		}
	}
}

// lendable returns the largest sum of loans that may be out.
func (l *Ledger) lendable() int64 {
	return int64(l.limits.Lend * float64(l.share-l.plan.Idle))
}

// out returns the sum of the loans that count as out.
func (l *Ledger) out(now time.Time) (watts int64) {
	for _, v := range l.lent {
		watts += v.watts
	}
	if now.Before(l.recovery) {
		return max(watts, l.lendable())
	}
	return watts
}

// base returns the power that the target may use without a loan.
func (l *Ledger) base(now time.Time) int64 {
	return l.share - l.out(now)
}

// usable returns the power of the loans under which work may start now.
func (l *Ledger) usable(now time.Time) (watts int64) {
	for _, v := range l.loans {
		if v.state == loanHeld && now.Before(v.until) {
			watts += v.watts
		}
	}
	return watts
}

// draw returns the target's draw with a number of running requests.
func (l *Ledger) draw(running int) int64 {
	return l.plan.Idle + int64(running)*l.plan.Draw
}

// Admit reports whether one more request may start that lasts at most the given time.
func (l *Ledger) Admit(now time.Time, running int, work time.Duration) bool {
	if !l.Limited() {
		return true
	}
	l.advance(now)
	if now.Before(l.closed) {
		return false
	}
	next := l.draw(running + 1)
	base := l.base(now)
	if next <= base {
		return true
	}
	return work <= l.limits.Work && next <= base+l.usable(now)
}

// Width returns the number of requests that the target may run at once now, at most a limit.
func (l *Ledger) Width(now time.Time, limit int) int {
	if !l.Limited() || l.plan.Draw <= 0 {
		return limit
	}
	above := l.base(now) + l.usable(now) - l.plan.Idle
	return int(min(int64(limit), max(0, above/l.plan.Draw)))
}

// Status is a summary for operators, in watts.
type Status struct {
	// Share is the part of the site's cap in force.
	Share int64 `json:"share"`
	// Lent is what counts as out.
	Lent int64 `json:"lent"`
	// Borrowed is what may be used above the share.
	Borrowed int64 `json:"borrowed"`
}

// Status returns a summary for operators.
func (l *Ledger) Status(now time.Time) Status {
	return Status{Share: l.share, Lent: l.out(now), Borrowed: l.usable(now)}
}
