package site

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/service"
)

// Time settings of the trial's site; they are shorter than those of a real site to keep the trial short.
const (
	engineStep        = 5 * time.Millisecond
	engineLag         = 200 * time.Millisecond
	serviceDelay      = 3 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	pingTimeout       = 2 * time.Second
	drainTime         = time.Second
	stopTimeout       = 30 * time.Second
	streamTimeout     = 20 * time.Second
	callTimeout       = 20 * time.Second
)

// targetWidth is the number of requests that a target runs at once.
const targetWidth = 8

// platformCentre is the data centre of the fake platform; it is none of the site's data centres.
const platformCentre = "platform"

// build creates the fakes, the settings of the processes and the configuration.
func (s *Site) build() (err error) {
	address, err := s.serve(s.platform.Handler())
	if err != nil {
		return err
	}
	s.network.SetCentre(address, platformCentre)
	s.configuration = configuration.Configuration{Format: "1.0", Author: "trial", Routes: routes()}
	for _, name := range s.options.Workspaces {
		s.configuration.Workspaces = append(s.configuration.Workspaces, configuration.Workspace{Name: name})
	}
	for _, centre := range s.options.Centres {
		s.configuration.Centres = append(s.configuration.Centres, configuration.Centre{Name: centre})
		if err := s.buildCentre(centre, address); err != nil {
			return err
		}
	}
	return nil
}

func routes() []configuration.Route {
	return []configuration.Route{
		{Name: "desk", Prefix: "/v1/desk", Pool: "desk", Stream: true, Timeout: configuration.Duration(streamTimeout)},
		{Name: "hold", Prefix: "/v1/holds", Pool: "hold", Once: true, Timeout: configuration.Duration(callTimeout)},
		{Name: "lookup", Prefix: "/v1/lookups", Pool: "hold", Timeout: configuration.Duration(callTimeout)},
	}
}

// buildCentre adds the instances of one data centre.
func (s *Site) buildCentre(centre string, platform netip.AddrPort) (err error) {
	for i := range s.options.Entries {
		if err := s.buildEntry(fmt.Sprintf("entry-%s-%d", centre, i+1), centre, platform); err != nil {
			return err
		}
	}
	for i := range s.options.Engines {
		name := fmt.Sprintf("desk-%s-%d", centre, i+1)
		fake := engine.New(engine.Options{Step: engineStep, Lag: engineLag})
		s.engines[name] = fake
		t := configuration.Target{Name: name, Centre: centre, Kind: configuration.KindEngine, Pool: "desk"}
		if i == s.options.Engines-1 {
			s.addToGroup(&t)
		}
		if err := s.buildTarget(t, platform, fake.Handler()); err != nil {
			return err
		}
	}
	for i := range s.options.Services {
		name := fmt.Sprintf("hold-%s-%d", centre, i+1)
		fake := service.New(service.Options{Delay: serviceDelay})
		s.services[name] = fake
		t := configuration.Target{Name: name, Centre: centre, Kind: configuration.KindService, Pool: "hold"}
		if err := s.buildTarget(t, platform, fake.Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) buildEntry(name, centre string, platform netip.AddrPort) (err error) {
	p, err := s.addProcess(settings.RoleEntry, name, centre, platform)
	if err != nil {
		return err
	}
	s.configuration.Entries = append(s.configuration.Entries, configuration.Entry{
		Name: name, Centre: centre, Address: p.settings.Listen,
	})
	return nil
}

func (s *Site) buildTarget(t configuration.Target, platform netip.AddrPort, handler http.Handler) (err error) {
	p, err := s.addProcess(settings.RoleSlot, t.Name, t.Centre, platform)
	if err != nil {
		return err
	}
	handler = s.meter.wrap(t.Centre, handler)
	if t.Group != "" {
		handler = s.group.Handler(t.Rank, handler)
	}
	p.settings.Engine, err = s.serve(handler)
	t.Address, t.Width = p.settings.Listen, targetWidth
	s.configuration.Targets = append(s.configuration.Targets, t)
	return err
}

// addProcess adds a process without starting it.
func (s *Site) addProcess(role settings.Role, name, centre string, platform netip.AddrPort) (p *process, err error) {
	addresses, err := s.freeAddresses(3)
	if err != nil {
		return nil, err
	}
	p = &process{name: name, centre: centre, role: role, settings: settings.Settings{
		Name: name, Centre: centre, Platform: platform, Listen: addresses[0], Operators: addresses[1],
		Beat: configuration.Duration(heartbeatInterval), Ping: configuration.Duration(pingTimeout),
		Drain: configuration.Duration(drainTime), Stop: configuration.Duration(stopTimeout),
	}}
	if role == settings.RoleEntry {
		p.settings.Callers = addresses[2]
	}
	p.settings.Default()
	s.network.SetCentre(p.settings.Listen, centre)
	s.processes[name] = p
	return p, nil
}

// The ports of the processes are below the ephemeral ports, which the system uses for outgoing connections,
// so that a process can be restarted at the same address.
const (
	firstPort = 20000
	portCount = 10000
	// portStride separates the ports of trials that run at the same time.
	portStride = 101
)

// freeAddresses returns addresses on which nothing listens; each address is returned at most once.
func (s *Site) freeAddresses(count int) (addresses []netip.AddrPort, err error) {
	for tries := 0; len(addresses) < count && tries < portCount; tries++ {
		s.ports++
		port := firstPort + (os.Getpid()*portStride+s.ports)%portCount
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, listenErr := net.Listen("tcp", address.String())
		if listenErr != nil {
			err = listenErr
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < count {
		return nil, merry.Prepend(err, "find free ports")
	}
	return addresses, nil
}
