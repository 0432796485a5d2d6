package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// site is a small deployment: the stand-ins of the platform and the processes of the project.
type site struct {
	dir     string
	store   *store
	address string
	record  *recorder
	// seed is the control address of the first front machine.
	seed string

	mu     sync.Mutex
	starts []*exec.Cmd
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, arguments...)...)
}

// serveAt serves HTTP at a free port of an address and returns its address.
func serveAt(host string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}

// freePorts returns two ports that are free at all of the addresses, the first below the second.
func freePorts(hosts ...string) (first, second int, err error) {
	var ports []int
	for len(ports) < 2 {
		l, err := net.Listen("tcp4", hosts[0]+":0")
		if err != nil {
			return 0, 0, err
		}
		defer l.Close()
		port, free := l.Addr().(*net.TCPAddr).Port, true
		for _, h := range hosts[1:] {
			other, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			other.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	return min(ports[0], ports[1]), max(ports[0], ports[1]), nil
}

// process is a process of the project, which can be ended and started again.
type process struct {
	site *site
	// name is that of its machine, and role the one of the deploy file.
	name, role  string
	settings    string
	descriptors int

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// front is a front machine with its entry.
type front struct {
	*process
	callers, ready string
}

// machine is what the settings of a machine say of it.
type machine struct {
	name, role, host, zone, listen, extra, seed string
	low, high, memoryMB, descriptors            int
}

// add writes the settings of a machine and returns its process, which is not started.
func (s *site) add(m machine) (*process, error) {
	settings := fmt.Sprintf(`node = "%[1]s"
role = "%[2]s"
class = "%[3]s"
ip = "%[4]s"
zone = "%[5]s"
region = "lv-riga"
portRange = [%[6]d,%[7]d]
seeds = ["%[8]s"]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
%[9]s
[zones]
riga-a = "lv-riga"
riga-b = "lv-riga"
[listen]
%[10]s
[limits]
cpuShare = 0.384
cores = 1
memoryMb = %[11]d
maxFds = %[12]d
linkMbps = 40.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 4000
ackMs = 6000
catchUpS = 6
drainMs = 3000
graceS = 8
lossSlackMs = 200
configMs = 3000
rollbackSlackMs = 250
stretchMaxMs = 6000
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 194
recoverS = 15
passMs = 200
againS = 0
stall_ms = 1500
requireFence = false
[platform]
addr = "%[13]s"
form = "read"
writesPerS = 400
readsPerS = 6000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, m.name, m.role, map[string]string{"entry": "front", "slot": "side"}[m.role], m.host, m.zone, m.low, m.high, m.seed, m.extra, m.listen,
		m.memoryMB, m.descriptors, s.address)
	path := filepath.Join(s.dir, m.name+".toml")
	p := &process{site: s, name: m.name, role: m.role, settings: path, descriptors: m.descriptors}
	return p, os.WriteFile(path, []byte(settings), 0o600)
}

// start starts the process with the command of the deploy file and a bound on its descriptors.
func (p *process) start() error {
	// The shell is replaced by the program; only its own limit on descriptors is set.
	c := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/dragonflydeal %s --platform", p.descriptors, p.role))
	c.Env = append(os.Environ(), "DRAGONFLYDEAL_CONFIG="+p.settings)
	log, err := os.OpenFile(filepath.Join(p.site.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = c, ended
	p.mu.Unlock()
	p.site.mu.Lock()
	p.site.starts = append(p.site.starts, c)
	p.site.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	c, ended := p.command, p.ended
	p.mu.Unlock()
	_ = c.Process.Kill()
	<-ended
}

// startFront adds a front machine and starts its entry.
func (s *site) startFront(name, zone, host string, low, high, memoryMB, descriptors int) (*front, error) {
	var ports [3]int
	for i := range ports {
		l, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	f := &front{callers: fmt.Sprintf("%s:%d", host, ports[0]), ready: fmt.Sprintf("%s:%d", host, ports[1])}
	control := fmt.Sprintf("%s:%d", host, ports[2])
	s.seed = cmp.Or(s.seed, control)
	var err error
	f.process, err = s.add(machine{
		name: name, role: "entry", host: host, zone: zone, low: low, high: high, memoryMB: memoryMB, descriptors: descriptors, seed: s.seed,
		extra: `serves = ["front","control"]`, listen: fmt.Sprintf("front = %q\nready = %q\ncontrol = %q", f.callers, f.ready, control),
	})
	if err != nil {
		return nil, err
	}
	return f, f.start()
}

// stop ends all processes that were started.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.starts {
		_ = c.Process.Kill()
	}
}

// awaitReady waits until a front machine says that it is ready.
func awaitReady(ctx context.Context, address string) bool {
	for ctx.Err() == nil {
		if r, err := http.Get("http://" + address + "/dragonflydeal/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
