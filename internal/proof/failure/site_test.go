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

// childEnv is the environment variable that makes the test binary run as the dragonflydeal binary.
const childEnv = "DRAGONFLYDEAL_CHILD"

// awaitTimeout bounds the wait for an expected condition.
const awaitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// siteOptions describes a site of real processes that use a fake platform, fake engines and fake services.
type siteOptions struct {
	// centres is the number of data centres, numbered from 1.
	centres int
	// entries, engines and services are the numbers of each in one data centre.
	entries, engines, services int
	// width is the number of requests that a target runs at once; zero means 8.
	width int
	// step is the engines' step time; zero means 2 ms.
	step time.Duration
	// delay is the time that a service takes for one call.
	delay time.Duration
	// poison is a request body that crashes an engine.
	poison string
	// restart is the time that a crashed engine takes to restart; zero means that it stays down.
	restart time.Duration
	// editConfig edits the configuration before it is published, or is nil.
	editConfig func(*configuration.Configuration)
	// wrap adds middleware to the handler of a fake target, or is nil.
	wrap func(target string, h http.Handler) http.Handler
	// editSettings edits the settings of each process, or is nil.
	editSettings func(*settings.Settings)
}

// site is a site under test: its processes, the fakes that they use and the network between them.
type site struct {
	t        *testing.T
	options  siteOptions
	platform *platform.Platform
	network  *network
	config   *configuration.Configuration
	// processes holds every process by instance name.
	processes map[string]*process
	// engines and services hold the fakes by target name.
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	dir      string
	// block holds loopback addresses reserved for this site.
	block *loopback.Block
	// address is the platform's address through the proxy.
	address netip.AddrPort
}

// process is one child process: an entry or a slot.
type process struct {
	site     *site
	role     string
	settings settings.Settings
	command  *exec.Cmd
	// done is closed when the process has exited.
	done    chan struct{}
	logPath string
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

// maxProcesses limits the processes that all sites of parallel tests run at once. With more, processes wait for a
// core longer than the heartbeat timeout of the tests.
var maxProcesses = 3 * runtime.GOMAXPROCS(0)

var limiter = newProcessLimiter(int64(maxProcesses))

// prepareSite creates the fakes, the settings and the configuration, and starts no process.
func prepareSite(t *testing.T, o siteOptions) *site {
	t.Helper()
	if o.width == 0 {
		o.width = 8
	}
	if o.step == 0 {
		o.step = 2 * time.Millisecond
	}
	if err := limiter.acquire(t, o.centres*(o.entries+o.engines+o.services)); err != nil {
		t.Fatal(err)
	}
	s := &site{
		t: t, options: o, platform: platform.New(), network: newNetwork(), dir: t.TempDir(), block: leaseAddresses(t),
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
	if o.editConfig != nil {
		o.editConfig(s.config)
	}
	return s
}

// leaseAddresses reserves loopback addresses for one test.
func leaseAddresses(t *testing.T) *loopback.Block {
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
		fake := engine.New(engine.Options{
			Step: s.options.step, Lag: 100 * time.Millisecond, Poison: s.options.poison, Restart: s.options.restart,
		})
		s.engines[target] = fake
		s.addTarget(centre, target, configuration.KindEngine, "desk", fake.Handler())
	}
	for i := range s.options.services {
		target := fmt.Sprintf("hold-%s-%d", name, i)
		fake := service.New(service.Options{Delay: s.options.delay})
		s.services[target] = fake
		s.addTarget(centre, target, configuration.KindService, "hold", fake.Handler())
	}
}

func (s *site) addEntry(centre byte, name string) {
	p := s.addProcess("entry", name, centre)
	p.settings.Callers = s.freeAddress(centre)
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
	p := &process{site: s, role: role, logPath: filepath.Join(s.dir, name+".log"), settings: settings.Settings{
		Name: name, Centre: fmt.Sprintf("c%d", centre), Platform: s.address,
		Listen: s.freeAddress(centre), Operators: s.freeAddress(centre),
		Beat: configuration.Duration(100 * time.Millisecond), Ping: configuration.Duration(400 * time.Millisecond),
		Drain: configuration.Duration(500 * time.Millisecond), Stop: configuration.Duration(30 * time.Second),
	}}
	s.processes[name] = p
	return p
}

// freeAddress returns an address on which nothing listens.
func (s *site) freeAddress(centre byte) netip.AddrPort {
	s.t.Helper()
	address, err := s.block.Address(centre)
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

// publish publishes the site's current configuration.
func (s *site) publish() {
	s.t.Helper()
	data, err := s.config.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	s.platform.Publish(s.config.Revision, data)
}

// await polls until a condition holds and fails the test after awaitTimeout.
func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition not met within %v: %s", awaitTimeout, what)
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

// get reads JSON from the operators' address and reports whether it succeeded.
func (p *process) get(path string, value any) (ok bool) {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + p.settings.Operators.String() + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value) == nil
}

// start writes the settings file and starts the process.
func (p *process) start() {
	t := p.site.t
	t.Helper()
	if p.site.options.editSettings != nil {
		p.site.options.editSettings(&p.settings)
	}
	path := filepath.Join(p.site.dir, p.settings.Name+".json")
	data, err := json.Marshal(p.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(os.Args[0], p.role, "--settings", path, "--verbose")
	p.command.Env = append(os.Environ(), childEnv+"=1")
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
		p.dumpLog()
	})
}

// dumpLog prints the end of the process's log if the test failed.
func (p *process) dumpLog() {
	if !p.site.t.Failed() {
		return
	}
	data, _ := os.ReadFile(p.logPath)
	p.site.t.Logf("log of %s:\n%s", p.settings.Name, data[max(0, len(data)-2000):])
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.site.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.site.t.Fatal(err)
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze suspends the process until unfreeze.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// unfreeze resumes a frozen process.
func (p *process) unfreeze() { p.signal(syscall.SIGCONT) }

// stop sends SIGTERM, waits for the process to exit and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.command.ProcessState.ExitCode()
}
