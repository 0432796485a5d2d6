package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// instance is a process of the system under review.
type instance struct {
	front, ready string
	command      *exec.Cmd
}

// portCount is the number of ports that each machine has for the system's own use.
const portCount = 16

// freePorts returns the first of some ports that follow one another and are free at all of the machines' addresses.
func freePorts(hosts []string, count int) int {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		first := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if first+count < 65536 && allFree(hosts, first, count) {
			return first
		}
	}
}

func allFree(hosts []string, first, count int) bool {
	for _, host := range hosts {
		for port := first; port < first+count; port++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePorts([]string{"127.0.0.1"}, 1)) }

// hosts returns the addresses of a number of machines.
func hosts(count int) (list []string) {
	for i := range count {
		list = append(list, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	return list
}

// settings returns the settings file of an entry, as the platform writes it for a small deployment.
func settings(name, host, seed, store string, port int) string {
	front, ready, control := listenAddresses(host, port)
	return fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front","control"]
ip = %q
zone = "riga-a"
region = "lv-riga"
portRange = [%d,%d]
seeds = [%q]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
riga-a = "lv-riga"
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
[bounds]
reuseAfterS = 2
stableMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 94
[platform]
addr = %q
form = "read"
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`, name, host, port, port+portCount-1, seed, front, ready, control, store)
}

// listenAddresses returns the addresses at which an entry serves, above the ports for the system's own use.
func listenAddresses(host string, port int) (front, ready, control string) {
	at := func(offset int) string { return fmt.Sprintf("%s:%d", host, port+portCount+offset) }
	return at(0), at(1), at(2)
}

// startEntries starts an entry for each machine by the command of the deploy file, and waits until all are ready. The first one is the
// seed.
func startEntries(p *play, count int, store string) (list []*instance, err error) {
	machines := hosts(count)
	port := freePorts(machines, portCount+3)
	_, _, seed := listenAddresses(machines[0], port)
	for i, host := range machines {
		name := fmt.Sprintf("front-riga-a-%d", i+1)
		e, err := startEntry(p, name, settings(name, host, seed, store, port))
		if err != nil {
			return nil, err
		}
		e.front, e.ready, _ = listenAddresses(host, port)
		list = append(list, e)
	}
	for _, e := range list {
		if err := e.awaitReady(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// startEntry starts an entry with the text of its settings file.
func startEntry(p *play, name, settings string) (*instance, error) {
	path := filepath.Join(p.folder, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(p.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	e := &instance{command: exec.Command(p.program, "entry", "--platform")}
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "DRAGONFLYDEAL_CONFIG=" + path}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	p.atEnd(e.end)
	return e, nil
}

// awaitReady waits until the entry says that it is ready.
func (e *instance) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/dragonflydeal/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the entry at %s is not ready after 10 s", e.front)
}

// end kills the process.
func (e *instance) end() {
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
}
