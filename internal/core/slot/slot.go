// Package slot implements the deterministic core of a slot, the process that queues and runs requests at one target's
// engine. The core takes events with the current time and returns actions.
package slot

import (
	_ "embed"
	"math/rand/v2"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/record"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/site/power"
)

//go:embed job.chart
var jobChart []byte

var jobLifecycle = chart.MustParse(jobChart)

// maxPrefixes is the largest number of prompt prefixes in a heartbeat.
const maxPrefixes = 8

// Core is the state machine of one target's slot. It is not safe for concurrent use.
type Core struct {
	// name identifies the target.
	name string
	// incarnation is a random number that identifies this slot process.
	incarnation uint64
	// sequence is the number of the latest heartbeat.
	sequence uint64
	// state is a state of the target chart.
	state chart.State
	// configuration is nil until the first revision was accepted.
	configuration *configuration.Configuration
	// target is the latest configuration of this target; its Width is zero until there is one.
	target configuration.Target
	// engineAlive is set while the engine answers; after a crash it stays unset until revivalReports good reports came in.
	engineAlive bool
	// prefixes are digests of prompt prefixes in the engine's cache, the most recent first.
	prefixes []uint64
	// jobs holds the known requests by identity: their key or ID.
	jobs map[string]*job
	// active holds the jobs that have not ended.
	active map[string]*job
	// finishedIDs holds the IDs of ended jobs in the order of their end.
	finishedIDs []string
	// answeredIDs holds the IDs of ended jobs with an answer in memory in the order of their end.
	answeredIDs []string
	// answerBytes is the number of answer bytes in memory.
	answerBytes int
	// records holds the records of non-idempotent calls.
	records *record.Store
	// lastRecordSweep is the time of the last search for expired records.
	lastRecordSweep time.Time
	// running is the number of jobs at the engine; it is at most the target's width.
	running int
	admission
	crashes
	handover
	supply
	// limits bound memory, the queue and waiting times.
	limits Limits
	// group is nil unless the target is a rank of a group.
	group *group
	// stopAnnounced is the time of the stop, which heartbeats announce to the entries, or zero.
	stopAnnounced time.Time
}

// Limits bound a slot's memory, queue and waiting times.
type Limits struct {
	// MaxAnswerBytes is the largest answer in bytes.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes is the largest number of bytes of all answers together.
	MaxTotalAnswerBytes int
	// MaxRecords is the largest number of records of non-idempotent calls.
	MaxRecords int
	// MaxQueuePerWidth is the largest number of waiting requests per unit of the target's width.
	MaxQueuePerWidth int
	// AnswerRetention is how long a finished answer stays in memory for its caller.
	AnswerRetention time.Duration
	// OrphanTimeout is how long an idempotent request runs on with no stream attached.
	OrphanTimeout time.Duration
	// SwitchTimeout is the longest time from the start of an expert map switch until the last rank is armed.
	SwitchTimeout time.Duration
	// MinAnnounceTime is the shortest time from a stop to the exit, in which entries learn of the stop.
	MinAnnounceTime time.Duration
}

// DefaultLimits are the limits of a slot in operation.
var DefaultLimits = Limits{
	SwitchTimeout:       20 * time.Second,
	MaxAnswerBytes:      8 << 20,
	MaxTotalAnswerBytes: 32 << 20,
	MaxRecords:          1 << 15,
	MaxQueuePerWidth:    2,
	AnswerRetention:     time.Minute,
	OrphanTimeout:       3 * time.Second,
	MinAnnounceTime:     2 * time.Second,
}

// Options are the inputs of New.
type Options struct {
	// Name is the target's name in the configuration.
	Name string
	// Random is the random source; it must not be shared.
	Random *rand.Rand
	// Limits bound memory, the queue and waiting times.
	Limits Limits
}

// New returns a core without a configuration.
func New(o Options) *Core {
	incarnation := o.Random.Uint64()
	return &Core{
		name:        o.Name,
		incarnation: incarnation,
		state:       membership.Chart.Start,
		jobs:        map[string]*job{},
		active:      map[string]*job{},
		records:     record.NewStore(record.Options{Home: o.Name, Incarnation: incarnation, Limit: o.Limits.MaxRecords}),
		admission:   newAdmission(o.Random),
		crashes:     crashes{crashVerdicts: suspect.NewTracker()},
		supply:      supply{loanRandom: o.Random},
		limits:      o.Limits,
	}
}

// Handle processes one event and returns the resulting actions in order.
func (c *Core) Handle(now time.Time, e Event) []Action {
	switch {
	case e.Arrival != nil:
		return c.arrive(now, e.Arrival)
	case e.Detach != nil:
		return c.detach(now, e.Detach)
	case e.ChunkSent != nil:
		return c.handleChunkSent(e.ChunkSent)
	case e.Output != nil:
		return c.handleOutput(now, e.Output)
	case e.Result != nil:
		return c.handleResult(now, e.Result)
	case e.Report != nil:
		return c.handleReport(now, e.Report)
	case e.Message != nil && e.Message.Handover != nil:
		return c.acceptHandover(now, e.Message.Handover)
	case e.HandoverReply != nil:
		return c.handleHandoverReply(now, e.HandoverReply)
	case e.Message != nil:
		return c.handleMessage(now, e.Message)
	case e.Group != nil:
		return c.handleGroupReport(now, e.Group)
	case e.OrderResult != nil:
		return c.handleOrderResult(now, e.OrderResult)
	case e.Configuration != nil:
		return c.configure(now, e.Configuration)
	case e.Stop != nil:
		return c.stop(now, e.Stop.Until)
	case e.Tick != nil:
		return c.tick(now)
	}
	return nil
}

// Incarnation returns the random number that identifies this slot process.
func (c *Core) Incarnation() uint64 {
	return c.incarnation
}

// Ready reports whether the slot accepts new requests.
func (c *Core) Ready() bool {
	return c.state == membership.StateServing
}

// State returns the target's state.
func (c *Core) State() chart.State {
	return c.state
}

// Revision returns the configuration revision in force, or zero.
func (c *Core) Revision() int64 {
	if c.configuration == nil {
		return 0
	}
	return c.configuration.Revision
}

// NextHeartbeat returns a heartbeat with the current state and the next sequence number.
func (c *Core) NextHeartbeat(now time.Time) membership.Heartbeat {
	c.sequence++
	verdicts := c.crashVerdicts.Report(now)
	return membership.Heartbeat{
		Target:      c.name,
		Incarnation: c.incarnation,
		Sequence:    c.sequence,
		State:       c.state,
		Running:     c.running,
		Queued:      c.queue.Len(),
		Width:       c.width(now),
		Revision:    c.Revision(),
		Prefixes:    c.prefixes[:min(len(c.prefixes), maxPrefixes)],
		Suspects:    verdicts.Suspected,
		Cleared:     verdicts.Cleared,
		Convicted:   verdicts.Convicted,
		Runs:        c.crashVerdicts.PartRuns(now),
		Successor:   c.successor,
	}
}

// Status is a summary of the core for operators.
type Status struct {
	// Name is the target's name.
	Name string `json:"name"`
	// Incarnation is the random number of the slot process.
	Incarnation uint64 `json:"incarnation"`
	// State is the target's state.
	State chart.State `json:"state"`
	// Revision is the configuration revision in force, or zero.
	Revision int64 `json:"revision"`
	// Running is the number of requests at the engine.
	Running int `json:"running"`
	// Queued is the number of requests that wait for the engine.
	Queued int `json:"queued"`
	// Known is the number of requests in memory, finished ones included.
	Known int `json:"known"`
	// Power is the target's share of the site's power cap, or nil without a cap.
	Power *power.Status `json:"power,omitempty"`
}

// Status returns a summary for operators.
func (c *Core) Status(now time.Time) Status {
	return Status{
		Name: c.name, Incarnation: c.incarnation, State: c.state, Revision: c.Revision(),
		Running: c.running, Queued: c.queue.Len(), Known: len(c.jobs), Power: c.powerStatus(now),
	}
}

// transition applies a signal to the target's state and returns an audit action if the state changed.
// A signal that the state does not allow is ignored.
func (c *Core) transition(s chart.Signal) []Action {
	next, err := membership.Chart.Next(c.state, s)
	if err != nil || next == c.state {
		return nil
	}
	c.state = next
	return []Action{{Audit: &Audit{Kind: "target", Attributes: []any{"target", c.name, "state", next}}}}
}

// configure applies a configuration if its revision is newer.
func (c *Core) configure(now time.Time, next *configuration.Configuration) []Action {
	if next.Revision <= c.Revision() {
		return nil
	}
	c.configuration = next
	if t, ok := next.Target(c.name); ok {
		c.target = t
	}
	c.configurePower(now)
	c.joinGroup(now)
	return append(c.startServing(), c.admit(now)...)
}

// handleReport applies the engine's load report.
func (c *Core) handleReport(now time.Time, r *Report) []Action {
	c.wish.heardReport(now, r.Alive)
	c.engineAlive = r.Alive && c.countRevivalReport() && c.wish.leavesSince.IsZero()
	c.prefixes = r.Prefixes
	c.engineRunning = r.Running
	if !c.engineAlive && c.state == membership.StateServing {
		return c.transition("lost")
	}
	actions := append(c.engineLimit.set(r), c.startServing()...)
	return append(actions, c.admit(now)...)
}

// startServing moves the target to serving once it is configured and its engine is alive.
func (c *Core) startServing() []Action {
	if c.target.Width == 0 || !c.engineAlive {
		return nil
	}
	return c.transition("ready")
}

// stop begins a graceful shutdown.
func (c *Core) stop(now, until time.Time) []Action {
	if c.stopAnnounced.IsZero() {
		c.stopAnnounced = now
	}
	actions := append(c.transition("stop"), c.startHandover(now)...)
	actions = append(actions, c.endBy(now, until)...)
	return append(actions, c.exitWhenIdle(now)...)
}

// exitWhenIdle lets a leaving slot exit once no work is left and its stop was announced for long enough.
func (c *Core) exitWhenIdle(now time.Time) []Action {
	if c.state != membership.StateLeaving || c.running > 0 || c.queue.Len() > 0 || c.hasEndedViewers() || c.handoverPending() {
		return nil
	}
	if now.Sub(c.stopAnnounced) < c.limits.MinAnnounceTime {
		return nil
	}
	return append(c.transition("empty"), Action{Exit: &Exit{}})
}

// tick runs timeouts, admission and the periodic work.
func (c *Core) tick(now time.Time) []Action {
	actions := c.expire(now)
	actions = append(actions, c.admit(now)...)
	actions = append(actions, c.sendBatch(now)...)
	actions = append(actions, c.tickPower(now)...)
	actions = append(actions, c.tickGroup(now)...)
	return append(actions, c.exitWhenIdle(now)...)
}
