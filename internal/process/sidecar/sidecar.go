// Package sidecar runs the slot next to an engine on a site whose platform owns the inventory.
// It switches the expert map of the engine's rank together with the other slots of the group.
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

	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/load"
	"github.com/dragonflydeal/dragonflydeal/internal/group/patch"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// idleInterval is the time between two reads of the engine's state while no switch is in progress.
	idleInterval = 100 * time.Millisecond
	// countInterval is the time between two reads of how often each expert was chosen. The read is cheap, because the
	// engine is on the same machine.
	countInterval = 100 * time.Millisecond
	// busyInterval is the time between two reads of the engine's state, and between two datagrams of the leader to each
	// rank, during a switch.
	busyInterval = 40 * time.Millisecond
	// engineTimeout bounds a read of the engine, which is on the same machine.
	engineTimeout = 400 * time.Millisecond
	// orderTimeout is the time after which the outcome of an order is treated as unknown. An engine on the same machine
	// answers in milliseconds, and the group may be held while an order is retried.
	orderTimeout = 30 * time.Millisecond
	// configurationTimeout bounds a read of the configuration, and configurationInterval is the time between two reads.
	configurationTimeout  = 2 * time.Second
	configurationInterval = 15 * time.Second
	// retryDelay is the time before a failed read of the configuration is retried.
	retryDelay = time.Second
)

// Engine holds the functions that call the engine next to the slot.
type Engine struct {
	// Report reads the engine's state.
	Report func(ctx context.Context) (hold.Engine, error)
	// Counts reads how often each expert was chosen, and Experts which experts the rank holds.
	Counts  func(ctx context.Context) (hold.Counts, error)
	Experts func(ctx context.Context) (hold.RankExperts, error)
	// Order sends an order to the engine. After an error, the outcome is unknown.
	Order func(ctx context.Context, o *hold.Order) (refused bool, err error)
	// ID reads the ID of the target at the health path of its service.
	ID func(ctx context.Context, healthPath string) (string, error)
}

// Options are the inputs of New.
type Options struct {
	Settings *site.Settings
	Engine   Engine
	// EngineAt returns the functions that call the engine at an address, on another machine. They are called only to end a switch
	// while the slot beside that engine is silent.
	EngineAt func(netip.AddrPort) Engine
	// TargetAddress reads the address under which a target is listed, at which slots of other machines reach the engine; nil if there
	// is none but that of the settings.
	TargetAddress func(ctx context.Context, id string) (netip.AddrPort, error)
	// Configuration reads the configuration, which may be stale or nil.
	Configuration func(ctx context.Context) (*site.Configuration, error)
	Log           *slog.Logger
	// Incarnation identifies this run of the process in datagrams; it is chosen at random.
	Incarnation uint64
	// Now returns the current time.
	Now func() time.Time
}

// Process runs the slot of one engine.
type Process struct {
	Options
	metricSet *metrics.Set
	metrics   *processMetrics
	// settings are the current settings; Reload replaces them.
	settings atomic.Pointer[site.Settings]
	socket   *datagram.Socket
	// transmit sends a datagram to other processes. Run sets it to the socket's Send; tests set their own.
	transmit func(n *message.News, addresses []netip.AddrPort) error
	// wake ends the wait of followEngine; it buffers one signal.
	wake chan struct{}
	// remoteCalls counts the calls in progress at engines of other ranks.
	remoteCalls sync.WaitGroup

	// mu guards the fields below.
	mu   sync.Mutex
	core *hold.Core
	// remoteEngines are the engines of other ranks that the present recovery calls, by address.
	remoteEngines map[netip.AddrPort]Engine
	// remoteErrors holds the latest logged error of each of them.
	remoteErrors map[netip.AddrPort]string
	mesh         *mesh.Mesh
	planner      *load.Planner
	// tally turns the engine's running totals into increments for the leader.
	tally    load.Tally
	sequence uint64
	// paceFilter steadies the engine's pace.
	paceFilter hold.PaceFilter
	identity   identity
	// suspects holds the lost runs that entries have reported, for entries that start when no other entry runs.
	suspects *suspect.Tracker
	// retries keeps what entries have counted of their retries, for the processes that follow them.
	retries *budget.Archive
	// expertConfig describes the group's experts; nil until the configuration was read.
	expertConfig *site.Experts
	// rankExperts are the experts that the own rank holds, as read in rankExpertsEpoch.
	rankExperts      hold.RankExperts
	rankExpertsEpoch uint64
	// rankStates holds the latest state of each other slot by its address, and knownMaps the version of the complete map that
	// it knows, plus one.
	rankStates map[netip.AddrPort]hold.State
	knownMaps  map[netip.AddrPort]uint64
	// slowRanks holds the ranks that are slow, as far as this slot follows them.
	slowRanks map[int]bool
	// currentMap is the complete map in use; its Sets are nil while it is not known.
	currentMap patch.Map
	// unpatchedEpoch is the latest epoch in which a patch did not fit, so that its first map is not as assumed.
	unpatchedEpoch uint64
	// reportedAt is when this slot last announced itself to the relays, and sentCounts when it last sent its counts to the
	// leader.
	reportedAt, sentCounts time.Time
	// sentExperts is when the own rank's experts were last sent to the leader, and sentExpertsMap the version of their map.
	sentExperts    time.Time
	sentExpertsMap uint64
	// searched is the number of slots to which the state was sent while the leader was not known.
	searched int
	// stateThrottleToRanks, stateThrottle and leaderSearchThrottle limit the datagrams with states to the ranks that follow the
	// attempt, to the leader and, while the leader is not known, to other slots.
	stateThrottleToRanks throttle[attemptKey]
	stateThrottle        throttle[hold.State]
	leaderSearchThrottle throttle[struct{}]
	// deputyThrottles limits the datagrams with states to each deputy, and announceThrottle those of a deputy to all slots.
	deputyThrottles  map[netip.AddrPort]throttle[hold.State]
	announceThrottle throttle[struct{}]
	// attemptBandwidth limits the bytes of attempts, and attemptsSent limits those to each slot.
	attemptBandwidth *rate.Limiter
	attemptsSent     map[netip.AddrPort]throttle[attemptKey]
}

// New returns a Process; Run starts it.
func New(o Options) *Process {
	set := metrics.NewSet()
	p := &Process{
		Options: o, metricSet: set, metrics: newProcessMetrics(set), wake: make(chan struct{}, 1), core: hold.New(o.Now(), o.Incarnation),
		rankStates: map[netip.AddrPort]hold.State{}, knownMaps: map[netip.AddrPort]uint64{}, slowRanks: map[int]bool{}, attemptsSent: map[netip.AddrPort]throttle[attemptKey]{},
		deputyThrottles: map[netip.AddrPort]throttle[hold.State]{}, remoteEngines: map[netip.AddrPort]Engine{}, remoteErrors: map[netip.AddrPort]string{},
		attemptBandwidth: rate.NewLimiter(rate.Limit(attemptLinkShare*linkRate(o.Settings)), attemptBurst),
		mesh:             mesh.New(mesh.Peer{Address: o.Settings.Peers, Centre: o.Settings.Centre, Slot: true}, relaySilence, o.Settings.Seeds),
		suspects:         suspect.NewTracker(),
		retries:          budget.NewArchive(),
	}
	p.settings.Store(o.Settings)
	p.core.SetEngineAddress(reachableEngine(o.Settings))
	return p
}

// Reload applies changed settings. It returns an error if a setting changed that needs a restart.
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
	if err := p.serveMetrics(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return p.socket.Receive(ctx, p.receive, p.rejectDatagram) })
	group.Go(func() error { p.followEngine(ctx); return nil })
	group.Go(func() error { p.repeatStates(ctx); return nil })
	group.Go(func() error { p.followConfiguration(ctx); return nil })
	p.Log.Info("start", "role", "slot", "centre", p.settings.Load().Centre, "engine", p.settings.Load().Engine, "incarnation", p.Incarnation)
	err = group.Wait()
	p.remoteCalls.Wait()
	p.Log.Info("stop", "error", err)
	return err
}

func (p *Process) serveMetrics(ctx context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp4", p.settings.Load().Metrics.String())
	if err != nil {
		return merry.Prependf(err, "listen on %s", p.settings.Load().Metrics)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metricSet)
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

// followConfiguration keeps the description of the group's experts up to date; a stale one is good enough.
func (p *Process) followConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryDelay
		c, err := p.readConfiguration(ctx)
		if err != nil {
			p.Log.Warn("store lost", "error", err)
		}
		if err == nil && c != nil {
			wait = configurationInterval
			p.applyConfiguration(c)
		}
		node.Pause(ctx, wait)
	}
}

func (p *Process) readConfiguration(ctx context.Context) (*site.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	return p.Configuration(ctx)
}

func (p *Process) applyConfiguration(c *site.Configuration) {
	service := c.Services[p.settings.Load().Service]
	if !service.Grouped() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.identity.healthPath = service.HealthPath
	if p.expertConfig != nil && *p.expertConfig == service.Experts {
		return
	}
	p.expertConfig = &service.Experts
	p.planner = load.NewPlanner(service.Experts)
	p.setNoOpMap()
	p.Log.Info("configuration in force", "version", c.Version, "sets", service.Experts.Sets, "experts", service.Experts.Count)
}

// processMetrics are the metrics of a slot.
type processMetrics struct {
	// orders counts orders by kind and outcome, and switches the events of switches by kind.
	orders, switches *metrics.Counter
	// remote counts calls at engines of other ranks by kind and outcome.
	remote *metrics.Counter
	// datagrams counts datagrams that were not sent, could not be decoded or were out of date.
	datagrams *metrics.Counter
	// paces counts how often a rank became slow, and of usual pace again.
	paces *metrics.Counter
	// orderTime is the duration of an order, also of one without an answer.
	orderTime *metrics.Histogram
}

func newProcessMetrics(s *metrics.Set) *processMetrics {
	return &processMetrics{
		orders: s.Counter("orders"), remote: s.Counter("remote"), switches: s.Counter("switches"), datagrams: s.Counter("datagrams"), paces: s.Counter("paces"), orderTime: s.Histogram("order"),
	}
}

// rejectDatagram counts and logs a datagram that cannot be decoded.
func (p *Process) rejectDatagram(err error) {
	p.metrics.datagrams.With("event", "unreadable").Add(1)
	p.Log.Warn("datagram dropped", "error", err)
}
