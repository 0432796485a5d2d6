package slot

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/limit"
)

// engineLimit keeps the engine within the rate that it names. The slot is its only caller, so it issues the permits to itself.
type engineLimit struct {
	issuer *limit.Issuer
	limit.Holder
	// rate is in requests a second; it is valid only if limited is set.
	rate    float64
	limited bool
}

// set applies the limit in a load report and audits a change. A report of a lost engine says nothing.
func (l *engineLimit) set(r *Report) []Action {
	if !r.Alive || r.Limited == l.limited && r.Limit == l.rate {
		return nil
	}
	before := l.rate
	l.rate, l.limited, l.Holder = r.Limit, r.Limited, limit.Holder{}
	return []Action{{Audit: &Audit{Kind: "limit", Attributes: []any{"limited", l.limited, "rate", l.rate, "before", before}}}}
}

// take reports whether the limit lets a request start now, and counts it if so.
func (l *engineLimit) take(now time.Time) bool {
	if !l.limited || l.TakePermit(now) {
		return true
	}
	l.ApplyPermits(now, l.issuer.Issue(now, limit.PermitRequest{Rate: l.rate, Count: 1}, 1), 0)
	return l.TakePermit(now)
}
