package pair

import (
	"fmt"
	"strings"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// otherWorkspace maps each workspace to one that must not use its keys.
var otherWorkspace = map[string]string{"school": "council", "council": "school"}

// caller retries one non-idempotent call until it knows the outcome, and sometimes after that.
type caller struct {
	w         *world
	workspace string
	body      string
	// key is the latest one that an entry gave the caller.
	key string
	// exchanges holds the caller's exchanges by ID.
	exchanges     map[string]*exchange
	exchangeCount int
	retries       int
}

// exchange is one HTTP call.
type exchange struct {
	key string
	// ownRequest is set if workspace and body are the caller's own.
	ownRequest bool
	began      time.Duration
	answer     strings.Builder
}

func (w *world) addCaller(i int) {
	c := &caller{w: w, body: fmt.Sprintf("room %d", i), workspace: []string{"school", "council"}[i%2], exchanges: map[string]*exchange{}}
	w.callers = append(w.callers, c)
	w.after(time.Duration(w.random.Int64N(int64(faultPeriod-10*time.Second))), c.send)
}

// send makes the call with the latest key through a random entry.
func (c *caller) send() { c.sendRequest(c.key, c.body, c.workspace) }

func (c *caller) sendRequest(keyText, body, workspace string) {
	w := c.w
	c.exchangeCount++
	id := fmt.Sprintf("%s/%s/%d", c.workspace, c.body, c.exchangeCount)
	c.exchanges[id] = &exchange{key: keyText, began: w.now, ownRequest: body == c.body && workspace == c.workspace}
	e := w.entries[w.random.IntN(len(w.entries))]
	if w.now < e.pausedUntil {
		w.after(w.randomDelay(), c.retry)
	}
	w.afterOn(&e.process, w.randomDelay(), func() {
		e.handle(entry.Event{Arrival: &entry.Arrival{
			ID: id, Workspace: workspace, Path: "/v1/holds", Key: keyText, Body: []byte(body), Timeout: 2 * time.Second,
		}})
	})
}

// retry schedules another attempt at the call, up to maxRetries times.
func (c *caller) retry() {
	if c.retries == maxRetries {
		return
	}
	c.retries++
	c.w.after(c.w.randomDelay(), c.send)
	if c.w.withProbability(0.2) {
		// A duplicate of the call at about the same time, through any entry.
		c.w.after(c.w.randomDelay(), c.send)
	}
}

// misuseKey sends the key of a call that ran with another body, from another workspace, and around its expiry.
func (c *caller) misuseKey(keyText string) {
	w := c.w
	w.after(w.randomDelay(), func() { c.sendRequest(keyText, "another body", c.workspace) })
	w.after(w.randomDelay(), func() { c.sendRequest(keyText, c.body, otherWorkspace[c.workspace]) })
	c.reuseOldKey(keyText)
}

// reuseOldKey sends a key again around the end of its lifetime.
func (c *caller) reuseOldKey(keyText string) {
	d := key.Lifetime + time.Duration(c.w.random.Int64N(int64(2*key.MaxClockSkew+time.Minute)))
	c.w.after(d-faultPeriod, func() { c.sendRequest(keyText, c.body, c.workspace) })
}

func (w *world) exchangeOf(id string) (*caller, *exchange) {
	for _, c := range w.callers {
		if x := c.exchanges[id]; x != nil {
			return c, x
		}
	}
	return nil, nil
}

// answerOf returns the answer of an execution; repeated executions of a key give different answers.
func (w *world) answerOf(r call.Request) string {
	text := fmt.Sprintf("%s %s execution %d ", r.Workspace, r.Body, w.executions[r.Key])
	text = strings.Repeat(text, 1+w.random.IntN(20))
	if w.firstAnswers[r.Key] == "" {
		w.firstAnswers[r.Key] = text
	}
	return text
}

func (w *world) forward(f *entry.Forward) {
	_, x := w.exchangeOf(f.ID)
	if int64(x.answer.Len()) != f.Offset {
		w.recordViolation("exchange %s got offset %d after %d bytes", f.ID, f.Offset, x.answer.Len())
	}
	x.answer.Write(f.Data)
	if !strings.HasPrefix(w.firstAnswers[x.key], x.answer.String()) {
		w.recordViolation("exchange %s got bytes that are not part of its answer", f.ID)
	}
}

func (w *world) finish(f *entry.Finish) {
	c, x := w.exchangeOf(f.ID)
	if x.key != "" && x.ownRequest && x.began < faultPeriod {
		w.outcomes[f.Outcome.String()]++
	}
	switch f.Outcome {
	case call.OutcomeComplete:
		if x.answer.String() != w.firstAnswers[x.key] || !x.ownRequest {
			w.recordViolation("exchange %s finished as complete with a wrong answer: %q", f.ID, x.answer.String())
		}
		if w.withProbability(0.2) {
			c.misuseKey(x.key)
		}
		if w.withProbability(0.3) {
			c.retry()
		}
	case call.OutcomeNotRun:
		if x.key != "" {
			w.toldNotRun[x.key] = true
			c.reuseOldKey(x.key)
		}
		if f.Key != "" && (x.key == "" || w.withProbability(0.5)) {
			c.key = f.Key
		}
		c.retry()
	default:
		c.retry()
	}
}
