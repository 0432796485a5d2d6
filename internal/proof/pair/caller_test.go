package pair

import (
	"fmt"
	"strings"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// strangers names another workspace for each.
var strangers = map[string]string{"school": "council", "council": "school"}

// caller repeats one non-idempotent call until it knows what became of it, and a few times more.
type caller struct {
	w         *world
	workspace string
	body      string
	// key is the newest one that the caller was given.
	key string
	// exchanges holds what is known of each of its exchanges by ID.
	exchanges map[string]*exchange
	number    int
	resends   int
}

// exchange is one HTTP call.
type exchange struct {
	key string
	// owned tells that workspace and body are the caller's own.
	owned bool
	began time.Duration
	text  strings.Builder
}

func (w *world) addCaller(i int) {
	c := &caller{w: w, body: fmt.Sprintf("room %d", i), workspace: []string{"school", "council"}[i%2], exchanges: map[string]*exchange{}}
	w.callers = append(w.callers, c)
	w.after(time.Duration(w.random.Int64N(int64(busy-10*time.Second))), c.send)
}

// send makes a call with the newest key through any entry.
func (c *caller) send() { c.ask(c.key, c.body, c.workspace) }

func (c *caller) ask(text, body, workspace string) {
	w := c.w
	c.number++
	id := fmt.Sprintf("%s/%s/%d", c.workspace, c.body, c.number)
	c.exchanges[id] = &exchange{key: text, began: w.now, owned: body == c.body && workspace == c.workspace}
	e := w.entries[w.random.IntN(len(w.entries))]
	if w.now < e.paused {
		w.after(w.delay(), c.again)
	}
	w.on(&e.process, w.delay(), func() {
		e.handle(entry.Event{Arrival: &entry.Arrival{
			ID: id, Workspace: workspace, Path: "/v1/holds", Key: text, Body: []byte(body), Timeout: 2 * time.Second,
		}})
	})
}

// again sends the call once more, a bounded number of times.
func (c *caller) again() {
	if c.resends == callerMax {
		return
	}
	c.resends++
	c.w.after(c.w.delay(), c.send)
	if c.w.chance(0.2) {
		// The same call at the same time through another entry.
		c.w.after(c.w.delay(), c.send)
	}
}

// abuse sends the key of a call that ran with what does not belong to it, or too late.
func (c *caller) abuse(text string) {
	w := c.w
	w.after(w.delay(), func() { c.ask(text, "another body", c.workspace) })
	w.after(w.delay(), func() { c.ask(text, c.body, strangers[c.workspace]) })
	c.late(text)
}

// late sends a key again round the end of its lifetime.
func (c *caller) late(text string) {
	d := key.Lifetime + time.Duration(c.w.random.Int64N(int64(2*key.MaxClockSkew+time.Minute)))
	c.w.after(d-busy, func() { c.ask(text, c.body, c.workspace) })
}

func (w *world) exchangeOf(id string) (*caller, *exchange) {
	for _, c := range w.callers {
		if x := c.exchanges[id]; x != nil {
			return c, x
		}
	}
	return nil, nil
}

// answerOf returns the answer of a new execution; no two are alike.
func (w *world) answerOf(r call.Request) string {
	text := fmt.Sprintf("%s %s execution %d ", r.Workspace, r.Body, w.runs[r.Key])
	text = strings.Repeat(text, 1+w.random.IntN(20))
	if w.answers[r.Key] == "" {
		w.answers[r.Key] = text
	}
	return text
}

func (w *world) forward(f *entry.Forward) {
	_, x := w.exchangeOf(f.ID)
	if int64(x.text.Len()) != f.Offset {
		w.fail("exchange %s got offset %d after %d bytes", f.ID, f.Offset, x.text.Len())
	}
	x.text.Write(f.Data)
	if !strings.HasPrefix(w.answers[x.key], x.text.String()) {
		w.fail("exchange %s got bytes that are not of its answer", f.ID)
	}
}

func (w *world) finish(f *entry.Finish) {
	c, x := w.exchangeOf(f.ID)
	if x.key != "" && x.owned && x.began < busy {
		w.counts[f.Outcome.String()]++
	}
	switch f.Outcome {
	case call.OutcomeComplete:
		if x.text.String() != w.answers[x.key] || !x.owned {
			w.fail("exchange %s was told its answer is whole: %q", f.ID, x.text.String())
		}
		if w.chance(0.2) {
			c.abuse(x.key)
		}
		if w.chance(0.3) {
			c.again()
		}
	case call.OutcomeNotRun:
		if x.key != "" {
			w.told[x.key] = true
			c.late(x.key)
		}
		if f.Key != "" && (x.key == "" || w.chance(0.5)) {
			c.key = f.Key
		}
		c.again()
	default:
		c.again()
	}
}
