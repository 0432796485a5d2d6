// Package entryd runs an entry's core as a process between callers and slots.
package entryd

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// tickInterval is the time between two ticks of the core.
const tickInterval = 20 * time.Millisecond

// Process runs one entry.
type Process struct {
	*node.Node
	// exit is closed when the core has nothing in progress after a stop.
	exit chan struct{}
	// ctx ends with the process and bounds all attempts and heartbeat streams.
	ctx     context.Context
	metrics *processMetrics

	// mu guards the fields below.
	mu   sync.Mutex
	core *entry.Core
	// replies holds the open requests by ID.
	replies map[string]*reply
	// attempts holds the latest attempt of each request by ID.
	attempts map[string]attempt
	// watches holds the cancel functions of the heartbeat streams by address.
	watches map[netip.AddrPort]context.CancelFunc
	// wantedInterval is the time between heartbeats that the core asked for.
	wantedInterval time.Duration
	// exited is set once exit is closed.
	exited bool
}

// attempt holds the number and the cancel function of an attempt in progress.
type attempt struct {
	number int
	cancel context.CancelFunc
}

// Options are the inputs of New.
type Options struct {
	node.Options
	// Random is the random source; it must not be shared.
	Random *rand.Rand
}

// New returns a Process; Run starts it.
func New(o Options) *Process {
	n := node.New(o.Options)
	return &Process{
		Node:    n,
		exit:    make(chan struct{}),
		metrics: newProcessMetrics(n.Metrics),
		core: entry.New(entry.Options{
			Name: o.Settings.Name, Centre: o.Settings.Centre, Random: o.Random,
			HeartbeatInterval: time.Duration(o.Settings.Beat), DrainTime: time.Duration(o.Settings.Drain),
		}),
		replies:  map[string]*reply{},
		attempts: map[string]attempt{},
		watches:  map[netip.AddrPort]context.CancelFunc{},
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
	callers, err := p.Listen(p.Settings.Callers)
	if err != nil {
		return err
	}
	if err := message.DRPCRegisterEntry(p.Mux, &server{process: p}); err != nil {
		return err
	}
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return p.ServePeers(work, peers) })
	group.Go(func() error { return p.ServeHTTP(work, operators, p.OperatorHandler(p.probes())) })
	group.Go(func() error { return p.ServeHTTP(work, callers, p.closeWhenStopping(p.callerHandler())) })
	group.Go(func() error { p.Follow(work, p.applyConfiguration); return nil })
	group.Go(func() error { node.Every(work, tickInterval, p.tick); return nil })
	group.Go(func() error { p.exchangeDigests(work); return nil })
	group.Go(func() error { p.reportDemands(work); return nil })
	group.Go(func() error { p.FollowLeavingInstances(work, p.reportLeaving); return nil })
	group.Go(func() error {
		defer cancel()
		return p.awaitStop(ctx, work)
	})
	p.Log.Info("start", "role", "entry")
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

func (p *Process) status() entry.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Status(p.Now())
}

func (p *Process) applyConfiguration(c *configuration.Configuration) {
	p.handle(entry.Event{Configuration: c})
}

func (p *Process) tick() {
	p.handle(entry.Event{Tick: &entry.Tick{}})
}

// handle passes an event to the core and performs the actions that it returns.
func (p *Process) handle(e entry.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.core.Handle(p.Now(), e) {
		p.perform(a)
	}
}

// perform carries out one action. It must not block, because mu is held.
func (p *Process) perform(a entry.Action) {
	switch {
	case a.Send != nil:
		p.startAttempt(a.Send)
	case a.Cancel != nil:
		if t, ok := p.attempts[a.Cancel.ID]; ok && t.number == a.Cancel.Attempt {
			t.cancel()
		}
	case a.Forward != nil:
		if r := p.replies[a.Forward.ID]; r != nil {
			r.push(replyPart{forward: a.Forward})
		}
	case a.Finish != nil:
		if r := p.replies[a.Finish.ID]; r != nil {
			r.push(replyPart{finish: a.Finish})
		}
	case a.Watch != nil:
		p.updateWatches(a.Watch)
	case a.Audit != nil:
		p.Trail.Record(p.Now(), a.Audit.Kind, a.Audit.Attributes...)
	case a.Exit != nil && !p.exited:
		p.exited = true
		close(p.exit)
	}
}
