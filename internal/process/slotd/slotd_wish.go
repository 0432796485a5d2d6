package slotd

import (
	"errors"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
)

// Headers in which an engine says what requests it wants.
const (
	// headerNotRun is set in a refusal of a request that was not run and never will be.
	headerNotRun     = "Not-Run"
	headerRetryAfter = "Retry-After"
	headerLeaving    = "Server-Leaving"
)

// refusedByEngine reports whether the engine says that it did not run the request.
func refusedByEngine(r *http.Response) bool {
	return answer.PromisesNotRun(r.StatusCode) && r.Header.Get(headerNotRun) != ""
}

// readWish returns the time for which the engine wants no requests, if it has turned one away, and whether it takes no new ones. What
// can't be used is logged and ignored.
func (p *Process) readWish(r *slot.Run, response *http.Response) (wait time.Duration, leaving bool) {
	leaving, fault := answer.Flag(headerLeaving, response.Header.Values(headerLeaving))
	if refusedByEngine(response) {
		var err error
		wait, err = answer.Wait(headerRetryAfter, response.Header.Values(headerRetryAfter))
		fault = errors.Join(fault, err)
	}
	if fault != nil {
		p.Log.Warn("statement ignored", "id", r.ID, "error", fault)
	}
	return wait, leaving
}
