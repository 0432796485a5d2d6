package slot

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

const (
	// batchRecords and batchSize bound one message of a hand-over.
	batchRecords = 256
	batchSize    = 1 << 20
)

// jobDone is the state of a job whose whole answer was produced.
const jobDone chart.State = "done"

// handover is what a leaving slot knows of the way of its records to a successor.
type handover struct {
	// candidates are the targets that may become the successor, the best first.
	candidates []configuration.Target
	// successor is the target that accepted the newest batch, or empty.
	successor string
	// waiting is set while a batch is on its way.
	waiting bool
	// batch holds the keys of the newest batch.
	batch []string
	// owed holds the keys of the finished calls that the successor does not have yet.
	owed []string
	// sealing is set when the newest batch is the last one.
	sealing bool
	// done is set when the successor has all records.
	done bool
}

// leaveRecords starts the hand-over of all records. From now on no key is opened here.
func (c *Core) leaveRecords(now time.Time) []Action {
	if c.candidates != nil || c.configuration == nil {
		return nil
	}
	c.records.Seal()
	c.owed = c.finishedKeys()
	if len(c.owed) == 0 && !c.servesOnce() {
		return nil
	}
	c.candidates = c.successors()
	return c.handOver(now)
}

// servesOnce reports whether keys can name this target as their home.
func (c *Core) servesOnce() bool {
	return slices.ContainsFunc(c.configuration.Routes, func(r configuration.Route) bool {
		return r.Once && r.Pool == c.target.Pool
	})
}

// successors returns the other targets of the pool: those of the own data centre first,
// and in an order that differs between the slots that leave.
func (c *Core) successors() (targets []configuration.Target) {
	for _, t := range c.configuration.Pool(c.target.Pool) {
		if t.Name != c.name {
			targets = append(targets, t)
		}
	}
	rank := func(t configuration.Target) uint64 {
		return xxhash.Sum64String(t.Name + "/" + strconv.FormatUint(c.incarnation, 16))
	}
	slices.SortFunc(targets, func(a, b configuration.Target) int {
		near := cmp.Compare(boolRank(a.Centre == c.target.Centre), boolRank(b.Centre == c.target.Centre))
		return cmp.Or(near, cmp.Compare(rank(a), rank(b)))
	})
	return targets
}

// boolRank orders true before false.
func boolRank(v bool) int {
	if v {
		return 0
	}
	return 1
}

// finishedKeys returns the keys of all calls that ended, in order.
func (c *Core) finishedKeys() (texts []string) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.handsOver(c.jobs[id]) {
			texts = append(texts, id)
		}
	}
	return texts
}

// handsOver reports whether the end of a job is worth knowing to a successor.
func (c *Core) handsOver(j *job) bool {
	return j.request.Key != "" && !j.ended.IsZero() && j.outcome != call.OutcomeNotRun
}

// owe adds a call that ended while the slot leaves.
func (c *Core) owe(id string, j *job) {
	if c.candidates != nil && c.handsOver(j) {
		c.owed = append(c.owed, id)
	}
}

// handOver sends the next batch to the successor, or to the target that is asked to be it.
func (c *Core) handOver(now time.Time) []Action {
	if c.waiting || c.done || len(c.candidates) == 0 {
		return nil
	}
	last := c.activeKeys() == 0
	if len(c.owed) == 0 && !last && c.successor != "" {
		return nil
	}
	h := &Handover{Incarnation: c.incarnation}
	c.batch = nil
	size := 0
	for _, id := range c.owed {
		if len(c.batch) == batchRecords || size > batchSize {
			break
		}
		r := c.recordOf(id)
		size += len(r.Answer)
		h.Records = append(h.Records, r)
		c.batch = append(c.batch, id)
	}
	c.sealing = last && len(c.batch) == len(c.owed)
	if c.sealing {
		h.Sealed = append(c.records.Sealed(now), c.incarnation)
	}
	c.waiting = true
	t := c.candidates[0]
	return []Action{{Deliver: &Deliver{Target: t.Name, Address: t.Address, Message: Message{Handover: h}}}}
}

// activeKeys returns the number of calls with a key that have not ended.
func (c *Core) activeKeys() (n int) {
	for _, j := range c.active {
		if j.request.Key != "" {
			n++
		}
	}
	return n
}

// recordOf returns what a successor needs to know of a call.
func (c *Core) recordOf(id string) Record {
	j := c.jobs[id]
	if j == nil {
		return Record{Key: id, Outcome: call.OutcomeUnknown}
	}
	r := Record{
		Key: id, Fingerprint: j.request.Fingerprint, Outcome: j.outcome, Status: j.status, Media: j.media, Reason: j.reason,
	}
	data, dropped := j.buffer.From(0)
	if dropped || len(data) > batchSize {
		r.Outcome, r.Reason = call.OutcomeFailed, "the request ran, but its answer is no longer kept"
		return r
	}
	r.Answer = data
	return r
}

// delivered acts on the answer of the target that was sent a batch.
func (c *Core) delivered(now time.Time, d *HandoverReply) []Action {
	if !c.waiting || len(c.candidates) == 0 || d.Target != c.candidates[0].Name {
		return nil
	}
	c.waiting = false
	if !d.Accepted {
		// Another target gets everything, because it knows nothing yet.
		c.candidates = c.candidates[1:]
		c.successor = ""
		c.owed = c.finishedKeys()
		return append(c.handOver(now), c.settle(now)...)
	}
	c.owed = c.owed[len(c.batch):]
	c.done = c.sealing
	var actions []Action
	if c.successor != d.Target {
		c.successor = d.Target
		actions = append(actions, Action{Audit: &Audit{Kind: "handover", Attributes: []any{"target", c.name, "successor", d.Target}}})
	}
	actions = append(actions, c.handOver(now)...)
	return append(actions, c.settle(now)...)
}

// handing reports whether a hand-over is not finished and still can be.
func (c *Core) handing() bool {
	return len(c.candidates) > 0 && !c.done
}

// takeOver keeps the records of a leaving slot and tells it whether all of them found room.
func (c *Core) takeOver(now time.Time, h *Handover) []Action {
	accepted := c.Ready()
	for _, r := range h.Records {
		accepted = accepted && c.inherit(now, r)
	}
	if accepted {
		for _, incarnation := range h.Sealed {
			c.records.InheritSeal(now, incarnation)
		}
	}
	return []Action{{Receipt: &Receipt{Accepted: accepted}}}
}

// inherit keeps one record of a leaving slot.
func (c *Core) inherit(now time.Time, r Record) bool {
	if c.jobs[r.Key] != nil {
		return true
	}
	k, err := key.Parse(r.Key)
	if err != nil {
		return false
	}
	if k.Expired(now) {
		return true
	}
	if !c.records.Inherit(r.Key, r.Fingerprint) {
		return false
	}
	j := &job{
		state: jobDone, request: call.Request{Key: r.Key, Fingerprint: r.Fingerprint},
		buffer: answer.NewBuffer(c.limits.MaxAnswerBytes), ended: now, status: r.Status, media: r.Media, outcome: r.Outcome, reason: r.Reason,
	}
	if r.Outcome != call.OutcomeComplete && r.Outcome != call.OutcomeFailed {
		j.outcome = call.OutcomeUnknown
	}
	c.jobs[r.Key] = j
	c.finished = append(c.finished, r.Key)
	if len(r.Answer) == 0 {
		return true
	}
	if !c.store(j, r.Answer) {
		j.outcome, j.reason = call.OutcomeFailed, "the request ran, but its answer is no longer kept"
		c.forget(j)
		return true
	}
	c.kept = append(c.kept, r.Key)
	return true
}
