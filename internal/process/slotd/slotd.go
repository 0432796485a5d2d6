// Package slotd runs a slot's core as a process next to its engine.
package slotd

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflydeal/dragonflydeal/internal/base/chart"
	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// tickInterval is the time between two ticks of the core.
const tickInterval = 20 * time.Millisecond

// Process runs one slot.
type Process struct {
	*node.Node
	// engineClient reads the engine's state and sends orders, over connections that are reused.
	engineClient *http.Client
	// runClient sends requests to the engine, each over a new connection, because an idle one may have been lost unnoticed.
	runClient *http.Client
	// exit is closed when the core has nothing in progress after a stop.
	exit    chan struct{}
	metrics *processMetrics

	// mu guards the fields below, except ctx.
	mu   sync.Mutex
	core *slot.Core
	// streams holds the open answer streams by number.
	streams map[uint64]*stream
	// runs holds the cancel functions of running requests by ID.
	runs map[string]context.CancelFunc
	// stateChanged is closed at the next change of state; nil if nobody waits for one.
	stateChanged chan struct{}
	// announcedState is the target's state as last announced to the heartbeat streams.
	announcedState chart.State
	// lastStream is the number of the latest stream.
	lastStream uint64
	// exited is set once exit is closed.
	exited bool
	// ctx ends with the process and bounds all calls of the engine and of other slots.
	ctx context.Context
}

// Options are the inputs of New.
type Options struct {
	node.Options
	// Random is the random source; it must not be shared.
	Random *rand.Rand
}

// New returns a Process; Run starts it.
func New(o Options) *Process {
	limits := slot.DefaultLimits
	limits.MinAnnounceTime = time.Duration(o.Settings.Drain)
	n := node.New(o.Options)
	return &Process{
		Node:         n,
		metrics:      newProcessMetrics(n.Metrics),
		engineClient: newClient(true),
		runClient:    newClient(false),
		exit:         make(chan struct{}),
		core:         slot.New(slot.Options{Name: o.Settings.Name, Random: o.Random, Limits: limits}),
		streams:      map[uint64]*stream{},
		runs:         map[string]context.CancelFunc{},
	}
}

// Run serves until the context ends and the requests in progress have finished.
func (p *Process) Run(ctx context.Context) (err error) {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p.ctx = work
	peers, err := p.Listen(p.Settings.Listen)
	if err != nil {
		return err
	}
	operators, err := p.Listen(p.Settings.Operators)
	if err != nil {
		return err
	}
	if err := message.DRPCRegisterSlot(p.Mux, &server{process: p}); err != nil {
		return err
	}
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return p.ServePeers(work, peers) })
	group.Go(func() error { return p.ServeHTTP(work, operators, p.OperatorHandler(p.probes())) })
	group.Go(func() error { p.Follow(work, p.applyConfiguration); return nil })
	group.Go(func() error { node.Every(work, tickInterval, p.tick); return nil })
	group.Go(func() error { node.Every(work, pollInterval, func() { p.pollLoad(work) }); return nil })
	group.Go(func() error { node.Every(work, groupInterval, func() { p.readGroup(work) }); return nil })
	group.Go(func() error {
		defer cancel()
		return p.awaitStop(ctx, work)
	})
	p.Log.Info("start", "role", "slot", "incarnation", p.core.Incarnation())
	return group.Wait()
}

func (p *Process) probes() node.Probes {
	return node.Probes{
		Ready: func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.core.Ready()
		},
		Status: func() any { return p.status() },
	}
}

func (p *Process) status() slot.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Status(p.Now())
}

func (p *Process) applyConfiguration(c *configuration.Configuration) {
	p.handle(slot.Event{Configuration: c})
}

func (p *Process) tick() {
	p.handle(slot.Event{Tick: &slot.Tick{}})
}

// handle passes an event to the core and performs the actions that it returns.
func (p *Process) handle(e slot.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.core.Handle(p.Now(), e) {
		p.perform(a)
	}
	p.notifyStateChange()
}

// perform carries out one action. It must not block, because mu is held.
func (p *Process) perform(a slot.Action) {
	switch {
	case a.Run != nil:
		ctx, cancel := context.WithCancel(p.ctx)
		p.runs[a.Run.ID] = cancel
		go p.run(ctx, a.Run)
	case a.Abort != nil:
		if cancel := p.runs[a.Abort.ID]; cancel != nil {
			cancel()
		}
	case a.Chunk != nil:
		if s := p.streams[a.Chunk.Stream]; s != nil {
			s.push(a.Chunk.Chunk)
		}
	case a.Deliver != nil:
		p.sendMessage(a.Deliver)
	case a.Order != nil:
		p.runOrder(a.Order)
	case a.Audit != nil:
		p.Trail.Record(p.Now(), a.Audit.Kind, a.Audit.Attributes...)
	case a.Exit != nil && !p.exited:
		p.exited = true
		close(p.exit)
	}
}
