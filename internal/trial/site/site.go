// Package site runs a complete site on loopback in one process: entries and slots with fake engines, services and
// platform, under load and with faults.
package site

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/process/entryd"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/process/slotd"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/group"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/platform"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/service"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

// readyTimeout bounds the wait for a condition of the site, such as that all entries see all targets.
const readyTimeout = 20 * time.Second

// ErrNotReady reports that the site did not reach an expected state in time.
var ErrNotReady = merry.Sentinel("the site did not reach the expected state in time")

// Site is a running site.
type Site struct {
	options  Options
	network  *Network
	platform *platform.Platform
	meter    *meter
	// group is the fake expert-parallel group; stopGroup ends its steps.
	group     *group.Group
	stopGroup context.CancelFunc
	// engines and services are the fakes by target name.
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	// processes holds entries and slots by instance name; only the goroutine of the steps changes its elements.
	processes map[string]*process
	client    *http.Client
	// servers are the HTTP servers of the fakes.
	servers []*http.Server
	// ports counts the ports that freeAddresses has tried.
	ports int

	mu sync.Mutex
	// configuration is the latest published configuration; guarded by mu.
	configuration configuration.Configuration
	// publishedAt is the time of the latest publication; guarded by mu.
	publishedAt time.Time
}

// Options are the inputs of New.
type Options struct {
	// Shape holds the numbers of instances.
	Shape
	// Seed is the seed of the random choices of the load and the processes.
	Seed uint64
	// Log receives the log lines of all processes.
	Log *slog.Logger
}

// Shape holds the data centres of a site, the numbers of instances in each and the workspaces.
type Shape struct {
	// Centres are the names of the data centres.
	Centres []string
	// Entries, Engines and Services are the numbers of instances in each data centre.
	Entries, Engines, Services int
	// Workspaces are the names of the workspaces.
	Workspaces []string
}

// DefaultShape is a small site with three data centres.
var DefaultShape = Shape{
	Centres: []string{"riga-1", "riga-2", "riga-3"},
	Entries: 3, Engines: 2, Services: 1,
	Workspaces: []string{"school", "council", "desk"},
}

// process is an entry or a slot that runs in this program.
type process struct {
	name, centre string
	role         settings.Role
	settings     settings.Settings
	// stop begins a graceful shutdown.
	stop context.CancelFunc
	// done is closed when the process has ended.
	done chan struct{}
	// err is the error that the process returned; it is set before done is closed.
	err error
	// starts counts the starts; each start gets a different random seed.
	starts uint64
}

// New starts a site and waits until all entries see all targets as serving.
func New(ctx context.Context, o Options) (s *Site, err error) {
	s = &Site{
		options: o, network: NewNetwork(), platform: platform.New(), meter: newMeter(), group: newGroup(o),
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{}, processes: map[string]*process{},
		client: &http.Client{Timeout: time.Second, Transport: transport.New(&http.Transport{})},
	}
	groupCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stopGroup = stop
	go s.group.Run(groupCtx)
	if err := s.build(); err != nil {
		s.Close()
		return nil, merry.Prepend(err, "build the site")
	}
	if err := s.publish(func(*configuration.Configuration) {}); err != nil {
		s.Close()
		return nil, err
	}
	for _, p := range s.processes {
		s.start(p)
	}
	if err := s.waitFor(ctx, s.allServing); err != nil {
		s.Close()
		return nil, merry.Prepend(err, "start the site")
	}
	return s, nil
}

// Close stops all processes gracefully and then the fakes.
func (s *Site) Close() {
	s.network.Heal()
	defer s.stopGroup()
	for _, p := range s.processes {
		if p.stop != nil {
			p.stop()
		}
	}
	for _, p := range s.processes {
		if p.done != nil {
			<-p.done
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.client.CloseIdleConnections()
}

// start runs a process of the site in the background.
func (s *Site) start(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.stop, p.done = cancel, done
	settingsCopy := p.settings
	options := node.Options{
		Settings: &settingsCopy, Log: s.options.Log, Now: time.Now,
		Dial: s.network.Dial(settingsCopy.Listen.Addr(), p.centre),
	}
	p.starts++
	random := rand.New(rand.NewPCG(s.options.Seed, xxhash.Sum64String(p.name)+p.starts))
	go func() {
		defer close(done)
		if p.role == settings.RoleEntry {
			p.err = entryd.New(entryd.Options{Options: options, Random: random}).Run(ctx)
			return
		}
		p.err = slotd.New(slotd.Options{Options: options, Random: random}).Run(ctx)
	}()
}

// publish changes the configuration and publishes it as the next revision.
func (s *Site) publish(change func(*configuration.Configuration)) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.configuration)
	s.configuration.Revision++
	data, err := s.configuration.Encode()
	if err != nil {
		return merry.Prepend(err, "publish: encode the configuration")
	}
	if _, err := configuration.Parse(data); err != nil {
		return merry.Prepend(err, "publish: check the configuration")
	}
	s.publishedAt = time.Now()
	s.platform.Publish(s.configuration.Revision, data)
	return nil
}

// revision returns the latest published revision and the time of its publication.
func (s *Site) revision() (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration.Revision, s.publishedAt
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// serve starts the HTTP server of a fake and returns its address.
func (s *Site) serve(handler http.Handler) (address netip.AddrPort, err error) {
	l, address, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return address, nil
}
