// Package limit keeps workspaces to their rates at entries that share no state. Each workspace has an owner
// among the entries; the others tell it their demand and get a share of the rate for a short time.
package limit

import (
	"math"
	"strings"
	"time"
)

const (
	// ReportInterval is the time between two tellings of the demand.
	ReportInterval = time.Second
	// term is how long a granted share holds.
	term = 3 * ReportInterval
	// memory is the time in which an arrival loses most of its weight in the demand.
	memory = 2 * time.Second
	// depth is the time for which an unused share is saved up.
	depth = 500 * time.Millisecond
	// idle is the time without arrivals after which a workspace is forgotten.
	idle = time.Minute
	// minWait and maxWait bound the advice to refused callers.
	minWait, maxWait = time.Second, 30 * time.Second
)

// Rate is the configured limit of a workspace.
type Rate struct {
	// Rate is in requests a second and above zero.
	Rate float64
	// Burst is the number of requests above the rate that may come at once.
	Burst int
}

// Share is an entry's demand for a workspace, or what it is granted, in requests a second.
type Share struct {
	// Workspace is the name of the workspace.
	Workspace string
	// Rate is the demand or the share.
	Rate float64
	// Admitted is the number of requests that were admitted since the last telling; it is zero in a grant.
	Admitted int
}

// Compare orders shares by workspace.
func Compare(x, y Share) int {
	return strings.Compare(x.Workspace, y.Workspace)
}

// account is an entry's state of one workspace.
type account struct {
	// tokens is the number of requests that may come now.
	tokens float64
	// demand is the fading number of arrivals.
	demand float64
	// admitted counts the requests that were admitted since the last telling.
	admitted int
	// share is what the owner granted; it holds until the time until.
	share float64
	until time.Time
	// at is the time of the newest change of tokens and demand.
	at time.Time
	// used is the time of the newest arrival.
	used time.Time
}

// Limiter admits the requests of workspaces at one entry. It is not safe for concurrent use.
type Limiter struct {
	// accounts holds the workspaces with a rate that were used within idle.
	accounts map[string]*account
}

// NewLimiter returns a Limiter that has admitted nothing.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[string]*account{}}
}

// Admit reports whether a request may go on, and if not when the caller may come back.
// Without a granted share the entry has an even part of the rate among the given number of entries.
func (m *Limiter) Admit(now time.Time, workspace string, r Rate, entries int) (wait time.Duration, ok bool) {
	a := m.accounts[workspace]
	if a == nil {
		a = &account{tokens: 1 + float64(r.Burst)/float64(max(entries, 1)), at: now}
		m.accounts[workspace] = a
	}
	share := a.rate(now, r, entries)
	a.pass(now, share, r)
	a.demand++
	a.used = now
	if a.tokens < 1 {
		missing := time.Duration((1 - a.tokens) / share * float64(time.Second))
		return min(max(missing, minWait), maxWait), false
	}
	a.tokens--
	a.admitted++
	return 0, true
}

// rate returns the share that is in force.
func (a *account) rate(now time.Time, r Rate, entries int) float64 {
	if now.Before(a.until) {
		return a.share
	}
	return r.Rate / float64(max(entries, 1))
}

// pass adds tokens and fades the demand up to the present.
func (a *account) pass(now time.Time, share float64, r Rate) {
	passed := max(now.Sub(a.at), 0).Seconds()
	limit := max(1, share*depth.Seconds()+float64(r.Burst)*share/r.Rate)
	a.tokens = min(a.tokens+share*passed, max(limit, a.tokens))
	a.demand *= math.Exp(-passed / memory.Seconds())
	a.at = now
}

// Demands returns the demand of each workspace in use and forgets the others.
func (m *Limiter) Demands(now time.Time) (shares []Share) {
	for name, a := range m.accounts {
		if now.Sub(a.used) > idle {
			delete(m.accounts, name)
			continue
		}
		if now.Sub(a.used) > term {
			continue
		}
		passed := max(now.Sub(a.at), 0).Seconds()
		demand := a.demand * math.Exp(-passed/memory.Seconds()) / memory.Seconds()
		shares = append(shares, Share{Workspace: name, Rate: demand, Admitted: a.admitted})
		a.admitted = 0
	}
	return shares
}

// Grant puts a share from the workspace's owner in force.
func (m *Limiter) Grant(now time.Time, s Share, r Rate, entries int) {
	a := m.accounts[s.Workspace]
	if a == nil || s.Rate <= 0 {
		return
	}
	a.pass(now, a.rate(now, r, entries), r)
	a.share, a.until = s.Rate, now.Add(term)
}
