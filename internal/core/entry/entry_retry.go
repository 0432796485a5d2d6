package entry

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/retry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// retries bound what an entry tries again.
type retries struct {
	// budgets holds the retries that may be made, by pool.
	budgets map[string]*retry.Budget
	// random spreads the advice to callers.
	random *rand.Rand
}

func newRetries(random *rand.Rand) retries {
	return retries{budgets: map[string]*retry.Budget{}, random: random}
}

// budget returns the retries of the exchange's pool.
func (r *retries) budget(x *exchange) *retry.Budget {
	b := r.budgets[x.route.Pool]
	if b == nil {
		b = retry.NewBudget()
		r.budgets[x.route.Pool] = b
	}
	return b
}

// advice returns when a caller may come back: as a slot said, or spread over a short time.
func (r *retries) advice(x *exchange) time.Duration {
	if x.advice > 0 {
		return x.advice
	}
	return retry.Advice(r.random, 0)
}

// succeed takes in that a target answered the whole request.
func (c *Core) succeed(now time.Time, x *exchange) {
	c.book.Note(now, x.request.Fingerprint, suspect.Cleared)
	c.budget(x).Succeed()
}

// mayRetry reports whether the next attempt is the first one or the budget pays for it.
func (c *Core) mayRetry(x *exchange) bool {
	return x.request.Attempt == 0 || c.budget(x).Take()
}

// giveUp ends an exchange without another attempt. What it tells depends on the attempts before.
func (c *Core) giveUp(x *exchange, status int, reason string) []Action {
	return c.finish(x, status, call.OutcomeNotRun, reason, c.advice(x))
}
