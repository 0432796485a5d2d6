package limit

import "time"

const (
	// ColdLifetime is the time from an entry's request for permits of a cold target until they lapse: an entry that was frozen
	// must not use them after its thaw.
	ColdLifetime = 100 * time.Millisecond
	// ColdSendTime is the time in which a request must be sent after it has taken a permit of a cold target.
	ColdSendTime = 100 * time.Millisecond
	// arrivalMargin is the number of requests by which those that arrive within a second may exceed those that were sent within one.
	arrivalMargin = 1
	// slowRate is a rate in permits a second at which no two requests arrive within one second, for bounds that leave no more.
	slowRate = 0.5
	// maxDeputyShare is the largest share of a target's rate that an entry issues which is not its established owner.
	maxDeputyShare = 0.4
	// askedTime is the time after its latest request for permits of a target in which an entry counts as one that asks for them.
	askedTime = time.Second
	// asksPerPermit is the number of requests for permits of a cold target for each permit above which the entries are told to
	// wait longer, so that the load of the owner grows more slowly than the number of entries.
	asksPerPermit = 4
)

// Bound is the largest number of requests that a cold target may get in any sliding second, relative to its rate.
type Bound struct {
	// Over is the factor of the rate, and Slack the number of requests beyond that.
	Over, Slack float64
}

// Standing is the position of an entry that issues permits for a cold target.
type Standing struct {
	// Entries is the number of live entries.
	Entries int
	// Fraction is the part of the rate that the entry may issue, at most one; zero if it may issue none.
	Fraction float64
	// Established is set if no other entry can have owned the rate of late.
	Established bool
	// Wait is the time after which the fraction may be above zero.
	Wait time.Duration
}

// terms are the conditions on which permits for a target are issued.
type terms struct {
	// rate is in permits a second; zero means that none are issued.
	rate float64
	// capacity is the number of unused permits that accumulate.
	capacity float64
	// entries is the number of live entries.
	entries int
}

// usable is the longest time from the issue of a permit of a cold target until the request is sent, in seconds.
const usable = float64(ColdLifetime+ColdSendTime) / float64(time.Second)

// coldTerms returns the terms for a cold target with a rate. In a sliding second arrive at most the permits that were issued in
// 1+usable seconds. What the bound leaves after the established owner's, a deputy may issue while the owner may still do so.
func (b Bound) coldTerms(rate float64, s Standing, askers int) terms {
	limit := b.Over*rate + b.Slack
	burst := min(rate/8, b.Slack/4)
	full := max(min(rate, (limit-1-burst-arrivalMargin)/(1+usable)), 0)
	if limit >= 1 {
		full = max(full, min(rate, slowRate))
	}
	if s.Established {
		return terms{rate: s.Fraction * full, capacity: 1 + s.Fraction*burst, entries: s.Entries}
	}
	left := (limit - (1+usable)*full - 1 - burst - arrivalMargin - 1) / (1 + usable)
	share := min(left/rate, maxDeputyShare, float64(askers)/float64(max(s.Entries, 1)))
	return terms{rate: s.Fraction * max(share, 0) * rate, capacity: 1, entries: s.Entries}
}

// IssueCold returns the permits of a cold target for a request of an entry, with the same rules of priority as Issue.
//
// The load that it answers: an engine that has just started crashes if all entries give it their share at once.
func (i *Issuer) IssueCold(now time.Time, r PermitRequest, from string, b Bound, s Standing) Permits {
	rate := min(max(r.Rate, MinRate), maxPermitRate)
	// An established owner may have one permit at hand at any time. One that a deputy starts with would be beside those of all others.
	initial, askers := 1.0, 0
	if !s.Established {
		initial = 0
	}
	a := i.account(now, r.Target, initial)
	if !s.Established {
		askers = a.countAskers(now, from)
	}
	t := b.coldTerms(rate, s, askers)
	if t.rate <= 0 {
		a.tokens, a.updated = 0, now
		return Permits{Wait: max(s.Wait, perRequest(1, rate))}
	}
	p := a.issue(now, r, t)
	if p.Count > 0 {
		return p
	}
	asks := 0.0
	for _, d := range a.demands {
		asks += d
	}
	crowd := asks / demandDecay.Seconds() / (asksPerPermit * t.rate)
	p.Wait = max(p.Wait, time.Duration(crowd*float64(perRequest(1, t.rate))))
	return p
}

// countAskers counts an entry among those that have asked within askedTime and returns their number.
func (a *account) countAskers(now time.Time, from string) int {
	if a.askers == nil {
		a.askers = map[string]time.Time{}
	}
	a.askers[from] = now
	for name, at := range a.askers {
		if now.Sub(at) > askedTime {
			delete(a.askers, name)
		}
	}
	return len(a.askers)
}

// ApplyColdPermits records the answer to a request for permits of a cold target that was sent at a time.
func (h *Holder) ApplyColdPermits(now, sentAt time.Time, p Permits, priority int) {
	expiry := sentAt.Add(ColdLifetime)
	if p.Count > 0 && !now.Before(expiry) {
		p = Permits{}
	}
	h.ApplyPermits(now, p, priority)
	if p.Count > 0 {
		h.expiry = expiry
	}
}
