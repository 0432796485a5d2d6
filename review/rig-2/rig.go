package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// program and role are those of the deploy file.
	program = "target/dragonflydeal"
	// startTime is the longest time until a process is ready.
	startTime = 10 * time.Second
)

// rig is the small deployment around the processes under test.
type rig struct {
	// trouble is unset if the script is to run without its disruption.
	trouble bool
	began   time.Time
	folder  string
	store   *store
	engines []*engine
	entries []*entry
	// lost counts the requests that got no answer of the engine that ran them.
	lost atomic.Int64

	// mu guards record.
	mu     sync.Mutex
	record *os.File
}

func newRig(record string, trouble bool) (r *rig, err error) {
	r = &rig{trouble: trouble, began: time.Now()}
	if r.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if r.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if r.store, err = newStore(r); err != nil {
		return nil, err
	}
	r.note("trouble: %v", trouble)
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *rig) close() {
	for _, e := range r.entries {
		e.end()
	}
	for _, e := range r.engines {
		e.crash()
	}
	_ = r.store.server.Close()
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// freePort returns a port on which nothing listens at an address.
func freePort(ip netip.Addr) (port uint16, err error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String()).Port(), nil
}

// entry is a process of the deploy file's role entry.
type entry struct {
	rig     *rig
	name    string
	zone    string
	ip      netip.Addr
	front   netip.AddrPort
	ready   netip.AddrPort
	control netip.AddrPort
	ports   [2]uint16
	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// startEntry starts an entry of a zone and waits until it is ready. All entries have the same ports and an address of their own.
func (r *rig) startEntry(zone string) (e *entry, err error) {
	number := len(r.entries) + 1
	e = &entry{rig: r, name: fmt.Sprintf("front-%s-%d", zone, number), ip: netip.AddrFrom4([4]byte{127, 0, 41, byte(number)})}
	if number > 1 {
		e.ports = r.entries[0].ports
	} else if e.ports[0], err = freePort(e.ip); err != nil {
		return nil, err
	}
	e.ports[1] = e.ports[0] + 15
	for _, a := range []*netip.AddrPort{&e.front, &e.ready, &e.control} {
		port, err := freePort(e.ip)
		if err != nil {
			return nil, err
		}
		*a = netip.AddrPortFrom(e.ip, port)
	}
	e.zone = zone
	r.entries = append(r.entries, e)
	if err := e.start(); err != nil {
		return nil, err
	}
	return e, e.awaitReady()
}

func (e *entry) start() error {
	settings := filepath.Join(e.rig.folder, e.name+".toml")
	if err := os.WriteFile(settings, []byte(e.settings()), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(e.rig.folder, e.name+".log"))
	if err != nil {
		return err
	}
	e.command = exec.Command(program, "entry", "--platform")
	e.command.Env = append(os.Environ(), "DRAGONFLYDEAL_CONFIG="+settings)
	e.command.Stdout, e.command.Stderr = logs, logs
	if err := e.command.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	e.rig.note("%s starts", e.name)
	go func() {
		err := e.command.Wait()
		e.rig.note("%s has ended: %v", e.name, err)
		_ = logs.Close()
		close(e.ended)
	}()
	return nil
}

// settings returns the settings file, as DEPLOY.md shows it.
func (e *entry) settings() string {
	first := e.rig.entries[0]
	return fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
portRange = [%d,%d]
seeds = [%q]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
a = "r"
b = "r"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
stretchMaxMs = 5000
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 94
recoverS = 12
passMs = 120
againS = 0
stall_ms = 1500
requireFence = false
coldOver = 1.5
coldSlack = 5
evacMs = 5000
[platform]
addr = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, e.name, e.ip, e.zone, e.ports[0], e.ports[1], first.control, e.front, e.ready, e.control, e.rig.store.address)
}

// awaitReady waits until the entry answers the readiness check with 200.
func (e *entry) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, err := get(e.ready, "/dragonflydeal/ready"); err == nil && status == 200 {
			e.rig.note("%s is ready", e.name)
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", e.name)
}

// signal sends a signal to the process, if it still runs.
func (e *entry) signal(s syscall.Signal) {
	e.rig.note("%s gets %v", e.name, s)
	_ = e.command.Process.Signal(s)
}

// end kills the process and waits for its end.
func (e *entry) end() {
	if e.command == nil || e.ended == nil {
		return
	}
	select {
	case <-e.ended:
		return
	default:
	}
	_ = e.command.Process.Kill()
	<-e.ended
}
