// Package sidecar runs the slot beside an engine on a site whose platform owns the inventory:
// it switches the expert map of the engine's rank together with the other slots of the group.
package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/load"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// restInterval is the time between two reports of the engine while nothing is in progress.
	restInterval = 100 * time.Millisecond
	// countInterval is the time between two readings of the chosen experts; the engine gives them away on its own machine.
	countInterval = 100 * time.Millisecond
	// busyInterval is the same during a switch.
	busyInterval = 40 * time.Millisecond
	// engineTimeout bounds a read of the engine, which is on the same machine.
	engineTimeout = 400 * time.Millisecond
	// orderTimeout is the time after which the outcome of an order counts as unknown: an engine on the same machine
	// answers in milliseconds, and the group may stand while an order is repeated.
	orderTimeout = 80 * time.Millisecond
	// readTimeout bounds a read of the configuration, and readPause the time between two.
	readTimeout = 2 * time.Second
	readPause   = 15 * time.Second
	// retryPause is the time before a failed read is tried again.
	retryPause = time.Second
)

// Engine is the engine beside the slot.
type Engine struct {
	// Report reads the engine's state.
	Report func(ctx context.Context) (hold.Engine, error)
	// Counts reads which experts its requests chose, and Experts those that its rank holds.
	Counts  func(ctx context.Context) (hold.Counts, error)
	Experts func(ctx context.Context) (hold.RankExperts, error)
	// Order gives an order. With an error, the outcome is unknown.
	Order func(ctx context.Context, o *hold.Order) (refused bool, err error)
}

// Options are the inputs of New.
type Options struct {
	Settings *site.Settings
	Engine   Engine
	// Configuration reads the configuration, which may be old or nil.
	Configuration func(ctx context.Context) (*site.Configuration, error)
	Log           *slog.Logger
	// Incarnation is chosen at random.
	Incarnation uint64
	// Now returns the present time.
	Now func() time.Time
}

// Process is one slot.
type Process struct {
	Options
	set    *metrics.Set
	counts *counts
	// settings are those in force.
	settings atomic.Pointer[site.Settings]
	socket   *datagram.Socket
	// transmit sends news to other processes; it is the socket's once the slot runs.
	transmit func(n *message.News, addresses []netip.AddrPort) error
	// wake ends the wait of the engine's loop; it has room for one.
	wake chan struct{}

	mu sync.Mutex
	// core, mesh, planner and the fields below are guarded by mu.
	core    *hold.Core
	mesh    *mesh.Mesh
	planner *load.Planner
	// tally turns the engine's counts into what is new, for the lead.
	tally    load.Tally
	sequence uint64
	// experts is nil until the configuration was read.
	experts *site.Experts
	// held are the experts of the own rank in heldEpoch.
	held      hold.RankExperts
	heldEpoch uint64
	// ranks holds the newest state of each slot by its address.
	ranks map[netip.AddrPort]hold.State
	// introduced is when the entries were told of this slot, and counted when the lead was told the counts.
	introduced, counted time.Time
	// called, stated and seek limit what is told to the ranks, to the lead and to all slots.
	called pace[call]
	stated pace[hold.State]
	seek   pace[struct{}]
	// link limits whole attempts; wholes holds when one was sent to each slot.
	link   *rate.Limiter
	wholes map[netip.AddrPort]time.Time
}

// New returns a Process that does not run yet.
func New(o Options) *Process {
	set := metrics.NewSet()
	p := &Process{
		Options: o, set: set, counts: newCounts(set), wake: make(chan struct{}, 1), core: hold.New(o.Now(), o.Incarnation),
		ranks: map[netip.AddrPort]hold.State{}, wholes: map[netip.AddrPort]time.Time{}, link: rate.NewLimiter(attemptRate, attemptBurst),
		mesh: mesh.New(o.Settings.Peers, o.Settings.Seeds),
	}
	p.settings.Store(o.Settings)
	return p
}

// Reload puts changed settings in force, or returns why they cannot be.
func (p *Process) Reload(s *site.Settings) error {
	if err := p.settings.Load().CheckReload(s); err != nil {
		return err
	}
	p.settings.Store(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mesh.SetSeeds(s.Seeds)
	return nil
}

// Run serves until the context ends.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "slot")
		}
	}()
	if p.socket, err = datagram.Listen(p.settings.Load().Peers); err != nil {
		return err
	}
	p.transmit = p.socket.Send
	group, ctx := errgroup.WithContext(ctx)
	if err := p.serveOperators(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return p.socket.Receive(ctx, p.hear, p.reject) })
	group.Go(func() error { p.followEngine(ctx); return nil })
	group.Go(func() error { p.readConfiguration(ctx); return nil })
	p.Log.Info("start", "role", "slot", "centre", p.settings.Load().Centre, "engine", p.settings.Load().Engine, "incarnation", p.Incarnation)
	err = group.Wait()
	p.Log.Info("stop", "error", err)
	return err
}

func (p *Process) serveOperators(ctx context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp4", p.settings.Load().Metrics.String())
	if err != nil {
		return merry.Prependf(err, "listen on %s", p.settings.Load().Metrics)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.set)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		if err := server.Serve(l); ctx.Err() == nil {
			return err
		}
		return nil
	})
	return nil
}

// readConfiguration keeps what is known of the group's experts up to date; it may be old.
func (p *Process) readConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryPause
		c, err := p.readOnce(ctx)
		if err != nil {
			p.Log.Warn("store lost", "error", err)
		}
		if err == nil && c != nil {
			wait = readPause
			p.accept(c)
		}
		node.Pause(ctx, wait)
	}
}

func (p *Process) readOnce(ctx context.Context) (*site.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.Configuration(ctx)
}

func (p *Process) accept(c *site.Configuration) {
	service := c.Services[p.settings.Load().Service]
	if !service.Grouped() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.experts != nil && *p.experts == service.Experts {
		return
	}
	p.experts = &service.Experts
	p.planner = load.NewPlanner(service.Experts)
	p.keep()
	p.Log.Info("configuration in force", "version", c.Version, "sets", service.Experts.Sets, "experts", service.Experts.Count)
}

// counts are the metrics of the process.
type counts struct {
	// orders counts orders by kind and outcome, switches the attempts of this lead by end.
	orders, switches *metrics.Counter
	// datagrams counts lost and useless datagrams.
	datagrams *metrics.Counter
	// order is the time of an order.
	order *metrics.Histogram
}

func newCounts(s *metrics.Set) *counts {
	return &counts{
		orders: s.Counter("orders"), switches: s.Counter("switches"), datagrams: s.Counter("datagrams"), order: s.Histogram("order"),
	}
}

// reject counts a datagram that cannot be read.
func (p *Process) reject(err error) {
	p.counts.datagrams.With("event", "unreadable").Add(1)
	p.Log.Warn("datagram dropped", "error", err)
}
