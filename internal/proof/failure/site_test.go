package failure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/commands"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/loopback"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/platform"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/service"
)

// childVariable makes the test binary behave as the dragonflydeal binary.
const childVariable = "DRAGONFLYDEAL_CHILD"

// readyTimeout bounds the wait for a condition that must come true.
const readyTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// siteOptions describe a site of real processes round stand-ins.
type siteOptions struct {
	// centres is the number of data centres, numbered from 1.
	centres int
	// entries, engines and services are counted for each data centre.
	entries, engines, services int
	// width is the number of requests that a target runs at once; zero means 8.
	width int
	// step is the engines' step time; zero means 2 ms.
	step time.Duration
	// delay is the services' time for one call.
	delay time.Duration
	// poison is a body that crashes an engine.
	poison string
	// restart is the time after which a crashed engine is back; zero means never.
	restart time.Duration
	// change edits the configuration before it is published, or is nil.
	change func(*configuration.Configuration)
	// wrap adds to the handler of a target's stand-in, or is nil.
	wrap func(target string, h http.Handler) http.Handler
	// settings edits the settings of each process, or is nil.
	settings func(*settings.Settings)
}

// site is a running site.
type site struct {
	t        *testing.T
	options  siteOptions
	platform *platform.Platform
	network  *network
	config   *configuration.Configuration
	// processes holds every process by the name of its instance.
	processes map[string]*process
	// engines and services are the stand-ins by target name.
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	dir      string
	// block holds the addresses that no other site on the machine uses.
	block   *loopback.Block
	address netip.AddrPort
}

// process is one child process.
type process struct {
	site     *site
	role     string
	settings settings.Settings
	command  *exec.Cmd
	// done is closed after the process was waited for.
	done chan struct{}
	log  string
}

// newSite starts a site and waits until every entry sees every target serving.
func newSite(t *testing.T, o siteOptions) *site {
	t.Helper()
	s := prepareSite(t, o)
	s.publish()
	for _, p := range s.processes {
		p.start()
	}
	s.awaitServing()
	return s
}

// machineRoom is the number of processes that the sites of parallel tests may have together: with more,
// the processes wait for a core longer than the silence that the tests have set.
var machineRoom = 3 * runtime.GOMAXPROCS(0)

var room = newRoom(int64(machineRoom))

// prepareSite makes the stand-ins, the settings and the configuration, and starts no process.
func prepareSite(t *testing.T, o siteOptions) *site {
	t.Helper()
	if o.width == 0 {
		o.width = 8
	}
	if o.step == 0 {
		o.step = 2 * time.Millisecond
	}
	if err := room.occupy(t, o.centres*(o.entries+o.engines+o.services)); err != nil {
		t.Fatal(err)
	}
	s := &site{
		t: t, options: o, platform: platform.New(), network: newNetwork(), dir: t.TempDir(), block: lease(t),
		processes: map[string]*process{}, engines: map[string]*engine.Engine{}, services: map[string]*service.Service{},
		config: &configuration.Configuration{
			Format: "1.0", Revision: 1, Author: "test",
			Workspaces: []configuration.Workspace{{Name: "school"}, {Name: "council"}},
		},
	}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	s.address = s.network.open(t, s.block.Host(0), address)
	for centre := 1; centre <= o.centres; centre++ {
		s.addCentre(byte(centre))
	}
	s.config.Routes = []configuration.Route{{
		Name: "desk", Prefix: "/v1/desk", Pool: "desk", Stream: true, Timeout: configuration.Duration(20 * time.Second),
	}, {
		Name: "hold", Prefix: "/v1/holds", Pool: "hold", Once: true, Timeout: configuration.Duration(10 * time.Second),
	}, {
		Name: "lookup", Prefix: "/v1/lookups", Pool: "hold", Timeout: configuration.Duration(10 * time.Second),
	}}
	if o.engines == 0 {
		s.config.Routes = s.config.Routes[1:]
	}
	if o.services == 0 {
		s.config.Routes = s.config.Routes[:1]
	}
	if o.change != nil {
		o.change(s.config)
	}
	return s
}

// lease returns addresses for one test.
func lease(t *testing.T) *loopback.Block {
	t.Helper()
	block, err := loopback.Lease()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = block.Close() })
	return block
}

func (s *site) addCentre(centre byte) {
	name := fmt.Sprintf("c%d", centre)
	s.config.Centres = append(s.config.Centres, configuration.Centre{Name: name})
	for i := range s.options.entries {
		s.addEntry(centre, fmt.Sprintf("entry-%s-%d", name, i))
	}
	for i := range s.options.engines {
		target := fmt.Sprintf("desk-%s-%d", name, i)
		stand := engine.New(engine.Options{
			Step: s.options.step, Lag: 100 * time.Millisecond, Poison: s.options.poison, Restart: s.options.restart,
		})
		s.engines[target] = stand
		s.addTarget(centre, target, configuration.KindEngine, "desk", stand.Handler())
	}
	for i := range s.options.services {
		target := fmt.Sprintf("hold-%s-%d", name, i)
		stand := service.New(service.Options{Delay: s.options.delay})
		s.services[target] = stand
		s.addTarget(centre, target, configuration.KindService, "hold", stand.Handler())
	}
}

func (s *site) addEntry(centre byte, name string) {
	p := s.addProcess("entry", name, centre)
	p.settings.Callers = s.free(centre)
	address := s.network.open(s.t, s.block.Host(centre), p.settings.Listen)
	s.config.Entries = append(s.config.Entries, configuration.Entry{Name: name, Centre: p.settings.Centre, Address: address})
}

func (s *site) addTarget(centre byte, name string, kind configuration.Kind, pool string, handler http.Handler) {
	if s.options.wrap != nil {
		handler = s.options.wrap(name, handler)
	}
	server := httptest.NewServer(handler)
	s.t.Cleanup(server.Close)
	p := s.addProcess("slot", name, centre)
	p.settings.Engine = netip.MustParseAddrPort(server.Listener.Addr().String())
	address := s.network.open(s.t, s.block.Host(centre), p.settings.Listen)
	s.config.Targets = append(s.config.Targets, configuration.Target{
		Name: name, Centre: p.settings.Centre, Kind: kind, Pool: pool, Address: address, Width: s.options.width,
	})
}

func (s *site) addProcess(role, name string, centre byte) *process {
	p := &process{site: s, role: role, log: filepath.Join(s.dir, name+".log"), settings: settings.Settings{
		Name: name, Centre: fmt.Sprintf("c%d", centre), Platform: s.address,
		Listen: s.free(centre), Operators: s.free(centre),
		Beat: configuration.Duration(100 * time.Millisecond), Ping: configuration.Duration(400 * time.Millisecond),
		Drain: configuration.Duration(500 * time.Millisecond), Stop: configuration.Duration(30 * time.Second),
	}}
	s.processes[name] = p
	return p
}

// free returns an address on which nothing listens.
func (s *site) free(centre byte) netip.AddrPort {
	s.t.Helper()
	address, err := s.block.Address(centre)
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

// publish publishes the site's configuration as it is now.
func (s *site) publish() {
	s.t.Helper()
	data, err := s.config.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	s.platform.Publish(s.config.Revision, data)
}

// await waits until a condition holds and fails the test if it never does.
func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("still not so after %v: %s", readyTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitServing waits until every entry sees every target serving.
func (s *site) awaitServing() {
	s.t.Helper()
	for name, p := range s.processes {
		if p.role != "entry" {
			continue
		}
		s.await(name+" sees all targets serving", func() bool {
			status := p.entryStatus()
			for _, v := range status.Targets {
				if v.State != "serving" {
					return false
				}
			}
			return len(status.Targets) == len(s.config.Targets)
		})
	}
}

// entryStatus is the part of an entry's status that the tests read.
type entryStatus struct {
	Revision int64 `json:"revision"`
	Requests int   `json:"requests"`
	Targets  []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"targets"`
}

func (p *process) entryStatus() (v entryStatus) {
	p.get("/status", &v)
	return v
}

// get reads JSON from the operators' address; it leaves the value as it is when that fails.
func (p *process) get(path string, value any) (ok bool) {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + p.settings.Operators.String() + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value) == nil
}

// start runs the process.
func (p *process) start() {
	t := p.site.t
	t.Helper()
	if p.site.options.settings != nil {
		p.site.options.settings(&p.settings)
	}
	path := filepath.Join(p.site.dir, p.settings.Name+".json")
	data, err := json.Marshal(p.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(os.Args[0], p.role, "--settings", path, "--verbose")
	p.command.Env = append(os.Environ(), childVariable+"=1")
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-done
		p.dump()
	})
}

// dump prints the end of the log of a process if the test failed.
func (p *process) dump() {
	if !p.site.t.Failed() {
		return
	}
	data, _ := os.ReadFile(p.log)
	p.site.t.Logf("log of %s:\n%s", p.settings.Name, data[max(0, len(data)-2000):])
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.site.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.site.t.Fatal(err)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process until wake.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// wake lets a frozen process go on.
func (p *process) wake() { p.signal(syscall.SIGCONT) }

// stop asks the process to stop and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.command.ProcessState.ExitCode()
}
