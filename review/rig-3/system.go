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

// freePort returns a free port above which another one is free too at a distance.
func freePort(distance int) int {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		other, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+distance))
		l.Close()
		if err == nil {
			other.Close()
			return port
		}
	}
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePort(1)) }

// settings returns the settings file of an entry, as the platform writes it for a small deployment.
func settings(front, ready, control, store string, port int) string {
	return fmt.Sprintf(`node = "front-riga-a-1"
role = "entry"
class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
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
`, port, port+15, control, front, ready, control, store)
}

// startEntry starts an entry by the command of the deploy file and waits until it is ready.
func startEntry(program, folder, store string) (*instance, error) {
	e := &instance{front: freeAddress(), ready: freeAddress()}
	path := filepath.Join(folder, "settings.toml")
	if err := os.WriteFile(path, []byte(settings(e.front, e.ready, freeAddress(), store, freePort(15))), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "entry.log"))
	if err != nil {
		return nil, err
	}
	e.command = exec.Command(program, "entry", "--platform")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "DRAGONFLYDEAL_CONFIG=" + path}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/dragonflydeal/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return e, nil
		}
	}
	e.end()
	return nil, fmt.Errorf("the entry is not ready after 10 s")
}

// end kills the process.
func (e *instance) end() {
	_ = e.command.Process.Kill()
	_ = e.command.Wait()
}
