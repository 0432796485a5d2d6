// Package gateway runs an entry on a site whose platform owns the inventory. It calls the targets directly.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflydeal/dragonflydeal/internal/base/boottime"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/link"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

const (
	// tickInterval is the interval at which waiting requests are admitted or refused.
	tickInterval = 15 * time.Millisecond
	// headerTimeout, headerSize and idleTimeout limit a caller's connection before and between requests.
	// They are above the largest limits that operators set.
	headerTimeout = 10 * time.Second
	headerSize    = 32 << 10
	idleTimeout   = 2 * time.Minute
	// pauseThreshold is the time between two checks from which the process counts as paused, as on a suspended machine.
	pauseThreshold = 500 * time.Millisecond
	// catchUpTime is the time after a start or a pause in which the process reads what it has missed before it sends requests.
	catchUpTime = 50 * time.Millisecond
)

// Codec converts between the HTTP messages of callers and targets and the gateway's own types.
type Codec struct {
	// DecodeCall decodes a caller's request and reads its body, which may be up to limit bytes long.
	DecodeCall func(r *http.Request, limit int64) (*call.Call, error)
	// DecodeKey decodes the API key of a caller's request, whose body is not read yet.
	DecodeKey func(r *http.Request) string
	// NewRequest encodes an attempt as the request to its target.
	NewRequest func(ctx context.Context, c *call.Call, a *call.Attempt) (*http.Request, error)
	// DecodeAnswer decodes the status and headers of a target's answer.
	DecodeAnswer func(c *call.Call, r *http.Response) *call.Answer
	// SetAttemptID sets the header with the request's ID on an answer that the gateway makes itself.
	SetAttemptID func(h http.Header, id string)
}

// Store reads the platform's store.
type Store struct {
	// Configuration reads the latest configuration; it is nil if none was written yet.
	Configuration func(ctx context.Context) (*site.Configuration, error)
	// Changes returns the changes after a revision; if there are none, it waits for one, at most as long as wait.
	Changes func(ctx context.Context, after int64, wait time.Duration) (site.Changes, error)
	// StaleConfiguration reads a configuration that may be some seconds old, at a lower cost.
	StaleConfiguration func(ctx context.Context) (*site.Configuration, error)
	// Targets lists the records of targets and returns the store's revision.
	Targets func(ctx context.Context) ([]site.TargetRecord, int64, error)
	// Evacuations lists the keys of the evacuated data centres. It is called only if the settings have a time for evacuations.
	Evacuations func(ctx context.Context) ([]site.Evacuation, error)
	// Decode decodes a configuration from its Source.
	Decode func(source []byte) (*site.Configuration, error)
	// Close closes idle connections.
	Close func()
}

// Options are the inputs of New.
type Options struct {
	Settings *site.Settings
	Codec    Codec
	Store    Store
	Log      *slog.Logger
	// Random is the random source; it must not be shared.
	Random *rand.Rand
	// Now returns the current time.
	Now func() time.Time
	// Boot is a clock that keeps running while the machine is suspended.
	Boot *boottime.Clock
	// Reachable reports whether datagrams to an address are sent; nil means always. Tests use it to cut entries off.
	Reachable func(address netip.AddrPort) bool
}

// Process is an entry that serves callers.
type Process struct {
	Options
	metrics   *processMetrics
	metricSet *metrics.Set
	transport *transport.Transport
	memory    buffers
	socket    *datagram.Socket
	started   time.Time
	// settings are the current settings; Reload replaces them.
	settings atomic.Pointer[site.Settings]
	// configuration is nil until the first read succeeds.
	configuration atomic.Pointer[site.Configuration]
	// confirmedAt is the time on the Boot clock at which the configuration was last known to be the latest; negative if
	// never.
	confirmedAt atomic.Int64
	// encoded is the form in which the latest configuration was sent to another entry; nil if none was.
	encoded atomic.Pointer[revision.Patch]
	links   *link.Pool
	// stopping is set at the signal to stop, rejecting once new requests are refused.
	stopping, rejecting atomic.Bool
	// incarnation identifies this run of the process in datagrams.
	incarnation uint64
	// awakeAt is when the process last checked for a pause, and resumedAt when it last started or resumed, on the Boot clock.
	awakeAt, resumedAt atomic.Int64

	// storeNews ends the wait of followStore; it buffers one signal.
	storeNews chan struct{}

	// mu guards Random and the fields below. The maps with string keys are keyed by service.
	mu       sync.Mutex
	registry *target.Registry
	peers
	// targetsAt is the time on the Boot clock as of which the targets are known; negative if never. wantedVersion is the
	// latest version of the configuration of which a relay has told.
	targetsAt     time.Duration
	wantedVersion int64
	source        configurationSource
	// blind is set from a failed read of the store until one succeeds.
	blind      bool
	estimators map[string]*seat.Estimator
	queues     map[string]*seat.Queue
	// arrivals estimates the rate of the callers' requests.
	arrivals map[string]*target.Arrivals
	// firstTries estimates the rate of those whose callers have not returned.
	firstTries map[string]*target.Arrivals
	// reservedSeats counts the requests that have a seat but no target yet.
	reservedSeats map[string]int
	// suspects holds the runs that ended without an answer, to find requests that end their targets.
	suspects *suspect.Tracker
	// exclusive holds the fingerprints of suspected requests in progress.
	exclusive map[uint64]bool
	limits
	groups
	retries
	ending
}

// New returns a Process; Run starts it.
func New(o Options) *Process {
	set := metrics.NewSet()
	ended, end := context.WithCancel(context.Background())
	p := &Process{
		Options: o, metricSet: set, metrics: newProcessMetrics(set), transport: newTransport(o.Now), memory: newBuffers(o.Settings.Memory), started: o.Now(), incarnation: o.Random.Uint64(),
		registry: target.NewRegistry(), peers: newPeers(&o), targetsAt: -1, storeNews: make(chan struct{}, 1),
		retries: retries{budgets: map[string]*budget.Budget{}}, estimators: map[string]*seat.Estimator{}, queues: map[string]*seat.Queue{}, arrivals: map[string]*target.Arrivals{}, firstTries: map[string]*target.Arrivals{}, reservedSeats: map[string]int{},
		suspects: suspect.NewTracker(), exclusive: map[uint64]bool{}, limits: newLimits(), groups: newGroups(), ending: ending{ended: ended, end: end}, links: newLinks(&o),
	}
	p.confirmedAt.Store(-1)
	now, _ := o.Boot.Now()
	p.awakeAt.Store(int64(now))
	p.resumedAt.Store(int64(now))
	p.settings.Store(o.Settings)
	return p
}

// Run serves until the context ends and the requests in progress have finished.
func (p *Process) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "entry")
		}
	}()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if p.socket, err = datagram.Listen(p.settings.Load().Peers); err != nil {
		return err
	}
	p.socket.Reachable = p.Reachable
	group, work := errgroup.WithContext(work)
	if err := p.serveConfiguration(work, group); err != nil {
		return err
	}
	callers := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerSize}
	if p.settings.Load().Memory > 0 {
		callers.ConnContext = boundConnection
	}
	ready := &http.Server{Handler: http.HandlerFunc(p.ready), ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{Handler: p.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	for _, v := range []struct {
		server  *http.Server
		address netip.AddrPort
	}{{callers, p.settings.Load().Callers}, {ready, p.settings.Load().Ready}, {operators, p.settings.Load().Control}, {operators, p.settings.Load().Metrics}} {
		if !v.address.IsValid() {
			continue
		}
		if err := p.listen(work, group, v.server, v.address); err != nil {
			return err
		}
	}
	group.Go(func() error { return p.socket.Receive(work, p.receive, p.rejectDatagram) })
	group.Go(func() error { p.followStore(work); return nil })
	group.Go(func() error { p.exchange(work); return nil })
	group.Go(func() error { node.Every(work, tickInterval, p.tick); return nil })
	group.Go(func() error { return p.awaitStop(ctx, work, callers, cancel) })
	p.Log.Info("start", "role", "entry", "centre", p.settings.Load().Centre, "incarnation", p.incarnation)
	return group.Wait()
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
	for _, b := range p.budgets {
		b.RetryBound = s.Retries
	}
	return nil
}

// listen serves HTTP at an address until the context ends.
func (p *Process) listen(ctx context.Context, group *errgroup.Group, server *http.Server, address netip.AddrPort) error {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return merry.Prependf(err, "listen on %s", address)
	}
	server.ErrorLog = slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug)
	group.Go(func() error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(l)
		if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return nil
}

// awaitCatchUp waits if the process has just started or was paused, until it has read what it has missed.
func (p *Process) awaitCatchUp(ctx context.Context) {
	now, ok := p.Boot.Now()
	if !ok {
		return
	}
	wait := time.Duration(p.resumedAt.Load()) + catchUpTime - now
	if now-time.Duration(p.awakeAt.Load()) >= pauseThreshold {
		wait = catchUpTime
	}
	if wait > 0 {
		node.Pause(ctx, wait)
	}
	p.awaitEvacuations(ctx)
}

// detectPause records that the process runs, and reports whether it was paused since the previous call, minSendInterval ago.
func (p *Process) detectPause() bool {
	now, ok := p.Boot.Now()
	if !ok {
		return false
	}
	paused := now - time.Duration(p.awakeAt.Swap(int64(now)))
	if paused < pauseThreshold {
		return false
	}
	p.resumedAt.Store(int64(now))
	p.Log.Info("resumed", "paused", paused)
	return true
}

// tick admits or refuses waiting requests.
func (p *Process) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateStalls(p.Now())
	for service, queue := range p.queues {
		if queue.Waiting() > 0 {
			p.admitWaiting(service, queue)
		}
	}
}
