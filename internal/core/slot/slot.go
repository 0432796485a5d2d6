// Package slot is the deterministic core of a slot: events come in with the present time, actions go out.
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

var life = chart.MustParse(jobChart)

// maxPrefixes is the largest number of prompt prefixes in a heartbeat.
const maxPrefixes = 8

// Core decides for one target. It is not safe for concurrent use.
type Core struct {
	// name identifies the target.
	name string
	// incarnation is chosen at random and never changes.
	incarnation uint64
	// sequence is that of the newest heartbeat.
	sequence uint64
	// state is a state of the target chart.
	state chart.State
	// configuration is nil until the first revision was accepted.
	configuration *configuration.Configuration
	// target is this target's entry in the configuration.
	target configuration.Target
	// alive tells whether the engine answered last.
	alive bool
	// prefixes are digests of prompt prefixes in the engine's cache, the newest first.
	prefixes []uint64
	// jobs holds the known requests by ID.
	jobs map[string]*job
	// active holds the jobs that have not ended.
	active map[string]*job
	// finished holds the IDs of ended jobs in the order of their end.
	finished []string
	// kept holds the IDs of ended jobs with an answer in memory in the order of their end.
	kept []string
	// held is the number of answer bytes in memory.
	held int
	// records holds the records of non-idempotent calls.
	records *record.Book
	// swept is the time of the newest search for expired records.
	swept time.Time
	// running is the number of jobs at the engine; it is at most the target's width.
	running int
	admission
	crashes
	handover
	supply
	// limits bound what is kept.
	limits Limits
	// group is nil unless the target is a rank of a group.
	group *group
	// announced is the time from which the stop was announced to the entries.
	announced time.Time
}

// Limits bound what a slot keeps.
type Limits struct {
	// MaxAnswerBytes is the largest answer in bytes.
	MaxAnswerBytes int
	// TotalAnswerBytes is the largest number of bytes of all answers together.
	TotalAnswerBytes int
	// Records is the largest number of records of non-idempotent calls.
	Records int
	// Queue is the largest number of waiting requests for each unit of the target's width.
	Queue int
	// Keep is how long a finished answer is kept for its caller.
	Keep time.Duration
	// Orphan is how long an idempotent request runs on with no stream attached.
	Orphan time.Duration
	// Patience is the longest time from the start of a map switch to its last arm.
	Patience time.Duration
	// AnnounceTime is how long a stopping slot goes on answering, so that entries learn of it.
	AnnounceTime time.Duration
}

// DefaultLimits are the limits of a slot in operation.
var DefaultLimits = Limits{
	Patience:         20 * time.Second,
	MaxAnswerBytes:   8 << 20,
	TotalAnswerBytes: 32 << 20,
	Records:          1 << 15,
	Queue:            2,
	Keep:             time.Minute,
	Orphan:           3 * time.Second,
	AnnounceTime:     2 * time.Second,
}

// Options are the inputs of New.
type Options struct {
	// Name is the target's name in the configuration.
	Name string
	// Random is the source of chance; it must not be shared.
	Random *rand.Rand
	// Limits bound what is kept.
	Limits Limits
}

// New returns a core that knows no configuration yet.
func New(o Options) *Core {
	incarnation := o.Random.Uint64()
	return &Core{
		name:        o.Name,
		incarnation: incarnation,
		state:       membership.Chart.Start,
		jobs:        map[string]*job{},
		active:      map[string]*job{},
		records:     record.NewBook(record.Options{Home: o.Name, Incarnation: incarnation, Limit: o.Limits.Records}),
		admission:   newAdmission(o.Random),
		crashes:     crashes{book: suspect.NewBook()},
		supply:      supply{random: o.Random},
		limits:      o.Limits,
	}
}

// Handle takes one event and returns what is to be done, in order.
func (c *Core) Handle(now time.Time, e Event) []Action {
	switch {
	case e.Arrival != nil:
		return c.arrive(now, e.Arrival)
	case e.Detach != nil:
		return c.detach(now, e.Detach)
	case e.ChunkSent != nil:
		return c.drained(e.ChunkSent)
	case e.Output != nil:
		return c.output(e.Output)
	case e.Result != nil:
		return c.result(now, e.Result)
	case e.Report != nil:
		return c.report(now, e.Report)
	case e.Message != nil && e.Message.Handover != nil:
		return c.takeOver(now, e.Message.Handover)
	case e.HandoverReply != nil:
		return c.delivered(now, e.HandoverReply)
	case e.Message != nil:
		return c.hear(now, e.Message)
	case e.Group != nil:
		return c.reportGroup(now, e.Group)
	case e.Done != nil:
		return c.doneGroup(now, e.Done)
	case e.Configuration != nil:
		return c.configure(now, e.Configuration)
	case e.Stop != nil:
		return c.stop(now)
	case e.Tick != nil:
		return c.tick(now)
	}
	return nil
}

// Incarnation returns the random number of this core.
func (c *Core) Incarnation() uint64 {
	return c.incarnation
}

// Ready reports whether the slot takes new work.
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

// NextHeartbeat returns the next heartbeat.
func (c *Core) NextHeartbeat(now time.Time) membership.Heartbeat {
	c.sequence++
	verdicts := c.book.Report(now)
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
	// Known is the number of requests that are kept, finished ones included.
	Known int `json:"known"`
	// Power is the target's part of the site's cap, or nil when nothing is limited.
	Power *power.Status `json:"power,omitempty"`
}

// Status returns a summary for operators.
func (c *Core) Status(now time.Time) Status {
	return Status{
		Name: c.name, Incarnation: c.incarnation, State: c.state, Revision: c.Revision(),
		Running: c.running, Queued: c.queue.Len(), Known: len(c.jobs), Power: c.powerStatus(now),
	}
}

// signal moves the target along its chart and returns the audit action of a change.
func (c *Core) signal(s chart.Signal) []Action {
	next, err := membership.Chart.Next(c.state, s)
	if err != nil || next == c.state {
		return nil
	}
	c.state = next
	return []Action{{Audit: &Audit{Kind: "target", Attributes: []any{"target", c.name, "state", next}}}}
}

// configure puts a newer revision in force.
func (c *Core) configure(now time.Time, next *configuration.Configuration) []Action {
	if next.Revision <= c.Revision() {
		return nil
	}
	c.configuration = next
	if t, ok := next.Target(c.name); ok {
		c.target = t
	}
	c.plan(now)
	c.join(now)
	return append(c.open(), c.admit(now)...)
}

// report takes in the engine's load report.
func (c *Core) report(now time.Time, r *Report) []Action {
	c.alive = r.Alive && c.revived()
	c.prefixes = r.Prefixes
	c.reported = r.Running
	if !c.alive && c.state == membership.StateServing {
		return c.signal("lost")
	}
	return append(c.open(), c.admit(now)...)
}

// open starts service once both the configuration and the engine are there.
func (c *Core) open() []Action {
	if c.target.Width == 0 || !c.alive {
		return nil
	}
	return c.signal("ready")
}

// stop begins a graceful shutdown.
func (c *Core) stop(now time.Time) []Action {
	if c.announced.IsZero() {
		c.announced = now
	}
	actions := append(c.signal("stop"), c.leaveRecords(now)...)
	return append(actions, c.settle(now)...)
}

// settle lets a leaving slot exit once nothing is in progress and entries know.
func (c *Core) settle(now time.Time) []Action {
	if c.state != membership.StateLeaving || c.running > 0 || c.queue.Len() > 0 || c.viewed() || c.handing() {
		return nil
	}
	if now.Sub(c.announced) < c.limits.AnnounceTime {
		return nil
	}
	return append(c.signal("empty"), Action{Exit: &Exit{}})
}

// tick acts on what has become due.
func (c *Core) tick(now time.Time) []Action {
	actions := c.expire(now)
	actions = append(actions, c.admit(now)...)
	actions = append(actions, c.handOver(now)...)
	actions = append(actions, c.lend(now)...)
	actions = append(actions, c.tickGroup(now)...)
	return append(actions, c.settle(now)...)
}
