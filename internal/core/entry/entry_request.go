package entry

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

const (
	// maxAttempts bounds the attempts of one request, reconnections included.
	maxAttempts = 6
	// lostAttempts bounds the broken attempts in a row at a target whose heartbeats are missing.
	lostAttempts = 3
	// defaultRetry is the advice when nothing better is known.
	defaultRetry = time.Second
)

// exchange is a caller's request in progress.
type exchange struct {
	// state is a state of the request chart.
	state chart.State
	// request is what the next attempt sends, but for its offset and remaining time.
	request call.Request
	// route is the configured route at arrival.
	route configuration.Route
	// target is the target of the newest attempt, or empty.
	target string
	// tried holds the targets that said "not run" or were not reached.
	tried map[string]bool
	// assembler releases the answer's bytes in order.
	assembler *answer.Assembler
	// deadline is the end of the caller's wait.
	deadline time.Time
	// sent is set when a byte of any attempt may have reached a slot.
	sent bool
	// advice is the newest one from a slot, or zero.
	advice time.Duration
	// doubt is set when a target was given up that may have run the request.
	doubt bool
	// certain is set when the key's home said that the call was not run.
	certain bool
	// barren counts the broken attempts since the newest byte of the answer.
	barren int
	// held is set when only the end is left to be told.
	held *held
}

// signal moves the exchange along the request chart.
func (x *exchange) signal(s chart.Signal) {
	if next, err := life.Next(x.state, s); err == nil {
		x.state = next
	}
}

// arrive checks a request and starts its first attempt.
func (c *Core) arrive(now time.Time, a *Arrival) []Action {
	if c.configuration == nil || c.drained {
		return refuse(a.ID, http.StatusServiceUnavailable, "this entry is starting or stopping", defaultRetry)
	}
	w, ok := c.configuration.Workspace(a.Workspace)
	if !ok {
		return refuse(a.ID, http.StatusForbidden, "the workspace is not configured", 0)
	}
	r, ok := c.configuration.Match(a.Path)
	if !ok {
		return refuse(a.ID, http.StatusNotFound, "no route has a prefix of this path", 0)
	}
	if c.exchanges[a.ID] != nil {
		return refuse(a.ID, http.StatusConflict, "the request is already in progress here", defaultRetry)
	}
	if refusal := c.checkLimit(now, a, w); refusal != nil {
		return refusal
	}
	timeout := time.Duration(r.Timeout)
	if a.Timeout > 0 {
		timeout = min(timeout, a.Timeout)
	}
	x := &exchange{
		state: life.Start,
		route: r,
		request: call.Request{
			ID: a.ID, Answer: a.Answer, Workspace: a.Workspace, Route: r.Name, Path: a.Path, Key: a.Key,
			Body: a.Body, Fingerprint: fingerprint(a.Workspace, r.Name, a.Body),
		},
		tried:     map[string]bool{},
		assembler: answer.NewAssembler(a.ID, a.Offset),
		deadline:  now.Add(timeout),
	}
	if a.Home != "" {
		return c.resume(now, x, a.Home)
	}
	if r.Once || key.HasSystemPrefix(a.Key) {
		return c.arriveOnce(now, x)
	}
	x.request.Key = ""
	c.exchanges[a.ID] = x
	return c.attempt(now, x)
}

// resume attaches to an answer that a target holds.
func (c *Core) resume(now time.Time, x *exchange, home string) []Action {
	t, ok := c.configuration.Target(home)
	if !ok {
		return refuse(x.request.ID, http.StatusGone, "the target that held the answer is no longer configured", 0)
	}
	x.request.Lookup = true
	c.exchanges[x.request.ID] = x
	return c.send(now, x, t)
}

// fingerprint identifies equal requests.
func fingerprint(workspace, route string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(route)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// refuse answers a request that was not run and is not kept.
func refuse(id string, status int, reason string, retry time.Duration) []Action {
	return []Action{{Finish: &Finish{
		ID: id, Status: status, Outcome: call.OutcomeNotRun, Reason: reason, RetryAfter: retry,
	}}}
}

// receive takes in a chunk; those of older attempts and other requests are dropped.
func (c *Core) receive(now time.Time, k *Chunk) []Action {
	x := c.exchanges[k.ID]
	if x == nil || k.Attempt != x.request.Attempt {
		return nil
	}
	x.sent = true
	data, ok := x.assembler.Accept(&k.Chunk)
	if !ok {
		cancel := Action{Cancel: &Cancel{ID: k.ID, Attempt: k.Attempt}}
		return append([]Action{cancel}, c.interrupt(now, &ConnectionLost{ID: k.ID, Attempt: k.Attempt, Sent: true, Reason: "the answer has a gap"})...)
	}
	var actions []Action
	if len(data) > 0 {
		x.barren = 0
		x.signal("data")
		actions = append(actions, Action{Forward: &Forward{
			ID: k.ID, Answer: x.request.Identity(), Home: x.target, Offset: x.assembler.Offset() - int64(len(data)), Data: data,
			Status: k.Status, Media: k.Media, Stream: x.route.Stream,
		}})
	}
	if !k.End {
		return actions
	}
	return append(actions, c.conclude(now, x, &k.Chunk)...)
}

// conclude acts on the end of an attempt.
func (c *Core) conclude(now time.Time, x *exchange, k *call.Chunk) []Action {
	if k.Crashed {
		return c.crash(now, x, k)
	}
	switch k.Outcome {
	case call.OutcomeComplete:
		if !x.assembler.Ends(k) {
			return c.finish(x, http.StatusBadGateway, call.OutcomeFailed, "the answer ends before what was sent of it", 0)
		}
		c.succeed(now, x)
		return c.complete(x, k)
	case call.OutcomeNotRun:
		c.fail(now, x)
		switch {
		case x.request.Key != "":
			return c.closed(now, x, k)
		case x.request.Lookup:
			return c.finish(x, statusOf(k, http.StatusGone), k.Outcome, k.Reason, k.RetryAfter)
		case k.Status != 0:
			return c.finish(x, k.Status, k.Outcome, k.Reason, k.RetryAfter)
		}
		x.advice = k.RetryAfter
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

// complete ends an exchange whose whole answer was forwarded.
func (c *Core) complete(x *exchange, k *call.Chunk) []Action {
	home := x.target
	c.drop(x)
	finish := Action{Finish: &Finish{
		ID: k.ID, Answer: x.request.Identity(), Home: home, Status: k.Status, Outcome: k.Outcome,
		Media: k.Media, Stream: x.route.Stream, Offset: x.assembler.Offset(),
	}}
	return append([]Action{finish}, c.settle()...)
}

// finish ends an exchange with an error for the caller.
func (c *Core) finish(x *exchange, status int, outcome call.Outcome, reason string, retry time.Duration) []Action {
	home := x.target
	c.drop(x)
	finish := Action{Finish: &Finish{
		ID: x.request.ID, Answer: x.request.Identity(), Home: home, Status: status, Outcome: x.told(outcome), Reason: reason, RetryAfter: retry,
		Stream: x.route.Stream, Offset: x.assembler.Offset(),
	}}
	return append([]Action{finish}, c.settle()...)
}

// drop forgets an exchange.
func (c *Core) drop(x *exchange) {
	x.signal("finish")
	c.release(x)
	delete(c.exchanges, x.request.ID)
}

// interrupt acts on an attempt whose connection ended before the answer did.
func (c *Core) interrupt(now time.Time, b *ConnectionLost) []Action {
	x := c.exchanges[b.ID]
	if x == nil || b.Attempt != x.request.Attempt || x.held != nil {
		return nil
	}
	x.signal("break")
	x.sent = x.sent || b.Sent
	if !x.sent {
		c.fail(now, x)
		if x.request.Key != "" || x.request.Lookup {
			return c.unreachable(now, x, b.Reason)
		}
		return c.attempt(now, x)
	}
	return c.reattach(now, x, b.Reason)
}

// reattach opens a new connection to the target that has, or may have, the request.
func (c *Core) reattach(now time.Time, x *exchange, reason string) []Action {
	t, ok := c.configuration.Target(x.target)
	x.barren++
	if ok && x.barren < c.patience(now, x) && now.Before(x.deadline) {
		return c.send(now, x, t)
	}
	if x.movable() {
		c.fail(now, x)
		x.sent = false
		x.doubt = true
		return c.attempt(now, x)
	}
	return c.unreachable(now, x, reason)
}

// movable reports whether another target may run the request from its start.
func (x *exchange) movable() bool {
	return x.request.Key == "" && !x.request.Lookup && x.assembler.Offset() == 0
}

// patience returns the number of broken attempts in a row at which the target is given up.
// Heartbeats too come over a connection that can go silent: a target that seems lost is tried
// over new ones, unless another target can take the request.
func (c *Core) patience(now time.Time, x *exchange) int {
	m, known := c.view.Member(now, x.target)
	if known && m.State == membership.StateGone {
		return 0
	}
	if known && m.State != membership.StateLost {
		return maxAttempts
	}
	if others, _ := c.candidates(now, x); x.movable() && len(others) > 0 {
		return 0
	}
	return lostAttempts
}

// unreachable asks the successor of a key's home or ends an exchange whose target cannot be asked.
func (c *Core) unreachable(now time.Time, x *exchange, reason string) []Action {
	k, err := key.Parse(x.request.Identity())
	if err == nil && now.Before(x.deadline) {
		if t, ok := c.heirOf(k); ok && t.Name != x.target && !x.tried[t.Name] {
			x.tried[t.Name] = true
			return c.consult(now, x, t)
		}
	}
	outcome := call.OutcomeUnknown
	if x.request.Key == "" && !x.request.Lookup {
		outcome = call.OutcomeFailed
	}
	return c.finish(x, http.StatusBadGateway, outcome, reason, c.advice(x))
}

// abandon ends an exchange whose caller no longer waits.
func (c *Core) abandon(g *CallerGone) []Action {
	x := c.exchanges[g.ID]
	if x == nil {
		return nil
	}
	cancel := Action{Cancel: &Cancel{ID: g.ID, Attempt: x.request.Attempt}}
	c.drop(x)
	return append([]Action{cancel}, c.settle()...)
}

// expire ends the exchanges whose deadline has passed.
func (c *Core) expire(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(c.exchanges)) {
		x := c.exchanges[id]
		if now.Before(x.deadline) {
			continue
		}
		actions = append(actions, Action{Cancel: &Cancel{ID: x.request.ID, Attempt: x.request.Attempt}})
		outcome := call.OutcomeFailed
		if x.request.Key != "" || x.request.Lookup {
			outcome = call.OutcomeUnknown
		}
		actions = append(actions, c.finish(x, http.StatusGatewayTimeout, outcome, "the deadline passed", c.advice(x))...)
	}
	return actions
}
