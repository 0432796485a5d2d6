// Package gateway runs an entry on a site whose platform owns the inventory: it calls the targets itself.
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
	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/metrics"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
)

const (
	// tickInterval is the time between two looks at the line of waiting requests.
	tickInterval = 15 * time.Millisecond
	// headerTimeout, headerSize and idleTimeout bound what a caller may do before and between requests;
	// they are above the largest limits that operators set.
	headerTimeout = 10 * time.Second
	headerSize    = 32 << 10
	idleTimeout   = 2 * time.Minute
)

// Codec translates between callers, targets and the gateway.
type Codec struct {
	// DecodeCall decodes a request and reads its body up to a limit.
	DecodeCall func(r *http.Request, limit int64) (*call.Call, error)
	// NewRequest encodes an attempt.
	NewRequest func(ctx context.Context, c *call.Call, a *call.Attempt) (*http.Request, error)
	// DecodeAnswer decodes the head of an answer.
	DecodeAnswer func(c *call.Call, r *http.Response) *call.Answer
	// SetAttemptID marks an answer of the gateway's own.
	SetAttemptID func(h http.Header, id string)
}

// Store reads the platform's store.
type Store struct {
	// Configuration reads the newest configuration, which may be nil.
	Configuration func(ctx context.Context) (*site.Configuration, error)
	// Changes waits for changes after a revision.
	Changes func(ctx context.Context, after int64, wait time.Duration) (site.Changes, error)
	// Targets lists the targets' entries, with the store's revision.
	Targets func(ctx context.Context) ([]site.TargetRecord, int64, error)
	// Close drops the idle connections.
	Close func()
}

// Options are the inputs of New.
type Options struct {
	Settings *site.Settings
	Codec    Codec
	Store    Store
	Log      *slog.Logger
	// Random is the source of chance; it must not be shared.
	Random *rand.Rand
	// Now returns the present time, and Boot a clock that counts suspensions.
	Now  func() time.Time
	Boot *boottime.Clock
}

// Process is one entry.
type Process struct {
	Options
	counts    *counts
	set       *metrics.Set
	transport *http.Transport
	socket    *datagram.Socket
	started   time.Time
	// settings are those in force.
	settings atomic.Pointer[site.Settings]
	// configuration is nil until the first one was read.
	configuration atomic.Pointer[site.Configuration]
	// current is the boot time as of which the configuration is known to be the newest, or negative.
	current atomic.Int64
	// stopping is set at the signal to stop, and closed when new requests are refused.
	stopping, closed atomic.Bool
	// incarnation and sequence name the process's datagrams.
	incarnation uint64

	mu sync.Mutex
	// registry, mesh, budgets, gauges and lines are guarded by mu, as is Random.
	registry *target.Registry
	mesh     *mesh.Mesh
	budgets  map[string]*budget.Budget
	gauges   map[string]*seat.Estimator
	lines    map[string]*seat.Queue
	// seated is the number of requests that have a seat and no target yet, by service; guarded by mu.
	seated map[string]int
	// sequence is guarded by mu.
	sequence uint64
	// sent is the load in the newest datagram; guarded by mu.
	sent map[uint32]int
}

// New returns a Process that does not run yet.
func New(o Options) *Process {
	set := metrics.NewSet()
	p := &Process{
		Options: o, set: set, counts: newCounts(set), transport: newTransport(), started: o.Now(), incarnation: o.Random.Uint64(),
		registry: target.NewRegistry(), mesh: mesh.New(o.Settings.Peers, o.Settings.Seeds),
		budgets: map[string]*budget.Budget{}, gauges: map[string]*seat.Estimator{}, lines: map[string]*seat.Queue{}, seated: map[string]int{},
	}
	p.current.Store(-1)
	p.settings.Store(o.Settings)
	return p
}

// Run serves until the context ends and the requests in progress are done.
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
	group, work := errgroup.WithContext(work)
	callers := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerSize}
	ready := &http.Server{Handler: http.HandlerFunc(p.ready), ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{Handler: p.operators(), ReadHeaderTimeout: headerTimeout}
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
	group.Go(func() error { return p.socket.Receive(work, p.hear, p.reject) })
	group.Go(func() error { p.followStore(work); return nil })
	group.Go(func() error { p.tellPeers(work); return nil })
	group.Go(func() error { node.Every(work, tickInterval, p.tick); return nil })
	group.Go(func() error { return p.await(ctx, work, callers, cancel) })
	p.Log.Info("start", "role", "entry", "centre", p.settings.Load().Centre, "incarnation", p.incarnation)
	return group.Wait()
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

// tick moves the lines of waiting requests on.
func (p *Process) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, line := range p.lines {
		if line.Waiting() > 0 {
			p.moveLine(service, line)
		}
	}
}
