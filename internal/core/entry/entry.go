// Package entry is the deterministic core of an entry: events come in with the present time, actions go out.
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

var life = chart.MustParse(requestChart)

// Core decides for one entry. It is not safe for concurrent use.
type Core struct {
	// name and centre identify the entry.
	name, centre string
	// configuration is nil until the first revision was accepted.
	configuration *configuration.Configuration
	// view holds the heartbeats of watched targets.
	view *membership.View
	// picker chooses targets.
	picker *route.Picker
	// exchanges holds the requests in progress by ID.
	exchanges map[string]*exchange
	// flight counts this entry's requests in progress by target.
	flight map[string]int
	// choices holds the targets that this entry chooses from, by pool.
	choices map[string][]configuration.Target
	// recent holds when this entry's requests in progress were sent, by target and ID.
	recent map[string]map[string]time.Time
	// gossip chooses what other entries are told.
	gossip *membership.Gossip
	// failed holds the entries that did not answer last.
	failed map[string]bool
	// silent holds the watched targets whose silence was recorded.
	silent map[string]bool
	// subset is the set of targets that is watched first-hand.
	subset membership.Subset
	// beat and silence are as configured.
	beat, silence time.Duration
	// last is the time of the newest event.
	last time.Time
	// heirs holds the successors of homes that left by the homes' incarnation.
	heirs map[uint64]heir
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
	// Random is the source of chance; it must not be shared.
	Random *rand.Rand
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the age of the newest heartbeat at which a target counts as lost; zero means several beats.
	HeartbeatTimeout time.Duration
	// Drain is the time after a stop in which new requests are still served.
	Drain time.Duration
}

// New returns a core that knows no configuration yet.
func New(o Options) *Core {
	silence := cmp.Or(o.HeartbeatTimeout, silentBeats*o.HeartbeatInterval)
	view := membership.NewView(membership.Options{Silence: silence, Relayed: relayedSilence})
	return &Core{
		name:      o.Name,
		centre:    o.Centre,
		view:      view,
		gossip:    membership.NewGossip(view),
		failed:    map[string]bool{},
		silent:    map[string]bool{},
		beat:      o.HeartbeatInterval,
		silence:   silence,
		shutdown:  shutdown{drain: o.Drain},
		picker:    route.NewPicker(route.Options{Random: o.Random}),
		retries:   newRetries(o.Random),
		limits:    newLimits(),
		exchanges: map[string]*exchange{},
		flight:    map[string]int{},
		recent:    map[string]map[string]time.Time{},
		heirs:     map[uint64]heir{},
		crashes:   crashes{book: suspect.NewBook(), spread: silence / 2},
	}
}

// Handle takes one event and returns what is to be done, in order.
func (c *Core) Handle(now time.Time, e Event) []Action {
	c.pulse(now)
	switch {
	case e.Arrival != nil:
		return honest(e.Arrival, c.arrive(now, e.Arrival))
	case e.Chunk != nil:
		return c.receive(now, e.Chunk)
	case e.ConnectionLost != nil:
		return c.interrupt(now, e.ConnectionLost)
	case e.CallerGone != nil:
		return c.abandon(e.CallerGone)
	case e.Heartbeat != nil:
		return c.hear(now, *e.Heartbeat)
	case e.Configuration != nil:
		return c.configure(e.Configuration)
	case e.Digest != nil:
		return c.merge(now, e.Digest)
	case e.Hint != nil:
		c.hint(now, *e.Hint)
	case e.PeerStatus != nil:
		return c.judge(e.PeerStatus)
	case e.Stop != nil:
		return c.stop(now)
	case e.Tick != nil:
		return c.tick(now)
	}
	return nil
}

// Ready reports whether the entry can serve callers.
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

// TargetStatus is what an entry knows of a target.
type TargetStatus struct {
	// Name is the target's name.
	Name string `json:"name"`
	// Centre is the target's data centre.
	Centre string `json:"centre"`
	// State is the target's state as of now.
	State chart.State `json:"state"`
	// Running and Queued are from the newest heartbeat.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Own is the number of this entry's requests at the target.
	Own int `json:"own"`
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
			Running: m.Running, Queued: m.Queued, Own: c.flight[t.Name],
		})
	}
	return s
}
