package entry

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

const (
	// maxAttempts bounds the attempts of one request, including reconnections.
	maxAttempts = 6
	// maxBrokenWhenLost bounds the broken attempts in a row at a target whose heartbeats are missing.
	maxBrokenWhenLost = 3
	// defaultRetryAfter is the retry-after time when no better estimate is known.
	defaultRetryAfter = time.Second
)

// exchange is a caller's request in progress.
type exchange struct {
	// state is a state of the request chart.
	state chart.State
	// request is the request with the number of the latest attempt; each attempt sets its offset and remaining time.
	request call.Request
	// route is the matching route of the configuration at arrival.
	route configuration.Route
	// target is the target of the latest attempt, or empty.
	target string
	// tried holds the targets that are not tried again: they refused the request, were not reached or were given up,
	// or their engine crashed.
	tried map[string]bool
	// assembler releases the answer's bytes in order.
	assembler *answer.Assembler
	// deadline is the caller's deadline.
	deadline time.Time
	// sent is set when a byte of an attempt may have reached a slot; it is cleared when the request moves to another
	// target after it may have run.
	sent bool
	// retryAfter is the latest retry-after time from a slot, or zero.
	retryAfter time.Duration
	// mayHaveRun is set when a target that may have run the request was given up.
	mayHaveRun bool
	// keyNotRun is set when the key's home confirmed that the call was not run and never will be.
	keyNotRun bool
	// brokenInRow counts the broken attempts since the last byte of the answer.
	brokenInRow int
	// suspects are the fingerprints of the request and its parts because of which the latest attempt runs isolated.
	suspects []uint64
	// delayed is set when the exchange has ended and only its result waits to be sent.
	delayed *delayedFinish
}

// transition applies a signal to the exchange's state. A signal that the state does not allow is ignored.
func (x *exchange) transition(s chart.Signal) {
	if next, err := requestLifecycle.Next(x.state, s); err == nil {
		x.state = next
	}
}

// arrive checks a request and starts its first attempt.
func (c *Core) arrive(now time.Time, a *Arrival) []Action {
	if c.configuration == nil || c.drained {
		return refuse(a.ID, http.StatusServiceUnavailable, "this entry is starting or stopping", defaultRetryAfter)
	}
	w, ok := c.configuration.Workspace(a.Workspace)
	if !ok {
		return refuse(a.ID, http.StatusForbidden, "the workspace is not configured", 0)
	}
	r, ok := c.configuration.Match(a.Path)
	if !ok {
		return refuse(a.ID, http.StatusNotFound, "no route is configured for this path", 0)
	}
	if c.exchanges[a.ID] != nil {
		return refuse(a.ID, http.StatusConflict, "the request is already in progress at this entry", defaultRetryAfter)
	}
	if refusal := c.checkLimit(now, a, w); refusal != nil {
		return refusal
	}
	timeout := time.Duration(r.Timeout)
	if a.Timeout > 0 {
		timeout = min(timeout, a.Timeout)
	}
	x := &exchange{
		state: requestLifecycle.Start,
		route: r,
		request: call.Request{
			ID: a.ID, Answer: a.Answer, Workspace: a.Workspace, Route: r.Name, Path: a.Path, Key: a.Key,
			Body: a.Body, Fingerprint: suspect.Fingerprint(a.Body, a.Workspace, r.Name), Parts: a.Parts,
		},
		tried:     map[string]bool{},
		assembler: answer.NewAssembler(a.ID, a.Offset),
		deadline:  now.Add(timeout),
	}
	if a.Home != "" {
		return c.resume(now, x, a.Home)
	}
	if r.Once || key.HasSystemPrefix(a.Key) {
		return c.arriveKeyed(now, x)
	}
	x.request.Key = ""
	c.exchanges[a.ID] = x
	return c.attempt(now, x)
}

// resume attaches to an answer that a target has in memory.
func (c *Core) resume(now time.Time, x *exchange, home string) []Action {
	t, ok := c.configuration.Target(home)
	if !ok {
		return refuse(x.request.ID, http.StatusGone, "the target that held the answer is no longer configured", 0)
	}
	x.request.Lookup = true
	c.exchanges[x.request.ID] = x
	return c.send(now, x, t)
}

// refuse answers a request that was not run and gets no exchange.
func refuse(id string, status int, reason string, retryAfter time.Duration) []Action {
	return []Action{{Finish: &Finish{
		ID: id, Status: status, Outcome: call.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter,
	}}}
}

// handleChunk forwards a chunk's data to the caller. Chunks of older attempts and of unknown requests are dropped.
func (c *Core) handleChunk(now time.Time, k *Chunk) []Action {
	x := c.exchanges[k.ID]
	if x == nil || k.Attempt != x.request.Attempt {
		return nil
	}
	x.sent = true
	data, ok := x.assembler.Accept(&k.Chunk)
	if !ok {
		cancel := Action{Cancel: &Cancel{ID: k.ID, Attempt: k.Attempt}}
		return append([]Action{cancel}, c.handleConnectionLost(now, &ConnectionLost{ID: k.ID, Attempt: k.Attempt, Sent: true, Reason: "the answer has a gap"})...)
	}
	var actions []Action
	if len(data) > 0 {
		x.brokenInRow = 0
		x.transition("data")
		actions = append(actions, Action{Forward: &Forward{
			ID: k.ID, Answer: x.request.Identity(), Home: x.target, Offset: x.assembler.Offset() - int64(len(data)), Data: data,
			Status: k.Status, Media: k.Media, Stream: x.route.Stream,
		}})
	}
	if !k.End {
		return actions
	}
	return append(actions, c.endAttempt(now, x, &k.Chunk)...)
}

// endAttempt handles the last chunk of an attempt.
func (c *Core) endAttempt(now time.Time, x *exchange, k *call.Chunk) []Action {
	if k.Crashed {
		return c.handleCrash(now, x, k)
	}
	switch k.Outcome {
	case call.OutcomeComplete:
		if !x.assembler.Ends(k) {
			return c.finish(x, http.StatusBadGateway, call.OutcomeFailed, "the answer is shorter than the part already forwarded", 0)
		}
		c.noteSuccess(now, x)
		return c.complete(x, k)
	case call.OutcomeNotRun:
		c.noteFailure(now, x)
		switch {
		case x.request.Key != "":
			return c.finishNotRun(now, x, k)
		case x.request.Lookup:
			return c.finish(x, statusOf(k, http.StatusGone), k.Outcome, k.Reason, k.RetryAfter)
		case k.Status != 0:
			return c.finish(x, k.Status, k.Outcome, k.Reason, k.RetryAfter)
		}
		x.retryAfter = k.RetryAfter
		return c.attempt(now, x)
	default:
		return c.finish(x, statusOf(k, http.StatusBadGateway), k.Outcome, k.Reason, k.RetryAfter)
	}
}

func statusOf(k *call.Chunk, fallback int) int {
	if k.Status != 0 {
		return k.Status
	}
	return fallback
}

// complete ends an exchange whose complete answer was forwarded.
func (c *Core) complete(x *exchange, k *call.Chunk) []Action {
	home := x.target
	c.drop(x)
	finish := Action{Finish: &Finish{
		ID: k.ID, Answer: x.request.Identity(), Home: home, Status: k.Status, Outcome: k.Outcome,
		Media: k.Media, Stream: x.route.Stream, Offset: x.assembler.Offset(),
	}}
	return append([]Action{finish}, c.exitWhenIdle()...)
}

// finish ends an exchange with an error for the caller.
func (c *Core) finish(x *exchange, status int, outcome call.Outcome, reason string, retryAfter time.Duration) []Action {
	home := x.target
	c.drop(x)
	finish := Action{Finish: &Finish{
		ID: x.request.ID, Answer: x.request.Identity(), Home: home, Status: status, Outcome: x.reportedOutcome(outcome), Reason: reason, RetryAfter: retryAfter,
		Stream: x.route.Stream, Offset: x.assembler.Offset(),
	}}
	return append([]Action{finish}, c.exitWhenIdle()...)
}

// drop removes an exchange.
func (c *Core) drop(x *exchange) {
	x.transition("finish")
	c.release(x)
	delete(c.exchanges, x.request.ID)
}

// handleConnectionLost handles an attempt whose connection ended before the answer did.
func (c *Core) handleConnectionLost(now time.Time, b *ConnectionLost) []Action {
	x := c.exchanges[b.ID]
	if x == nil || b.Attempt != x.request.Attempt || x.delayed != nil {
		return nil
	}
	x.transition("break")
	x.sent = x.sent || b.Sent
	if !x.sent {
		c.noteFailure(now, x)
		if x.request.Key != "" || x.request.Lookup {
			return c.finishUnreachable(now, x, b.Reason)
		}
		return c.attempt(now, x)
	}
	return c.reconnect(now, x, b.Reason)
}

// reconnect opens a new connection to the target that may have the request, or gives the target up.
func (c *Core) reconnect(now time.Time, x *exchange, reason string) []Action {
	t, ok := c.configuration.Target(x.target)
	x.brokenInRow++
	if ok && x.brokenInRow < c.maxBroken(now, x) && now.Before(x.deadline) {
		return c.send(now, x, t)
	}
	if x.canMove() {
		c.noteFailure(now, x)
		x.sent = false
		x.mayHaveRun = true
		return c.attempt(now, x)
	}
	return c.finishUnreachable(now, x, reason)
}

// canMove reports whether another target may run the request from the start.
func (x *exchange) canMove() bool {
	return x.request.Key == "" && !x.request.Lookup && x.assembler.Offset() == 0
}

// maxBroken returns the number of broken attempts in a row at which the target is given up. Heartbeats also depend
// on a connection, which can stall: a target that seems lost is tried over new connections, unless another target
// can take the request.
func (c *Core) maxBroken(now time.Time, x *exchange) int {
	m, known := c.view.Member(now, x.target)
	if known && m.State == membership.StateGone {
		return 0
	}
	if known && m.State != membership.StateLost {
		return maxAttempts
	}
	if others, _ := c.candidates(now, x); x.canMove() && len(others) > 0 {
		return 0
	}
	return maxBrokenWhenLost
}

// finishUnreachable asks the successor of the unreachable home for the answer, or ends the exchange if there is none.
func (c *Core) finishUnreachable(now time.Time, x *exchange, reason string) []Action {
	k, err := key.Parse(x.request.Identity())
	if err == nil && now.Before(x.deadline) {
		if t, ok := c.successorOf(k); ok && t.Name != x.target && !x.tried[t.Name] {
			x.tried[t.Name] = true
			return c.lookUpAt(now, x, t)
		}
	}
	outcome := call.OutcomeUnknown
	if x.request.Key == "" && !x.request.Lookup {
		outcome = call.OutcomeFailed
	}
	return c.finish(x, http.StatusBadGateway, outcome, reason, c.retryAfter(x))
}

// handleCallerGone cancels an exchange whose caller disconnected.
func (c *Core) handleCallerGone(g *CallerGone) []Action {
	x := c.exchanges[g.ID]
	if x == nil {
		return nil
	}
	cancel := Action{Cancel: &Cancel{ID: g.ID, Attempt: x.request.Attempt}}
	c.drop(x)
	return append([]Action{cancel}, c.exitWhenIdle()...)
}

// expire ends the exchanges whose deadline has passed.
func (c *Core) expire(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.exchanges)) {
		x := c.exchanges[id]
		if now.Before(x.deadline) {
			continue
		}
		actions = append(actions, c.cut(x, "the deadline passed")...)
	}
	return actions
}

// cut ends an exchange that may still run.
func (c *Core) cut(x *exchange, reason string) []Action {
	cancel := Action{Cancel: &Cancel{ID: x.request.ID, Attempt: x.request.Attempt}}
	outcome := call.OutcomeFailed
	if x.request.Key != "" || x.request.Lookup {
		outcome = call.OutcomeUnknown
	}
	return append([]Action{cancel}, c.finish(x, http.StatusGatewayTimeout, outcome, reason, c.retryAfter(x))...)
}
