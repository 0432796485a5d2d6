package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/outlier"
	"github.com/dragonflydeal/dragonflydeal/internal/request/retry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// retries holds the retry budgets and failure counts of an entry.
type retries struct {
	// budgets holds the retry budgets, by pool.
	budgets map[string]*retry.Budget
	// failuresByPool counts refused and broken attempts of the targets, by pool.
	failuresByPool map[string]*outlier.Tracker
	// random is the entry's random source.
	random *rand.Rand
}

func newRetries(random *rand.Rand) retries {
	return retries{budgets: map[string]*retry.Budget{}, failuresByPool: map[string]*outlier.Tracker{}, random: random}
}

// budget returns the retry budget of the exchange's pool.
func (r *retries) budget(x *exchange) *retry.Budget {
	b := r.budgets[x.route.Pool]
	if b == nil {
		b = retry.NewBudget()
		r.budgets[x.route.Pool] = b
	}
	return b
}

// failures returns the failure counts of the exchange's pool.
func (r *retries) failures(x *exchange) *outlier.Tracker {
	t := r.failuresByPool[x.route.Pool]
	if t == nil {
		t = outlier.NewTracker()
		r.failuresByPool[x.route.Pool] = t
	}
	return t
}

// noteFailure records that the latest attempt's target refused the request, was not reached or was given up.
func (c *Core) noteFailure(now time.Time, x *exchange) {
	x.tried[x.target] = true
	c.failures(x).Record(now, x.target, true)
}

// retryAfter returns the time after which a caller may retry: the one given by a slot, or a short one with jitter.
func (r *retries) retryAfter(x *exchange) time.Duration {
	if x.retryAfter > 0 {
		return x.retryAfter
	}
	return retry.After(r.random, 0)
}

// noteSuccess records that the latest attempt's target completed the request.
func (c *Core) noteSuccess(now time.Time, x *exchange) {
	c.crashVerdicts.Record(now, x.request.Fingerprint, suspect.Cleared)
	c.crashVerdicts.MarkSound(now, x.request.Parts...)
	c.budget(x).RecordSuccess()
	c.failures(x).Record(now, x.target, false)
}

// mayRetry reports whether the next attempt is the first one or the retry budget allows it.
func (c *Core) mayRetry(x *exchange) bool {
	return x.request.Attempt == 0 || c.budget(x).Take()
}

// giveUp ends an exchange without another attempt. Status 503 promises that the request was not run,
// so a request that a target may have run ends with 502.
func (c *Core) giveUp(x *exchange, status int, reason string) []Action {
	if status == http.StatusServiceUnavailable && x.reportedOutcome(call.OutcomeNotRun) != call.OutcomeNotRun {
		status = http.StatusBadGateway
	}
	return c.finish(x, status, call.OutcomeNotRun, reason, c.retryAfter(x))
}
