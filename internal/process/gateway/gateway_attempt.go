package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
)

const (
	// dialTimeout bounds the opening of a connection to a target, which takes a few milliseconds.
	dialTimeout = 300 * time.Millisecond
	// hedgeGoals is how long a plain idempotent request waits for a target before it goes to another one, in goals.
	hedgeGoals = 2
	// plainSize is the largest plain answer that is read whole before the caller gets it.
	plainSize = 1 << 20
	// plainAdvice is when the caller of a refused plain request may come back: another target serves it then, or a slot is free.
	plainAdvice = 300 * time.Millisecond
	// groupAdvice is when the caller of a stream may come back whose group refuses: it forms anew,
	// which takes seconds from the loss of a rank.
	groupAdvice = 4 * time.Second
)

// errSilent ends an attempt whose target takes much longer than usual.
var errSilent = errors.New("target is silent")

// newTransport returns the HTTP client of all targets. Each attempt has a connection of its own:
// so no byte of an earlier answer can be taken for the answer, and no request is lost on a connection that closes.
func newTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
	return &http.Transport{DialContext: d.DialContext, DisableCompression: true, DisableKeepAlives: true}
}

// outcome is how an attempt ended.
type outcome int

const (
	// outcomeServed means that the caller has an answer.
	outcomeServed outcome = iota
	// outcomeNotRun means that the target has not run the request.
	outcomeNotRun
	// outcomeFailed means that the target ran the request and failed.
	outcomeFailed
	// outcomeUnknown means that the target may have run the request.
	outcomeUnknown
	// outcomeBroken means that an answer broke off after a part of it went to the caller.
	outcomeBroken
	// outcomeLeft means that the caller went away.
	outcomeLeft
)

// outcomeNames are the outcomes in logs and metrics.
var outcomeNames = [...]string{"served", "not-run", "failed", "unknown", "broken", "left"}

// String implements fmt.Stringer.
func (o outcome) String() string { return outcomeNames[o] }

// stored is a failure of a target that the caller gets if nothing better comes.
type stored struct {
	answer *call.Answer
	body   []byte
}

// serveAttempts sends the request to targets until one serves it or no further one may be tried.
func (v *request) serveAttempts() {
	s := &stream{request: v}
	var failure *stored
	result, reason := outcomeNotRun, "no target"
	for v.sends < mostSends {
		if v.sends > 0 && !v.again(result) {
			break
		}
		m := v.choose()
		if m == nil {
			break
		}
		v.sends++
		var f *stored
		result, f, reason = v.attempt(m, s)
		if f != nil {
			failure = f
		}
		if result != outcomeNotRun {
			v.runs++
		}
		if result == outcomeServed || result == outcomeLeft {
			v.finish(result.String(), reason)
			return
		}
	}
	v.fail(failure, reason)
}

// again reports whether a request may be sent once more after an attempt.
func (v *request) again(last outcome) bool {
	if v.left() <= 0 || v.caller.Context().Err() != nil {
		return false
	}
	if last != outcomeNotRun && (!v.route.Idempotent || v.runs >= v.route.Attempts) {
		return false
	}
	if last == outcomeNotRun && v.service.Grouped() {
		// The ranks of a group refuse together, so another one would refuse too.
		return false
	}
	if last == outcomeBroken && !v.route.Resumable {
		return false
	}
	return v.repeat()
}

// fail gives the caller the best true answer to a request that no target served.
func (v *request) fail(failure *stored, reason string) {
	certain := v.runs == 0
	switch {
	case v.wrote:
		// The head is with the caller, so only a broken connection can show that the rest is missing.
		v.finish("broken", reason)
		panic(http.ErrAbortHandler)
	case v.caller.Context().Err() != nil:
		v.finish("left", reason)
	case failure != nil:
		v.write(failure)
		v.finish("failed", reason)
	case certain && v.left() > 0:
		v.refuse(http.StatusServiceUnavailable, reason, v.advice())
	case certain:
		v.refuse(http.StatusServiceUnavailable, "not run within the time limit: "+reason, v.advice())
	case v.left() <= 0:
		v.refuse(http.StatusGatewayTimeout, reason, 0)
	default:
		v.refuse(http.StatusBadGateway, reason, 0)
	}
}

// advice returns when the caller may come back after its request was refused.
func (v *request) advice() time.Duration {
	if v.service.Grouped() {
		return groupAdvice
	}
	return plainAdvice
}

// attempt sends the request to one target and passes the answer on.
func (v *request) attempt(m *target.Member, s *stream) (result outcome, failure *stored, reason string) {
	p := v.process
	began := p.Now()
	defer func() {
		v.release(m, result != outcomeServed && result != outcomeLeft)
		p.counts.attempts.With("outcome", result.String()).Add(1)
		if result != outcomeServed {
			p.Log.Info("attempt failed", "id", v.ID, "target", m.ID, "address", m.Address, "attempt", v.sends,
				"outcome", result, "reason", reason, "took", p.Now().Sub(began), "running", m.Running())
		}
	}()
	ctx, cancel := context.WithDeadlineCause(v.caller.Context(), v.deadline, context.DeadlineExceeded)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if wait := v.patience(); wait > 0 {
		t := time.AfterFunc(wait, func() { stop(errSilent) })
		defer t.Stop()
	}
	r, err := p.Codec.NewRequest(ctx, v.Call, &call.Attempt{
		Target: &m.Target, Remaining: v.left(), Workspace: v.workspace, Priority: v.priority, LastEventID: s.after(v.LastEventID),
	})
	if err != nil {
		return outcomeNotRun, nil, err.Error()
	}
	response, err := p.transport.RoundTrip(r)
	if err != nil {
		return v.unanswered(ctx, m, err)
	}
	defer response.Body.Close()
	a := p.Codec.DecodeAnswer(v.Call, response)
	p.counts.first.Observe(p.Now().Sub(began).Seconds())
	return v.answer(ctx, m, s, a, response)
}

// patience returns how long a plain idempotent request waits before another target is tried, or zero.
func (v *request) patience() time.Duration {
	if v.route.Stream || !v.route.Idempotent || v.runs+1 >= v.route.Attempts || v.route.Goal <= 0 {
		return 0
	}
	return hedgeGoals * v.route.Goal
}

// unanswered judges an attempt that ended without the head of an answer.
func (v *request) unanswered(ctx context.Context, m *target.Member, err error) (outcome, *stored, string) {
	var op *net.OpError
	switch {
	case v.caller.Context().Err() != nil:
		return outcomeLeft, nil, "caller left"
	case errors.As(err, &op) && op.Op == "dial":
		v.process.mu.Lock()
		m.Block(v.process.Now())
		v.process.mu.Unlock()
		return outcomeNotRun, nil, "not connected: " + err.Error()
	case context.Cause(ctx) != nil:
		return outcomeUnknown, nil, context.Cause(ctx).Error()
	}
	return outcomeUnknown, nil, err.Error()
}

// answer passes the answer of a target on, or judges why it cannot.
func (v *request) answer(ctx context.Context, m *target.Member, s *stream, a *call.Answer, response *http.Response) (outcome, *stored, string) {
	switch {
	case a.Misdirected:
		v.process.mu.Lock()
		m.Block(v.process.Now())
		v.process.mu.Unlock()
		return outcomeNotRun, nil, "another incarnation serves at the address"
	case a.NotRun:
		return outcomeNotRun, nil, "target refused: status " + strconv.Itoa(a.Status) + " fault " + a.Fault
	case !a.Deliverable():
		return outcomeUnknown, nil, "answer is not the target's own: status " + strconv.Itoa(a.Status)
	case a.Status == http.StatusOK && s.is(response):
		return s.pass(ctx, a, response.Body)
	case v.wrote:
		return outcomeBroken, nil, "target cannot go on: status " + strconv.Itoa(a.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, plainSize+1))
	switch {
	case err != nil && v.caller.Context().Err() != nil:
		return outcomeLeft, nil, "caller left"
	case err != nil:
		return outcomeUnknown, nil, merry.Prepend(err, "answer broke off").Error()
	case len(body) > plainSize:
		return outcomeUnknown, nil, "answer too long"
	}
	f := &stored{answer: a, body: body}
	if a.Status >= http.StatusInternalServerError {
		return outcomeFailed, f.honest(), "status " + strconv.Itoa(a.Status)
	}
	v.write(f)
	return outcomeServed, nil, ""
}

// honest returns nil for a failure whose status would promise that the request has not run.
func (f *stored) honest() *stored {
	switch f.answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return nil
	}
	return f
}

// write gives the caller a whole answer.
func (v *request) write(f *stored) {
	h := v.writer.Header()
	for name, values := range f.answer.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(f.body)))
	v.wrote = true
	v.writer.WriteHeader(f.answer.Status)
	if _, err := v.writer.Write(f.body); err != nil {
		v.process.Log.Info("answer not delivered", "id", v.ID, "error", err)
	}
}
