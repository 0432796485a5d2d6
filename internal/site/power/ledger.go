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

var lifecycle = chart.MustParse(loanChart)

// The states of a loan at its borrower.
const (
	loanAsked    chart.State = "asked"
	loanHeld     chart.State = "held"
	loanReturned chart.State = "returned"
	loanDropped  chart.State = "dropped"
	loanClosed   chart.State = "closed"
)

// Limits configure lending. All slots of a site must use the same values.
type Limits struct {
	// Term is how long a borrower may start work under a loan, counted from its ask.
	Term time.Duration
	// MaxWork is the longest time that work started under a loan may last.
	MaxWork time.Duration
	// Slack covers clock drift and short pauses between an admission check and the start of the work.
	Slack time.Duration
	// PauseThreshold is the time between two calls above which the process counts as paused in between.
	PauseThreshold time.Duration
	// ConfigurationDelay is the time within which a published configuration is in force at every reachable slot.
	ConfigurationDelay time.Duration
	// LendableFraction is the fraction of a share above the idle draw that may be lent; it is below one.
	LendableFraction float64
	// RetryInterval is the least time between two messages of the same kind to one peer.
	RetryInterval time.Duration
}

// DefaultLimits are the limits used in production.
var DefaultLimits = Limits{
	Term:               5 * time.Second,
	MaxWork:            20 * time.Second,
	Slack:              500 * time.Millisecond,
	PauseThreshold:     time.Second,
	ConfigurationDelay: 4 * time.Second,
	LendableFraction:   0.75,
	RetryInterval:      100 * time.Millisecond,
}

// maxDrawTime is the longest time for which a borrower's engine may draw power under a new loan.
func (l *Limits) maxDrawTime() time.Duration {
	return l.Term + l.MaxWork + l.Slack
}

// Load describes the requests at a target.
type Load struct {
	// Running is the number of requests at the engine, at least the number that the engine reports.
	Running int
	// Queued is the number of queued requests that the engine has capacity for.
	Queued int
	// Priority is the highest priority among the queued requests; a higher value goes first.
	Priority int
}

// Plan is the configured power of a target, in watts.
type Plan struct {
	// Share is the target's part of the site's cap; zero means no limit.
	Share int64
	// Idle is the draw without requests; it is at most Share.
	Idle int64
	// Draw is the additional draw of each running request.
	Draw int64
	// Peers are the other targets of the site with a share.
	Peers []string
}

// Ledger keeps the loans of a target and admits its requests within the power cap. It is not safe for concurrent use.
//
// Invariant: at any time a target draws at most its share, minus what it has lent,
// plus what its lenders count as lent to it. So the total draw of a site is at most its cap.
type Ledger struct {
	// limits do not change.
	limits Limits
	// random is the only random source.
	random *rand.Rand
	// plan is the configured plan; its Share may be higher than the share in force.
	plan Plan
	// share is the part of the cap in force.
	share int64
	// increases holds increases of the share that are not in force yet, the oldest first.
	increases []increase
	// lent holds the outstanding loans to peers.
	lent map[loanKey]*lentLoan
	// settled holds the time until which a returned loan is remembered, so that a delayed ask does not reopen it.
	settled map[loanKey]time.Time
	// loans holds the loans that this slot asked for, by ID.
	loans map[uint64]*loan
	// lastID is the ID of the latest loan that this slot asked for.
	lastID uint64
	peers  map[string]*peer
	// lastCall is the time of the latest call; a gap after it shows that the process was paused.
	lastCall time.Time
	// blockedUntil is the time until which no work may start after a pause or a restart.
	blockedUntil time.Time
	// recoveryEnd is the time until which loans granted before a restart may be outstanding.
	recoveryEnd time.Time
	// inheritedUntil is the time until which work started by an earlier process of the slot may run.
	inheritedUntil time.Time
	// accounted holds the peers that answered a hello since the restart.
	accounted map[string]bool
}

// increase is an increase of the share and the time at which it takes effect.
type increase struct {
	at    time.Time
	share int64
}

// loanKey identifies a loan at its lender.
type loanKey struct {
	peer        string
	incarnation uint64
	id          uint64
}

// lentLoan is a loan as its lender keeps it.
type lentLoan struct {
	watts    int64
	sequence uint64
	priority int
	// until is the time from which the borrower's engine no longer draws power under the loan.
	until time.Time
}

// loan is a loan as its borrower keeps it.
type loan struct {
	id       uint64
	peer     string
	state    chart.State
	watts    int64
	sequence uint64
	// askedAt is the time of the latest ask.
	askedAt time.Time
	// until is the end of the term; work may start only before it.
	until time.Time
	// returnSentAt is the time at which the return was last sent.
	returnSentAt time.Time
}

// peer holds the times of the latest messages exchanged with another slot.
type peer struct {
	// askedAt and deniedAt are the times of the latest ask to the peer and of its latest denial.
	askedAt, deniedAt time.Time
	// recalledAt is the time of the latest recall.
	recalledAt time.Time
	// helloSentAt is the time of the latest hello to the peer.
	helloSentAt time.Time
}

// Options configure NewLedger.
type Options struct {
	Limits Limits
	// Random is the random source; it must not be shared with another goroutine.
	Random *rand.Rand
}

// NewLedger returns the ledger of a starting slot. It assumes that an earlier process of the slot lent power and started
// work.
func NewLedger(now time.Time, o Options) *Ledger {
	return &Ledger{
		limits:         o.Limits,
		random:         o.Random,
		lent:           map[loanKey]*lentLoan{},
		settled:        map[loanKey]time.Time{},
		loans:          map[uint64]*loan{},
		peers:          map[string]*peer{},
		accounted:      map[string]bool{},
		lastCall:       now,
		blockedUntil:   now.Add(o.Limits.PauseThreshold),
		recoveryEnd:    now.Add(o.Limits.maxDrawTime()),
		inheritedUntil: now.Add(o.Limits.maxDrawTime()),
	}
}

// Configure applies a plan. A higher share takes effect only after all slots have the plan
// and the work that they started under the previous plan has ended.
func (l *Ledger) Configure(now time.Time, p Plan) {
	first := l.plan.Share == 0
	l.plan = p
	l.increases = slices.DeleteFunc(l.increases, func(r increase) bool { return r.share > p.Share })
	switch {
	case first || p.Share <= l.share:
		l.share = p.Share
	default:
		l.increases = append(l.increases, increase{at: now.Add(l.limits.ConfigurationDelay + l.limits.MaxWork), share: p.Share})
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

// MayRunInheritedWork reports whether work of an earlier process may still run at the engine.
func (l *Ledger) MayRunInheritedWork(now time.Time) bool {
	return now.Before(l.inheritedUntil)
}

// advance detects pauses, applies increases of the share that are due and removes expired loans.
func (l *Ledger) advance(now time.Time) {
	if now.Sub(l.lastCall) > l.limits.PauseThreshold {
		// A slot that was paused may have missed a lower share.
		l.blockedUntil = now.Add(l.limits.ConfigurationDelay)
	}
	l.lastCall = now
	for len(l.increases) > 0 && !now.Before(l.increases[0].at) {
		l.share = max(l.share, l.increases[0].share)
		l.increases = l.increases[1:]
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

// lendable returns the largest total of loans that may be outstanding.
func (l *Ledger) lendable() int64 {
	return int64(l.limits.LendableFraction * float64(l.share-l.plan.Idle))
}

// outstanding returns the total of the outstanding loans. During recovery it is at least the lendable power.
func (l *Ledger) outstanding(now time.Time) (watts int64) {
	for _, v := range l.lent {
		watts += v.watts
	}
	if now.Before(l.recoveryEnd) {
		return max(watts, l.lendable())
	}
	return watts
}

// ownPower returns the power that the target may use without a loan.
func (l *Ledger) ownPower(now time.Time) int64 {
	return l.share - l.outstanding(now)
}

// borrowed returns the total of the held loans under which work may start now.
func (l *Ledger) borrowed(now time.Time) (watts int64) {
	for _, v := range l.loans {
		if v.state == loanHeld && now.Before(v.until) {
			watts += v.watts
		}
	}
	return watts
}

// draw returns the target's draw with the given number of running requests.
func (l *Ledger) draw(running int) int64 {
	return l.plan.Idle + int64(running)*l.plan.Draw
}

// Admit reports whether one more request that runs for at most the given time may start.
func (l *Ledger) Admit(now time.Time, running int, work time.Duration) bool {
	if !l.Limited() {
		return true
	}
	l.advance(now)
	if now.Before(l.blockedUntil) {
		return false
	}
	next := l.draw(running + 1)
	own := l.ownPower(now)
	if next <= own {
		return true
	}
	return work <= l.limits.MaxWork && next <= own+l.borrowed(now)
}

// Width returns the number of requests that the target may run at once, at most limit.
func (l *Ledger) Width(now time.Time, limit int) int {
	if !l.Limited() || l.plan.Draw <= 0 {
		return limit
	}
	above := l.ownPower(now) + l.borrowed(now) - l.plan.Idle
	return int(min(int64(limit), max(0, above/l.plan.Draw)))
}

// Status is a summary of the ledger for operators, in watts.
type Status struct {
	// Share is the part of the site's cap in force.
	Share int64 `json:"share"`
	// Lent is the total of the outstanding loans to peers; during recovery it is at least the lendable power.
	Lent int64 `json:"lent"`
	// Borrowed is the total of the held loans, which may be used above the share.
	Borrowed int64 `json:"borrowed"`
}

// Status returns a summary for operators.
func (l *Ledger) Status(now time.Time) Status {
	return Status{Share: l.share, Lent: l.outstanding(now), Borrowed: l.borrowed(now)}
}
