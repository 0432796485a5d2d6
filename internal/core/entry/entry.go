// Package entry implements the deterministic core of an entry, the process that sends callers' requests to the slots of
// targets. The core takes events with the current time and returns actions.
package entry

import (
	"cmp"
	_ "embed"
	"math/rand/v2"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/route"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

//go:embed request.chart
var requestChart []byte

var requestLifecycle = chart.MustParse(requestChart)

// Core is the state machine of one entry. It is not safe for concurrent use.
type Core struct {
	// name and centre identify the entry.
	name, centre string
	// configuration is nil until the first revision was accepted.
	configuration *configuration.Configuration
	// view holds the latest heartbeats of the targets.
	view *membership.View
	// picker chooses targets.
	picker *route.Picker
	// exchanges holds the requests in progress by ID.
	exchanges map[string]*exchange
	// inFlight counts this entry's requests in progress by target.
	inFlight map[string]int
	// candidatesByPool holds the targets that this entry sends requests to, by pool.
	candidatesByPool map[string][]configuration.Target
	// sentAt holds the send times of this entry's requests in progress, by target and ID.
	sentAt map[string]map[string]time.Time
	// gossip selects the reports for the digests to other entries.
	gossip *membership.Gossip
	// unreachablePeers holds the entries that did not answer the latest digest.
	unreachablePeers map[string]bool
	// timedOut holds the watched targets whose heartbeat timeout was already audited.
	timedOut map[string]bool
	// subset is the set of targets whose heartbeats this entry receives first-hand.
	subset membership.Subset
	// heartbeatInterval and heartbeatTimeout are as configured.
	heartbeatInterval, heartbeatTimeout time.Duration
	// lastEvent is the time of the latest event.
	lastEvent time.Time
	// successors holds the successors of leaving homes, by the home's incarnation.
	successors map[uint64]succession
	crashes
	retries
	limits
	shutdown
}

// Options are the inputs of New.
type Options struct {
	// Name is the entry's name in the configuration.
	Name string
	// Centre is the entry's data centre.
	Centre string
	// Random is the random source; it must not be shared.
	Random *rand.Rand
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the age of the latest heartbeat at which a target counts as lost;
	// zero means missedHeartbeats intervals.
	HeartbeatTimeout time.Duration
	// DrainTime is how long an entry still accepts new requests after a stop.
	DrainTime time.Duration
}

// New returns a core without a configuration.
func New(o Options) *Core {
	timeout := cmp.Or(o.HeartbeatTimeout, missedHeartbeats*o.HeartbeatInterval)
	view := membership.NewView(membership.Options{HeartbeatTimeout: timeout, RelayedTimeout: relayedTimeout})
	return &Core{
		name:              o.Name,
		centre:            o.Centre,
		view:              view,
		gossip:            membership.NewGossip(view),
		unreachablePeers:  map[string]bool{},
		timedOut:          map[string]bool{},
		heartbeatInterval: o.HeartbeatInterval,
		heartbeatTimeout:  timeout,
		shutdown:          shutdown{drainTime: o.DrainTime},
		picker:            route.NewPicker(route.Options{Random: o.Random}),
		retries:           newRetries(o.Random),
		limits:            newLimits(),
		exchanges:         map[string]*exchange{},
		inFlight:          map[string]int{},
		sentAt:            map[string]map[string]time.Time{},
		successors:        map[uint64]succession{},
		crashes:           crashes{crashVerdicts: suspect.NewTracker(), verdictSpread: timeout / 2},
	}
}

// Handle processes one event and returns the resulting actions in order.
func (c *Core) Handle(now time.Time, e Event) []Action {
	c.detectPause(now)
	switch {
	case e.Arrival != nil:
		return notRunToUnknown(e.Arrival, c.arrive(now, e.Arrival))
	case e.Chunk != nil:
		return c.handleChunk(now, e.Chunk)
	case e.ConnectionLost != nil:
		return c.handleConnectionLost(now, e.ConnectionLost)
	case e.CallerGone != nil:
		return c.handleCallerGone(e.CallerGone)
	case e.Heartbeat != nil:
		return c.handleHeartbeat(now, *e.Heartbeat)
	case e.Configuration != nil:
		return c.configure(e.Configuration)
	case e.Digest != nil:
		return c.handleDigest(now, e.Digest)
	case e.Hint != nil:
		c.handleHint(now, *e.Hint)
	case e.PeerStatus != nil:
		return c.handlePeerStatus(e.PeerStatus)
	case e.Stop != nil:
		return c.stop(now)
	case e.End != nil:
		return c.end()
	case e.Tick != nil:
		return c.tick(now)
	}
	return nil
}

// Ready reports whether the entry has a configuration and is not stopping.
func (c *Core) Ready() bool {
	return c.configuration != nil && !c.stopping
}

// Stopping reports whether a graceful shutdown has begun.
func (c *Core) Stopping() bool {
	return c.stopping
}

// Revision returns the configuration revision in force, or zero.
func (c *Core) Revision() int64 {
	if c.configuration == nil {
		return 0
	}
	return c.configuration.Revision
}

// Status is a summary of the core for operators.
type Status struct {
	// Name is the entry's name.
	Name string `json:"name"`
	// Revision is the configuration revision in force, or zero.
	Revision int64 `json:"revision"`
	// Stopping is set when a graceful shutdown has begun.
	Stopping bool `json:"stopping"`
	// Requests is the number of requests in progress.
	Requests int `json:"requests"`
	// Targets are the configured targets with their states, in the configured order.
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is a summary of a target as the entry sees it.
type TargetStatus struct {
	// Name is the target's name.
	Name string `json:"name"`
	// Centre is the target's data centre.
	Centre string `json:"centre"`
	// State is the target's current state.
	State chart.State `json:"state"`
	// Running and Queued are from the latest heartbeat.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// OwnInFlight is the number of this entry's requests in progress at the target.
	OwnInFlight int `json:"own"`
}

// Status returns a summary for operators.
func (c *Core) Status(now time.Time) Status {
	s := Status{Name: c.name, Revision: c.Revision(), Stopping: c.stopping, Requests: len(c.exchanges)}
	if c.configuration == nil {
		return s
	}
	for _, t := range c.configuration.Targets {
		m, ok := c.view.Member(now, t.Name)
		if !ok {
			m.State = membership.StateLost
		}
		s.Targets = append(s.Targets, TargetStatus{
			Name: t.Name, Centre: t.Centre, State: m.State,
			Running: m.Running, Queued: m.Queued, OwnInFlight: c.inFlight[t.Name],
		})
	}
	return s
}
