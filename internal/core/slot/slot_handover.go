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
	// batchRecords and batchSize bound one handover message, in records and answer bytes.
	batchRecords = 256
	batchSize    = 1 << 20
)

// jobDone is the state of a job whose answer is complete.
const jobDone chart.State = "done"

// handover is the progress of handing a leaving slot's records over to a successor.
type handover struct {
	// candidates are the targets that may become the successor, the preferred first.
	candidates []configuration.Target
	// successor is the target that accepted the latest batch, or empty.
	successor string
	// batchInFlight is set while the latest batch waits for its reply.
	batchInFlight bool
	// batch holds the keys of the latest batch.
	batch []string
	// pendingKeys holds the keys of the finished calls that the successor does not have yet.
	pendingKeys []string
	// lastBatch is set when the latest batch is the last one.
	lastBatch bool
	// handedOver is set when the successor has all records.
	handedOver bool
}

// startHandover starts the handover of all records and stops opening keys.
func (c *Core) startHandover(now time.Time) []Action {
	if c.candidates != nil || c.configuration == nil {
		return nil
	}
	c.records.Seal()
	c.pendingKeys = c.finishedKeys()
	if len(c.pendingKeys) == 0 && !c.servesNonIdempotent() {
		return nil
	}
	c.candidates = c.successors()
	return c.sendBatch(now)
}

// servesNonIdempotent reports whether a route to this target's pool uses keys, so that this target can be a key's home.
func (c *Core) servesNonIdempotent() bool {
	return slices.ContainsFunc(c.configuration.Routes, func(r configuration.Route) bool {
		return r.Once && r.Pool == c.target.Pool
	})
}

// successors returns the other targets of the pool: those of the own data centre first,
// and in an order that differs between leaving slots.
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

// finishedKeys returns the keys of all ended calls that need a handover, in order.
func (c *Core) finishedKeys() (texts []string) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.needsHandover(c.jobs[id]) {
			texts = append(texts, id)
		}
	}
	return texts
}

// needsHandover reports whether a job is an ended call with a key that ran or may have run.
func (c *Core) needsHandover(j *job) bool {
	return j.request.Key != "" && !j.ended.IsZero() && j.outcome != call.OutcomeNotRun
}

// addPendingKey adds a call that ended during the handover.
func (c *Core) addPendingKey(id string, j *job) {
	if c.candidates != nil && c.needsHandover(j) {
		c.pendingKeys = append(c.pendingKeys, id)
	}
}

// sendBatch sends the next batch to the successor, or to the first candidate if there is none yet.
// An empty batch asks a candidate to become the successor, or tells it that all records were sent.
func (c *Core) sendBatch(now time.Time) []Action {
	if c.batchInFlight || c.handedOver || len(c.candidates) == 0 {
		return nil
	}
	last := c.activeKeys() == 0
	if len(c.pendingKeys) == 0 && !last && c.successor != "" {
		return nil
	}
	h := &Handover{Incarnation: c.incarnation}
	c.batch = nil
	size := 0
	for _, id := range c.pendingKeys {
		if len(c.batch) == batchRecords || size > batchSize {
			break
		}
		r := c.recordOf(id)
		size += len(r.Answer)
		h.Records = append(h.Records, r)
		c.batch = append(c.batch, id)
	}
	c.lastBatch = last && len(c.batch) == len(c.pendingKeys)
	if c.lastBatch {
		h.Sealed = append(c.records.InheritedSeals(now), c.incarnation)
	}
	c.batchInFlight = true
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

// recordOf returns the record of a call for the successor.
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
		r.Outcome, r.Reason = call.OutcomeFailed, "the request ran, but its answer is no longer available"
		return r
	}
	r.Answer = data
	return r
}

// handleHandoverReply handles the reply to the batch in flight.
func (c *Core) handleHandoverReply(now time.Time, d *HandoverReply) []Action {
	if !c.batchInFlight || len(c.candidates) == 0 || d.Target != c.candidates[0].Name {
		return nil
	}
	c.batchInFlight = false
	if !d.Accepted {
		// The next candidate has no records yet and gets all of them.
		c.candidates = c.candidates[1:]
		c.successor = ""
		c.pendingKeys = c.finishedKeys()
		return append(c.sendBatch(now), c.exitWhenIdle(now)...)
	}
	c.pendingKeys = c.pendingKeys[len(c.batch):]
	c.handedOver = c.lastBatch
	var actions []Action
	if c.successor != d.Target {
		c.successor = d.Target
		actions = append(actions, Action{Audit: &Audit{Kind: "handover", Attributes: []any{"target", c.name, "successor", d.Target}}})
	}
	actions = append(actions, c.sendBatch(now)...)
	return append(actions, c.exitWhenIdle(now)...)
}

// handoverPending reports whether a handover is unfinished and a candidate is left.
func (c *Core) handoverPending() bool {
	return len(c.candidates) > 0 && !c.handedOver
}

// acceptHandover stores the records of a leaving slot and replies whether all of them fit.
func (c *Core) acceptHandover(now time.Time, h *Handover) []Action {
	accepted := c.Ready()
	for _, r := range h.Records {
		accepted = accepted && c.inheritRecord(now, r)
	}
	if accepted {
		for _, incarnation := range h.Sealed {
			c.records.InheritSeal(now, incarnation)
		}
	}
	return []Action{{Receipt: &Receipt{Accepted: accepted}}}
}

// inheritRecord stores one record of a leaving slot and reports whether it is stored or no longer needed.
func (c *Core) inheritRecord(now time.Time, r Record) bool {
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
	c.finishedIDs = append(c.finishedIDs, r.Key)
	if len(r.Answer) == 0 {
		return true
	}
	if !c.storeOutput(j, r.Answer) {
		j.outcome, j.reason = call.OutcomeFailed, "the request ran, but its answer is no longer available"
		c.dropAnswer(j)
		return true
	}
	c.answeredIDs = append(c.answeredIDs, r.Key)
	return true
}
