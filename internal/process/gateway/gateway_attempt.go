package gateway

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

const (
	// dialTimeout bounds connecting to a target, which normally takes a few milliseconds. Another target must still be able to
	// answer on time, for which callers allow some tenths of a second.
	dialTimeout = 150 * time.Millisecond
	// attemptTimeoutGoals is the time limit of an attempt, as a multiple of the route's goal, for plain idempotent
	// requests that may still be retried at another target.
	attemptTimeoutGoals = 2
	// maxPlainAnswer is the largest answer in bytes that is buffered; plain answers are read in full before they are
	// passed on.
	maxPlainAnswer = 1 << 20
	// plainRetryAfter is the Retry-After of a refused plain request. By then another target serves, or one has capacity
	// again.
	plainRetryAfter = 300 * time.Millisecond
)

// errAttemptTimeout cancels an attempt whose target takes much longer than usual.
var errAttemptTimeout = errors.New("target is silent")

// newTransport returns the HTTP transport to all targets. Each attempt uses a new connection, so that bytes of an earlier
// answer cannot be mistaken for this one and no request is lost on an idle connection that the target closes.
func newTransport(now func() time.Time) *transport.Transport {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
	return transport.New(&http.Transport{
		DialContext: dialInTime(now, d.DialContext), DisableCompression: true, DisableKeepAlives: true,
	})
}

// outcome is the result of an attempt.
type outcome int

const (
	// outcomeServed means that the target's answer was passed to the caller in full.
	outcomeServed outcome = iota
	// outcomeNotRun means that the target did not run the request and will not.
	outcomeNotRun
	// outcomeFailed means that the target ran the request and failed.
	outcomeFailed
	// outcomeUnknown means that the target may have run the request.
	outcomeUnknown
	// outcomeTruncated means that the answer was truncated after a part of it was sent to the caller.
	outcomeTruncated
	// outcomeCallerLeft means that the caller closed its connection.
	outcomeCallerLeft
)

// outcomeNames are the names of the outcomes in logs and metrics.
var outcomeNames = [...]string{"served", "not-run", "failed", "unknown", "broken", "left"}

// String implements fmt.Stringer.
func (o outcome) String() string { return outcomeNames[o] }

// bufferedAnswer is a complete answer of a target.
type bufferedAnswer struct {
	answer *call.Answer
	body   []byte
}

// serveAttempts sends the request to targets until one serves it or no further attempt is allowed. It returns true if the request has not
// run and is to wait until a group of its service is up.
func (v *request) serveAttempts() (again bool) {
	s := &stream{request: v}
	var failure *bufferedAnswer
	result, reason := outcomeNotRun, "no target"
	for first := true; v.attempts < maxAttempts; first = false {
		if !first && (result == outcomeTruncated && !s.canResume() || !v.mayRetry(result)) {
			break
		}
		v.process.awaitCatchUp(v.caller.Context())
		if !v.canEnd() {
			v.rejection = rejection{http.StatusServiceUnavailable, errStopping.Error(), shortRetryAfter}
			reason = v.rejection.reason
			break
		}
		m := v.chooseTarget()
		if m == nil {
			if v.rejection.status != 0 {
				reason = v.rejection.reason
			}
			break
		}
		v.attempts++
		var f *bufferedAnswer
		result, f, reason = v.attempt(m, s)
		if f != nil {
			failure = f
		}
		if result != outcomeNotRun {
			v.runs++
		}
		if v.faultyGroup || v.unreached {
			v.groupsDown = v.noteGroupRefusal(m)
			if v.groupsDown && v.runs == 0 && v.attempts < maxAttempts && v.mayAwait() {
				return true
			}
		}
		switch result {
		case outcomeServed:
			v.finish(result.String(), reason)
			return false
		case outcomeCallerLeft:
			v.abandon(result.String(), reason)
		}
	}
	v.fail(failure, reason)
	return false
}

// mayAwait reports whether the request, which a group has refused, may be sent again once a group is up. If so, it takes the retry from
// the budget and forgets which targets were tried.
func (v *request) mayAwait() bool {
	if v.remaining() <= 0 || v.caller.Context().Err() != nil || !v.unreached && !v.takeRetry() {
		return false
	}
	clear(v.tried)
	return true
}

// mayRetry reports whether the request may be sent again after an attempt. If so, it takes the retry from the budget.
func (v *request) mayRetry(last outcome) bool {
	if v.remaining() <= 0 || v.caller.Context().Err() != nil {
		return false
	}
	if last != outcomeNotRun && (!v.route.Idempotent || v.runs >= v.route.Attempts) {
		return false
	}
	if last == outcomeNotRun && v.groupRefused && (v.groupsDown || !v.faultyGroup) {
		return false
	}
	// What never reached a target is no retry there.
	return v.unreached || v.unsent || v.takeRetry()
}

// fail ends a request that no target served, with the last error answer of a target if there is one. Otherwise the
// status tells the caller whether the request may have run: 503 says that it has not.
func (v *request) fail(failure *bufferedAnswer, reason string) {
	notRun := v.runs == 0
	switch {
	case v.headersSent:
		// The headers are already sent, so only an aborted connection can show that the answer is incomplete.
		v.abandon("broken", reason)
	case v.caller.Context().Err() != nil:
		v.abandon("left", reason)
	case failure != nil:
		v.writeAnswer(failure)
		v.finish("failed", reason)
	case notRun && v.rejection.status != 0:
		v.refuse(v.rejection.status, reason, v.rejection.retryAfter)
	case notRun && v.remaining() > 0:
		v.refuse(http.StatusServiceUnavailable, reason, v.retryAfter())
	case notRun:
		v.refuse(http.StatusServiceUnavailable, "not run within the time limit: "+reason, v.retryAfter())
	case v.remaining() <= 0:
		v.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		v.refuse(http.StatusBadGateway, reason, 0)
	}
}

// retryAfter returns the Retry-After of a refusal by the targets.
func (v *request) retryAfter() time.Duration {
	return cmp.Or(v.outageRetryAfter(), plainRetryAfter)
}

// attempt sends the request to one target and passes its answer to the caller.
func (v *request) attempt(m *target.Member, s *stream) (result outcome, failure *bufferedAnswer, reason string) {
	p := v.process
	began := p.Now()
	v.fate, v.events, v.heardAt, v.succeeded = suspect.FateNone, 0, began, false
	v.faultyGroup, v.groupsDown = false, false
	v.statement, v.groupRefused, v.unreached, v.unsent, v.connected = call.Statement{}, v.service.Grouped(), false, false, false
	defer func() {
		running := v.releaseTarget(m, result)
		p.metrics.attempts.With("outcome", result.String()).Add(1)
		if result != outcomeServed {
			p.Log.Info("attempt failed", "id", v.ID, "fingerprint", formatFingerprint(v.fingerprint), "target", m.ID, "address", m.Address, "attempt", v.attempts,
				"outcome", result, "reason", reason, "took", p.Now().Sub(began), "running", running, "wait", v.statement.Wait, "leaving", v.statement.Leaving, "events", v.events, "parts", formatParts(v.Parts))
		}
	}()
	defer v.beginStream(m)()
	ctx, cancel := context.WithDeadlineCause(v.caller.Context(), v.deadline, context.DeadlineExceeded)
	defer cancel()
	ctx, stop := context.WithCancelCause(withSendBy(ctx, v.sendBy))
	defer stop(nil)
	defer context.AfterFunc(p.ended, func() { stop(errStopping) })()
	if wait := v.attemptTimeout(); wait > 0 {
		t := time.AfterFunc(wait, func() { stop(errAttemptTimeout) })
		defer t.Stop()
	}
	r, err := p.Codec.NewRequest(ctx, v.Call, &call.Attempt{
		Target: &m.Target, Remaining: v.remaining(), Workspace: v.workspace, Priority: v.priority, LastEventID: s.resumeAfter(v.LastEventID),
	})
	if err != nil {
		return outcomeNotRun, nil, err.Error()
	}
	response, err := p.transport.RoundTrip(r)
	if err != nil {
		return v.classifyError(ctx, m, err)
	}
	v.connected = true
	defer response.Body.Close()
	a := p.Codec.DecodeAnswer(v.Call, response)
	if a.FromTarget() {
		v.statement = a.Statement
	}
	v.framed = answer.Framed(response)
	v.succeeded = a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
	p.metrics.timeToHeaders.Observe(p.Now().Sub(began).Seconds())
	v.hearStatement(m, a, began)
	return v.handleAnswer(ctx, m, s, a, response)
}

// attemptTimeout returns the time after which an attempt is given up for another target, or zero if it is not.
func (v *request) attemptTimeout() time.Duration {
	if v.route.Stream || !v.route.Idempotent || v.runs+1 >= v.route.Attempts || v.route.Goal <= 0 {
		return 0
	}
	return attemptTimeoutGoals * v.route.Goal
}

// classifyError returns the outcome of an attempt that ended without an answer.
func (v *request) classifyError(ctx context.Context, m *target.Member, err error) (outcome, *bufferedAnswer, string) {
	var op *net.OpError
	switch {
	case v.caller.Context().Err() != nil:
		v.fate = suspect.FateSilent
		return outcomeCallerLeft, nil, "caller left"
	case errors.Is(err, errPermitLapsed):
		v.unsent, v.groupRefused = true, false
		return outcomeNotRun, nil, err.Error()
	case errors.As(err, &op) && op.Op == "dial":
		// Of a group whose rank cannot be reached nothing is known, and other groups may serve the request.
		v.unreached, v.groupRefused = true, false
		v.process.mu.Lock()
		v.process.noteUnreachable(v.process.Now(), m, err)
		v.process.mu.Unlock()
		return outcomeNotRun, nil, "not connected: " + err.Error()
	}
	v.fate = lostFate(ctx)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return outcomeUnknown, nil, err.Error()
}

// handleAnswer passes the answer of a target to the caller, or returns why it cannot be used. A target whose address
// serves another incarnation is blocked.
func (v *request) handleAnswer(ctx context.Context, m *target.Member, s *stream, a *call.Answer, response *http.Response) (outcome, *bufferedAnswer, string) {
	switch {
	case a.Misdirected:
		v.process.mu.Lock()
		m.Block(v.process.Now())
		v.process.mu.Unlock()
		return outcomeNotRun, nil, "another incarnation serves at the address"
	case a.NotRun:
		v.faultyGroup = v.service.Grouped() && a.FaultTarget != ""
		v.groupRefused = v.faultyGroup
		return outcomeNotRun, nil, "target refused: status " + strconv.Itoa(a.Status) + " fault " + a.FaultTarget
	case !a.Deliverable():
		return outcomeUnknown, nil, "answer is not the target's own: status " + strconv.Itoa(a.Status)
	case a.Status == http.StatusOK && s.isEventStream(response):
		return s.forward(ctx, a, response.Body)
	case v.headersSent:
		return outcomeTruncated, nil, "target cannot go on: status " + strconv.Itoa(a.Status)
	}
	if a.Status < http.StatusOK {
		return outcomeUnknown, nil, "no final answer: status " + strconv.Itoa(a.Status)
	}
	disposition := answer.Dispose(a.Status)
	body, short, err := v.readPlain(response)
	switch {
	case short && disposition == answer.Deliver:
		return v.passOn(ctx, a, body, response)
	case short:
		return outcomeFailed, nil, errNoMemory.Error()
	case err != nil && v.caller.Context().Err() != nil:
		v.fate = suspect.FateSilent
		return outcomeCallerLeft, nil, "caller left"
	case err != nil:
		v.fate = lostFate(ctx)
		return outcomeUnknown, nil, merry.Prepend(err, "answer truncated").Error()
	case len(body) == 0 && !v.framed:
		v.fate = suspect.FateOpen
		return outcomeUnknown, nil, answer.ErrNoBody.Error()
	case len(body) > maxPlainAnswer:
		return outcomeUnknown, nil, "answer too long"
	}
	buffered := &bufferedAnswer{answer: a, body: body}
	switch disposition {
	case answer.DeliverLast:
		// It is kept during the next attempts.
		v.requestHeld += max(int64(len(body))-answerBytes, 0)
		return outcomeFailed, buffered, "target failed: status " + strconv.Itoa(a.Status)
	case answer.Withhold:
		return outcomeFailed, nil, "target failed without a promise: status " + strconv.Itoa(a.Status)
	}
	v.writeAnswer(buffered)
	return outcomeServed, nil, ""
}

// lostFate returns what the end of an attempt without an answer tells about its target.
func lostFate(ctx context.Context) suspect.Fate {
	if context.Cause(ctx) != nil {
		return suspect.FateSilent
	}
	return suspect.FateOpen
}

// writeAnswer sends a complete answer to the caller.
func (v *request) writeAnswer(b *bufferedAnswer) {
	h := v.writer.Header()
	for name, values := range b.answer.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(b.body)))
	v.headersSent = true
	v.limitWrite()
	v.writer.WriteHeader(b.answer.Status)
	if _, err := v.writer.Write(b.body); err != nil {
		v.process.Log.Info("answer not delivered", "id", v.ID, "error", err)
	}
}
