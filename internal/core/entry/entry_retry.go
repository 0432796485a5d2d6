package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/peer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/retry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// retries bound what an entry tries again.
type retries struct {
	// budgets holds the retries that may be made, by pool.
	budgets map[string]*retry.Budget
	// boards hold how often targets refused or broke an attempt, by pool.
	boards map[string]*peer.Board
	// random spreads the advice to callers.
	random *rand.Rand
}

func newRetries(random *rand.Rand) retries {
	return retries{budgets: map[string]*retry.Budget{}, boards: map[string]*peer.Board{}, random: random}
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

// board returns the records of the exchange's pool.
func (r *retries) board(x *exchange) *peer.Board {
	b := r.boards[x.route.Pool]
	if b == nil {
		b = peer.NewBoard()
		r.boards[x.route.Pool] = b
	}
	return b
}

// fail takes in that the newest attempt's target refused the request or was not reached.
func (c *Core) fail(now time.Time, x *exchange) {
	x.tried[x.target] = true
	c.board(x).Note(now, x.target, true)
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
	c.board(x).Note(now, x.target, false)
}

// mayRetry reports whether the next attempt is the first one or the budget pays for it.
func (c *Core) mayRetry(x *exchange) bool {
	return x.request.Attempt == 0 || c.budget(x).Take()
}

// giveUp ends an exchange without another attempt. What it tells depends on the attempts before:
// 503 promises that the request was not run, so one that a target may have run ends with 502.
func (c *Core) giveUp(x *exchange, status int, reason string) []Action {
	if status == http.StatusServiceUnavailable && x.told(call.OutcomeNotRun) != call.OutcomeNotRun {
		status = http.StatusBadGateway
	}
	return c.finish(x, status, call.OutcomeNotRun, reason, c.advice(x))
}
