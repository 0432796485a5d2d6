// Package limit enforces rates across entries that share no state. Each rate has an owner among the entries. For the rate
// of a workspace, the others report their demand to the owner and get a share of the rate for a short time. For that of a
// target, which may be below one request a second for all entries together, they get permits for single requests.
package limit

import (
	"strings"
	"time"
)

const (
	// ReportInterval is the time between two reports of the demand.
	ReportInterval = time.Second
	// grantLifetime is how long a granted share and a reported demand are valid.
	grantLifetime = 3 * ReportInterval
	// demandDecay is the time constant of the exponentially decaying demand.
	demandDecay = 2 * time.Second
	// burstTime is the time for which an unused share accumulates.
	burstTime = 500 * time.Millisecond
	// idleTimeout is the time without arrivals after which a workspace's state is dropped.
	idleTimeout = time.Minute
	// minWait and maxWait bound the retry-after time of refused callers.
	minWait, maxWait = time.Second, 30 * time.Second
)

// Rate is the configured limit of a workspace.
type Rate struct {
	// Rate is in requests a second and above zero.
	Rate float64
	// Burst is the number of requests above the rate that are admitted at once.
	Burst int
}

// Share is an entry's demand for a workspace, or what it is granted, in requests a second.
type Share struct {
	// Workspace is the name of the workspace.
	Workspace string
	// Rate is the demand or the granted share.
	Rate float64
	// Admitted is the number of requests admitted since the last report; it is zero in a grant.
	Admitted int
}

// Compare orders shares by workspace.
func Compare(x, y Share) int {
	return strings.Compare(x.Workspace, y.Workspace)
}

// workspaceState is an entry's state of one workspace.
type workspaceState struct {
	bucket
	// demand is the exponentially decaying number of arrivals.
	demand float64
	// admitted counts the requests admitted since the last report.
	admitted int
	// share is the rate granted by the owner; it is valid until shareExpiry.
	share       float64
	shareExpiry time.Time
	// lastArrival is the time of the latest arrival.
	lastArrival time.Time
}

// Limiter limits the requests of workspaces at one entry. It is not safe for concurrent use.
type Limiter struct {
	// workspaces holds the workspaces with a rate and an arrival within idleTimeout.
	workspaces map[string]*workspaceState
}

// NewLimiter returns a Limiter without any workspace.
func NewLimiter() *Limiter {
	return &Limiter{workspaces: map[string]*workspaceState{}}
}

// Admit reports whether a request is admitted, and if not after which wait the caller may retry.
// Without a granted share the entry uses an equal part of the rate among the given number of entries.
func (l *Limiter) Admit(now time.Time, workspace string, r Rate, entries int) (wait time.Duration, ok bool) {
	w := l.workspaces[workspace]
	if w == nil {
		w = &workspaceState{bucket: bucket{tokens: 1 + float64(r.Burst)/float64(max(entries, 1)), updated: now}}
		l.workspaces[workspace] = w
	}
	share := w.currentShare(now, r, entries)
	w.advance(now, share, r)
	w.demand++
	w.lastArrival = now
	if w.tokens < 1 {
		missing := time.Duration((1 - w.tokens) / share * float64(time.Second))
		return min(max(missing, minWait), maxWait), false
	}
	w.tokens--
	w.admitted++
	return 0, true
}

// currentShare returns the granted share, or an equal part of the rate once the grant has expired.
func (w *workspaceState) currentShare(now time.Time, r Rate, entries int) float64 {
	if now.Before(w.shareExpiry) {
		return w.share
	}
	return r.Rate / float64(max(entries, 1))
}

// advance adds tokens and decays the demand up to the current time.
func (w *workspaceState) advance(now time.Time, share float64, r Rate) {
	passed := w.fill(now, share, max(1, share*burstTime.Seconds()+float64(r.Burst)*share/r.Rate))
	w.demand *= decay(passed)
}

// Demands returns the demand of each recently used workspace and drops the idle ones.
func (l *Limiter) Demands(now time.Time) (shares []Share) {
	for name, w := range l.workspaces {
		if now.Sub(w.lastArrival) > idleTimeout {
			delete(l.workspaces, name)
			continue
		}
		if now.Sub(w.lastArrival) > grantLifetime {
			continue
		}
		demand := w.demand * decay(now.Sub(w.updated)) / demandDecay.Seconds()
		shares = append(shares, Share{Workspace: name, Rate: demand, Admitted: w.admitted})
		w.admitted = 0
	}
	return shares
}

// Grant applies a share granted by the workspace's owner.
func (l *Limiter) Grant(now time.Time, s Share, r Rate, entries int) {
	w := l.workspaces[s.Workspace]
	if w == nil || s.Rate <= 0 {
		return
	}
	w.advance(now, w.currentShare(now, r, entries), r)
	w.share, w.shareExpiry = s.Rate, now.Add(grantLifetime)
}
